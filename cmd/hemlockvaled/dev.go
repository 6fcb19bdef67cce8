package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"hemlockvale.dev/server/dev"
	"hemlockvale.dev/server/logging"
)

// demoTimeout limits the duration of the demo program.
const demoTimeout = time.Minute

// devCommand returns the dev command, which runs a small deployment in one process
// for development.
func devCommand() *cobra.Command {
	var demo bool
	var level string
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a small deployment in one process on loopback, with emulated targets",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := logging.New(os.Stderr, level, "dev")
			if err != nil {
				return err
			}
			return runDev(cmd, log.Logger, demo)
		},
	}
	cmd.Flags().BoolVar(&demo, "demo", false, "run one program with three calls, then stop")
	cmd.Flags().StringVar(&level, "log-level", "warning", "lowest severity that is logged")
	return cmd
}

// runDev starts the deployment, prints its addresses and credentials, and stops it
// when the command is cancelled or, with demo set, after the demo program.
func runDev(cmd *cobra.Command, log *logrus.Logger, demo bool) error {
	ctx := cmd.Context()
	d, err := dev.Start(ctx, log)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "control: %s\nentries: %v\nadmin token: %s\nkey of %s: %s\n", d.ControlAddress, d.EntryAddresses, d.AdminToken, dev.Organisation, d.Key)
	if !demo {
		<-ctx.Done()
		return d.Stop()
	}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := dev.Demo(ctx, d, out); err != nil {
		return fmt.Errorf("run the demo program: %w", err)
	}
	return d.Stop()
}
