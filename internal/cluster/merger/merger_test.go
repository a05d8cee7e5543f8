package merger_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
)

var now = time.Unix(1_700_000_000, 0)

func drawEntry(t *rapid.T) merger.Entry {
	return merger.Entry{
		ID:          fmt.Sprint("n", rapid.IntRange(0, 5).Draw(t, "id")),
		Incarnation: int64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
		Sequence:    int64(rapid.IntRange(0, 3).Draw(t, "sequence")),
		Liveness:    merger.Liveness(rapid.IntRange(0, 2).Draw(t, "liveness")),
	}
}

// TestTablesConvergeInAnyOrder guards against nodes that keep different views of the
// fleet because the same updates reached them in another order or twice. It merges the
// updates in order into one table, and duplicated and shuffled into another.
func TestTablesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 30).Draw(t, "news")
		shuffled := rapid.Permutation(append(updates, updates...)).Draw(t, "crossed")
		first, second := merger.New(), merger.New()
		for _, e := range updates {
			first.Merge(e, now)
		}
		for _, e := range shuffled {
			second.Merge(e, now)
		}
		if first.Digest() != second.Digest() || len(first.DifferingBuckets(second.Buckets())) > 0 {
			t.Fatalf("tables differ: %v, %v", first.Entries(), second.Entries())
		}
	})
}

// TestReconcilingDifferingBucketsConverges guards against a difference between two tables
// that the digests of their buckets do not show. It exchanges only the entries of the
// buckets whose digests differ.
func TestReconcilingDifferingBucketsConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := merger.New(), merger.New()
		for _, e := range rapid.SliceOf(rapid.Custom(drawEntry)).Draw(t, "first") {
			first.Merge(e, now)
		}
		for _, e := range rapid.SliceOf(rapid.Custom(drawEntry)).Draw(t, "second") {
			second.Merge(e, now)
		}
		numbers := first.DifferingBuckets(second.Buckets())
		ours, theirs := first.InBuckets(numbers), second.InBuckets(numbers)
		for _, e := range ours {
			second.Merge(e, now)
		}
		for _, e := range theirs {
			first.Merge(e, now)
		}
		if first.Digest() != second.Digest() {
			t.Fatal("tables differ after reconciliation")
		}
	})
}

// TestFingersReachEveryMember guards against members that an update does not reach in
// log2(n) hops, rounded down, plus one, and against a node that has more than 10 fingers
// among up to 833 members.
func TestFingersReachEveryMember(t *testing.T) {
	Convey("an update pushed to fingers reaches n members in log2(n) hops", t, func() {
		for _, count := range []int{1, 2, 3, 16, 118, 833} {
			var members []merger.Entry
			for i := range count {
				members = append(members, merger.Entry{ID: fmt.Sprintf("n%04d", i)})
			}
			reached := map[string]bool{"n0000": true}
			frontier := []string{"n0000"}
			hops := 0
			for ; len(reached) < count; hops++ {
				var next []string
				for _, id := range frontier {
					for _, finger := range merger.Fingers(members, id) {
						if !reached[finger.ID] {
							reached[finger.ID] = true
							next = append(next, finger.ID)
						}
					}
				}
				So(next, ShouldNotBeEmpty)
				frontier = next
			}
			So(1<<max(0, hops-1), ShouldBeLessThan, count+1)
			So(len(merger.Fingers(members, "n0000")), ShouldBeLessThanOrEqualTo, 10)
		}
	})
}

// TestReportsReachTheirTargetInFewHops guards against routes that do not end or are longer
// than 7 hops, and against more than 7 members that send to one target directly. 7 is
// log2(118), rounded up, for the largest zone here.
func TestReportsReachTheirTargetInFewHops(t *testing.T) {
	Convey("from every member to every target in at most 7 hops", t, func() {
		for _, count := range []int{1, 2, 7, 118} {
			var members []merger.Entry
			for i := range count {
				members = append(members, merger.Entry{ID: fmt.Sprintf("n%04d", i)})
			}
			for _, target := range members {
				direct := map[string]bool{}
				for _, member := range members {
					hops := 0
					for at := member; at.ID != target.ID; hops++ {
						next := merger.NextHop(members, at.ID, target)
						if next.ID == target.ID {
							direct[at.ID] = true
						}
						at = next
					}
					So(hops, ShouldBeLessThanOrEqualTo, 7)
				}
				So(len(direct), ShouldBeLessThanOrEqualTo, 7)
			}
		}
	})
}

// TestMajorityHoldsOnAtMostOneSideOfAPartition guards against both sides of a split zone
// acting as the majority.
func TestMajorityHoldsOnAtMostOneSideOfAPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "members")
		cut := rapid.IntRange(0, count).Draw(t, "cut")
		left, right := merger.New(), merger.New()
		for i := range count {
			e := merger.Entry{ID: fmt.Sprint("n", i), Zone: "a", Incarnation: 1}
			dead := e
			dead.Liveness = merger.Dead
			if i < cut {
				left.Merge(e, now)
				right.Merge(dead, now)
			} else {
				left.Merge(dead, now)
				right.Merge(e, now)
			}
		}
		if left.Majority("a") && right.Majority("a") {
			t.Fatalf("both sides of a partition into %d and %d members have the majority", cut, count-cut)
		}
	})
}
