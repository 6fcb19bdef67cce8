package main

import (
	"os"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/daemon"
	"hemlockvale.dev/server/logging"
)

// runCommand returns the run command, which runs one VM in the role that its
// settings file names.
func runCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "run --settings FILE",
		Short: "Run one VM in the role that its settings file names",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := loadSettings(cmd, file)
			if err != nil {
				return err
			}
			log, err := logging.New(os.Stderr, s.Log.Level, s.VM.ID)
			if err != nil {
				return err
			}
			return daemon.Run(cmd.Context(), s, log)
		},
	}
	settingsFlag(cmd, &file)
	return cmd
}
