// Package differ computes and applies deltas between canonical bundles, so that
// only the changed lines of a new version cross a zone boundary.
package differ

import (
	"bytes"
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
)

// Delta describes how the content with the digest Base becomes the content with the
// digest Result. Both digests are those of parser.Digest.
type Delta struct {
	Base   string
	Result string
	// Removed lists the zero-based numbers of the removed base lines, in ascending order.
	Removed []int
	// Added lists the added lines with their line feeds, in ascending byte order.
	Added [][]byte
}

// MismatchError reports that a delta does not apply to the given content, or that
// its result has the wrong digest. Want and Have are digests. The full content must be
// fetched instead.
type MismatchError struct {
	Want string
	Have string
}

func (e *MismatchError) Error() string {
	return "delta does not apply: digest is " + e.Have + ", expected " + e.Want
}

// Diff returns the delta from base to result. It merges the lines of both in one
// pass, which requires them to be sorted.
func Diff(base, result []byte) Delta {
	delta := Delta{Base: parser.Digest(base), Result: parser.Digest(result)}
	old, next := lines(base), lines(result)
	i, j := 0, 0
	for i < len(old) || j < len(next) {
		switch compareLines(old, next, i, j) {
		case 0:
			i, j = i+1, j+1
		case -1:
			delta.Removed = append(delta.Removed, i)
			i++
		default:
			delta.Added = append(delta.Added, next[j])
			j++
		}
	}
	return delta
}

// compareLines compares old[i] with next[j]; a list that is exhausted compares greater.
func compareLines(old, next [][]byte, i, j int) int {
	if i == len(old) {
		return 1
	}
	if j == len(next) {
		return -1
	}
	return bytes.Compare(old[i], next[j])
}

// Apply returns the result of applying the delta to base. It checks the digests of
// base and result, so a wrong delta yields an error and never a partial change. The
// error is a *MismatchError if one of the digests differs.
func Apply(base []byte, delta Delta) ([]byte, error) {
	if have := parser.Digest(base); have != delta.Base {
		return nil, &MismatchError{Want: delta.Base, Have: have}
	}
	old := lines(base)
	for _, position := range delta.Removed {
		if position < 0 || position >= len(old) {
			return nil, errors.Newf("delta removes line %d of %d", position, len(old))
		}
		old[position] = nil
	}
	merged := append(old, delta.Added...)
	sort.Slice(merged, func(i, j int) bool { return bytes.Compare(merged[i], merged[j]) < 0 })
	result := bytes.Join(merged, nil)
	if len(result) > parser.MaxContentBytes {
		return nil, errors.Newf("delta yields %d bytes, which exceeds the limit of %d", len(result), parser.MaxContentBytes)
	}
	if have := parser.Digest(result); have != delta.Result {
		return nil, &MismatchError{Want: delta.Result, Have: have}
	}
	return result, nil
}

// lines splits content after each line feed and keeps the line feeds.
func lines(content []byte) [][]byte {
	split := bytes.SplitAfter(content, []byte("\n"))
	if len(split) > 0 && len(split[len(split)-1]) == 0 {
		split = split[:len(split)-1]
	}
	return split
}
