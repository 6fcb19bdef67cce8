package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"
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
			if o.token == "" {
				return usageError{fmt.Errorf("no admin token: use --token or %s", environmentToken)}
			}
			if err := clearQuarantine(cmd.Context(), entry, o.token, args[0], args[1]); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "quarantine cleared")
			return nil
		},
	}
	cmd.Flags().StringVar(&entry, "entry", "127.0.0.1:8201", "HTTP address of an entry")
	return cmd
}

func clearQuarantine(ctx context.Context, entry, token, organisation, fingerprint string) error {
	path := "/v1/quarantine/" + url.PathEscape(organisation) + "/" + url.PathEscape(fingerprint)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+entry+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s answered %s", entry, resp.Status)
	}
	return nil
}
