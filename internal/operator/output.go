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

// printJSON writes a JSON document indented, as it came.
func printJSON(writer io.Writer, document []byte) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, bytes.TrimSpace(document), "", "  "); err != nil {
		return &AnswerError{Cause: err}
	}
	indented.WriteByte('\n')
	_, err := writer.Write(indented.Bytes())
	return err
}

// grid is a table on its way out.
type grid struct {
	writer table.Writer
}

func newGrid(columns ...any) *grid {
	made := table.NewWriter()
	style := table.StyleDefault
	style.Options = table.OptionsNoBordersAndSeparators
	made.SetStyle(style)
	made.AppendHeader(table.Row(columns))
	return &grid{writer: made}
}

func (g *grid) add(cells ...any) { g.writer.AppendRow(table.Row(cells)) }

func (g *grid) print(writer io.Writer) error {
	_, err := fmt.Fprintln(writer, g.writer.Render())
	return err
}

// sort orders the rows by all columns from the left.
func (g *grid) sort() {
	keys := make([]table.SortBy, 3)
	for i := range keys {
		keys[i] = table.SortBy{Number: i + 1, Mode: table.Asc}
	}
	g.writer.SortBy(keys)
}
