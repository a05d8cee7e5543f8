// Package collector collects findings about invalid input, so that all of them are
// reported together, each with its location.
package collector

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one defect of an input document.
type Finding struct {
	// File names the document; it is empty for input that came over a connection.
	File string `json:"file,omitempty"`
	// Line starts at 1; zero means that it is unknown.
	Line int `json:"line,omitempty"`
	// Key is the dotted path of the value, such as "routes[2].rank".
	Key string `json:"key,omitempty"`
	// Message describes the defect and what is expected. It is never empty.
	Message string `json:"message"`
}

// String formats the finding as "file:line: key: message".
func (f Finding) String() string {
	var location strings.Builder
	if f.File != "" {
		location.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&location, "%d:", f.Line)
	}
	if f.Key != "" {
		location.WriteString(" " + f.Key + ":")
	}
	return strings.TrimSpace(location.String() + " " + f.Message)
}

// Findings is an error that holds all findings of one document. It is never returned
// empty.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Collector accumulates findings about one file.
type Collector struct {
	// File is copied into each finding.
	File string
	// Locate returns the line of a key, or zero if it is unknown. It may be nil.
	Locate func(key string) int

	findings Findings
}

// New returns an empty collector for the named file. Locate may be nil.
func New(file string, locate func(key string) int) *Collector {
	return &Collector{File: file, Locate: locate}
}

// Add adds a finding about the value at key.
func (c *Collector) Add(key, format string, args ...any) {
	line := 0
	if c.Locate != nil {
		line = c.Locate(key)
	}
	c.AddAt(line, key, format, args...)
}

// AddAt adds a finding about the value at key, with a known line.
func (c *Collector) AddAt(line int, key, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	c.findings = append(c.findings, Finding{File: c.File, Line: line, Key: key, Message: message})
}

// Err returns the findings in the order of their lines, or nil if there are none.
func (c *Collector) Err() error {
	if len(c.findings) == 0 {
		return nil
	}
	sort.SliceStable(c.findings, func(i, j int) bool {
		return c.findings[i].Line < c.findings[j].Line
	})
	return c.findings
}
