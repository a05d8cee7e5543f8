package balancer

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
)

var now = time.Unix(1000, 0)

const ms = time.Millisecond

// two returns a balancer in zone x that knows one upstream in x and one in y,
// with the service times that it has learned.
func two(near, far time.Duration) *Balancer {
	b := New("x")
	for zone, service := range map[string]time.Duration{"x": near, "y": far} {
		b.Update(Member{Node: zone, Start: 1, Sequence: 1, Zone: zone, Service: "s", Instance: "i-" + zone, Slots: 4})
		for range 50 {
			c := b.members[zone]
			c.outstanding++
			b.Done(c, Outcome{Kind: "k", Answered: true, Service: service, Bytes: 1000}, now)
		}
	}
	return b
}

func need(rank int, objective time.Duration) Need {
	return Need{
		Service: "s", Kind: "k", Rank: rank, Class: queuer.ClassOf(rank, false),
		Objective: objective, Remaining: 4 * objective,
	}
}

// pick returns the zone of the choice.
func pick(b *Balancer, n Need) string {
	c := b.Pick(n, now)
	if c == nil {
		return ""
	}
	c.outstanding--
	return c.Zone
}

func TestCallsLeaveTheirZoneOnlyForAGain(t *testing.T) {
	Convey("A slower upstream of the own zone that answers in time is kept", t, func() {
		So(pick(two(100*ms, 40*ms), need(1, 600*ms)), ShouldEqual, "x")
	})
	Convey("One that would be late is left", t, func() {
		So(pick(two(700*ms, 100*ms), need(1, 600*ms)), ShouldEqual, "y")
	})
	Convey("Urgent calls leave for less", t, func() {
		b := two(450*ms, 100*ms)
		b.deviation["k"] = 0.3
		So(pick(b, need(0, 500*ms)), ShouldEqual, "y")
	})
	Convey("A full queue is left", t, func() {
		b := two(100*ms, 100*ms)
		load := Load{InUse: 4, Waiting: 20, Slots: 4}
		for class := range load.Waits {
			load.Waits[class] = 600 * ms
		}
		c := b.members["x"]
		c.outstanding++
		b.Done(c, Outcome{Kind: "k", Load: &load}, now)
		So(pick(b, need(1, 300*ms)), ShouldEqual, "y")
	})
}

func TestUpstreamsThatFailAreAvoided(t *testing.T) {
	Convey("One that fails a part of its calls loses them to the other zone", t, func() {
		b := two(50*ms, 50*ms)
		for range 20 {
			c := b.members["x"]
			c.outstanding++
			b.Done(c, Outcome{Kind: "k", Failed: true}, now)
		}
		So(pick(b, need(1, 600*ms)), ShouldEqual, "y")
	})
	Convey("One that can't be reached is ejected, longer each time, and used as the last resort", t, func() {
		b := two(50*ms, 50*ms)
		c := b.members["x"]
		for _, pause := range []time.Duration{300 * ms, 600 * ms, 1200 * ms} {
			c.outstanding++
			b.Done(c, Outcome{Kind: "k", Unreachable: true}, now)
			So(c.ejectedUntil, ShouldEqual, now.Add(pause))
		}
		So(pick(b, need(1, 600*ms)), ShouldEqual, "y")
		n := need(1, 600*ms)
		n.Tried = []string{"y"}
		So(pick(b, n), ShouldEqual, "x")
		n.Tried = []string{"x", "y"}
		So(pick(b, n), ShouldEqual, "")
	})
	Convey("One that leaves is the last resort", t, func() {
		b := two(50*ms, 50*ms)
		b.Update(Member{Node: "x", Start: 1, Sequence: 2, Zone: "x", Service: "s", Instance: "i-x", Slots: 4, Leaving: true})
		So(pick(b, need(1, 600*ms)), ShouldEqual, "y")
	})
}

