package main

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/client"
)

// programCommand returns the program command, which manages quarantined requests.
func programCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "program", Short: "Manage requests that are quarantined because they crashed targets"}
	parent.AddCommand(o.quarantineClearCommand())
	return parent
}

// quarantineClearCommand returns the clear-quarantine command, which sends its request
// to one entry.
func (o *options) quarantineClearCommand() *cobra.Command {
	var entry string
	cmd := &cobra.Command{
		Use: "clear-quarantine ORGANISATION FINGERPRINT", Short: "Clear the quarantine of a request that crashed targets, so that it may run again", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			admin, err := o.entryClient(entry)
			if err != nil {
				return err
			}
			path := "/v1/quarantine/" + url.PathEscape(args[0]) + "/" + url.PathEscape(args[1])
			if err := admin.Do(cmd.Context(), client.Request{Method: http.MethodDelete, Path: path}, nil); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "quarantine cleared")
			return nil
		},
	}
	entryFlag(cmd, &entry)
	return cmd
}
