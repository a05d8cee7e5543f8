package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
)

var now = time.Unix(1000, 0)

const ms = time.Millisecond

// newPair returns a balancer in zone x with one upstream in x and one in y, each with
// samples of its service time. Each node has the name of its zone.
func newPair(near, far time.Duration) *Balancer {
	b := New("x")
	for zone, service := range map[string]time.Duration{"x": near, "y": far} {
		b.Update(Member{Node: zone, Start: 1, Sequence: 1, Zone: zone, Service: "s", Instance: "i-" + zone, Slots: 4})
		for range 50 {
			c := b.members[zone]
			c.inFlight++
			b.Done(c, Outcome{Kind: "k", Answered: true, UpstreamTime: service, Bytes: 1000}, now)
		}
	}
	return b
}

// callOf returns a call of a rank whose deadline is at four times its objective.
func callOf(rank int, objective time.Duration) PickInfo {
	return PickInfo{
		Service: "s", Kind: "k", Rank: rank, Class: queuer.ClassOf(rank, false),
		Objective: objective, Remaining: 4 * objective,
	}
}

// pickedZone returns the zone of the candidate that Pick chooses, or an empty string.
func pickedZone(b *Balancer, info PickInfo) string {
	c := b.Pick(info, now)
	if c == nil {
		return ""
	}
	c.inFlight--
	return c.Zone
}

// Guards against calls that leave the zone for a small gain, since links between zones are
// slow and expensive, and against calls that stay although they would be answered late.
func TestCallLeavesZoneOnlyForHigherUtility(t *testing.T) {
	Convey("An upstream of the same zone is preferred to a faster remote one if it answers in time", t, func() {
		So(pickedZone(newPair(100*ms, 40*ms), callOf(1, 600*ms)), ShouldEqual, "x")
	})
	Convey("A remote upstream is chosen if the local one would answer late", t, func() {
		So(pickedZone(newPair(700*ms, 100*ms), callOf(1, 600*ms)), ShouldEqual, "y")
	})
	Convey("An urgent call goes to another zone for a smaller gain", t, func() {
		b := newPair(450*ms, 100*ms)
		b.deviation["k"] = 0.3
		So(pickedZone(b, callOf(0, 500*ms)), ShouldEqual, "y")
	})
	Convey("A remote upstream is chosen if the local queue is long", t, func() {
		b := newPair(100*ms, 100*ms)
		load := Load{InUse: 4, Waiting: 20, Slots: 4}
		for class := range load.Waits {
			load.Waits[class] = 600 * ms
		}
		c := b.members["x"]
		c.inFlight++
		b.Done(c, Outcome{Kind: "k", Load: &load}, now)
		So(pickedZone(b, callOf(1, 300*ms)), ShouldEqual, "y")
	})
}

// Guards against calls to an upstream that fails, is unreachable or drains while another can
// take them, and against refusing calls because such an upstream is the only one left.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	Convey("Calls go to the other zone if the local upstream fails a fraction of them", t, func() {
		b := newPair(50*ms, 50*ms)
		for range 20 {
			c := b.members["x"]
			c.inFlight++
			b.Done(c, Outcome{Kind: "k", Failed: true}, now)
		}
		So(pickedZone(b, callOf(1, 600*ms)), ShouldEqual, "y")
	})
	Convey("An unreachable upstream is ejected, longer each time, and picked only as the last resort", t, func() {
		b := newPair(50*ms, 50*ms)
		c := b.members["x"]
		for _, duration := range []time.Duration{300 * ms, 600 * ms, 1200 * ms} {
			c.inFlight++
			b.Done(c, Outcome{Kind: "k", Unreachable: true}, now)
			So(c.ejectedUntil, ShouldEqual, now.Add(duration))
		}
		So(pickedZone(b, callOf(1, 600*ms)), ShouldEqual, "y")
		retry := callOf(1, 600*ms)
		retry.Tried = []string{"y"}
		So(pickedZone(b, retry), ShouldEqual, "x")
		retry.Tried = []string{"x", "y"}
		So(pickedZone(b, retry), ShouldEqual, "")
	})
	Convey("An upstream whose first calls fail at once is not taken for a fast one", t, func() {
		b := newPair(50*ms, 50*ms)
		b.Update(Member{Node: "broken", Start: 1, Sequence: 1, Zone: "x", Service: "s", Instance: "i", Slots: 4})
		c := b.members["broken"]
		c.inFlight++
		b.Done(c, Outcome{Kind: "k", Failed: true, Elapsed: ms}, now)
		So(b.expectedTime(c, callOf(1, 600*ms), now), ShouldEqual, 50*ms)
		mean, _ := b.MeanServiceTime("s", "k")
		So(mean, ShouldEqual, 50*ms)
	})
	Convey("A draining upstream is picked only as the last resort", t, func() {
		b := newPair(50*ms, 50*ms)
		b.Update(Member{Node: "x", Start: 1, Sequence: 2, Zone: "x", Service: "s", Instance: "i-x", Slots: 4, Draining: true})
		So(pickedZone(b, callOf(1, 600*ms)), ShouldEqual, "y")
	})
}

