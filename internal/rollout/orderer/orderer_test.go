package orderer_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/tamarackscale/tamarackscale/internal/bundle/compiler"
	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/rollout/decider"
	"github.com/tamarackscale/tamarackscale/internal/rollout/orderer"
)

func pointer(version int64) parser.Pointer {
	return parser.Pointer{Version: version, Digest: fmt.Sprint("digest of ", version)}
}

// history generates the successive states of a rollout record. Their revisions have
// gaps, since the platform counts the writes of all keys.
func history(t *rapid.T) []decider.Stamped {
	record := decider.Stamped{}
	var records []decider.Stamped
	next := int64(1)
	for range rapid.IntRange(1, 20).Draw(t, "steps") {
		record.Revision += keeper.Revision(rapid.IntRange(1, 3).Draw(t, "gap"))
		if record.Staged == nil {
			record.Staged = &decider.Stage{Pointer: pointer(next)}
			next += int64(rapid.IntRange(1, 2).Draw(t, "skip"))
		} else {
			if rapid.Bool().Draw(t, "accept") {
				record.Accepted = record.Staged.Pointer
			}
			record.Staged = nil
		}
		records = append(records, record)
	}
	return records
}

// TestVersionNeverDecreases guards against a node going back to an older version
// when records and bundles arrive out of order, more than once, altered or not at
// all.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := history(t)
		accepted := map[int64]bool{0: true}
		for _, record := range records {
			accepted[record.Accepted.Version] = true
		}
		o := orderer.New()
		last := int64(0)
		var record decider.Stamped
		for range rapid.IntRange(1, 80).Draw(t, "messages") {
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				o.UpdateRecord(rapid.SampledFrom(records).Draw(t, "record"))
			case 1:
				p := pointer(int64(rapid.IntRange(1, 30).Draw(t, "version")))
				if rapid.IntRange(0, 9).Draw(t, "altered") == 0 {
					p.Digest = "altered"
				}
				o.Prepare(&compiler.Table{Pointer: p})
				if held := o.PreparedTable(p.Version); held != nil && held.Pointer != pointer(p.Version) {
					t.Fatalf("altered version %d was prepared", p.Version)
				}
			case 2:
				o.Advance()
			}
			if o.Record().Revision < record.Revision || o.Record().Accepted.Version < record.Accepted.Version {
				t.Fatalf("record decreased from revision %d to %d", record.Revision, o.Record().Revision)
			}
			record = o.Record()
			version := int64(0)
			if table := o.InForce(); table != nil {
				version = table.Version
				if table.Digest != pointer(version).Digest {
					t.Fatalf("altered version %d is in force", version)
				}
			}
			if version < last {
				t.Fatalf("version decreased from %d to %d", last, version)
			}
			if !accepted[version] {
				t.Fatalf("version %d is in force but was never accepted", version)
			}
			last = version
		}
	})
}

// TestNewestAcceptedVersionWins checks that the newest record and its bundles
// suffice to reach the accepted version, whatever records arrived before.
func TestNewestAcceptedVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := history(t)
		newest := records[len(records)-1]
		o := orderer.New()
		for _, record := range rapid.SliceOf(rapid.SampledFrom(records)).Draw(t, "before") {
			o.UpdateRecord(record)
		}
		o.UpdateRecord(newest)
		for _, wanted := range o.Wanted() {
			o.Prepare(&compiler.Table{Pointer: wanted})
		}
		o.Advance()
		if newest.Accepted.Version > 0 && o.InForce().Pointer != newest.Accepted {
			t.Fatalf("version in force is %v, accepted version is %v", o.InForce().Pointer, newest.Accepted)
		}
	})
}
