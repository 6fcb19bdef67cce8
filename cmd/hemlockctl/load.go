package main

import (
	"errors"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/load"
)

func loadCommand(o *options) *cobra.Command {
	l := load.Options{}
	cmd := &cobra.Command{
		Use:   "load --key ORGANISATION=KEY",
		Short: "Drive agent programs at a rate and report what callers experience",
		Long: "load starts programs at random (Poisson) times and reports latency percentiles, the worst-served organisation " +
			"and refusals by kind. It exits with status 1 when an error stays unexplained.",
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
				err = errors.New("some calls got no answer")
			}
			return err
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&l.Entries, "entries", strings.Split("127.0.0.1:8201,127.0.0.1:8202,127.0.0.1:8203", ","), "HTTP addresses of entries")
	f.StringToStringVar(&l.Keys, "key", nil, "organisation=key, repeated for each organisation")
	f.StringVar(&l.Model, "model", "pickup-chat", "model to request")
	f.Float64Var(&l.ProgramsPerSecond, "rate", 20, "programs started per second")
	f.DurationVar(&l.Duration, "duration", 30*time.Second, "how long programs are started")
	f.Float64Var(&l.Calls, "calls", 4, "mean number of calls of a program")
	f.DurationVar(&l.Pause, "pause", 200*time.Millisecond, "mean tool pause between two calls")
	f.IntVar(&l.PromptBytes, "prompt-bytes", 0, "length of each program's system message")
	f.Int64Var(&l.MaxTokens, "max-tokens", 16, "length of each answer")
	f.BoolVar(&l.Verify, "verify", true, "compare each answer with the emulated engine's")
	f.StringSliceVar(&l.Direct, "direct", nil, "addresses of engines to call instead of the entries")
	f.Uint64Var(&l.Seed, "seed", 1, "seed of the arrivals")
	return cmd
}
