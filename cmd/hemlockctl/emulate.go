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

func emulateCommand() *cobra.Command {
	parent := &cobra.Command{Use: "emulate", Short: "Run a stand-in target"}
	parent.AddCommand(emulateEngineCommand(), emulateServiceCommand())
	return parent
}

// emulated is a stand-in target that runs until its context ends.
type emulated interface {
	Run(ctx context.Context) error
}

func emulateEngineCommand() *cobra.Command {
	e := emulator.EngineOptions{}
	cmd := &cobra.Command{
		Use: "engine", Short: "Run a stand-in model engine", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runEmulated(cmd, e.ID, func(log *logrus.Entry) (emulated, error) {
				e.Log = log
				return emulator.NewEngine(e)
			})
		},
	}
	f := cmd.Flags()
	targetFlags(cmd, &e.ID, &e.Service, &e.Address, &e.DataCentre, &e.Entries, "agent-llm")
	f.StringSliceVar(&e.Models, "models", []string{"pickup-chat"}, "models that are loaded at the start")
	f.StringVar(&e.Fencing, "fencing", "enforced", "what it does with an old fencing number: enforced (refuses it) or ignored")
	f.Float64Var(&e.TokensPerSecond, "tokens-per-second", 20_000, "prefill speed")
	f.DurationVar(&e.DecodeInterval, "decode-interval", 5*time.Millisecond, "time for each token of an answer")
	f.IntVar(&e.MaxBatch, "max-batch", 32, "requests that run at once")
	f.Int64Var(&e.KVCapacity, "kv-capacity", 400_000, "prefix cache in tokens")
	f.DurationVar(&e.LoadLag, "load-lag", 200*time.Millisecond, "age of the load in announcements")
	f.Float64Var(&e.CacheEventLoss, "cache-event-loss", 0.01, "probability that a cache event is lost")
	f.StringVar(&e.CrashOn, "crash-on", "", "end the process abruptly on a request that contains this text")
	return cmd
}

func emulateServiceCommand() *cobra.Command {
	s := emulator.ServiceOptions{}
	cmd := &cobra.Command{
		Use: "service", Short: "Run a stand-in plain service", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runEmulated(cmd, s.ID, func(log *logrus.Entry) (emulated, error) {
				s.Log = log
				return emulator.NewService(s)
			})
		},
	}
	targetFlags(cmd, &s.ID, &s.Service, &s.Address, &s.DataCentre, &s.Entries, "exchange-app")
	cmd.Flags().DurationVar(&s.Delay, "delay", 0, "time that each request takes")
	cmd.Flags().StringVar(&s.HangOn, "hang-on", "", "never answer a request that contains this text")
	return cmd
}

func targetFlags(cmd *cobra.Command, id, service, address, dataCentre *string, entries *[]string, defaultService string) {
	f := cmd.Flags()
	f.StringVar(id, "id", "", "the target's id")
	f.StringVar(service, "service", defaultService, "the service that it belongs to")
	f.StringVar(address, "listen", "127.0.0.1:0", "IP:port to listen on")
	f.StringVar(dataCentre, "data-centre", "valley-east", "where it runs")
	f.StringSliceVar(entries, "entries", []string{"127.0.0.1:8201", "127.0.0.1:8202", "127.0.0.1:8203"}, "HTTP addresses of entries to announce to")
	// The flag exists, so marking it cannot fail.
	_ = cmd.MarkFlagRequired("id")
}

func runEmulated(cmd *cobra.Command, id string, create func(log *logrus.Entry) (emulated, error)) error {
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
