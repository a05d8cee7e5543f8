package shaper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var now = time.Unix(1000, 0)

// kilobytes is a size that a link of 10 Mbit/s carries in less than a millisecond.
const kilobytes = 1000

// offered returns an offer of a class that has four seconds.
func offered(bytes, class int) *Offer {
	return NewOffer(bytes, class, now.Add(800*time.Millisecond), now.Add(4*time.Second), func(time.Time) Slots { return Slots{} })
}

// state returns whether an offer is granted, refused or waits.
func state(o *Offer) string {
	select {
	case refusal := <-o.Settled:
		if refusal == nil {
			return "granted"
		}
		return "refused"
	default:
		return "waits"
	}
}

// refusalOf returns the refusal of an offer, which must have been refused.
func refusalOf(o *Offer) *Refusal {
	So(len(o.Settled), ShouldEqual, 1)
	refusal := <-o.Settled
	So(refusal, ShouldNotBeNil)
	return refusal
}

// More bytes on the way than the window would hold up small calls.
func TestGrantedBytesAreBounded(t *testing.T) {
	Convey("A link of 10 Mbit/s", t, func() {
		s := New(10)
		first, second, third := offered(60*kilobytes, 1), offered(40*kilobytes, 1), offered(20*kilobytes, 1)
		for _, o := range []*Offer{first, second, third} {
			s.Offer(o, now)
		}
		So([]string{state(first), state(second), state(third)}, ShouldResemble, []string{"granted", "granted", "waits"})
		s.Received(first, now.Add(50*time.Millisecond))
		So(state(third), ShouldEqual, "granted")
		So(s.Outstanding(), ShouldEqual, 60*kilobytes)
	})
	Convey("A body that exceeds the window is granted in pieces, with others between them", t, func() {
		s := New(10)
		large, small, urgent := offered(360*kilobytes, 1), offered(60*kilobytes, 1), offered(60*kilobytes, 0)
		s.Offer(large, now)
		s.Offer(small, now)
		So([]string{state(large), state(small)}, ShouldResemble, []string{"granted", "waits"})
		So(large.Granted, ShouldEqual, 53_125)
		s.Offer(urgent, now)
		s.Continue(large, now.Add(50*time.Millisecond))
		So([]string{state(large), state(small), state(urgent)}, ShouldResemble, []string{"waits", "waits", "granted"})
		s.Received(urgent, now.Add(110*time.Millisecond))
		So([]string{state(large), state(small)}, ShouldResemble, []string{"granted", "waits"})
		So(large.Bytes, ShouldEqual, 360*kilobytes-53_125)
	})
	Convey("A link of unknown rate takes all", t, func() {
		s := New(0)
		for range 10 {
			o := offered(360*kilobytes, 1)
			s.Offer(o, now)
			So(state(o), ShouldEqual, "granted")
		}
	})
}

// A body that nobody waits for any more would take the turn of others.
func TestWithdrawnOffersFreeTheLink(t *testing.T) {
	for _, granted := range []bool{true, false} {
		Convey("The caller of an offer leaves", t, func() {
			s := New(10)
			first, left, last := offered(100*kilobytes, 1), offered(100*kilobytes, 1), offered(100*kilobytes, 1)
			if granted {
				first = left
			}
			s.Offer(first, now)
			if !granted {
				s.Offer(left, now)
			}
			s.Offer(last, now)
			s.Withdraw(left, now)
			if !granted {
				s.Received(first, now)
			}
			So(state(last), ShouldEqual, "granted")
			So(s.Outstanding(), ShouldEqual, 100*kilobytes)
		})
	}
	Convey("The sender of a granted body ends, or its deadline passes", t, func() {
		s := New(10)
		lost, last := offered(100*kilobytes, 1), offered(100*kilobytes, 1)
		s.Offer(lost, now)
		s.Offer(last, now)
		s.Advance(now.Add(lossDelay))
		So(state(last), ShouldEqual, "waits")
		s.Advance(now.Add(lossDelay + 100*time.Millisecond))
		So(state(last), ShouldEqual, "granted")
	})
}

// An urgent body must not wait for less urgent ones, nor one in time for those that are late, and
// none must wait forever.
func TestOffersAreGrantedByClassAndDeadline(t *testing.T) {
	// order returns the order in which offers behind another one are granted.
	order := func(offers ...*Offer) []int {
		s := New(10)
		busy := offered(100*kilobytes, 0)
		s.Offer(busy, now)
		for _, o := range offers {
			s.Offer(o, now)
		}
		var granted []int
		for range offers {
			s.Received(busy, now)
			for i, o := range offers {
				if state(o) == "granted" {
					granted, busy = append(granted, i), o
				}
			}
		}
		return granted
	}
	Convey("Classes, deadlines and an objective that can't be met", t, func() {
		early, late := offered(100*kilobytes, 1), offered(100*kilobytes, 0)
		early.Deadline = early.Deadline.Add(-time.Second)
		late.Objective = now.Add(50 * time.Millisecond)
		So(order(late, offered(100*kilobytes, 2), offered(100*kilobytes, 1), early, offered(100*kilobytes, 0)), ShouldResemble, []int{4, 3, 2, 1, 0})
	})
	Convey("The offer that has waited longest, although others are more urgent", t, func() {
		offers := []*Offer{offered(100*kilobytes, 3)}
		for range 12 {
			offers = append(offers, offered(100*kilobytes, 1))
		}
		So(order(offers...)[:oldestFirstInterval], ShouldContain, 0)
	})
}

// An offer that is held until its deadline passes costs its caller the time to go elsewhere.
func TestHopelessOffersAreRefusedAtOnce(t *testing.T) {
	Convey("Behind bodies that take the link beyond its deadline", t, func() {
		s := New(10)
		for range 10 {
			s.Offer(offered(360*kilobytes, 1), now)
		}
		last := offered(360*kilobytes, 2)
		last.Deadline = now.Add(3 * time.Second)
		s.Offer(last, now)
		refusal := refusalOf(last)
		So(refusal.Link, ShouldBeTrue)
		So(refusal.Wait, ShouldAlmostEqual, 3388*time.Millisecond, 10*time.Millisecond)
	})
	Convey("Where no slot is free in time", t, func() {
		s := New(10)
		o := offered(60*kilobytes, 1)
		o.Slots = func(time.Time) Slots {
			return Slots{Wait: 3950 * time.Millisecond, Service: 100 * time.Millisecond, Count: 2}
		}
		s.Offer(o, now)
		refusal := refusalOf(o)
		So(refusal.Link, ShouldBeFalse)
		So(refusal.Wait, ShouldEqual, 3950*time.Millisecond)
	})
	Convey("A body is not sent long before a slot is free", t, func() {
		s := New(10)
		o := offered(60*kilobytes, 1)
		free := now.Add(time.Second)
		o.Slots = func(now time.Time) Slots {
			return Slots{Wait: free.Sub(now), Service: 100 * time.Millisecond, Count: 2}
		}
		s.Offer(o, now)
		So(state(o), ShouldEqual, "waits")
		s.Advance(now.Add(900 * time.Millisecond))
		So(state(o), ShouldEqual, "granted")
	})
}
