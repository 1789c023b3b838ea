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

// plot draws skew against the part of the run spent moving.
type plot struct {
	b           bytes.Buffer
	left, right float64 // decades of the horizontal axis
	top         float64 // largest skew; the axis starts at 1
	legend      int
}

// Plot returns the sweep's two measures against each other as SVG. The
// horizontal axis is logarithmic: timers and planner are decades apart.
func (rep Report) Plot() []byte {
	p := &plot{left: math.Inf(1), right: math.Inf(-1), top: rep.Bound.P99}
	never := rep.never()
	for _, row := range append(append([]Row{never}, rep.Sweep...), rep.Timers...) {
		p.top = max(p.top, row.P99)
		if x := rep.moving(row); x > 0 {
			p.left = min(p.left, math.Floor(math.Log10(x)))
			p.right = max(p.right, math.Ceil(math.Log10(x)))
		}
	}
	p.right = max(p.right, p.left+1)
	p.top = 1 + (p.top-1)*1.05
	p.frame(rep)
	p.curve(rep, rep.Sweep, "planner, sweep of weights: p50", "#1f5fa8", "", median)
	p.curve(rep, rep.Sweep, "planner: p99", "#1f5fa8", "6 4", tail)
	p.curve(rep, rep.Timers, "afresh on a timer: p50", "#b5531c", "", median)
	p.curve(rep, rep.Timers, "afresh on a timer: p99", "#b5531c", "6 4", tail)
	p.level("never: p50", "#777777", "", never.P50)
	p.level("never: p99", "#777777", "6 4", never.P99)
	p.level("bound: p50", "#2d7d32", "", rep.Bound.P50)
	p.b.WriteString("</svg>\n")
	return p.b.Bytes()
}

func median(row Row) float64 { return row.P50 }
func tail(row Row) float64   { return row.P99 }

// moving returns the part of the run spent moving, in percent.
func (rep Report) moving(row Row) float64 {
	const percent = 100
	return percent * float64(row.Moving) / (float64(rep.Config.Window) * float64(rep.Config.Steps))
}

// never returns the row of the policy that keeps the first map.
func (rep Report) never() Row { return rep.Policies[neverRow] }

func (p *plot) x(percent float64) float64 {
	part := (math.Log10(percent) - p.left) / (p.right - p.left)
	return plotLeft + part*(plotWidth-plotLeft-plotRight)
}

func (p *plot) y(skew float64) float64 {
	part := (skew - 1) / (p.top - 1)
	return plotHeight - plotBottom - part*(plotHeight-plotTop-plotBottom)
}

func (p *plot) text(x, y float64, anchor, s string) {
	fmt.Fprintf(&p.b, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y, anchor, s)
}

func (p *plot) line(x1, y1, x2, y2 float64, colour, dash string) {
	fmt.Fprintf(&p.b, "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\" stroke-dasharray=\"%s\"/>\n",
		x1, y1, x2, y2, colour, dash)
}

// skewTicks is the number of intervals on the vertical axis.
const skewTicks = 5

func (p *plot) frame(rep Report) {
	const grid = "#dddddd"
	cfg := rep.Config
	fmt.Fprintf(&p.b, "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" font-family=\"sans-serif\" font-size=\"12\">\n", plotWidth, plotHeight)
	fmt.Fprintf(&p.b, "<rect width=\"%d\" height=\"%d\" fill=\"white\"/>\n", plotWidth, plotHeight)
	p.text(plotLeft, plotTop/2, "start", fmt.Sprintf("Step-time skew against time spent moving: drift %s, seed %d, %d ranks, %d experts, %d layers",
		cfg.Drift, cfg.Seed, cfg.Ranks, cfg.Experts, cfg.Layers))
	bottom := p.y(1)
	for decade := p.left; decade <= p.right; decade++ {
		percent := math.Pow(10, decade)
		p.line(p.x(percent), plotTop, p.x(percent), bottom, grid, "")
		p.text(p.x(percent), bottom+18, "middle", fmt.Sprintf("%g", percent))
	}
	for i := range skewTicks + 1 {
		skew := 1 + (p.top-1)*float64(i)/skewTicks
		p.line(plotLeft, p.y(skew), plotWidth-plotRight, p.y(skew), grid, "")
		p.text(plotLeft-8, p.y(skew)+4, "end", fmt.Sprintf("%.3f", skew))
	}
	p.text((plotLeft+plotWidth-plotRight)/2, plotHeight-15, "middle", "time spent moving, % of the run (logarithmic)")
	fmt.Fprintf(&p.b, "<text transform=\"translate(20 %d) rotate(-90)\" text-anchor=\"middle\">step-time skew, largest over mean rank time</text>\n", plotHeight/2)
}

// curve joins the rows that moved anything, and marks each.
func (p *plot) curve(rep Report, rows []Row, name, colour, dash string, value func(Row) float64) {
	fmt.Fprintf(&p.b, "<polyline fill=\"none\" stroke=\"%s\" stroke-dasharray=\"%s\" points=\"", colour, dash)
	for _, row := range rows {
		if x := rep.moving(row); x > 0 {
			fmt.Fprintf(&p.b, "%.1f,%.1f ", p.x(x), p.y(value(row)))
		}
	}
	p.b.WriteString("\"/>\n")
	for _, row := range rows {
		if x := rep.moving(row); x > 0 {
			fmt.Fprintf(&p.b, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"%d\" fill=\"%s\"><title>%s</title></circle>\n",
				p.x(x), p.y(value(row)), markRadius, colour, row.Name)
		}
	}
	p.entry(name, colour, dash)
}

// level draws what does not depend on the time spent moving.
func (p *plot) level(name, colour, dash string, skew float64) {
	p.line(plotLeft, p.y(skew), plotWidth-plotRight, p.y(skew), colour, dash)
	p.entry(fmt.Sprintf("%s, %.3f", name, skew), colour, dash)
}

// entry adds a line to the legend.
func (p *plot) entry(name, colour, dash string) {
	const left, length, lineHeight = plotWidth - plotRight + 10, 20, 20
	y := float64(plotTop + 10 + lineHeight*p.legend)
	p.legend++
	p.line(left, y-4, left+length, y-4, colour, dash)
	p.text(left+length+5, y, "start", name)
}
