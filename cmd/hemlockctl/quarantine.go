package main

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"hemlockvale.dev/coord/quarantine"
	"hemlockvale.dev/server/ledger"
)

// quarantineCommand returns the quarantine command, which shows and clears the requests that
// have ended targets.
func quarantineCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "quarantine", Short: "Show and clear requests that have ended targets"}
	parent.AddCommand(o.listQuarantineCommand(), clearQuarantineCommand())
	return parent
}

func (o *options) listQuarantineCommand() *cobra.Command {
	var stores []string
	cmd := &cobra.Command{
		Use: "list", Short: "List the requests that have ended targets", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var response ledger.QuarantineResponse
			if err := askStores(cmd.Context(), stores, ledger.MethodQuarantine, struct{}{}, &response); err != nil {
				return err
			}
			raw, err := json.Marshal(response)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), raw, "suspects", []column{
				{"ORGANISATION", "organisation"}, {"FINGERPRINT", "fingerprint_text"}, {"HELD BACK", "held_back"}, {"ENDED TARGETS", "ended"}, {"COMPLETE RUNS", "completions"},
			})
		},
	}
	addStoreFlag(cmd, &stores)
	return cmd
}

// fingerprintBase is the base in which logs and commands write fingerprints.
const fingerprintBase = 16

func clearQuarantineCommand() *cobra.Command {
	var stores []string
	var organisation string
	cmd := &cobra.Command{
		Use: "clear FINGERPRINT", Short: "Let a request run again", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			fingerprint, err := strconv.ParseUint(args[0], fingerprintBase, 64)
			if err != nil {
				return usageError{fmt.Errorf("fingerprint: %w", err)}
			}
			var response struct{}
			return askStores(cmd.Context(), stores, ledger.MethodClearQuarantine, quarantine.Content{Organisation: organisation, Fingerprint: fingerprint}, &response)
		},
	}
	addStoreFlag(cmd, &stores)
	cmd.Flags().StringVar(&organisation, "organisation", "", "organisation that sent the request")
	return cmd
}
