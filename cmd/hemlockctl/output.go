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

// column is one column of a listing: a title and the path of a field.
type column struct {
	title string
	field string
}

// list fetches a collection and prints it.
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

// print writes JSON as it came, or a table of the rows found under collection.
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

func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// tableRows accepts a bare list, an object that holds the list, or one object.
func tableRows(raw json.RawMessage, collection string) ([]map[string]any, error) {
	var rows []map[string]any
	if json.Unmarshal(raw, &rows) == nil {
		return rows, nil
	}
	var holder map[string]json.RawMessage
	if err := json.Unmarshal(raw, &holder); err != nil {
		return nil, fmt.Errorf("decode the listing: %w", err)
	}
	if inner, ok := holder[collection]; ok && collection != "" {
		return rows, json.Unmarshal(inner, &rows)
	}
	var single map[string]any
	if err := json.Unmarshal(raw, &single); err != nil {
		return nil, err
	}
	return []map[string]any{single}, nil
}

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

// cell returns a field by its dotted path, "-" when it is absent.
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

// send issues a change and prints its answer when there is one.
func (o *options) send(ctx context.Context, cmd *cobra.Command, r client.Request, done string) error {
	admin, err := o.admin()
	if err != nil {
		return err
	}
	if err := admin.Do(ctx, r, nil); err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), done)
	return nil
}
