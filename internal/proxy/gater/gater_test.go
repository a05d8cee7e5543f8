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

// pressed replays a day on which the orders' service serves a number of calls a second
// for two streams: urgent calls of its own, and nested calls of bookings that are
// admitted. Nested calls go first. It returns the parts of both that are served.
func pressed(g *Gate, rank int, capacity, urgent, booked float64, seconds int) (servedUrgent, servedBookings float64) {
	const step = 10 * time.Millisecond
	const patience = 0.5
	now := time.Unix(1000, 0)
	backlog, arrived, admitted, refused, offered := 0.0, 0.0, 0.0, 0.0, 0.0
	for range seconds * int(time.Second/step) {
		now = now.Add(step)
		g.Called(orders, 0, 250*time.Millisecond, now)
		g.Learn(bookings, orders)
		room := capacity * step.Seconds()
		for offered += booked * step.Seconds(); offered >= 1; offered-- {
			wait := time.Duration(backlog / capacity * float64(time.Second))
			if _, ok := g.Admit(bookings, rank, func(string, int) time.Duration { return wait }, now); ok {
				admitted++
				room -= 1.4
			}
		}
		arrived += urgent * step.Seconds()
		backlog = max(0, backlog+urgent*step.Seconds()-room)
		if longest := patience * capacity; backlog > longest {
			refused += backlog - longest
			backlog = longest
		}
	}
	return 1 - refused/arrived, admitted / (booked * float64(seconds))
}

func TestUrgentCallsKeepTheirPartOfAServiceThatOthersCall(t *testing.T) {
	Convey("A service that lost most of its upstreams", t, func() {
		urgent, booked := pressed(New(), 2, 360, 165, 210, 60)
		So(urgent, ShouldBeGreaterThan, 0.9)
		So(booked, ShouldBeGreaterThan, leastShare)
		Convey("does worse without the gate", func() {
			without, _ := pressed(New(), 0, 360, 165, 210, 60)
			So(without, ShouldBeLessThan, 0.5)
		})
		Convey("Room for all is left to all", func() {
			urgent, booked := pressed(New(), 2, 500, 165, 210, 60)
			So(urgent, ShouldEqual, 1)
			So(booked, ShouldBeGreaterThan, 0.99)
		})
		Convey("The others keep their least share, however short the room is", func() {
			_, booked := pressed(New(), 2, 100, 165, 210, 60)
			So(booked, ShouldBeBetween, leastShare-0.01, leastShare+0.02)
		})
	})
}

func TestSingleCallsOfAnUrgentRankHoldNothingBack(t *testing.T) {
	Convey("A service with a stray urgent call among many others", t, func() {
		g, now := New(), time.Unix(1000, 0)
		g.Learn(bookings, orders)
		long := func(string, int) time.Duration { return time.Second }
		for i := range 200 {
			now = now.Add(interval)
			g.Called(orders, 3, 100*time.Millisecond, now)
			if i == 100 {
				g.Called(orders, 0, 100*time.Millisecond, now)
			}
			_, admitted := g.Admit(bookings, 2, long, now)
			So(admitted, ShouldBeTrue)
		}
	})
}
