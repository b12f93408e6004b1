package main

import (
	"image/color"
	"math"
	"os"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth   = 7 * vg.Inch
	legendWidth = 5 * vg.Inch
	plotHeight  = 6 * vg.Inch
	margin      = 0.2 * vg.Inch
)

// drawGroup writes a plot of all series of a group as an SVG file. Both axes are logarithmic and relative to the smallest size:
// series of different units fit into one plot, and the slope of a line shows the growth. Dashed lines are references for
// constant, linear and quadratic growth.
func drawGroup(file, title string, group []*series) error {
	p := plot.New()
	legend := plot.NewLegend()
	legend.Top, legend.Left = true, true
	p.Title.Text = title
	p.X.Label.Text = "size, relative to the smallest"
	p.Y.Label.Text = "quantity, relative to that at the smallest size"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	largest := 1.0
	for i, s := range group {
		if s.size == fixedSize {
			continue
		}
		line, points, err := plotter.NewLinePoints(relative(s))
		if err != nil {
			return errors.Wrapf(err, "plot %s", s.name)
		}
		line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, points)
		legend.Add(s.name+" ("+s.shape()+")", line, points)
		largest = math.Max(largest, s.points[len(s.points)-1].x/s.points[0].x)
	}
	for power := range 3 {
		reference := plotter.XYs{{X: 1, Y: 1}, {X: largest, Y: math.Pow(largest, float64(power))}}
		line, err := plotter.NewLine(reference)
		if err != nil {
			return errors.Wrap(err, "plot reference")
		}
		line.Color = color.Gray{Y: 160}
		line.Dashes = plotutil.Dashes(1)
		p.Add(line)
	}
	return save(file, p, legend)
}

// save writes the plot with its legend at the right of it, because a legend inside would hide most of the plot.
func save(file string, p *plot.Plot, legend plot.Legend) error {
	canvas := vgsvg.New(plotWidth+legendWidth, plotHeight)
	whole := draw.New(canvas)
	p.Draw(draw.Crop(whole, 0, -legendWidth, 0, 0))
	legend.Draw(draw.Crop(whole, plotWidth+margin, 0, margin, -margin))
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "create plot")
	}
	_, err = canvas.WriteTo(f)
	return errors.Wrap(errors.CombineErrors(err, f.Close()), "write plot")
}

func relative(s *series) plotter.XYs {
	first := s.points[0]
	var xys plotter.XYs
	for _, q := range s.points {
		xys = append(xys, plotter.XY{X: q.x / first.x, Y: math.Max(q.y, 1e-9) / math.Max(first.y, 1e-9)})
	}
	return xys
}
