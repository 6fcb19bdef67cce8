package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/settings"
)

func checkCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "check --settings FILE",
		Short: "Report all faults of a settings file",
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

func settingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "settings", "", "settings file (JSON)")
	// The flag exists, so marking it cannot fail.
	_ = cmd.MarkFlagRequired("settings")
}

// loadSettings prints every finding, so that a file is mended in one go.
func loadSettings(cmd *cobra.Command, file string) (settings.Settings, error) {
	s, findings := settings.Load(file)
	for _, finding := range findings {
		fmt.Fprintln(cmd.ErrOrStderr(), finding)
	}
	if len(findings) > 0 {
		return s, errFindings
	}
	return s, nil
}
