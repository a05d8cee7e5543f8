// Package decoder decodes YAML documents, and so JSON ones, strictly: unknown keys and
// wrong types become findings with a line.
package decoder

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"github.com/tamarackscale/tamarackscale/internal/input/collector"
)

// Duration is a time.Duration written as text, such as "250ms".
type Duration time.Duration

// MarshalText formats the duration like time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText accepts what time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// UnmarshalYAML parses a duration. If it is invalid, the error is a *yaml.TypeError with
// its line.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	if err := d.UnmarshalText([]byte(node.Value)); err != nil {
		return &yaml.TypeError{Errors: []string{fmt.Sprintf("line %d: %s", node.Line, err)}}
	}
	return nil
}

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// linePattern matches an error message of the YAML package that begins with a line number.
var linePattern = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// Decode parses data into target. It returns a collector that maps keys to lines of the
// document, for further checks. It already contains the syntax errors, unknown keys and
// wrong types.
func Decode(file string, data []byte, target any) *collector.Collector {
	var root yaml.Node
	syntaxErr := yaml.Unmarshal(data, &root)
	findings := collector.New(file, func(key string) int { return lineOf(&root, key) })
	if syntaxErr != nil {
		addYAMLError(findings, syntaxErr)
		return findings
	}
	strict := yaml.NewDecoder(bytes.NewReader(data))
	strict.KnownFields(true)
	err := strict.Decode(target)
	if errors.Is(err, io.EOF) {
		findings.AddAt(1, "", "the document is empty")
		return findings
	}
	if err != nil {
		addYAMLError(findings, err)
		return findings
	}
	if strict.Decode(&yaml.Node{}) == nil {
		findings.Add("", "the file contains more than one document; only one is allowed")
	}
	return findings
}

// addYAMLError adds an error of the YAML package, which may hold several messages.
func addYAMLError(findings *collector.Collector, err error) {
	var typeErr *yaml.TypeError
	if !errors.As(err, &typeErr) {
		addMessage(findings, err.Error())
		return
	}
	for _, text := range typeErr.Errors {
		addMessage(findings, text)
	}
}

// addMessage adds a message of the YAML package, with the line that it begins with.
func addMessage(findings *collector.Collector, text string) {
	match := linePattern.FindStringSubmatch(text)
	if match == nil {
		findings.AddAt(0, "", "%s", text)
		return
	}
	line, _ := strconv.Atoi(match[1])
	findings.AddAt(line, "", "%s", match[2])
}

// stepPattern matches one step of a dotted key: a name, or an index in brackets.
var stepPattern = regexp.MustCompile(`([^.\[\]]+)|\[(\d+)\]`)

// lineOf follows a dotted key such as "routes[2].rank" through the document and returns
// the line of the deepest element that exists.
func lineOf(root *yaml.Node, key string) int {
	node := root
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := node.Line
	for _, step := range stepPattern.FindAllStringSubmatch(key, -1) {
		next, nextLine := child(node, step[1], step[2])
		if next == nil {
			return line
		}
		node, line = next, nextLine
	}
	return line
}

// child returns an element of a node and its line: of a mapping the value of name, with
// the line of its key, or of a sequence the element at index. It returns nil if there is
// none.
func child(node *yaml.Node, name, index string) (*yaml.Node, int) {
	if name == "" {
		position, _ := strconv.Atoi(index)
		if node.Kind != yaml.SequenceNode || position >= len(node.Content) {
			return nil, 0
		}
		return node.Content[position], node.Content[position].Line
	}
	if node.Kind != yaml.MappingNode {
		return nil, 0
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return node.Content[i+1], node.Content[i].Line
		}
	}
	return nil, 0
}
