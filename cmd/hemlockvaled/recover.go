package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/quorum"
)

// recoverCommand is the last resort after the disks of most control VMs are lost.
func recoverCommand() *cobra.Command {
	var file string
	var confirmed bool
	cmd := &cobra.Command{
		Use:   "recover-quorum --settings FILE --i-have-lost-the-majority",
		Short: "Make a stopped control VM the only voter after most disks are lost",
		Long: "recover-quorum makes the control VM of the settings the only voter of its log. Changes that only the lost " +
			"disks held are gone. Use it only when a majority of the control VMs' disks is lost for good, on the surviving VM " +
			"with the highest last_index, while it is stopped; never let another old control VM start again with its old disk.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := loadSettings(cmd, file)
			if err != nil {
				return err
			}
			if s.VM.Role != "control" {
				return errors.New("the settings are not those of a control VM")
			}
			if !confirmed {
				return errors.New("refused without --i-have-lost-the-majority")
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
	cmd.Flags().BoolVar(&confirmed, "i-have-lost-the-majority", false, "confirm that the lost disks will not come back")
	return cmd
}
