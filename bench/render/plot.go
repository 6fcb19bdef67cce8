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
	// errorBarWidth is the line width of the error bars, which show the range over the
	// seeds.
	errorBarWidth = vg.Length(0.5)
)

// chart is a plot of one metric against the load.
type chart struct {
	fileSuffix, title, yLabel string
	metric                    func(experiment.Summary) float64
}

// charts lists the charts that are drawn for each deployment.
var charts = []chart{
	{"latency", "program latency, 95th percentile", "seconds", func(s experiment.Summary) float64 { return s.P95 }},
	{"worst", "worst-served organisation, 95th percentile", "x latency without queueing", func(s experiment.Summary) float64 { return s.WorstOrganisationP95Slowdown }},
}

// Plots writes one SVG file per deployment and chart to the directory and returns the
// paths of the files.
func Plots(directory string, r experiment.Report) ([]string, error) {
	var paths []string
	for _, rate := range r.Rates {
		for _, c := range charts {
			path := filepath.Join(directory, fmt.Sprintf("policy-%s-%s.svg", rate.Deployment, c.fileSuffix))
			if err := drawChart(path, rate.Deployment, c, r); err != nil {
				return paths, fmt.Errorf("plot %s: %w", path, err)
			}
			paths = append(paths, path)
		}
	}
	return paths, nil
}

// drawChart writes a chart of one deployment to path.
func drawChart(path, deployment string, c chart, r experiment.Report) error {
	p := plot.New()
	p.Title.Text = deployment + ": " + c.title
	p.X.Label.Text = "load, % of the rate at which prefix affinity reaches 3 x idle"
	p.Y.Label.Text = c.yLabel
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, name := range experiment.DeciderNames {
		s := collectSeries(deployment, name, c, r)
		if len(s.XYs) == 0 {
			continue
		}
		if err := s.addTo(p, string(name), plotutil.Color(i)); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

// series is the curve of one decider with its error bars.
type series struct {
	plotter.XYs
	plotter.YErrors
}

// collectSeries returns the curve of one decider from the rows of the report.
func collectSeries(deployment string, name experiment.DeciderName, c chart, r experiment.Report) series {
	var s series
	for _, row := range r.Rows {
		if row.Deployment != deployment || row.Decider != name {
			continue
		}
		v := row.SpreadOf(c.metric)
		s.XYs = append(s.XYs, plotter.XY{X: row.Load * 100, Y: v.Median})
		s.YErrors = append(s.YErrors, struct{ Low, High float64 }{v.Median - v.Min, v.Max - v.Median})
	}
	return s
}

// addTo draws the series and adds it to the legend.
func (s series) addTo(p *plot.Plot, name string, c color.Color) error {
	line, points, err := plotter.NewLinePoints(s.XYs)
	if err != nil {
		return err
	}
	bars, err := plotter.NewYErrorBars(s)
	if err != nil {
		return err
	}
	line.Color, points.Color, bars.Color, bars.Width = c, c, c, errorBarWidth
	p.Add(line, points, bars)
	p.Legend.Add(name, line, points)
	return nil
}
