package burdockexpertlab

import (
	"bytes"
	"fmt"
	"math"
)

// Layout of the plot, in SVG units.
const (
	plotWidth, plotHeight = 760, 460
	plotLeft, plotRight   = 80, 200
	plotTop, plotBottom   = 50, 60
	markRadius            = 4
)

// axis is a logarithmic axis over whole decades.
type axis struct {
	low, high float64 // powers of ten
}

func newAxis() axis { return axis{low: math.Inf(1), high: math.Inf(-1)} }

// include widens the axis to include a value. Values of 0 or less are ignored, as a
// logarithmic axis can't show them.
func (a *axis) include(v float64) {
	if v > 0 {
		a.low = min(a.low, math.Floor(math.Log10(v)))
		a.high = max(a.high, math.Ceil(math.Log10(v)), a.low+1)
	}
}

// position returns the position of a value along the axis, from 0 to 1.
func (a *axis) position(v float64) float64 { return (math.Log10(v) - a.low) / (a.high - a.low) }

// plot draws the skew above 1 against the share of the run spent moving experts, both
// in percent.
type plot struct {
	b                 bytes.Buffer
	movePercent, skew axis
	legendEntries     int
}

// Plot returns an SVG plot of skew against the time spent moving experts, for both
// sweeps. Both axes are logarithmic because the policies are orders of magnitude
// apart.
func (rep Report) Plot() []byte {
	p := &plot{movePercent: newAxis(), skew: newAxis()}
	never := rep.never()
	for _, row := range append(append([]Row{never, rep.Bound}, rep.WeightSweep...), rep.TimerSweep...) {
		p.movePercent.include(rep.movePercent(row))
		p.skew.include(excessPercent(row.SkewP50))
		p.skew.include(excessPercent(row.SkewP99))
	}
	// Axes need a range even if no expert was moved.
	p.movePercent.include(1)
	p.skew.include(1)
	p.axes(rep)
	p.curve(rep, rep.WeightSweep, "planner, weights: p50", "#1f5fa8", "", medianSkew)
	p.curve(rep, rep.WeightSweep, "planner: p99", "#1f5fa8", "6 4", tailSkew)
	p.curve(rep, rep.TimerSweep, "afresh, timers: p50", "#b5531c", "", medianSkew)
	p.curve(rep, rep.TimerSweep, "afresh, timers: p99", "#b5531c", "6 4", tailSkew)
	p.horizontalLine("never: p50", "#777777", "", never.SkewP50)
	p.horizontalLine("never: p99", "#777777", "6 4", never.SkewP99)
	p.horizontalLine("bound: p50", "#2d7d32", "", rep.Bound.SkewP50)
	p.b.WriteString("</svg>\n")
	return p.b.Bytes()
}

// excessPercent returns by how many percent a skew exceeds 1.
func excessPercent(skew float64) float64 {
	const percent = 100
	return percent * (skew - 1)
}

func medianSkew(row Row) float64 { return row.SkewP50 }
func tailSkew(row Row) float64   { return row.SkewP99 }

// movePercent returns the share of the run spent moving experts, in percent.
func (rep Report) movePercent(row Row) float64 {
	const percent = 100
	return percent * float64(row.MoveTime) / (float64(rep.Config.Window) * float64(rep.Config.Steps))
}

// never returns the row of the policy that keeps the first map.
func (rep Report) never() Row { return rep.Policies[neverIndex] }

func (p *plot) x(movePercent float64) float64 {
	return plotLeft + p.movePercent.position(movePercent)*(plotWidth-plotLeft-plotRight)
}

func (p *plot) y(excessPercent float64) float64 {
	return plotHeight - plotBottom - p.skew.position(excessPercent)*(plotHeight-plotTop-plotBottom)
}

func (p *plot) text(x, y float64, anchor, s string) {
	fmt.Fprintf(&p.b, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y, anchor, s)
}

