package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/quorum"
)

// recoverCommand returns the recover-quorum command, which makes a stopped control
// VM the only voter of its log. It is the last resort after the disks of a majority
// of the control VMs are lost.
func recoverCommand() *cobra.Command {
	var file string
	var confirmed bool
	cmd := &cobra.Command{
		Use:   "recover-quorum --settings FILE --i-have-lost-the-majority",
		Short: "Make a stopped control VM the only voter after a majority of the disks is lost",
		Long: "recover-quorum makes the control VM of the settings file the only voter of its log. Changes that were stored only " +
			"on the lost disks are lost. Use it only when a majority of the control VMs' disks is permanently lost, on the surviving VM " +
			"with the highest last_index, while it is stopped; never start another former control VM with its old disk again.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := loadSettings(cmd, file)
			if err != nil {
				return err
			}
			if s.VM.Role != "control" {
				return errors.New("the settings file does not configure a control VM")
			}
			if !confirmed {
				return errors.New("--i-have-lost-the-majority is required")
			}
			voter, err := quorum.ForceSingleVoter(s.Control.DataDir, s.VM.ID, s.VM.RPCAddress)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s (storage %s) is the only voter; start it, then add the others\n", voter.Name, voter.Storage)
			return nil
		},
	}
	settingsFlag(cmd, &file)
	cmd.Flags().BoolVar(&confirmed, "i-have-lost-the-majority", false, "confirm that the lost disks cannot be recovered")
	return cmd
}
