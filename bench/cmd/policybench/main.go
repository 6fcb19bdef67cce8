// Command policybench compares the placement policy with simple baselines in
// virtual time and checks the committed bounds.
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

// errBounds means that the run worked and a bound is not met.
var errBounds = errors.New("bounds not met")

type flags struct {
	seed   uint64
	seeds  int
	short  bool
	output string
	plots  string
	// latency and fairness replace the deployments' weights unless both are zero.
	latency, fairness float64
}

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var f flags
	c := &cobra.Command{
		Use:          "policybench",
		Short:        "Compare the placement policy with baselines in virtual time",
		Long:         "Compare the placement policy with baselines in virtual time.\nTuning uses seeds 1 to 5, the check of the bounds 101 to 105.",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(c *cobra.Command, _ []string) error { return f.run(c.OutOrStdout(), c.ErrOrStderr()) },
	}
	c.Flags().Uint64Var(&f.seed, "seed", 0, "first seed (default: SEED in the environment, or the check seeds)")
	c.Flags().IntVar(&f.seeds, "seeds", experiment.SeedCount, "number of consecutive seeds")
	c.Flags().BoolVar(&f.short, "short", false, "run only what the bounds need")
	c.Flags().StringVar(&f.output, "output", "table", "table or json")
	c.Flags().Float64Var(&f.latency, "latency", 0, "weight of program latency in all profiles (with --fairness)")
	c.Flags().Float64Var(&f.fairness, "fairness", 0, "weight of the organisations' shares in all profiles (with --latency)")
	c.Flags().StringVar(&f.plots, "plots", "", "directory for SVG plots (none if empty)")
	return c
}

func (f flags) run(out, log io.Writer) error {
	first, err := f.first()
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
	if err := f.print(out, report); err != nil {
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
		return fmt.Errorf("%d of %d: %w", len(failed), len(report.Checks), errBounds)
	}
	return nil
}

func (f flags) print(out io.Writer, report experiment.Report) error {
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

func (f flags) first() (uint64, error) {
	if f.seed != 0 {
		return f.seed, nil
	}
	text := os.Getenv("SEED")
	if text == "" {
		return experiment.FirstCheckSeed, nil
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("SEED=%q: %w", text, err)
	}
	return seed, nil
}
