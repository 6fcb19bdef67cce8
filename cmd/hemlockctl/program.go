package main

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/client"
)

func programCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "program", Short: "Manage requests that took targets down"}
	parent.AddCommand(o.quarantineClearCommand())
	return parent
}

func (o *options) quarantineClearCommand() *cobra.Command {
	var entry string
	cmd := &cobra.Command{
		Use: "clear-quarantine ORGANISATION FINGERPRINT", Short: "Let a request run again that took targets down", Args: cobra.ExactArgs(2),
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
