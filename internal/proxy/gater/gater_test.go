package gater

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	orders   = "orders"
	bookings = "visit-booking"
)

// simulate runs an orders service that serves capacity calls per second of two streams:
// urgent calls of its own, and the nested calls of admitted bookings of the given rank,
// 1.4 for each on average. The rates of urgent calls and bookings are given per second.
// Nested calls are served first, and urgent calls that would wait more than half a second
// are shed. It returns the fractions of urgent calls and bookings that are served.
func simulate(g *Gate, rank int, capacity, urgent, booked float64, seconds int) (servedUrgent, servedBookings float64) {
	const step = 10 * time.Millisecond
	const maxWait = 0.5
	now := time.Unix(1000, 0)
	backlog, arrived, admitted, shed, offered := 0.0, 0.0, 0.0, 0.0, 0.0
	for range seconds * int(time.Second/step) {
		now = now.Add(step)
		g.RecordCall(orders, 0, 250*time.Millisecond, now)
		g.RecordNested(bookings, orders)
		spare := capacity * step.Seconds()
		for offered += booked * step.Seconds(); offered >= 1; offered-- {
			wait := time.Duration(backlog / capacity * float64(time.Second))
			if _, ok := g.Admit(bookings, rank, func(string, int) time.Duration { return wait }, now); ok {
				admitted++
				spare -= 1.4
			}
		}
		arrived += urgent * step.Seconds()
		backlog = max(0, backlog+urgent*step.Seconds()-spare)
		if maxBacklog := maxWait * capacity; backlog > maxBacklog {
			shed += backlog - maxBacklog
			backlog = maxBacklog
		}
	}
	return 1 - shed/arrived, admitted / (booked * float64(seconds))
}

// Guards against nested calls of less urgent work that take the capacity which a service
// needs for urgent calls of its own, since a queue serves nested calls first.
func TestUrgentCallsKeepCapacityOfAServiceWithNestedCalls(t *testing.T) {
	Convey("A service that lost most of its upstreams serves its urgent calls", t, func() {
		urgent, booked := simulate(New(), 2, 360, 165, 210, 60)
		So(urgent, ShouldBeGreaterThan, 0.9)
		So(booked, ShouldBeGreaterThan, minFraction)
		Convey("It serves fewer of them if the other calls are not limited", func() {
			without, _ := simulate(New(), 0, 360, 165, 210, 60)
			So(without, ShouldBeLessThan, 0.5)
		})
		Convey("With capacity for all calls, all are admitted", func() {
			urgent, booked := simulate(New(), 2, 500, 165, 210, 60)
			So(urgent, ShouldEqual, 1)
			So(booked, ShouldBeGreaterThan, 0.99)
		})
		Convey("The minimum fraction of the other calls is admitted, however low the capacity", func() {
			_, booked := simulate(New(), 2, 100, 165, 210, 60)
			So(booked, ShouldBeBetween, minFraction-0.01, minFraction+0.02)
		})
	})
}

// Guards against a single urgent call that makes the gate limit the calls of a service
// which otherwise serves less urgent ones.
func TestStrayUrgentCallLimitsNoOtherCalls(t *testing.T) {
	Convey("A stray urgent call among many others has no effect", t, func() {
		g, now := New(), time.Unix(1000, 0)
		g.RecordNested(bookings, orders)
		long := func(string, int) time.Duration { return time.Second }
		for i := range 200 {
			now = now.Add(adjustInterval)
			g.RecordCall(orders, 3, 100*time.Millisecond, now)
			if i == 100 {
				g.RecordCall(orders, 0, 100*time.Millisecond, now)
			}
			_, admitted := g.Admit(bookings, 2, long, now)
			So(admitted, ShouldBeTrue)
		}
	})
}

// Guards against limits that multiply: a call that leads to several services without
// capacity was admitted only if it passed the limit of each.
func TestLimitsOfSeveralServicesDoNotMultiply(t *testing.T) {
	Convey("The minimum fraction is admitted however many services lack capacity", t, func() {
		g, now := New(), time.Unix(1000, 0)
		services := []string{"a", "b", "c"}
		for _, service := range services {
			g.RecordNested(bookings, service)
		}
		long := func(string, int) time.Duration { return time.Second }
		admitted := 0
		const calls = 4000
		for range calls {
			now = now.Add(10 * time.Millisecond)
			for _, service := range services {
				g.RecordCall(service, 0, 100*time.Millisecond, now)
			}
			if _, ok := g.Admit(bookings, 2, long, now); ok {
				admitted++
			}
		}
		So(float64(admitted)/calls, ShouldBeGreaterThanOrEqualTo, minFraction)
	})
}
