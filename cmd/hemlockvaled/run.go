package main

import (
	"os"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/daemon"
	"hemlockvale.dev/server/logging"
)

func runCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "run --settings FILE",
		Short: "Run the role that the settings name",
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
