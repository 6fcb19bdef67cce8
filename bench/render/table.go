// Package render prints and plots the results of the placement policy benchmark.
package render

import (
	"fmt"
	"io"
	"text/tabwriter"

	"hemlockvale.dev/bench/experiment"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// Table prints the metrics of all runs, and the measures with their bounds.
func Table(w io.Writer, r experiment.Report) error {
	fmt.Fprintf(w, "seeds %v, %d programs per run; medians over the seeds, [smallest, largest]\n", r.Seeds, r.Programs)
	for _, rate := range r.Rates {
		s := rate.ProgramsPerSecond
		fmt.Fprintf(w, "%s: load 100 %% is %.2f programs/s [%.2f, %.2f]\n", rate.Deployment, s.Median, s.Min, s.Max)
	}
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "\ndeployment\tload\tdecider\tmean s\tp95 s\tx alone\tworst org\tsmall orgs\tlongest s\tgood/s\trecomputed k\trefused\tlimited\tabandoned")
	for _, row := range r.Rows {
		printRow(t, row)
	}
	fmt.Fprintln(t, "\ndeployment\tmeasure\tmedian\tsmallest\tlargest\tbound\tmet")
	for _, c := range r.Checks {
		fmt.Fprintf(t, "%s\t%s\t%.4g\t%.4g\t%.4g\t%s\t%s\n",
			c.Deployment, c.Measure, c.Spread.Median, c.Spread.Min, c.Spread.Max, c.Bound, boundStatus(c))
	}
	return t.Flush()
}

// boundStatus returns the text of the last column for a check.
func boundStatus(c experiment.Check) string {
	switch {
	case c.Bound == "":
		return "-"
	case c.Met:
		return "yes"
	default:
		return "NO"
	}
}

// printRow prints the medians of a row's metrics, and the range of the 95th percentile.
func printRow(w io.Writer, row experiment.Row) {
	median := func(metric func(experiment.Summary) float64) float64 { return row.SpreadOf(metric).Median }
	p95 := row.SpreadOf(func(s experiment.Summary) float64 { return s.P95 })
	fmt.Fprintf(w, "%s\t%.0f %%\t%s\t%.1f\t%.0f [%.0f, %.0f]\t%.2f\t%.2f\t%.2f\t%.0f\t%.2f\t%.0f\t%.5f\t%.4f\t%.0f\n",
		row.Deployment, row.Load*100, row.Decider,
		median(func(s experiment.Summary) float64 { return s.Mean }), p95.Median, p95.Min, p95.Max,
		median(func(s experiment.Summary) float64 { return s.Mean / s.UnloadedMean }),
		median(func(s experiment.Summary) float64 { return s.WorstOrganisationP95Slowdown }),
		median(func(s experiment.Summary) float64 { return s.SmallOrganisationsP95Slowdown }),
		median(func(s experiment.Summary) float64 { return s.LongestMean }),
		median(func(s experiment.Summary) float64 { return s.Goodput }),
		median(func(s experiment.Summary) float64 { return s.RecomputedTokens / 1000 }),
		median(func(s experiment.Summary) float64 { return s.RefusedWithinRate }),
		median(func(s experiment.Summary) float64 { return s.RateLimited }),
		median(func(s experiment.Summary) float64 { return s.Abandoned }),
	)
}
