package queuer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// linkRun is a replay of calls with large and with small answers at an upstream behind a slow link.
type linkRun struct {
	q *Queue
	// linkFree is when the link has sent everything that was handed to it, in order.
	linkFree time.Time
	// largeInTime and largeLate count the large answers that arrive within a second, and later or
	// never. refused counts the calls that were refused.
	largeInTime, largeLate, refused int
	// small holds the times that small answers waited for the link.
	small []time.Duration
}

const (
	// slowLink is 10 Mbit/s in bytes per second.
	slowLink   = 1.25e6
	largeBytes = 90_000
	smallBytes = 400
)

// replayLink offers 28 calls per second with large answers, twice what the link carries, and 60 with
// small ones, for 20 seconds.
func replayLink(planned float64) *linkRun {
	r := &linkRun{q: New()}
	r.q.Slots = 18
	r.q.LimitLink(planned)
	random := rand.New(rand.NewPCG(1, 2))
	type call struct {
		ticket   *Ticket
		large    bool
		began    time.Time
		finishes time.Time
	}
	var waiting, running []*call
	now := start
	for ; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
		if random.Float64() < 0.028 {
			t := NewTicket("large", 1, false, now.Add(time.Second), now.Add(4*time.Second))
			waiting = append(waiting, &call{ticket: t, large: true, began: now})
			r.q.Offer(t, now)
		}
		if random.Float64() < 0.06 {
			t := NewTicket("small", 1, true, now.Add(250*time.Millisecond), now.Add(800*time.Millisecond))
			waiting = append(waiting, &call{ticket: t, began: now})
			r.q.Offer(t, now)
		}
		if delay, waits := r.q.NextStart(now); waits && delay == 0 {
			r.q.Advance(now)
		}
		waiting = slices.DeleteFunc(waiting, func(c *call) bool {
			granted, refusal := settlement(c.ticket)
			if granted {
				mean := 66.0
				if c.large {
					mean = 210
				}
				c.finishes = now.Add(time.Duration(mean * (0.7 + 0.6*random.Float64()) * float64(time.Millisecond)))
				running = append(running, c)
			}
			if refusal != nil {
				r.refused++
			}
			return granted || refusal != nil
		})
		running = slices.DeleteFunc(running, func(c *call) bool {
			if now.Before(c.finishes) {
				return false
			}
			r.send(c.ticket, c.large, c.began, now, random)
			return true
		})
	}
	return r
}

// send ends a call and sends its answer behind those that the link has not sent yet.
func (r *linkRun) send(t *Ticket, large bool, began, now time.Time, random *rand.Rand) {
	size := smallBytes
	if large {
		size = int(largeBytes * (0.4 + 1.2*random.Float64()))
	}
	r.q.RecordAnswer(t, size)
	r.q.Release(t, true, now)
	if r.linkFree.Before(now) {
		r.linkFree = now
	}
	wait := r.linkFree.Sub(now)
	r.linkFree = r.linkFree.Add(time.Duration(float64(size) / slowLink * float64(time.Second)))
	switch {
	case !large:
		r.small = append(r.small, wait)
	case r.linkFree.Sub(began) <= time.Second:
		r.largeInTime++
	default:
		r.largeLate++
	}
}

// worstSmall returns the wait that 99 of 100 small answers do not exceed.
func (r *linkRun) worstSmall() time.Duration {
	slices.Sort(r.small)
	return r.small[len(r.small)*99/100]
}

// Guards against answers that wait for the link by the second, large ones until nobody waits for them
// any more, while slots are free and every call is admitted.
func TestLargeAnswersStartAsTheLinkTakesThem(t *testing.T) {
	Convey("Twice as many large answers as a link of 10 Mbit/s carries", t, func() {
		planned, unplanned := replayLink(slowLink), replayLink(0)
		Convey("What the link carries arrives in time, the rest is refused", func() {
			const carried = 20 * linkShare * slowLink / largeBytes
			So(float64(planned.largeInTime), ShouldBeGreaterThan, carried/2)
			So(planned.largeInTime, ShouldBeGreaterThan, 3*unplanned.largeInTime)
			So(planned.largeLate, ShouldBeLessThan, planned.largeInTime)
			So(planned.refused, ShouldBeGreaterThan, 0)
		})
		Convey("Small answers do not wait behind them for long", func() {
			So(planned.worstSmall(), ShouldBeLessThan, 500*time.Millisecond)
			So(unplanned.worstSmall(), ShouldBeGreaterThan, 2*time.Second)
		})
	})
	Convey("Large answers that stay on the VM, and small ones, are not limited", t, func() {
		q := New()
		q.Slots = 2
		q.LimitLink(slowLink)
		for range 10 {
			t := ticket("large", 0, false, 0, 1000, 4000)
			q.Offer(t, at(0))
			q.RecordAnswer(t, largeBytes)
			q.Release(t, true, at(0))
		}
		first, second := ticket("large", 0, false, 0, 1000, 4000), ticket("large", 0, false, 0, 1000, 4000)
		first.Local, second.Local = true, true
		q.Offer(first, at(0))
		q.Offer(second, at(0))
		granted, _ := settlement(second)
		So(granted, ShouldBeTrue)
	})
}

// Guards against refusals for the answers of calls that were withdrawn as they got a slot: the link
// counted as busy with them.
func TestWithdrawnCallLeavesTheLink(t *testing.T) {
	Convey("A large answer is planned after calls that were abandoned", t, func() {
		q := New()
		q.Slots = 2
		q.LimitLink(slowLink)
		sample := ticket("large", 0, false, 0, 1000, 4000)
		q.Offer(sample, at(0))
		q.RecordAnswer(sample, largeBytes)
		q.Release(sample, true, at(0))
		idle := q.link.due
		for range 10 {
			t := ticket("large", 0, false, 0, 1000, 4000)
			q.Offer(t, at(1000))
			q.Abandon(t, at(1000))
		}
		So(q.link.due, ShouldHappenOnOrBefore, at(1000))
		So(q.link.due, ShouldHappenOnOrAfter, idle)
	})
}
