package ctl

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Values of the flag --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const columnPadding = 2

// printJSON prints a message as JSON: indented, or on one line including the fields with default values.
func printJSON(w io.Writer, m proto.Message, indent bool) error {
	data, err := protojson.MarshalOptions{Multiline: indent, EmitUnpopulated: !indent}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(data))
	return err
}

// printTable prints rows in aligned columns. The first row is the heading.
func printTable(w io.Writer, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return table.Flush()
}

// print prints m as JSON, or rows as a table, as chosen by --output. rows is called only for a table.
func (o *options) print(w io.Writer, m proto.Message, rows func() [][]string) error {
	if o.output == outputJSON {
		return printJSON(w, m, true)
	}
	return printTable(w, rows())
}
