package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/server/ledger"
)

// turnCommand returns the turn command, which looks for the history of a turn.
func turnCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "turn", Short: "Look for the histories of programs"}
	parent.AddCommand(o.locateTurnCommand())
	return parent
}

// locateTurnCommand returns the locate command, which asks the store VMs' leader where the
// copies of a turn lie.
func (o *options) locateTurnCommand() *cobra.Command {
	var stores []string
	var organisation string
	cmd := &cobra.Command{
		Use: "locate REQUEST-ID", Short: "Show which store VMs hold the history up to a turn", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var response ledger.TurnResponse
			if err := askStores(cmd.Context(), stores, ledger.MethodTurn, history.Turn{Organisation: organisation, ID: args[0]}, &response); err != nil {
				return err
			}
			return o.printTurn(cmd.OutOrStdout(), response)
		},
	}
	addStoreFlag(cmd, &stores)
	cmd.Flags().StringVar(&organisation, "organisation", "", "organisation that ran the turn")
	return cmd
}

// printTurn writes the holders of a turn in the format that --output selects.
func (o *options) printTurn(out io.Writer, r ledger.TurnResponse) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if o.output == "table" && !r.Known {
		fmt.Fprintln(out, "no such turn of this organisation is kept")
		return nil
	}
	if o.output == "table" && len(r.Absent) > 0 {
		fmt.Fprintln(out, "storages that did not report recently:", strings.Join(r.Absent, ", "))
	}
	return o.print(out, raw, "holders", []column{{"STORAGE", "storage"}, {"ADDRESS", "address"}, {"DATA CENTRE", "data_centre"}, {"RETIRING", "retiring"}})
}
