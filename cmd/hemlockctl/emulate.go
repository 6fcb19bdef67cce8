package main

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"hemlockvale.dev/server/emulator"
	"hemlockvale.dev/server/logging"
)

// emulateCommand returns the emulate command, whose subcommands run an emulated engine
// or plain service.
func emulateCommand() *cobra.Command {
	parent := &cobra.Command{Use: "emulate", Short: "Run an emulated target"}
	parent.AddCommand(emulateEngineCommand(), emulateServiceCommand())
	return parent
}

// emulatedTarget is an emulated engine or plain service.
type emulatedTarget interface {
	// Run serves requests until ctx is cancelled.
	Run(ctx context.Context) error
}

func emulateEngineCommand() *cobra.Command {
	e := emulator.EngineOptions{}
	cmd := &cobra.Command{
		Use: "engine", Short: "Run an emulated model engine", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runEmulatedTarget(cmd, e.ID, func(log *logrus.Entry) (emulatedTarget, error) {
				e.Log = log
				return emulator.NewEngine(e)
			})
		},
	}
	f := cmd.Flags()
	targetFlags(cmd, &e.ID, &e.Service, &e.Address, &e.DataCentre, &e.Entries, "agent-llm")
	f.StringSliceVar(&e.Models, "models", []string{"pickup-chat"}, "models that are loaded at startup")
	f.StringVar(&e.Fencing, "fencing", "enforced", "handling of orders with a stale fencing number: enforced (refuse them) or ignored (run them)")
	f.Float64Var(&e.TokensPerSecond, "tokens-per-second", 20_000, "prefill speed in tokens per second")
	f.DurationVar(&e.DecodeInterval, "decode-interval", 5*time.Millisecond, "time to generate each token of a completion")
	f.IntVar(&e.MaxBatch, "max-batch", 32, "maximum number of requests that run at once")
	f.Int64Var(&e.KVCapacity, "kv-capacity", 400_000, "capacity of the KV cache in tokens")
	f.DurationVar(&e.LoadLag, "load-lag", 200*time.Millisecond, "age of the load that announcements report")
	f.Float64Var(&e.CacheEventLoss, "cache-event-loss", 0.01, "probability that a cache event is lost")
	f.StringVar(&e.CrashOn, "crash-on", "", "crash on a request that contains this text")
	return cmd
}

func emulateServiceCommand() *cobra.Command {
	s := emulator.ServiceOptions{}
	cmd := &cobra.Command{
		Use: "service", Short: "Run an emulated plain service", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runEmulatedTarget(cmd, s.ID, func(log *logrus.Entry) (emulatedTarget, error) {
				s.Log = log
				return emulator.NewService(s)
			})
		},
	}
	targetFlags(cmd, &s.ID, &s.Service, &s.Address, &s.DataCentre, &s.Entries, "exchange-app")
	cmd.Flags().DurationVar(&s.Delay, "delay", 0, "duration of each request")
	cmd.Flags().StringVar(&s.HangOn, "hang-on", "", "never respond to a request that contains this text")
	return cmd
}

// targetFlags adds the flags that both emulate subcommands share.
func targetFlags(cmd *cobra.Command, id, service, address, dataCentre *string, entries *[]string, defaultService string) {
	f := cmd.Flags()
	f.StringVar(id, "id", "", "id of the target")
	f.StringVar(service, "service", defaultService, "service that the target belongs to")
	f.StringVar(address, "listen", "127.0.0.1:0", "IP:port to listen on")
	f.StringVar(dataCentre, "data-centre", "valley-east", "data centre that the target announces")
	f.StringSliceVar(entries, "entries", []string{"127.0.0.1:8201", "127.0.0.1:8202", "127.0.0.1:8203"}, "HTTP addresses of the entries to announce to, separated by commas")
	// MarkFlagRequired fails only if the flag is not defined.
	_ = cmd.MarkFlagRequired("id")
}

// runEmulatedTarget creates a target that logs to standard error and runs it until the
// command is cancelled.
func runEmulatedTarget(cmd *cobra.Command, id string, create func(log *logrus.Entry) (emulatedTarget, error)) error {
	log, err := logging.New(os.Stderr, "info", id)
	if err != nil {
		return err
	}
	target, err := create(log)
	if err != nil {
		return err
	}
	return target.Run(cmd.Context())
}
