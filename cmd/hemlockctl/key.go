package main

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/client"
)

func keyCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "key", Short: "Issue and withdraw keys"}
	parent.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List all keys, without their secrets", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				return o.list(cmd, "/v1/admin/keys", "keys", []column{
					{"ID", "id"}, {"ORGANISATION", "organisation"}, {"WITHDRAWN", "withdrawn"}, {"REVISION", "revision"},
				})
			},
		},
		o.keyIssueCommand(), o.keyWithdrawCommand(),
	)
	return parent
}

func (o *options) keyIssueCommand() *cobra.Command {
	var id, operation string
	cmd := &cobra.Command{
		Use: "issue ORGANISATION", Short: "Create a key and print its secret, which is shown only now", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			admin, err := o.admin()
			if err != nil {
				return err
			}
			key, err := admin.IssueKey(cmd.Context(), args[0], id, operationOrNew(operation))
			if err != nil {
				return err
			}
			if o.output == "json" {
				return printJSON(cmd.OutOrStdout(), key)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s %s\n", key.ID, key.Secret)
			return nil
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "name of the key in listings and logs (default: made by control)")
	operationFlag(cmd, &operation)
	return cmd
}

func (o *options) keyWithdrawCommand() *cobra.Command {
	var operation string
	cmd := &cobra.Command{
		Use: "withdraw ID", Short: "Withdraw a key for good; its open calls are ended", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.send(cmd.Context(), cmd, client.Request{
				Method: http.MethodDelete, Path: "/v1/admin/keys/" + url.PathEscape(args[0]), Operation: operationOrNew(operation),
			}, "key "+args[0]+" withdrawn")
		},
	}
	operationFlag(cmd, &operation)
	return cmd
}
