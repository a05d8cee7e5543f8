package hedger

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against more additional work than allowed: in a burst after a quiet time, or over a long
// time, if every call is due for a hedge.
func TestHedgesStayWithinShareInAnyWindow(t *testing.T) {
	Convey("Hedges in any 10 s are at most the share of the calls in 20 s", t, func() {
		const perSecond, seconds, share = 200, 120, 0.02
		h, begin := New(share), time.Unix(1000, 0)
		var hedges []time.Time
		for i := range perSecond * seconds {
			now := begin.Add(time.Duration(i) * time.Second / perSecond)
			h.RecordCall("s", now)
			// Every other 20 s, all calls are due for a hedge.
			if i/(perSecond*20)%2 == 1 {
				if _, denied := h.Take("s", 0, now); denied == "" {
					hedges = append(hedges, now)
				}
			}
		}
		So(len(hedges), ShouldBeGreaterThan, share*perSecond*seconds/2)
		So(len(hedges), ShouldBeLessThanOrEqualTo, share*perSecond*seconds)
		for i := range hedges {
			inWindow := 0
			for _, at := range hedges[i:] {
				if at.Sub(hedges[i]) < saveTime {
					inWindow++
				}
			}
			So(inWindow, ShouldBeLessThanOrEqualTo, 2*share*perSecond*saveTime.Seconds())
		}
	})
}

// Guards against hedges that take capacity from other calls.
func TestHedgesEndBeforeCapacityDoes(t *testing.T) {
	Convey("The price rises with the utilisation, until there is no hedge", t, func() {
		now := time.Unix(1000, 0)
		previous, atFade := 1000, 0
		for utilisation := 0; utilisation <= 1200; utilisation += 50 {
			h := New(0.1)
			for range 1000 {
				h.RecordCall("s", now)
			}
			granted := 0
			for granted <= previous {
				if _, denied := h.Take("s", utilisation, now); denied != "" {
					break
				}
				granted++
			}
			So(granted, ShouldBeLessThanOrEqualTo, previous)
			So(granted == 0, ShouldEqual, utilisation >= maxUtilisation)
			previous = granted
			if utilisation == fadeUtilisation {
				atFade = granted
			}
		}
		h := New(0.1)
		for range 1000 {
			h.RecordCall("s", now)
		}
		charge, _ := h.Take("s", maxUtilisation-50, now)
		So(charge.price, ShouldBeGreaterThan, 2*million)
		So(atFade, ShouldEqual, 100)
	})
	Convey("A hedge that reached no upstream costs nothing", t, func() {
		h, now := New(1), time.Unix(1000, 0)
		h.RecordCall("s", now)
		charge, denied := h.Take("s", 0, now)
		So(denied, ShouldBeEmpty)
		_, denied = h.Take("s", 0, now)
		So(denied, ShouldEqual, ExtraWork)
		h.Return(charge)
		h.Return(Charge{})
		_, denied = h.Take("s", 0, now)
		So(denied, ShouldBeEmpty)
	})
}

// Guards against a delay that follows a few slow upstreams, at which calls are not expected to be
// answered in time, or samples that are no longer true.
func TestDelayIsQuantileOfTheUsualUpstreams(t *testing.T) {
	k := Kind{Service: "s", Name: "k"}
	Convey("With samples of 1 to 100 ms at each upstream", t, func() {
		h, now := New(0.1), time.Unix(1000, 0)
		record := func(upstream string, factor int) {
			for i := 1; i <= 100; i++ {
				h.RecordDuration(k, upstream, time.Duration(factor*i)*time.Millisecond, now)
			}
		}
		So(h.Delay(k, now), ShouldEqual, 0)
		for i := range 5 {
			record(fmt.Sprint(i), 1)
		}
		Convey("it is the quantile that leaves half of the share, within the resolution", func() {
			So(h.Delay(k, now), ShouldBeBetween, 93*time.Millisecond, 103*time.Millisecond)
			So(h.Delay(Kind{Service: "s", Name: "other"}, now), ShouldEqual, 0)
		})
		Convey("a slow upstream does not count", func() {
			record("slow", 5)
			So(h.Delay(k, now), ShouldBeLessThan, 103*time.Millisecond)
		})
		Convey("samples are forgotten after the windows", func() {
			now = now.Add(windows * windowTime)
			for i := range 5 {
				record(fmt.Sprint(i), 2)
			}
			So(h.Delay(k, now), ShouldBeBetween, 186*time.Millisecond, 206*time.Millisecond)
			So(h.Delay(k, now.Add(time.Hour)), ShouldEqual, 0)
			So(h.kinds[k].upstreams, ShouldBeEmpty)
			h.RecordDuration(Kind{Service: "s", Name: "new"}, "0", time.Second, now.Add(time.Hour))
			So(h.kinds, ShouldHaveLength, 1)
		})
	})
}

// BenchmarkCall measures what the decisions add to one call if the setting is present.
func BenchmarkCall(b *testing.B) {
	h, now, k := New(0.02), time.Unix(1000, 0), Kind{Service: "s", Name: "k"}
	names := [...]string{"a", "b", "c", "d", "e", "f", "g", "h"}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		h.RecordCall("s", now)
		h.Delay(k, now)
		h.RecordDuration(k, names[i%len(names)], time.Duration(20+i%50)*time.Millisecond, now)
	}
}
