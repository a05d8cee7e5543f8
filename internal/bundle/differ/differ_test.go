package differ_test

import (
	"bytes"
	"sort"
	"testing"

	"pgregory.net/rapid"

	"github.com/tamarackscale/tamarackscale/internal/bundle/differ"
)

// content draws sorted, distinct lines.
func content(t *rapid.T, name string) []byte {
	lines := rapid.SliceOfDistinct(rapid.StringMatching(`[a-d]{1,3}`), rapid.ID[string]).Draw(t, name)
	sort.Strings(lines)
	var result bytes.Buffer
	for _, line := range lines {
		result.WriteString(line + "\n")
	}
	return result.Bytes()
}

func TestApplyTurnsBaseIntoResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, result := content(t, "base"), content(t, "result")
		applied, err := differ.Apply(base, differ.Diff(base, result))
		if err != nil || !bytes.Equal(applied, result) {
			t.Fatalf("got %q, %v; want %q", applied, err, result)
		}
	})
}

// TestAlteredDeltaYieldsNoWrongContent guards against a delta that is damaged, or
// applied to another base, and yields a partially changed bundle.
func TestAlteredDeltaYieldsNoWrongContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, result := content(t, "base"), content(t, "result")
		delta := differ.Diff(base, result)
		switch rapid.IntRange(0, 3).Draw(t, "alteration") {
		case 0:
			delta.Added = append(delta.Added, []byte("zzzz\n"))
		case 1:
			delta.Removed = append(delta.Removed, rapid.IntRange(-2, 40).Draw(t, "position"))
		case 2:
			if len(delta.Added) == 0 {
				return
			}
			delta.Added = delta.Added[1:]
		case 3:
			base = append(base, "zzzz\n"...)
		}
		applied, err := differ.Apply(base, delta)
		if err == nil && !bytes.Equal(applied, result) {
			t.Fatalf("altered delta yielded %q", applied)
		}
	})
}

func FuzzApply(f *testing.F) {
	f.Add([]byte("a 1\nb 2\n"), 0, []byte("c 3\n"), "x")
	f.Fuzz(func(t *testing.T, base []byte, removed int, added []byte, digest string) {
		delta := differ.Delta{Base: differ.Diff(base, nil).Base, Result: digest, Removed: []int{removed}, Added: [][]byte{added}}
		if result, err := differ.Apply(base, delta); err == nil && differ.Diff(result, nil).Base != digest {
			t.Fatal("a result with a digest other than the delta's was accepted")
		}
	})
}
