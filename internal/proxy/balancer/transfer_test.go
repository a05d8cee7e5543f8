package balancer

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// newLinks returns a balancer of node "own" with upstreams of equal speed in its zone, whose links
// have the given rates, and calls of kind "k" with bodies of a mean size.
func newLinks(bytes int, rates ...float64) *Balancer {
	b := New("x").WithLink("own", 1000)
	for i, rate := range rates {
		name := fmt.Sprint("n", i)
		b.Update(Member{Node: name, Start: 1, Sequence: 1, Zone: "x", Service: "s", Instance: "i-" + name, Slots: 4, LinkRate: rate})
		for range 50 {
			c := b.members[name]
			c.inFlight++
			b.Done(c, Outcome{Kind: "k", Answered: true, UpstreamTime: 100 * ms, Bytes: bytes}, now)
		}
	}
	return b
}

func pickedNode(b *Balancer, at time.Time) string {
	c := b.Pick(callOf(1, 800*ms), at)
	c.inFlight--
	c.sentSinceLoad--
	return c.Node
}

// Guards against large bodies that are sent over a slow link although a faster one leads to an
// upstream that is as good, and against placing other kinds by their links.
func TestLargeBodiesAvoidSlowLinks(t *testing.T) {
	Convey("A body of 200 KB goes over the faster link", t, func() {
		So(pickedNode(newLinks(200_000, 10, 100), now), ShouldEqual, "n1")
		So(pickedNode(newLinks(200_000, 100, 10), now), ShouldEqual, "n0")
		// Whichever of two equal ones the index holds first.
		b, call := newLinks(200_000, 10, 100), callOf(1, 800*ms)
		So(b.expectedTime(b.members["n0"], call, now)-b.expectedTime(b.members["n1"], call, now), ShouldAlmostEqual, 144*ms, ms)
	})
	Convey("Unless the slots behind it are busy for longer", t, func() {
		b := newLinks(200_000, 10, 100)
		load := Load{InUse: 4, Waiting: 8, Slots: 4}
		for class := range load.Waits {
			load.Waits[class] = 400 * ms
		}
		c := b.members["n1"]
		c.inFlight++
		b.Done(c, Outcome{Kind: "k", Load: &load}, now)
		So(pickedNode(b, now), ShouldEqual, "n0")
	})
	Convey("The own node needs no link", t, func() {
		b := newLinks(200_000, 10, 1000).WithLink("n0", 10)
		So(pickedNode(b, now), ShouldEqual, "n0")
	})
	Convey("Links do not count for small bodies, nor while their rates are unknown", t, func() {
		small, unknown := newLinks(1000, 10, 1000), newLinks(200_000, 0, 0).WithLink("own", 0)
		for _, b := range []*Balancer{small, unknown} {
			So(b.expectedTime(b.members["n0"], callOf(1, 800*ms), now), ShouldEqual, b.expectedTime(b.members["n1"], callOf(1, 800*ms), now))
		}
	})
}

// Guards against bodies that are offered again and again to a link that has just refused one.
func TestLinkThatRefusedBodyIsAvoidedUntilFree(t *testing.T) {
	Convey("After a refusal with a wait of 300 ms", t, func() {
		b := newLinks(60_000, 100, 90)
		So(pickedNode(b, now), ShouldEqual, "n0")
		c := b.members["n0"]
		c.inFlight++
		b.Done(c, Outcome{Kind: "k", LinkWait: 300 * ms}, now)
		So(pickedNode(b, now), ShouldEqual, "n1")
		So(pickedNode(b, now.Add(301*ms)), ShouldEqual, "n0")
	})
}

// Replays uploads to links of 10 and 40 Mbit/s, at a rate at which the slow ones can't carry an
// equal share.
func TestUploadsArriveEarlierOverKnownLinks(t *testing.T) {
	const perSecond, bytes = 200, 60_000
	// replay returns the mean time until an upload has arrived, and how many offers were refused.
	replay := func(known bool) (mean time.Duration, refused int) {
		rates := []float64{10, 10, 10, 10, 40, 40, 40, 40}
		stated := make([]float64, len(rates))
		if known {
			stated = rates
		}
		b := newLinks(bytes, stated...)
		// Equal candidates are chosen at random, since the order of the index is that of a map.
		random, candidates := rand.New(rand.NewSource(3)), b.services["s"]
		sort.Slice(candidates, func(i, j int) bool { return candidates[i].Node < candidates[j].Node })
		shuffle := func() {
			random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		}
		busyUntil := map[string]time.Time{}
		total, nowhere := time.Duration(0), 0
		// place sends an upload to a node, or to the next one after a refusal, and returns when it
		// has arrived; false if all refuse.
		place := func(at time.Time) (time.Time, bool) {
			info := callOf(1, 800*ms)
			shuffle()
			for c := b.Pick(info, at); c != nil; c = b.Pick(info, at) {
				free := busyUntil[c.Node]
				if free.Before(at) {
					free = at
				}
				if wait := free.Sub(at); wait > 400*ms {
					refused++
					b.Done(c, Outcome{Kind: "k", LinkWait: wait}, at)
					info.Tried = append(info.Tried, c.Node)
					continue
				}
				b.Done(c, Outcome{Kind: "k", Answered: true, UpstreamTime: 100 * ms, Bytes: bytes}, at)
				var index int
				_, _ = fmt.Sscanf(c.Node, "n%d", &index)
				busyUntil[c.Node] = free.Add(time.Duration(bytes * 8 / (rates[index] * 1e6) * float64(time.Second)))
				return busyUntil[c.Node], true
			}
			return at, false
		}
		for i := range 20 * perSecond {
			at := now.Add(time.Duration(i) * time.Second / perSecond)
			arrived, placed := place(at)
			if !placed {
				nowhere++
			}
			total += arrived.Sub(at)
		}
		So(nowhere, ShouldEqual, 0)
		return total / (20 * perSecond), refused
	}
	Convey("With rates that are known, uploads arrive earlier and are refused less often", t, func() {
		unknown, refusedUnknown := replay(false)
		known, refusedKnown := replay(true)
		t.Log("unknown rates: mean", unknown, "refused", refusedUnknown, "known: mean", known, "refused", refusedKnown)
		So(known, ShouldBeLessThan, unknown)
		So(refusedKnown, ShouldBeLessThanOrEqualTo, refusedUnknown)
	})
}
