package judger

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// tallyOf returns the tally of good answers at a time and of failures.
func tallyOf(good int, took time.Duration, failures int) *Tally {
	t := &Tally{}
	for range good {
		t.Record(false, took)
	}
	for range failures {
		t.Record(true, took)
	}
	return t
}

// answersOf returns the answers of upstreams of the target on one route, beside 1,000 answers of 20 ms of
// the established version, of which some are failures.
func answersOf(failures int, target ...*Tally) Answers {
	a := Answers{
		Established: map[string]*Tally{"r": tallyOf(1000-failures, 20*time.Millisecond, failures)},
		Target:      map[string]map[string]*Tally{"r": {}}, Upstreams: len(target),
	}
	for i, t := range target {
		a.Target["r"][fmt.Sprint(i)] = t
	}
	return a
}

// Guards against a verdict from the trouble of a single upstream, or from what the established version
// shows too, and against one that misses failures or slowness.
func TestVerdict(t *testing.T) {
	good := tallyOf(20, 20*time.Millisecond, 0)
	half := tallyOf(8, 20*time.Millisecond, 8)
	slow := tallyOf(8, 160*time.Millisecond, 0)
	cold := tallyOf(20, 50*time.Millisecond, 0)
	cases := []struct {
		name    string
		answers Answers
		bad     bool
	}{
		{"good", answersOf(0, good, good, good), false},
		{"twice as slow", answersOf(0, cold, cold, cold), false},
		{"failing", answersOf(0, half, half, half), true},
		{"slow", answersOf(0, slow, slow, slow), true},
		{"one upstream ill", answersOf(0, half, good, good), false},
		{"one upstream ill, another failing once", answersOf(0, half, good, tallyOf(19, 20*time.Millisecond, 1)), false},
		{"one upstream ill, others bad as often as the old version", answersOf(100, tallyOf(0, 0, 40), tallyOf(16, 20*time.Millisecond, 3), tallyOf(16, 20*time.Millisecond, 3)), false},
		{"two of five upstreams ill", answersOf(0, tallyOf(0, 0, 15), tallyOf(0, 0, 15), good, good, good), false},
		{"one upstream ill, no other there", answersOf(0, half), true},
		{"others fail as often", answersOf(500, half, half, half), false},
		{"few answers", answersOf(0, tallyOf(1, time.Millisecond, 1), tallyOf(1, time.Millisecond, 1)), false},
	}
	alone := answersOf(0, half)
	alone.Upstreams = 4
	Convey("The verdict", t, func() {
		for _, c := range cases {
			Convey("on a version that is "+c.name, func() { So(Judge(c.answers).Bad, ShouldEqual, c.bad) })
		}
		Convey("waits for other upstreams, of which the first is suspected", func() {
			v := Judge(alone)
			So(v.Bad, ShouldBeFalse)
			So(v.Suspects, ShouldResemble, []string{"0"})
			So(v.Enough, ShouldBeFalse)
		})
		Convey("on a route names it", func() {
			a := answersOf(0, good, good, good)
			a.Established["q"] = tallyOf(1000, 20*time.Millisecond, 0)
			a.Target["q"] = answersOf(0, half, half, half).Target["r"]
			So(Judge(a).Evidence.Route, ShouldEqual, "q")
		})
		Convey("on the last answers is not hidden by earlier ones", func() {
			before := answersOf(0, tallyOf(200, 20*time.Millisecond, 0), tallyOf(200, 20*time.Millisecond, 0), tallyOf(200, 20*time.Millisecond, 0))
			after := answersOf(0, tallyOf(205, 20*time.Millisecond, 5), tallyOf(205, 20*time.Millisecond, 5), tallyOf(205, 20*time.Millisecond, 5))
			So(Judge(after).Bad, ShouldBeFalse)
			So(Judge(after.Since(before)).Bad, ShouldBeTrue)
		})
	})
}
