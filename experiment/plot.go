package experiment

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// quantiles are those that a plot shows, in percent.
var quantiles = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 85, 90, 93, 95, 97, 98, 99, 99.5}

// WritePlot draws the response over the ideal of the rows at one load, by
// quantile, into dir as an SVG, and returns the file's name.
func WritePlot(dir string, load float64, rows []Row) (string, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Response time over the ideal, load %.0f%%", 100*load)
	p.X.Label.Text = "quantile of jobs, percent"
	p.Y.Label.Text = "times the ideal"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	for k, r := range rows {
		if r.Load != load {
			continue
		}
		points := make(plotter.XYs, len(quantiles))
		for i, q := range quantiles {
			points[i] = plotter.XY{X: q, Y: max(r.Quantile(q), 1)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(k)
		line.Dashes = plotutil.Dashes(k)
		p.Add(line)
		p.Legend.Add(r.Name, line)
	}
	name := fmt.Sprintf("response-%.0f.svg", 100*load)
	return name, p.Save(plotWidth, plotHeight, filepath.Join(dir, name))
}
