package main

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/client"
)

// statusCommand returns the status command, which prints the state of the deployment.
func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Print the state of the deployment", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.get(cmd, "/v1/admin/status") },
	}
}

// get requests path from the control VMs and prints the response as JSON.
func (o *options) get(cmd *cobra.Command, path string) error {
	admin, err := o.admin()
	if err != nil {
		return err
	}
	var raw json.RawMessage
	if err := admin.Do(cmd.Context(), client.Request{Method: http.MethodGet, Path: path}, &raw); err != nil {
		return err
	}
	return printJSON(cmd.OutOrStdout(), raw)
}

// quorumCommand returns the quorum command, which lists and changes the voters of the
// replicated log of the control VMs.
func quorumCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "quorum", Short: "Show and change the voters of the control quorum"}
	parent.AddCommand(
		&cobra.Command{
			Use: "describe", Short: "Print the leader, the voters and their log positions", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return o.get(cmd, "/v1/admin/quorum") },
		},
		&cobra.Command{
			Use: "add NAME STORAGE ADDRESS", Short: "Add a voter, given its name, storage UUID and RPC address", Args: cobra.ExactArgs(3),
			RunE: func(cmd *cobra.Command, args []string) error {
				return o.send(cmd.Context(), cmd, client.Request{
					Method: http.MethodPost, Path: "/v1/admin/quorum/voters", Operation: operationOrNew(""),
					Body: map[string]string{"name": args[0], "storage": args[1], "rpc_address": args[2]},
				}, "voter "+args[0]+" added")
			},
		},
		&cobra.Command{
			Use: "remove NAME STORAGE", Short: "Remove a voter, given its name and storage UUID", Args: cobra.ExactArgs(2),
			RunE: func(cmd *cobra.Command, args []string) error {
				return o.send(cmd.Context(), cmd, client.Request{
					Method: http.MethodDelete, Operation: operationOrNew(""),
					Path: "/v1/admin/quorum/voters/" + url.PathEscape(args[0]) + "?storage=" + url.QueryEscape(args[1]),
				}, "voter "+args[0]+" removed")
			},
		},
	)
	return parent
}
