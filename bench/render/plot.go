package render

import (
	"fmt"
	"image/color"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"hemlockvale.dev/bench/experiment"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// barWidth is the line width of the spread over the seeds.
	barWidth = vg.Length(0.5)
)

type chart struct {
	file, title, axis string
	figure            func(experiment.Summary) float64
}

var charts = []chart{
	{"latency", "program latency, 95th percentile", "seconds", func(s experiment.Summary) float64 { return s.P95 }},
	{"worst", "worst-served organisation, 95th percentile", "x latency without queueing", func(s experiment.Summary) float64 { return s.WorstP95 }},
}

// Plots writes one SVG file per deployment and chart into the directory and
// returns their paths.
func Plots(directory string, r experiment.Report) ([]string, error) {
	var paths []string
	for _, rate := range r.Rates {
		for _, c := range charts {
			path := filepath.Join(directory, fmt.Sprintf("policy-%s-%s.svg", rate.Deployment, c.file))
			if err := draw(path, rate.Deployment, c, r); err != nil {
				return paths, fmt.Errorf("plot %s: %w", path, err)
			}
			paths = append(paths, path)
		}
	}
	return paths, nil
}

func draw(path, deployment string, c chart, r experiment.Report) error {
	p := plot.New()
	p.Title.Text = deployment + ": " + c.title
	p.X.Label.Text = "load, % of the rate at which prefix affinity reaches 3 x idle"
	p.Y.Label.Text = c.axis
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, name := range experiment.Names {
		s := collect(deployment, name, c, r)
		if len(s.XYs) == 0 {
			continue
		}
		if err := s.add(p, string(name), plotutil.Color(i)); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

// series is one curve with its spread over the seeds.
type series struct {
	plotter.XYs
	plotter.YErrors
}

func collect(deployment string, name experiment.Name, c chart, r experiment.Report) series {
	var s series
	for _, row := range r.Rows {
		if row.Deployment != deployment || row.Decider != name {
			continue
		}
		v := row.Over(c.figure)
		s.XYs = append(s.XYs, plotter.XY{X: row.Load * 100, Y: v.Median})
		s.YErrors = append(s.YErrors, struct{ Low, High float64 }{v.Median - v.Min, v.Max - v.Median})
	}
	return s
}

func (s series) add(p *plot.Plot, name string, c color.Color) error {
	line, points, err := plotter.NewLinePoints(s.XYs)
	if err != nil {
		return err
	}
	bars, err := plotter.NewYErrorBars(s)
	if err != nil {
		return err
	}
	line.Color, points.Color, bars.Color, bars.Width = c, c, c, barWidth
	p.Add(line, points, bars)
	p.Legend.Add(name, line, points)
	return nil
}
