package load

import (
	"image/color"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// barWidth is the width of a bar in points.
	barWidth = 14
)

// barFigures are the figures that are shown as bar plots.
var barFigures = []string{"stall s", "preemptions", "gap p99 ms", "first p95 ms", "short wait p99 ms", "goodput / capacity"}

// writePlots writes the plots of a comparison into a directory and returns their
// file names.
func writePlots(dir string, c *Comparison) ([]string, error) {
	var names []string
	for _, figure := range barFigures {
		name := strings.NewReplacer(" ", "-", "/", "per").Replace(figure) + ".svg"
		if err := barPlot(filepath.Join(dir, name), figure, c); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	const tokensFile = "tokens-by-second.svg"
	if err := tokensPlot(filepath.Join(dir, tokensFile), c); err != nil {
		return nil, err
	}
	return append(names, tokensFile), nil
}

func barPlot(path, figure string, c *Comparison) error {
	p := plot.New()
	p.Title.Text = c.Deployment + ", " + c.Scenario + ": " + figure
	p.Y.Min = 0
	values := make(plotter.Values, len(c.Summaries))
	labels := make([]string, len(c.Summaries))
	for i, s := range c.Summaries {
		values[i] = s.Figures[figure].Median
		labels[i] = s.Label
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	bars.Color = color.RGBA{R: 70, G: 110, B: 160, A: 255}
	p.Add(bars)
	p.NominalX(labels...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}

// tokensPlot plots the tokens that callers received in each second of the runs with
// the first seed.
func tokensPlot(path string, c *Comparison) error {
	p := plot.New()
	p.Title.Text = c.Deployment + ", " + c.Scenario + ": tokens delivered by second"
	p.Y.Min = 0
	for i, r := range c.Runs[:len(c.Summaries)] {
		points := make(plotter.XYs, len(r.Figures.TokensBySecond))
		for s, n := range r.Figures.TokensBySecond {
			points[s] = plotter.XY{X: float64(s), Y: float64(n)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Label, line)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}