func (p *plot) line(x1, y1, x2, y2 float64, colour, dash string) {
	fmt.Fprintf(&p.b, "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\" stroke-dasharray=\"%s\"/>\n",
		x1, y1, x2, y2, colour, dash)
}

func (p *plot) axes(rep Report) {
	const grid = "#dddddd"
	cfg := rep.Config
	fmt.Fprintf(&p.b, "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" font-family=\"sans-serif\" font-size=\"12\">\n", plotWidth, plotHeight)
	fmt.Fprintf(&p.b, "<rect width=\"%d\" height=\"%d\" fill=\"white\"/>\n", plotWidth, plotHeight)
	p.text(plotLeft, plotTop/2, "start", fmt.Sprintf("Step-time skew against time spent moving: drift %s, seed %d, %d ranks, %d experts, %d layers",
		cfg.Drift, cfg.Seed, cfg.Ranks, cfg.Experts, cfg.Layers))
	bottom := float64(plotHeight - plotBottom)
	for decade := p.movePercent.low; decade <= p.movePercent.high; decade++ {
		x := p.x(math.Pow(10, decade))
		p.line(x, plotTop, x, bottom, grid, "")
		p.text(x, bottom+18, "middle", fmt.Sprintf("%g", math.Pow(10, decade)))
	}
	for decade := p.skew.low; decade <= p.skew.high; decade++ {
		y := p.y(math.Pow(10, decade))
		p.line(plotLeft, y, plotWidth-plotRight, y, grid, "")
		p.text(plotLeft-8, y+4, "end", fmt.Sprintf("%g", math.Pow(10, decade)))
	}
	p.text((plotLeft+plotWidth-plotRight)/2, plotHeight-15, "middle", "time spent moving, % of the run (logarithmic)")
	fmt.Fprintf(&p.b, "<text transform=\"translate(20 %d) rotate(-90)\" text-anchor=\"middle\">step-time skew (largest over mean rank time) above 1, %% (logarithmic)</text>\n", plotHeight/2)
}

// curve draws a line through the rows that moved any expert, with a mark for each.
func (p *plot) curve(rep Report, rows []Row, name, colour, dash string, value func(Row) float64) {
	fmt.Fprintf(&p.b, "<polyline fill=\"none\" stroke=\"%s\" stroke-dasharray=\"%s\" points=\"", colour, dash)
	for _, row := range rows {
		if x := rep.movePercent(row); x > 0 {
			fmt.Fprintf(&p.b, "%.1f,%.1f ", p.x(x), p.y(excessPercent(value(row))))
		}
	}
	p.b.WriteString("\"/>\n")
	for _, row := range rows {
		if x := rep.movePercent(row); x > 0 {
			fmt.Fprintf(&p.b, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"%d\" fill=\"%s\"><title>%s</title></circle>\n",
				p.x(x), p.y(excessPercent(value(row))), markRadius, colour, row.Name)
		}
	}
	p.addLegendEntry(name, colour, dash)
}

// horizontalLine draws a skew that does not depend on the time spent moving. A skew of
// 1 can't be drawn on the logarithmic axis and appears only in the legend.
func (p *plot) horizontalLine(name, colour, dash string, skew float64) {
	if y := p.y(excessPercent(skew)); skew > 1 {
		p.line(plotLeft, y, plotWidth-plotRight, y, colour, dash)
	}
	p.addLegendEntry(fmt.Sprintf("%s, %.2f%%", name, excessPercent(skew)), colour, dash)
}

// addLegendEntry adds an entry to the legend.
func (p *plot) addLegendEntry(name, colour, dash string) {
	const left, length, lineHeight = plotWidth - plotRight + 10, 20, 20
	y := float64(plotTop + 10 + lineHeight*p.legendEntries)
	p.legendEntries++
	p.line(left, y-4, left+length, y-4, colour, dash)
	p.text(left+length+5, y, "start", name)
}