func TestWordOfAMember(t *testing.T) {
	Convey("Older words change nothing; a new process does, whatever its sequence", t, func() {
		b := New("x")
		So(b.Update(Member{Node: "n", Start: 2, Sequence: 5, Service: "s"}), ShouldBeTrue)
		So(b.Update(Member{Node: "n", Start: 2, Sequence: 5, Service: "t"}), ShouldBeFalse)
		So(b.Update(Member{Node: "n", Start: 1, Sequence: 9, Service: "t"}), ShouldBeFalse)
		So(b.Update(Member{Node: "n", Start: 3, Sequence: 1, Service: "t"}), ShouldBeTrue)
		m, _ := b.Member("n")
		So(m.Service, ShouldEqual, "t")
	})
}

func TestAddressHasOneMember(t *testing.T) {
	Convey("A later process at an address takes the place of the former node", t, func() {
		b := New("x")
		b.Update(Member{Node: "old", Start: 1, Address: "10.0.0.1:1", Service: "s"})
		b.Update(Member{Node: "new", Start: 2, Address: "10.0.0.1:1", Service: "s"})
		So(b.Size(), ShouldEqual, 1)
		_, known := b.Member("new")
		So(known, ShouldBeTrue)
	})
}

func TestLoadSpreadsOverEqualUpstreams(t *testing.T) {
	Convey("Calls in flight go to the least loaded upstream of the zone", t, func() {
		b := New("x")
		for i := range 4 {
			b.Update(Member{Node: fmt.Sprint(i), Start: 1, Zone: "x", Service: "s", Instance: fmt.Sprint(i), Slots: 4})
		}
		counts := map[string]int{}
		for range 16 {
			counts[b.Pick(need(1, 300*ms), now).Node]++
		}
		for _, n := range counts {
			So(n, ShouldEqual, 4)
		}
	})
}

func TestUpstreamThatTurnsSlowIsLeftAndTriedAgain(t *testing.T) {
	Convey("Calls that never come back teach that an upstream is slow", t, func() {
		b := two(50*ms, 60*ms)
		clock := now
		for range 12 {
			c := b.members["x"]
			c.outstanding++
			b.Done(c, Outcome{Kind: "k", Failed: true, Waited: 1500 * ms}, clock)
		}
		So(pick(b, need(1, 600*ms)), ShouldEqual, "y")
		So(b.members["x"].service["k"].mean, ShouldBeGreaterThan, 600*ms)
	})
	Convey("It is tried again after a while, and used again once it answers", t, func() {
		b := two(50*ms, 60*ms)
		for range 12 {
			c := b.members["x"]
			c.outstanding++
			b.Done(c, Outcome{Kind: "k", Failed: true, Waited: 1500 * ms}, now)
		}
		later := now.Add(10 * time.Second)
		So(b.Pick(need(1, 600*ms), later).Zone, ShouldEqual, "x")
	})
}

func TestRefusedCallsGoOnlyWhereThereMayBeRoom(t *testing.T) {
	refuse := func(b *Balancer, zone string, class queuer.Class) {
		c := b.members[zone]
		c.outstanding++
		b.Done(c, Outcome{Kind: "k", Class: class, Full: true}, now)
	}
	Convey("Both upstreams refused a call of rank 2 just now", t, func() {
		b := two(50*ms, 50*ms)
		for _, zone := range []string{"x", "y"} {
			refuse(b, zone, queuer.ClassOf(2, false))
		}
		again := need(2, 300*ms)
		again.SkipFull = true
		So(pick(b, again), ShouldEqual, "")
		Convey("The first try goes somewhere all the same", func() {
			So(pick(b, need(2, 300*ms)), ShouldEqual, "x")
		})
		Convey("Less urgent calls find no room either, more urgent ones may", func() {
			less, more, nested := need(3, 300*ms), need(1, 300*ms), need(2, 300*ms)
			nested.Class = queuer.Nested
			less.SkipFull, more.SkipFull, nested.SkipFull = true, true, true
			So(pick(b, less), ShouldEqual, "")
			So(pick(b, more), ShouldEqual, "x")
			So(pick(b, nested), ShouldEqual, "x")
		})
		Convey("A refusal is believed for a moment only", func() {
			So(b.Pick(again, now.Add(fullMemory)), ShouldNotBeNil)
		})
	})
}
