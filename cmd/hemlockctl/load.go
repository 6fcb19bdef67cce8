package main

import (
	"errors"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/load"
)

// loadCommand returns the load command, which generates load on a deployment.
func loadCommand(o *options) *cobra.Command {
	l := load.Options{}
	cmd := &cobra.Command{
		Use:   "load --key ORGANISATION=KEY",
		Short: "Run agent programs at a given rate and report latencies and refusals",
		Long: "load starts programs at random (Poisson) times and reports latency percentiles, the worst-served organisation " +
			"and refusals by kind. It exits with status 1 if a call failed after all retries.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := load.Run(cmd.Context(), l)
			if err != nil {
				return usageError{err}
			}
			if o.output == "json" {
				err = printJSON(cmd.OutOrStdout(), report)
			} else {
				err = report.Print(cmd.OutOrStdout())
			}
			if err == nil && len(report.UnexplainedErrors) > 0 {
				err = errors.New("some calls failed after all retries")
			}
			return err
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&l.Entries, "entries", strings.Split("127.0.0.1:8201,127.0.0.1:8202,127.0.0.1:8203", ","), "HTTP addresses of entries, separated by commas")
	f.StringToStringVar(&l.Keys, "key", nil, "organisation=key; repeat the flag for each organisation")
	f.StringVar(&l.Model, "model", "pickup-chat", "model that each call requests")
	f.Float64Var(&l.ProgramsPerSecond, "rate", 20, "mean number of programs started per second")
	f.DurationVar(&l.Duration, "duration", 30*time.Second, "time during which new programs are started")
	f.Float64Var(&l.Calls, "calls", 4, "mean number of calls per program")
	f.DurationVar(&l.Pause, "pause", 200*time.Millisecond, "mean pause between two calls of a program, such as the time of a tool call")
	f.IntVar(&l.PromptBytes, "prompt-bytes", 0, "approximate length of each program's system message in bytes")
	f.Int64Var(&l.MaxTokens, "max-tokens", 16, "max_tokens of each call")
	f.BoolVar(&l.Verify, "verify", true, "compare each completion with the one that the emulated engine generates")
	f.StringSliceVar(&l.Direct, "direct", nil, "addresses of engines to call directly instead of the entries, for comparison")
	f.Uint64Var(&l.Seed, "seed", 1, "seed of the arrival times and of the programs")
	return cmd
}