// Guards against records that arrive out of order: an older one would undo a newer one.
func TestUpdateIgnoresOlderRecords(t *testing.T) {
	Convey("An older record is ignored; that of a new incarnation is not, whatever its sequence", t, func() {
		b := New("x")
		So(b.Update(Member{Node: "n", Start: 2, Sequence: 5, Service: "s"}), ShouldBeTrue)
		So(b.Update(Member{Node: "n", Start: 2, Sequence: 5, Service: "t"}), ShouldBeFalse)
		So(b.Update(Member{Node: "n", Start: 1, Sequence: 9, Service: "t"}), ShouldBeFalse)
		So(b.Update(Member{Node: "n", Start: 3, Sequence: 1, Service: "t"}), ShouldBeTrue)
		m, _ := b.Member("n")
		So(m.Service, ShouldEqual, "t")
	})
}

// Guards against calls to a former node whose address belongs to another node now.
func TestAddressHasOneMember(t *testing.T) {
	Convey("The member of a later process at an address replaces the earlier one", t, func() {
		b := New("x")
		b.Update(Member{Node: "old", Start: 1, Address: "10.0.0.1:1", Service: "s"})
		b.Update(Member{Node: "new", Start: 2, Address: "10.0.0.1:1", Service: "s"})
		So(b.Size(), ShouldEqual, 1)
		_, found := b.Member("new")
		So(found, ShouldBeTrue)
	})
	Convey("A late record of the earlier process does not bring it back", t, func() {
		b := New("x")
		b.Update(Member{Node: "old", Start: 1, Sequence: 1, Address: "10.0.0.1:1", Service: "s"})
		b.Update(Member{Node: "new", Start: 2, Address: "10.0.0.1:1", Service: "t"})
		So(b.Update(Member{Node: "old", Start: 1, Sequence: 2, Address: "10.0.0.1:1", Service: "s"}), ShouldBeFalse)
		So(b.Pick(callOf(1, 600*ms), now), ShouldBeNil)
	})
}

// Guards against calls that all go to one of several equal upstreams until its load is
// received again.
func TestLoadSpreadsOverEqualUpstreams(t *testing.T) {
	Convey("Calls go to the upstream of the zone with the fewest calls in flight", t, func() {
		b := New("x")
		for i := range 4 {
			b.Update(Member{Node: fmt.Sprint(i), Start: 1, Zone: "x", Service: "s", Instance: fmt.Sprint(i), Slots: 4})
		}
		counts := map[string]int{}
		for range 16 {
			counts[b.Pick(callOf(1, 300*ms), now).Node]++
		}
		for _, n := range counts {
			So(n, ShouldEqual, 4)
		}
	})
}

