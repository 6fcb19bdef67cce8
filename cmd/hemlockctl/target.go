package main

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"
)

func targetCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "target", Short: "List and drain targets"}
	parent.AddCommand(o.targetListCommand(), o.drainCommand("target", "Give a target no new work"))
	return parent
}

func (o *options) targetListCommand() *cobra.Command {
	var entry string
	cmd := &cobra.Command{
		Use: "list", Short: "List the targets that one entry knows", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			resp, err := http.Get("http://" + entry + "/v1/targets")
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("%s answered %s", entry, resp.Status)
			}
			var raw json.RawMessage
			if err := json.NewDecoder(resp.Body).Decode(&raw); err != nil {
				return fmt.Errorf("decode the listing: %w", err)
			}
			return o.print(cmd.OutOrStdout(), raw, "targets", []column{
				{"ID", "id"}, {"KIND", "kind"}, {"SERVICE", "service"}, {"ADDRESS", "address"}, {"DATA CENTRE", "data_centre"},
				{"RUNNING", "load.running"}, {"WAITING", "load.waiting"}, {"LEAVING", "leaving"}, {"DRAINED", "drained"},
			})
		},
	}
	cmd.Flags().StringVar(&entry, "entry", "127.0.0.1:8201", "HTTP address of the entry to ask")
	return cmd
}
