// Command policybench compares the placement policy with baselines in virtual time and
// checks the committed bounds.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/spf13/cobra"

	"hemlockvale.dev/bench/experiment"
	"hemlockvale.dev/bench/render"
	"hemlockvale.dev/coord/placement"
)

// errBoundsNotMet is returned when the benchmark has run and at least one bound is not met.
var errBoundsNotMet = errors.New("bounds not met")

// flags holds the values of the command-line flags.
type flags struct {
	seed   uint64
	seeds  int
	short  bool
	output string
	plots  string
	// latency and fairness replace the weights of all deployments unless both are 0.
	latency, fairness float64
}

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

// command returns the root command.
func command() *cobra.Command {
	var f flags
	c := &cobra.Command{
		Use:          "policybench",
		Short:        "Compare the placement policy with baselines in virtual time",
		Long:         "Compare the placement policy with baselines in virtual time.\nSeeds 1 to 5 are for tuning, seeds 101 to 105 for checking the bounds.",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(c *cobra.Command, _ []string) error { return f.run(c.OutOrStdout(), c.ErrOrStderr()) },
	}
	c.Flags().Uint64Var(&f.seed, "seed", 0, "first seed (default: the environment variable SEED, else the first check seed)")
	c.Flags().IntVar(&f.seeds, "seeds", experiment.SeedCount, "number of consecutive seeds")
	c.Flags().BoolVar(&f.short, "short", false, "run only the simulations that the bounds need")
	c.Flags().StringVar(&f.output, "output", "table", "output format: table or json")
	c.Flags().Float64Var(&f.latency, "latency", 0, "weight of program latency in all profiles (with --fairness)")
	c.Flags().Float64Var(&f.fairness, "fairness", 0, "weight of the organisations' shares in all profiles (with --latency)")
	c.Flags().StringVar(&f.plots, "plots", "", "directory for SVG plots (none if empty)")
	return c
}

// run executes the benchmark, prints the report to out and progress lines to log.
func (f flags) run(out, log io.Writer) error {
	first, err := f.firstSeed()
	if err != nil {
		return err
	}
	seeds := experiment.Seeds(first, f.seeds)
	options := experiment.Full(seeds)
	if f.short {
		options = experiment.Short(seeds)
	}
	if f.latency+f.fairness > 0 {
		for i := range options.Deployments {
			options.Deployments[i].Weights = placement.Weights{Latency: f.latency, Fairness: f.fairness}
		}
	}
	options.Progress = log
	report, err := experiment.Run(options)
	if err != nil {
		return err
	}
	if err := f.printReport(out, report); err != nil {
		return err
	}
	if f.plots != "" {
		paths, err := render.Plots(f.plots, report)
		if err != nil {
			return err
		}
		fmt.Fprintf(log, "plots=%q\n", paths)
	}
	if failed := report.Failed(); len(failed) > 0 {
		return fmt.Errorf("%d of %d checks failed: %w", len(failed), len(report.Checks), errBoundsNotMet)
	}
	return nil
}

// printReport prints the report in the selected output format.
func (f flags) printReport(out io.Writer, report experiment.Report) error {
	switch f.output {
	case "table":
		return render.Table(out, report)
	case "json":
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	default:
		return fmt.Errorf("unknown output %q: use table or json", f.output)
	}
}

// firstSeed returns the value of --seed if it is not 0, else the value of the
// environment variable SEED, else the first check seed.
func (f flags) firstSeed() (uint64, error) {
	if f.seed != 0 {
		return f.seed, nil
	}
	value := os.Getenv("SEED")
	if value == "" {
		return experiment.FirstCheckSeed, nil
	}
	seed, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("SEED=%q: %w", value, err)
	}
	return seed, nil
}
