package parser

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/input/collector"
	"github.com/tamarackscale/tamarackscale/internal/input/decoder"
)

// The canonical form is a list of lines in ascending byte order, each
// "kind name json\n". Each line holds one named item, so the delta between two
// versions is a set of added and removed lines (package differ). Since the lines are
// sorted, applying a delta has only one result.
const (
	kindHeader  = "header"
	kindRank    = "rank"
	kindRoute   = "route"
	kindService = "service"
	kindTenant  = "tenant"
)

// header holds the fields of a bundle that are not lists of named items.
type header struct {
	FormatVersion     int      `json:"formatVersion"`
	Name              string   `json:"name"`
	AvailabilityZones []string `json:"availabilityZones"`
}

// Parse decodes a bundle that an operator wrote in YAML or JSON. The collector holds
// the findings of decoding and locates keys in the document; checker.Check adds
// its findings to it.
func Parse(file string, data []byte) (*Bundle, *collector.Collector) {
	bundle := &Bundle{}
	findings := decoder.Decode(file, data, bundle)
	return bundle, findings
}

// Canonical returns the canonical form of the bundle.
func Canonical(b *Bundle) ([]byte, error) {
	var lines []string
	add := func(kind, name string, value any) error {
		encoded, err := json.Marshal(value)
		if err != nil {
			return errors.Wrapf(err, "encode %s %s", kind, name)
		}
		lines = append(lines, fmt.Sprintf("%s %s %s\n", kind, name, encoded))
		return nil
	}
	err := add(kindHeader, "-", header{b.FormatVersion, b.Name, b.AvailabilityZones})
	for i, rank := range b.Ranks {
		// The position replaces the name, because the order of ranks matters.
		err = errors.CombineErrors(err, add(kindRank, fmt.Sprintf("%03d", i), rank))
	}
	for _, tenant := range b.Tenants {
		err = errors.CombineErrors(err, add(kindTenant, tenant.Name, tenant))
	}
	for _, service := range b.Services {
		err = errors.CombineErrors(err, add(kindService, service.Name, service))
	}
	for _, route := range b.Routes {
		err = errors.CombineErrors(err, add(kindRoute, route.Name, route))
	}
	if err != nil {
		return nil, err
	}
	sort.Strings(lines)
	var content bytes.Buffer
	for _, line := range lines {
		content.WriteString(line)
	}
	return content.Bytes(), nil
}

// FromCanonical decodes the canonical form of a bundle. It rejects content that
// differs from the canonical form in any byte, so equal bundles have equal digests.
func FromCanonical(content []byte) (*Bundle, error) {
	if len(content) > MaxContentBytes {
		return nil, errors.Newf("bundle of %d bytes exceeds the limit of %d", len(content), MaxContentBytes)
	}
	bundle := &Bundle{}
	for number, line := range bytes.Split(bytes.TrimSuffix(content, []byte("\n")), []byte("\n")) {
		if err := decodeLine(bundle, line); err != nil {
			return nil, errors.Wrapf(err, "canonical line %d", number+1)
		}
	}
	reencoded, err := Canonical(bundle)
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(reencoded, content) {
		return nil, errors.New("content is not in canonical form")
	}
	return bundle, nil
}

func decodeLine(b *Bundle, line []byte) error {
	parts := bytes.SplitN(line, []byte(" "), 3)
	if len(parts) != 3 {
		return errors.New("line is not of the form \"kind name json\"")
	}
	valueDecoder := json.NewDecoder(bytes.NewReader(parts[2]))
	valueDecoder.DisallowUnknownFields()
	switch kind := string(parts[0]); kind {
	case kindHeader:
		var value header
		err := valueDecoder.Decode(&value)
		b.FormatVersion, b.Name, b.AvailabilityZones = value.FormatVersion, value.Name, value.AvailabilityZones
		return err
	case kindRank:
		return decodeItem(valueDecoder, &b.Ranks)
	case kindRoute:
		return decodeItem(valueDecoder, &b.Routes)
	case kindService:
		return decodeItem(valueDecoder, &b.Services)
	case kindTenant:
		return decodeItem(valueDecoder, &b.Tenants)
	default:
		return errors.Newf("unknown kind %q", kind)
	}
}

func decodeItem[T any](valueDecoder *json.Decoder, items *[]T) error {
	var value T
	if err := valueDecoder.Decode(&value); err != nil {
		return err
	}
	*items = append(*items, value)
	return nil
}

// Digest returns the lower-case hexadecimal SHA-256 of content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