// Guards against an upstream that looks fast because its slow calls end without an answer,
// and against one that is never used again after it was slow.
func TestSlowUpstreamIsAvoidedThenTriedAgain(t *testing.T) {
	Convey("Calls without an answer raise the mean service time of an upstream", t, func() {
		b := newPair(50*ms, 60*ms)
		clock := now
		for range 12 {
			c := b.members["x"]
			c.inFlight++
			b.Done(c, Outcome{Kind: "k", Failed: true, Elapsed: 1500 * ms}, clock)
		}
		So(pickedZone(b, callOf(1, 600*ms)), ShouldEqual, "y")
		So(b.members["x"].serviceTimes["k"].mean, ShouldBeGreaterThan, 600*ms)
	})
	Convey("The upstream is tried again when its samples have expired", t, func() {
		b := newPair(50*ms, 60*ms)
		for range 12 {
			c := b.members["x"]
			c.inFlight++
			b.Done(c, Outcome{Kind: "k", Failed: true, Elapsed: 1500 * ms}, now)
		}
		later := now.Add(10 * time.Second)
		So(b.Pick(callOf(1, 600*ms), later).Zone, ShouldEqual, "x")
	})
}

// Guards against retries of a shed call at upstreams that have just shed calls like it.
func TestShedCallSkipsFullUpstreams(t *testing.T) {
	shed := func(b *Balancer, zone string, class queuer.Class) {
		c := b.members[zone]
		c.inFlight++
		b.Done(c, Outcome{Kind: "k", Class: class, Full: true}, now)
	}
	Convey("A retry goes to no upstream if both have just shed a call of its rank", t, func() {
		b := newPair(50*ms, 50*ms)
		for _, zone := range []string{"x", "y"} {
			shed(b, zone, queuer.ClassOf(2, false))
		}
		retry := callOf(2, 300*ms)
		retry.SkipFull = true
		So(pickedZone(b, retry), ShouldEqual, "")
		Convey("A first attempt still goes to one of them", func() {
			So(pickedZone(b, callOf(2, 300*ms)), ShouldEqual, "x")
		})
		Convey("Both are full for less urgent calls, but not for more urgent ones", func() {
			less, more, nested := callOf(3, 300*ms), callOf(1, 300*ms), callOf(2, 300*ms)
			nested.Class = queuer.Nested
			less.SkipFull, more.SkipFull, nested.SkipFull = true, true, true
			So(pickedZone(b, less), ShouldEqual, "")
			So(pickedZone(b, more), ShouldEqual, "x")
			So(pickedZone(b, nested), ShouldEqual, "x")
		})
		Convey("The upstreams count as full only until fullTTL has passed", func() {
			So(b.Pick(retry, now.Add(fullTTL)), ShouldNotBeNil)
		})
	})
}

// Guards against a hedge that goes to an upstream which has replied that it is draining,
// before its member record says so.
func TestDrainingUpstreamHasNoCapacityForHedge(t *testing.T) {
	Convey("An upstream that reported that it is draining takes no hedge", t, func() {
		b := newPair(50*ms, 50*ms)
		So(b.HasCapacity(callOf(1, 600*ms), now), ShouldBeTrue)
		for range 2 {
			c := b.Pick(callOf(1, 600*ms), now)
			b.Done(c, Outcome{Kind: "read", Load: &Load{Slots: 4, Draining: true}}, now)
		}
		So(b.HasCapacity(callOf(1, 600*ms), now), ShouldBeFalse)
	})
}

// An upstream that limits its rate of calls has free slots, but its node reports a wait. Calls that
// were placed by the slots alone would be refused there, although another upstream takes them.
func TestWaitOfUpstreamWithFreeSlotsCounts(t *testing.T) {
	Convey("The near upstream has free slots and a long wait", t, func() {
		b := newPair(100*ms, 100*ms)
		load := Load{Slots: 4}
		for class := range load.Waits {
			load.Waits[class] = 2 * time.Second
		}
		near := b.members["x"]
		near.inFlight++
		b.Done(near, Outcome{Kind: "k", Answered: true, UpstreamTime: 100 * ms, Load: &load}, now)
		So(pickedZone(b, callOf(1, 600*ms)), ShouldEqual, "y")
	})
}

// versioned returns the record of a node whose upstream has a version.
func versioned(node, version string, born int64) Member {
	return Member{Node: node, Start: 1, Sequence: 1, Zone: "x", Service: "s", Instance: "i-" + node, Slots: 4, Born: born, Version: version}
}

