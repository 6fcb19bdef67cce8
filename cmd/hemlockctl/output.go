package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/client"
)

// column describes one column of a table.
type column struct {
	title string
	field string // dotted path of the JSON field
}

// list requests path from the control VMs and prints the objects in the response
// field with the name collection.
func (o *options) list(cmd *cobra.Command, path, collection string, columns []column) error {
	admin, err := o.admin()
	if err != nil {
		return err
	}
	var raw json.RawMessage
	if err := admin.Do(cmd.Context(), client.Request{Method: http.MethodGet, Path: path}, &raw); err != nil {
		return err
	}
	return o.print(cmd.OutOrStdout(), raw, collection, columns)
}

// print writes a response in the format that --output selects: as JSON, or as a table
// with one row for each object in the field with the name collection.
func (o *options) print(out io.Writer, raw json.RawMessage, collection string, columns []column) error {
	switch o.output {
	case "json":
		return printJSON(out, raw)
	case "table":
		rows, err := tableRows(raw, collection)
		if err != nil {
			return err
		}
		return printTable(out, rows, columns)
	}
	return usageError{fmt.Errorf("--output %q: use table or json", o.output)}
}

// printJSON writes v as indented JSON.
func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// tableRows decodes the rows of a table from a JSON array, from an object that
// holds the array in the field with the name collection, or from a single object, which
// becomes the only row.
func tableRows(raw json.RawMessage, collection string) ([]map[string]any, error) {
	var rows []map[string]any
	if json.Unmarshal(raw, &rows) == nil {
		return rows, nil
	}
	var envelope map[string]json.RawMessage
	if err := json.Unmarshal(raw, &envelope); err != nil {
		return nil, fmt.Errorf("decode the response: %w", err)
	}
	if items, ok := envelope[collection]; ok && collection != "" {
		return rows, json.Unmarshal(items, &rows)
	}
	var single map[string]any
	if err := json.Unmarshal(raw, &single); err != nil {
		return nil, err
	}
	return []map[string]any{single}, nil
}

// printTable writes a line with the column titles and a line for each row.
func printTable(out io.Writer, rows []map[string]any, columns []column) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	var titles []string
	for _, c := range columns {
		titles = append(titles, c.title)
	}
	fmt.Fprintln(w, strings.Join(titles, "\t"))
	for _, row := range rows {
		var cells []string
		for _, c := range columns {
			cells = append(cells, cell(row, c.field))
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

// cell returns the field at a dotted path as text, or "-" if it is absent.
func cell(row map[string]any, field string) string {
	var value any = row
	for _, part := range strings.Split(field, ".") {
		object, ok := value.(map[string]any)
		if !ok {
			return "-"
		}
		value = object[part]
	}
	switch v := value.(type) {
	case nil:
		return "-"
	case float64:
		return fmt.Sprintf("%.10g", v)
	default:
		return fmt.Sprint(v)
	}
}

// send sends a change to the control VMs and prints message if it succeeds.
func (o *options) send(ctx context.Context, cmd *cobra.Command, r client.Request, message string) error {
	admin, err := o.admin()
	if err != nil {
		return err
	}
	if err := admin.Do(ctx, r, nil); err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), message)
	return nil
}
