package commander

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/bundle/checker"
	"github.com/tamarackscale/tamarackscale/internal/bundle/differ"
	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
	"github.com/tamarackscale/tamarackscale/internal/bundle/signer"
	"github.com/tamarackscale/tamarackscale/internal/operator/printer"
)

type bundleCommands struct {
	Check  bundleCheck  `cmd:"" help:"Check a bundle file and report every finding."`
	Create bundleCreate `cmd:"" help:"Store a bundle under the next version number."`
	Sign   bundleSign   `cmd:"" help:"Sign a version off."`
	Show   bundleShow   `cmd:"" help:"Show the canonical lines of a version."`
	Diff   bundleDiff   `cmd:"" help:"Show what differs between two versions."`
	List   bundleList   `cmd:"" help:"List the versions."`
}

type bundleCheck struct {
	File string `arg:"" type:"path" help:"Bundle file, YAML or JSON."`
}

// Run checks a bundle file and prints the name of the bundle, the number of its routes and
// services, its size in bytes and its digest. Its error holds all findings.
func (c *bundleCheck) Run(s *session) error {
	bundle, err := readBundle(c.File)
	if err != nil {
		return err
	}
	content, err := parser.Canonical(bundle)
	if err != nil {
		return err
	}
	digest := parser.Digest(content)
	return s.printer.Print(printer.Result{
		Columns: []string{"bundle", "routes", "services", "bytes", "digest"},
		Rows: [][]string{{
			bundle.Name, strconv.Itoa(len(bundle.Routes)), strconv.Itoa(len(bundle.Services)), strconv.Itoa(len(content)), digest,
		}},
		Value: map[string]any{"name": bundle.Name, "bytes": len(content), "digest": digest},
	})
}

// readBundle reads and checks a bundle file. Its error is a *UsageError if the file
// cannot be read, and otherwise holds all findings.
func readBundle(path string) (*parser.Bundle, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &UsageError{err.Error()}
	}
	bundle, findings := parser.Parse(path, data)
	if findings.Err() == nil {
		checker.Check(bundle, findings)
	}
	return bundle, findings.Err()
}

type bundleCreate struct {
	File        string `arg:"" optional:"" type:"path" help:"Bundle file, YAML or JSON."`
	FromVersion int64  `help:"Take the content of this version, to go back to it under a new number."`
}

// Run stores a bundle from a file or from an earlier version under the next version
// number.
func (c *bundleCreate) Run(s *session) error {
	operator, err := s.operator()
	if err != nil {
		return err
	}
	bundle, err := c.bundle(s)
	if err != nil {
		return err
	}
	pointer, err := s.publisher.Create(s.context, bundle, operator)
	if err != nil {
		return err
	}
	return s.printer.Print(pointerResult(pointer, "created by", operator))
}

// bundle returns the bundle of the file or of the earlier version. Its error is a
// *UsageError unless exactly one of them is given.
func (c *bundleCreate) bundle(s *session) (*parser.Bundle, error) {
	if (c.File == "") == (c.FromVersion == 0) {
		return nil, &UsageError{"give either a bundle file or --from-version"}
	}
	if c.File != "" {
		return readBundle(c.File)
	}
	envelope, err := s.publisher.Bundle(s.context, c.FromVersion)
	if err != nil {
		return nil, err
	}
	return parser.FromCanonical(envelope.Content)
}

func pointerResult(p parser.Pointer, operatorColumn, operator string) printer.Result {
	return printer.Result{
		Columns: []string{"version", "digest", operatorColumn},
		Rows:    [][]string{{strconv.FormatInt(p.Version, 10), p.Digest, operator}},
		Value:   p,
	}
}

type bundleSign struct {
	Version int64  `arg:"" help:"Version to sign."`
	Key     string `required:"" type:"path" help:"The operator's private key file."`
}

