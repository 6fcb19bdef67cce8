package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"hemlockvale.dev/server/client"
)

// objectKind describes a kind of object that the operators' API serves as a collection.
type objectKind struct {
	singular, collection string
	nameField            string // JSON field that identifies an object
	columns              []column
}

// organisationCommand returns the organisation command, which manages organisations.
func organisationCommand(o *options) *cobra.Command {
	return o.objectCommand(objectKind{"organisation", "organisations", "id", []column{
		{"ID", "id"}, {"NAME", "name"}, {"PROFILE", "profile"}, {"REGION", "home_region"}, {"REVISION", "revision"},
	}})
}

// profileCommand returns the profile command, which manages the profiles of
// organisations.
func profileCommand(o *options) *cobra.Command {
	return o.objectCommand(objectKind{"profile", "profiles", "name", []column{
		{"NAME", "name"}, {"ORGANISATION", "organisation"}, {"RATE/S", "limits.rate_per_second"}, {"BURST", "limits.burst"},
		{"MAX CALLS", "budget.max_calls"}, {"MAX TOKENS", "budget.max_tokens"}, {"LATENCY", "policy.latency"}, {"FAIRNESS", "policy.fairness"}, {"REVISION", "revision"},
	}})
}

// serviceCommand returns the service command, which manages services.
func serviceCommand(o *options) *cobra.Command {
	return o.objectCommand(objectKind{"service", "services", "name", []column{
		{"NAME", "name"}, {"KIND", "kind"}, {"PROFILES", "profiles"}, {"REVISION", "revision"},
	}})
}

// objectCommand returns the command with the subcommands list, get, apply and remove
// for one kind of object.
func (o *options) objectCommand(k objectKind) *cobra.Command {
	parent := &cobra.Command{Use: k.singular, Short: "Manage " + k.collection}
	path := "/v1/admin/" + k.collection
	parent.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List all " + k.collection, Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return o.list(cmd, path, k.collection, k.columns) },
		},
		&cobra.Command{
			Use: "get NAME", Short: "Print one " + k.singular + " as JSON", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				admin, err := o.admin()
				if err != nil {
					return err
				}
				var object json.RawMessage
				if err := admin.Do(cmd.Context(), client.Request{Method: http.MethodGet, Path: path + "/" + url.PathEscape(args[0])}, &object); err != nil {
					return err
				}
				return printJSON(cmd.OutOrStdout(), object)
			},
		},
		o.objectApplyCommand(k, path),
		o.objectRemoveCommand(k, path),
	)
	return parent
}

// objectApplyCommand returns the command that creates an object or replaces it at an
// expected revision.
func (o *options) objectApplyCommand(k objectKind, path string) *cobra.Command {
	var file, operation string
	var revision uint64
	cmd := &cobra.Command{
		Use:   "apply --file FILE --revision N",
		Short: "Write one " + k.singular + " if it still has the given revision (0: it must not exist)",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := os.ReadFile(file)
			if err != nil {
				return usageError{err}
			}
			var fields map[string]any
			if err := json.Unmarshal(data, &fields); err != nil {
				return usageError{fmt.Errorf("%s: %w", file, err)}
			}
			name, _ := fields[k.nameField].(string)
			if name == "" {
				return usageError{fmt.Errorf("%s: field %s is required", file, k.nameField)}
			}
			return o.send(cmd.Context(), cmd, client.Request{
				Method: http.MethodPut, Path: path + "/" + url.PathEscape(name), Body: json.RawMessage(data),
				Operation: operationOrNew(operation), ExpectedRevision: &revision,
			}, k.singular+" "+name+" written")
		},
	}
	fileFlag(cmd, &file)
	cmd.Flags().Uint64Var(&revision, "revision", 0, "expected revision of the object")
	operationFlag(cmd, &operation)
	return cmd
}

// objectRemoveCommand returns the command that removes an object at an expected
// revision.
func (o *options) objectRemoveCommand(k objectKind, path string) *cobra.Command {
	var operation string
	var revision uint64
	cmd := &cobra.Command{
		Use: "remove NAME --revision N", Short: "Remove one " + k.singular, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.send(cmd.Context(), cmd, client.Request{
				Method: http.MethodDelete, Path: path + "/" + url.PathEscape(args[0]),
				Operation: operationOrNew(operation), ExpectedRevision: &revision,
			}, k.singular+" "+args[0]+" removed")
		},
	}
	cmd.Flags().Uint64Var(&revision, "revision", 0, "expected revision of the object")
	operationFlag(cmd, &operation)
	return cmd
}

// operationFlag adds the --operation flag to cmd.
func operationFlag(cmd *cobra.Command, operation *string) {
	cmd.Flags().StringVar(operation, "operation", "", "operation id; use the same id to retry a change (default: a new UUID)")
}

// operationOrNew returns operation, or a new id if it is empty.
func operationOrNew(operation string) string {
	if operation != "" {
		return operation
	}
	return uuid.NewString()
}
