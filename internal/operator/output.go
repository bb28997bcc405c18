package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

// printJSON prints a JSON document with indentation, otherwise unchanged.
func printJSON(writer io.Writer, document []byte) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, bytes.TrimSpace(document), "", "  "); err != nil {
		return &ResponseError{Cause: err}
	}
	indented.WriteByte('\n')
	_, err := writer.Write(indented.Bytes())
	return err
}

// grid is a table to print.
type grid struct {
	writer table.Writer
}

func newGrid(columns ...any) *grid {
	writer := table.NewWriter()
	style := table.StyleDefault
	style.Options = table.OptionsNoBordersAndSeparators
	writer.SetStyle(style)
	writer.AppendHeader(table.Row(columns))
	return &grid{writer: writer}
}

func (g *grid) add(cells ...any) { g.writer.AppendRow(table.Row(cells)) }

func (g *grid) print(writer io.Writer) error {
	_, err := fmt.Fprintln(writer, g.writer.Render())
	return err
}

// sort sorts the rows by the first three columns, from the left.
func (g *grid) sort() {
	keys := make([]table.SortBy, 3)
	for i := range keys {
		keys[i] = table.SortBy{Number: i + 1, Mode: table.Asc}
	}
	g.writer.SortBy(keys)
}
