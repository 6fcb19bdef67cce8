package main

import (
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/client"
)

// vmCommand returns the vm command, which lists and drains VMs.
func vmCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "vm", Short: "List and drain VMs"}
	parent.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List all VMs", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				return o.list(cmd, "/v1/admin/vms", "vms", []column{
					{"ID", "id"}, {"ROLE", "role"}, {"DATA CENTRE", "data_centre"}, {"HTTP", "http_address"}, {"LIVE", "live"}, {"DRAINING", "draining"}, {"SHARDS OWNED", "owned_shards"}, {"SHARD COPIES", "shard_copies"},
				})
			},
		},
		o.drainCommand("vm", "Move callers and shards away from a VM"),
	)
	return parent
}

// drainCommand returns the drain command for one kind of object, "vm" or "target".
func (o *options) drainCommand(kind, short string) *cobra.Command {
	var operation string
	var undo bool
	cmd := &cobra.Command{
		Use: "drain ID", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.send(cmd.Context(), cmd, client.Request{
				Method: http.MethodPost, Path: "/v1/admin/" + kind + "s/" + url.PathEscape(args[0]) + "/drain",
				Body: map[string]bool{"draining": !undo}, Operation: operationOrNew(operation),
			}, kind+" "+args[0]+" updated")
		},
	}
	if kind == "target" {
		cmd.Flags().BoolVar(&undo, "undo", false, "end the drain, so that the target gets work again")
	}
	operationFlag(cmd, &operation)
	return cmd
}
