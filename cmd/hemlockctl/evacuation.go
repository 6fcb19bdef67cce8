package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/registry"
)

// evacuationCommand returns the evacuation command, which shows the evacuated data centres.
func evacuationCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "evacuation", Short: "Show evacuated data centres"}
	parent.AddCommand(o.listEvacuationsCommand())
	return parent
}

func (o *options) listEvacuationsCommand() *cobra.Command {
	var controlVMs []string
	cmd := &cobra.Command{
		Use: "list", Short: "List the data centres whose targets get no requests", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(controlVMs) == 0 {
				return usageError{errors.New("no control VM: use --control-rpc")}
			}
			var response registry.EvacuationsResponse
			if err := askLeader(cmd.Context(), controlVMs, registry.MethodEvacuations, struct{}{}, &response); err != nil {
				return err
			}
			return o.printEvacuations(cmd.OutOrStdout(), response)
		},
	}
	cmd.Flags().StringSliceVar(&controlVMs, "control-rpc", nil, "RPC addresses of control VMs, separated by commas")
	return cmd
}

// printEvacuations writes the evacuated data centres in the format that --output selects.
func (o *options) printEvacuations(out io.Writer, r registry.EvacuationsResponse) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if o.output == "table" {
		if len(r.Behind) > 0 {
			fmt.Fprintln(out, "VMs that do not know the latest order yet:", strings.Join(r.Behind, ", "))
		}
		fmt.Fprintln(out, "targets of other data centres that accept requests:", r.OtherTargets)
	}
	return o.print(out, raw, "evacuations", []column{{"DATA CENTRE", "data_centre"}, {"REVISION", "revision"}, {"TARGETS", "targets"}})
}
