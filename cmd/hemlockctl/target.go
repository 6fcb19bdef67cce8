package main

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"hemlockvale.dev/coord/target"
	"hemlockvale.dev/server/client"
)

// defaultEntry is the HTTP address of the first entry that scripts/fleet.sh starts.
const defaultEntry = "127.0.0.1:8201"

// targetCommand returns the target command, which lists and drains targets and sends
// them orders.
func targetCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "target", Short: "List and drain targets and send them orders"}
	parent.AddCommand(o.targetListCommand(), o.drainCommand("target", "Stop sending new work to a target"), o.targetOrderCommand())
	return parent
}

// entryClient returns a client for the operators' API of one entry.
func (o *options) entryClient(entry string) (*client.Admin, error) {
	admin, err := o.admin()
	if err != nil {
		return nil, err
	}
	admin.Addresses = []string{entry}
	return admin, nil
}

// entryFlag adds the --entry flag to cmd.
func entryFlag(cmd *cobra.Command, entry *string) {
	cmd.Flags().StringVar(entry, "entry", defaultEntry, "HTTP address of the entry that handles the request")
}

// targetListCommand returns the command that lists the targets of one entry.
func (o *options) targetListCommand() *cobra.Command {
	var entry string
	cmd := &cobra.Command{
		Use: "list", Short: "List the targets that one entry knows", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			admin, err := o.entryClient(entry)
			if err != nil {
				return err
			}
			var raw json.RawMessage
			if err := admin.Do(cmd.Context(), client.Request{Method: http.MethodGet, Path: "/v1/targets"}, &raw); err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), raw, "targets", []column{
				{"ID", "id"}, {"KIND", "kind"}, {"SERVICE", "service"}, {"ADDRESS", "address"}, {"DATA CENTRE", "data_centre"},
				{"RUNNING", "load.running"}, {"WAITING", "load.waiting"}, {"USABLE", "usable"}, {"LEAVING", "leaving"}, {"DRAINED", "drained"}, {"SUSPECT", "suspect"},
			})
		},
	}
	entryFlag(cmd, &entry)
	return cmd
}

// targetOrderCommand returns the command that sends an order to a target.
func (o *options) targetOrderCommand() *cobra.Command {
	var entry string
	var order target.Order
	cmd := &cobra.Command{
		Use:   "order ID KIND",
		Short: "Order a target to load a model, adapter or version, change its role, or keep, release or move the cache of a program",
		Long:  "KIND is load_model, unload_model, load_adapter, set_version, set_role, keep, release, export or import.",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			admin, err := o.entryClient(entry)
			if err != nil {
				return err
			}
			order.Kind = args[1]
			if order.ID == "" {
				order.ID = uuid.NewString()
			}
			var raw json.RawMessage
			path := "/v1/targets/" + url.PathEscape(args[0]) + "/orders"
			if err := admin.Do(cmd.Context(), client.Request{Method: http.MethodPost, Path: path, Body: order}, &raw); err != nil {
				return err
			}
			return printJSON(cmd.OutOrStdout(), raw)
		},
	}
	f := cmd.Flags()
	f.StringVar(&order.ID, "id", "", "order id; use the same id to retry an order (default: a new UUID)")
	f.StringVar(&order.Model, "model", "", "model of a load_model or unload_model order")
	f.StringVar(&order.Program, "program", "", "program of a keep, release, export or import order, as organisation/id")
	f.StringVar(&order.Argument, "argument", "", "adapter, version, role or peer address, depending on KIND")
	entryFlag(cmd, &entry)
	return cmd
}
