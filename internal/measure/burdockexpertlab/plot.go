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
	low, high float64 // decades
}

func newAxis() axis { return axis{low: math.Inf(1), high: math.Inf(-1)} }

// cover widens the axis to take in a value; only values above 0 have a place.
func (a *axis) cover(v float64) {
	if v > 0 {
		a.low = min(a.low, math.Floor(math.Log10(v)))
		a.high = max(a.high, math.Ceil(math.Log10(v)), a.low+1)
	}
}

// part returns how far along the axis a value lies, from 0 to 1.
func (a *axis) part(v float64) float64 { return (math.Log10(v) - a.low) / (a.high - a.low) }

// plot draws the excess of skew over 1 against the part of the run spent
// moving, both in percent.
type plot struct {
	b            bytes.Buffer
	moving, skew axis
	legend       int
}

// Plot returns the sweep's two measures against each other as SVG. Both axes
// are logarithmic: timers, planner and never are decades apart.
func (rep Report) Plot() []byte {
	p := &plot{moving: newAxis(), skew: newAxis()}
	never := rep.never()
	for _, row := range append(append([]Row{never, rep.Bound}, rep.WeightSweep...), rep.TimerSweep...) {
		p.moving.cover(rep.moving(row))
		p.skew.cover(excess(row.SkewP50))
		p.skew.cover(excess(row.SkewP99))
	}
	// A run in which nothing moved still gets axes.
	p.moving.cover(1)
	p.skew.cover(1)
	p.frame(rep)
	p.curve(rep, rep.WeightSweep, "planner, weights: p50", "#1f5fa8", "", median)
	p.curve(rep, rep.WeightSweep, "planner: p99", "#1f5fa8", "6 4", tail)
	p.curve(rep, rep.TimerSweep, "afresh, timers: p50", "#b5531c", "", median)
	p.curve(rep, rep.TimerSweep, "afresh, timers: p99", "#b5531c", "6 4", tail)
	p.level("never: p50", "#777777", "", never.SkewP50)
	p.level("never: p99", "#777777", "6 4", never.SkewP99)
	p.level("bound: p50", "#2d7d32", "", rep.Bound.SkewP50)
	p.b.WriteString("</svg>\n")
	return p.b.Bytes()
}

// excess returns by how many percent a skew is above 1.
func excess(skew float64) float64 {
	const percent = 100
	return percent * (skew - 1)
}

func median(row Row) float64 { return row.SkewP50 }
func tail(row Row) float64   { return row.SkewP99 }

// moving returns the part of the run spent moving, in percent.
func (rep Report) moving(row Row) float64 {
	const percent = 100
	return percent * float64(row.MoveTime) / (float64(rep.Config.Window) * float64(rep.Config.Steps))
}

// never returns the row of the policy that keeps the first map.
func (rep Report) never() Row { return rep.Policies[neverRow] }

func (p *plot) x(moving float64) float64 {
	return plotLeft + p.moving.part(moving)*(plotWidth-plotLeft-plotRight)
}

func (p *plot) y(excess float64) float64 {
	return plotHeight - plotBottom - p.skew.part(excess)*(plotHeight-plotTop-plotBottom)
}

func (p *plot) text(x, y float64, anchor, s string) {
	fmt.Fprintf(&p.b, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y, anchor, s)
}

func (p *plot) line(x1, y1, x2, y2 float64, colour, dash string) {
	fmt.Fprintf(&p.b, "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\" stroke-dasharray=\"%s\"/>\n",
		x1, y1, x2, y2, colour, dash)
}

func (p *plot) frame(rep Report) {
	const grid = "#dddddd"
	cfg := rep.Config
	fmt.Fprintf(&p.b, "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" font-family=\"sans-serif\" font-size=\"12\">\n", plotWidth, plotHeight)
	fmt.Fprintf(&p.b, "<rect width=\"%d\" height=\"%d\" fill=\"white\"/>\n", plotWidth, plotHeight)
	p.text(plotLeft, plotTop/2, "start", fmt.Sprintf("Step-time skew against time spent moving: drift %s, seed %d, %d ranks, %d experts, %d layers",
		cfg.Drift, cfg.Seed, cfg.Ranks, cfg.Experts, cfg.Layers))
	bottom := float64(plotHeight - plotBottom)
	for decade := p.moving.low; decade <= p.moving.high; decade++ {
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

// curve joins the rows that moved anything, and marks each.
func (p *plot) curve(rep Report, rows []Row, name, colour, dash string, value func(Row) float64) {
	fmt.Fprintf(&p.b, "<polyline fill=\"none\" stroke=\"%s\" stroke-dasharray=\"%s\" points=\"", colour, dash)
	for _, row := range rows {
		if x := rep.moving(row); x > 0 {
			fmt.Fprintf(&p.b, "%.1f,%.1f ", p.x(x), p.y(excess(value(row))))
		}
	}
	p.b.WriteString("\"/>\n")
	for _, row := range rows {
		if x := rep.moving(row); x > 0 {
			fmt.Fprintf(&p.b, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"%d\" fill=\"%s\"><title>%s</title></circle>\n",
				p.x(x), p.y(excess(value(row))), markRadius, colour, row.Name)
		}
	}
	p.entry(name, colour, dash)
}

// level draws what does not depend on the time spent moving. A skew of 1 has no
// place on a logarithmic axis and stands in the legend alone.
func (p *plot) level(name, colour, dash string, skew float64) {
	if y := p.y(excess(skew)); skew > 1 {
		p.line(plotLeft, y, plotWidth-plotRight, y, colour, dash)
	}
	p.entry(fmt.Sprintf("%s, %.2f%%", name, excess(skew)), colour, dash)
}

// entry adds a line to the legend.
func (p *plot) entry(name, colour, dash string) {
	const left, length, lineHeight = plotWidth - plotRight + 10, 20, 20
	y := float64(plotTop + 10 + lineHeight*p.legend)
	p.legend++
	p.line(left, y-4, left+length, y-4, colour, dash)
	p.text(left+length+5, y, "start", name)
}
