// Package printer writes the results of the operators' command as a table or as JSON.
package printer

import (
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"
)

// Format is an output format; its values are those of the flag --output.
type Format string

// Output formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// Printer writes results to one output.
type Printer struct {
	format Format
	output io.Writer
}

// New returns a printer that writes to output.
func New(format Format, output io.Writer) *Printer {
	return &Printer{format: format, output: output}
}

// Result is the output of a command in both formats.
type Result struct {
	// Columns are the headings of the table, printed in upper case.
	Columns []string
	// Rows are the lines of the table, with one cell for each column.
	Rows [][]string
	// Value is printed instead of the table in format JSON.
	Value any
}

// Print writes one result. Its error is that of the encoder or the output.
func (p *Printer) Print(r Result) error {
	if p.format == JSON {
		encoder := json.NewEncoder(p.output)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r.Value)
	}
	writer := tabwriter.NewWriter(p.output, 0, 4, 2, ' ', 0)
	_, _ = io.WriteString(writer, strings.ToUpper(strings.Join(r.Columns, "\t"))+"\n")
	for _, row := range r.Rows {
		_, _ = io.WriteString(writer, strings.Join(row, "\t")+"\n")
	}
	return writer.Flush()
}

// Progress writes a line about the progress of a command that waits. It writes
// nothing in format JSON, so that the output stays a single JSON value.
func (p *Printer) Progress(line string) {
	if p.format == Table {
		_, _ = io.WriteString(p.output, line+"\n")
	}
}