// Run signs a version with the operator's private key and stores the sign-off.
func (c *bundleSign) Run(s *session) error {
	operator, err := s.operator()
	if err != nil {
		return err
	}
	key, err := signer.ReadKeyFile(c.Key)
	if err != nil {
		return &UsageError{err.Error()}
	}
	signOff, err := s.publisher.Sign(s.context, c.Version, operator, key)
	if err != nil {
		return err
	}
	return s.printer.Print(pointerResult(signOff.Pointer, "signed by", operator))
}

type bundleShow struct {
	Version int64 `arg:"" help:"Version to show."`
}

// Run prints the canonical content of a version, one line per row.
func (c *bundleShow) Run(s *session) error {
	envelope, err := s.publisher.Bundle(s.context, c.Version)
	if err != nil {
		return err
	}
	bundle, err := parser.FromCanonical(envelope.Content)
	if err != nil {
		return err
	}
	return s.printer.Print(printer.Result{
		Columns: []string{"version " + strconv.FormatInt(c.Version, 10)}, Rows: lineRows("", envelope.Content), Value: bundle,
	})
}

// lineRows returns one row for each line of content, with prefix added in front.
func lineRows(prefix string, content []byte) [][]string {
	var rows [][]string
	for _, line := range bytes.Split(bytes.TrimSpace(content), []byte("\n")) {
		rows = append(rows, []string{prefix + string(line)})
	}
	return rows
}

type bundleDiff struct {
	From int64 `arg:"" help:"Older version."`
	To   int64 `arg:"" help:"Newer version."`
}

// Run prints the lines of the canonical content that two versions do not share.
func (c *bundleDiff) Run(s *session) error {
	from, err := s.publisher.Bundle(s.context, c.From)
	if err != nil {
		return err
	}
	to, err := s.publisher.Bundle(s.context, c.To)
	if err != nil {
		return err
	}
	delta := differ.Diff(from.Content, to.Content)
	lines := bytes.SplitAfter(from.Content, []byte("\n"))
	result := printer.Result{Columns: []string{fmt.Sprintf("version %d to %d", c.From, c.To)}}
	changes := struct {
		Removed []string `json:"removed"`
		Added   []string `json:"added"`
	}{[]string{}, []string{}}
	for _, position := range delta.Removed {
		result.Rows = append(result.Rows, lineRows("- ", lines[position])...)
		changes.Removed = append(changes.Removed, string(bytes.TrimSpace(lines[position])))
	}
	for _, line := range delta.Added {
		result.Rows = append(result.Rows, lineRows("+ ", line)...)
		changes.Added = append(changes.Added, string(bytes.TrimSpace(line)))
	}
	result.Value = changes
	return s.printer.Print(result)
}

type bundleList struct{}

// Run lists all versions in ascending order.
func (c *bundleList) Run(s *session) error {
	entries, err := s.publisher.Index(s.context)
	if err != nil {
		return err
	}
	result := printer.Result{Columns: []string{"version", "created", "by", "bytes", "digest"}, Value: entries}
	for _, entry := range entries {
		result.Rows = append(result.Rows, []string{
			strconv.FormatInt(entry.Version, 10), entry.CreatedAt.Format(time.RFC3339), entry.CreatedBy,
			strconv.Itoa(entry.Bytes), entry.Digest[:12],
		})
	}
	return s.printer.Print(result)
}

type keyCommands struct {
	New keyNew `cmd:"" help:"Make a key pair; prints the public key for the nodes' settings."`
}

type keyNew struct {
	File string `arg:"" type:"path" help:"File to create for the private key; only its owner may read it."`
}

// Run creates a private key file and prints the public key.
func (c *keyNew) Run(s *session) error {
	publicKey, err := signer.CreateKeyFile(c.File)
	if err != nil {
		return errors.Wrap(err, "key new")
	}
	return s.printer.Print(printer.Result{
		Columns: []string{"public key"}, Rows: [][]string{{publicKey}}, Value: map[string]string{"publicKey": publicKey},
	})
}
