package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/settings"
)

// checkCommand returns the check command, which validates a settings file for the run
// command.
func checkCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "check --settings FILE",
		Short: "Check a settings file and report all errors in it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := loadSettings(cmd, file)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: valid, %s %s in %s\n", file, s.VM.Role, s.VM.ID, s.VM.DataCentre)
			return nil
		},
	}
	settingsFlag(cmd, &file)
	return cmd
}

// settingsFlag adds the required --settings flag to cmd.
func settingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "settings", "", "settings file (JSON)")
	// MarkFlagRequired fails only if the flag is not defined.
	_ = cmd.MarkFlagRequired("settings")
}

// loadSettings loads a settings file and prints all findings, so that all errors in
// the file can be fixed at once.
func loadSettings(cmd *cobra.Command, file string) (settings.Settings, error) {
	s, findings := settings.Load(file)
	for _, finding := range findings {
		fmt.Fprintln(cmd.ErrOrStderr(), finding)
	}
	if len(findings) > 0 {
		return s, errInvalidSettings
	}
	return s, nil
}