// Guards against nodes that take different versions for the established one, and against a version
// that is lost with a record from a node that does not send versions.
func TestEstablishedVersion(t *testing.T) {
	Convey("It is that of the upstream that started first, in whatever order the records come", t, func() {
		members := []Member{versioned("c", "v2", 3), versioned("a", "v1", 1), versioned("d", "", 0), versioned("b", "v2", 2)}
		for first := range members {
			b := New("x")
			for i := range members {
				b.Update(members[(first+i)%len(members)])
			}
			So(b.EstablishedVersion("s"), ShouldEqual, "v1")
			So(b.Knows("s", "v2", false), ShouldBeTrue)
			So(b.Knows("s", "v3", true), ShouldBeFalse)
			draining := versioned("a", "v1", 1)
			draining.Sequence, draining.Draining = 2, true
			b.Update(draining)
			So(b.EstablishedVersion("s"), ShouldEqual, "v2")
			So(b.Knows("s", "v1", false), ShouldBeFalse)
			So(b.Knows("s", "v1", true), ShouldBeTrue)
		}
	})
	Convey("A record without its version does not hide it", t, func() {
		b := New("x")
		b.Update(versioned("a", "", 1))
		So(b.EstablishedVersion("s"), ShouldBeEmpty)
		So(b.Update(versioned("a", "v1", 1)), ShouldBeTrue)
		So(b.Update(versioned("a", "", 1)), ShouldBeFalse)
		So(b.EstablishedVersion("s"), ShouldEqual, "v1")
	})
}

// Guards against calls that reach an upstream of another version than they may.
func TestVersionFilter(t *testing.T) {
	cases := []struct {
		filter VersionFilter
		nodes  []string
	}{
		{VersionFilter{}, []string{"a", "b", "c", "d"}},
		{VersionFilter{Version: "v1"}, []string{"a", "d"}},
		{VersionFilter{Version: "v2", Exact: true}, []string{"b", "c"}},
		{VersionFilter{Version: "v2", Exact: true, Nodes: []string{"c", "a"}}, []string{"c"}},
	}
	Convey("Only the upstreams that pass the filter are picked", t, func() {
		b := New("x")
		for _, m := range []Member{versioned("a", "v1", 1), versioned("b", "v2", 2), versioned("c", "v2", 3), versioned("d", "", 4)} {
			b.Update(m)
		}
		for _, c := range cases {
			info := callOf(0, time.Second)
			info.Versions = c.filter
			var picked []string
			for candidate := b.Pick(info, now); candidate != nil; candidate = b.Pick(info, now) {
				picked = append(picked, candidate.Node)
				info.Tried = append(info.Tried, candidate.Node)
			}
			slices.Sort(picked)
			So(picked, ShouldResemble, c.nodes)
		}
	})
}

// Guards against calls that go on to an upstream that hangs: attempts that hedges have overtaken are
// no samples of its service time, and none of them ends in a failure.
func TestOvertakenUpstreamIsEjected(t *testing.T) {
	Convey("An upstream that hedges have overtaken in a row is a last resort, one that answers is not", t, func() {
		b, now := New("x"), time.Unix(1000, 0)
		b.Update(Member{Node: "hanging", Start: 1, Sequence: 1, Zone: "x", Service: "s", Instance: "i", Slots: 4})
		info := PickInfo{Service: "s", Kind: "k", Objective: time.Second, Remaining: time.Second}
		lose := func() { b.Done(b.Pick(info, now), Outcome{Kind: "k", Overtaken: true}, now) }
		lose()
		b.Done(b.Pick(info, now), Outcome{Kind: "k", Answered: true, UpstreamTime: time.Millisecond}, now)
		lose()
		So(b.HasCapacity(info, now), ShouldBeTrue)
		lose()
		So(b.HasCapacity(info, now), ShouldBeFalse)
	})
}

// Guards against a hedge that shares the fault of the first attempt, or that takes capacity where it is
// short.
func TestUpstreamOfHedge(t *testing.T) {
	Convey("A call that was sent to the first upstream", t, func() {
		b, now := New("x"), time.Unix(1000, 0)
		add := func(node, address, zone string) {
			b.Update(Member{Node: node, Start: 1, Sequence: 1, Address: address, Zone: zone, Service: "s", Instance: node, Slots: 4})
		}
		add("first", "10.0.0.1:7000", "x")
		add("same VM", "10.0.0.1:7001", "x")
		add("own zone", "10.0.0.2:7000", "x")
		add("other zone", "10.0.0.3:7000", "y")
		info := PickInfo{Service: "s", Kind: "k", Objective: time.Second, Remaining: time.Second}
		record := func(node string, o Outcome) {
			o.Kind = "k"
			c := b.members[node]
			c.inFlight++
			b.Done(c, o, now)
		}
		target := func() string {
			tried := info
			tried.Tried = []string{"first"}
			if c := b.Pick(b.ForHedge(tried, now), now); c != nil {
				c.inFlight--
				return c.Node
			}
			return ""
		}
		for _, node := range []string{"first", "same VM", "own zone", "other zone"} {
			record(node, Outcome{Answered: true, UpstreamTime: 50 * time.Millisecond})
		}
		Convey("is hedged on another VM of the own zone", func() {
			So(target(), ShouldEqual, "own zone")
		})
		Convey("is hedged in another zone if calls of the kind are slow in the own one", func() {
			for range 40 {
				record("first", Outcome{Answered: true, UpstreamTime: 150 * time.Millisecond})
				record("same VM", Outcome{Answered: true, UpstreamTime: 150 * time.Millisecond})
				record("own zone", Outcome{Answered: true, UpstreamTime: 150 * time.Millisecond})
			}
			So(target(), ShouldEqual, "other zone")
		})
		Convey("is not hedged in another zone if its answer is large", func() {
			record("own zone", Outcome{Full: true})
			So(target(), ShouldEqual, "other zone")
			for range 20 {
				record("other zone", Outcome{Answered: true, UpstreamTime: 50 * time.Millisecond, Bytes: 400_000})
			}
			So(target(), ShouldEqual, "")
		})
		Convey("is not hedged at a full or unreachable upstream", func() {
			record("own zone", Outcome{Full: true})
			So(target(), ShouldEqual, "other zone")
			record("other zone", Outcome{Unreachable: true})
			So(target(), ShouldEqual, "")
		})
		Convey("is hedged less at a service whose slots are in use", func() {
			So(b.Utilisation("s", now), ShouldEqual, 0)
			So(b.Utilisation("unknown", now), ShouldEqual, fullUtilisation)
			record("own zone", Outcome{Load: &Load{InUse: 4, Waiting: 4, Slots: 4}})
			So(b.Utilisation("s", now), ShouldEqual, fullUtilisation*8/16)
			So(b.Utilisation("s", now.Add(2*loadFreshTime)), ShouldEqual, fullUtilisation*4/16)
		})
	})
}

// Guards against an upstream that hangs and seems idle, since its calls are cancelled when their hedges
// answer: calls that can't be hedged would go there.
func TestOvertakenAttemptsCountAsUnanswered(t *testing.T) {
	Convey("After an overtaken attempt the other upstream is preferred, until the first one answers", t, func() {
		b, now := New("x"), time.Unix(1000, 0)
		for _, node := range []string{"a", "b"} {
			b.Update(Member{Node: node, Start: 1, Sequence: 1, Zone: "x", Service: "s", Instance: node, Slots: 4})
		}
		info := PickInfo{Service: "s", Kind: "k", Objective: time.Second, Remaining: time.Second}
		pick := func() *Candidate {
			c := b.Pick(info, now)
			c.inFlight--
			return c
		}
		first := b.Pick(info, now)
		b.Done(first, Outcome{Kind: "k", Overtaken: true}, now)
		for range 5 {
			So(pick(), ShouldNotEqual, first)
		}
		So(first.unanswered(now.Add(sampleTTL)), ShouldEqual, 0)
		first.inFlight++
		b.Done(first, Outcome{Kind: "k", Answered: true, UpstreamTime: time.Millisecond}, now)
		So(pick(), ShouldEqual, first)
	})
}
