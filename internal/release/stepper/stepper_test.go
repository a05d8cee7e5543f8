package stepper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/release/judger"
)

const limit = 16 * time.Second

// at returns the input of a rollout for which nothing is wrong.
func at(elapsed time.Duration) Input {
	return Input{
		Elapsed: elapsed, Limit: limit, Upstreams: []string{"a", "b", "c", "d"}, Established: 14,
		Verdict: judger.Verdict{Enough: true}, RouteCalls: map[string]int{"r": 900, "q": 100},
		Confirmed: true, Quiet: true, StoreResponds: true,
	}
}

// run steps each tenth of a second until a time, with the input as change makes it, and returns the last
// step.
func run(s *Stepper, until time.Duration, change func(in *Input)) Step {
	var step Step
	for elapsed := time.Duration(0); elapsed <= until; elapsed += 100 * time.Millisecond {
		in := at(elapsed)
		if change != nil {
			change(&in)
		}
		step = s.Next(in)
	}
	return step
}

// Guards against a canary that ends early or loads some upstreams only, and against steps without what
// they need.
func TestSteps(t *testing.T) {
	Convey("A rollout", t, func() {
		s := New(0.1, Waiting, 0)
		Convey("stays a canary until late, at all upstreams in turn, a rare route with a larger share", func() {
			seen := map[string]bool{}
			for elapsed := time.Duration(0); elapsed < 8*time.Second; elapsed += 100 * time.Millisecond {
				step := s.Next(at(elapsed))
				if step.Phase != Canary {
					continue
				}
				So(len(step.Nodes), ShouldEqual, 1)
				seen[step.Nodes[0]] = true
				So(step.Routes["q"], ShouldBeGreaterThan, step.Routes["r"])
				So(0.9*step.Routes["r"]+0.1*step.Routes["q"], ShouldAlmostEqual, 0.055, 0.001)
			}
			So(s.Phase(), ShouldEqual, Canary)
			So(len(seen), ShouldEqual, 4)
		})
		Convey("is settling at three quarters of the limit", func() {
			step := run(s, 12*time.Second, nil)
			So(step.Phase, ShouldEqual, Settling)
			final, is := s.Ended(at(12 * time.Second))
			So(is, ShouldBeTrue)
			So(final, ShouldEqual, Done)
			busy := at(12 * time.Second)
			busy.Quiet = false
			_, is = s.Ended(busy)
			So(is, ShouldBeFalse)
		})
		Convey("is not done, but rolled back at the end, if its upstreams stop while it is settling", func() {
			run(s, 12*time.Second, nil)
			in := at(12 * time.Second)
			in.Upstreams = nil
			So(s.Next(in).Phase, ShouldEqual, Settling)
			_, is := s.Ended(in)
			So(is, ShouldBeFalse)
			in.Elapsed = 15700 * time.Millisecond
			So(s.Next(in).Phase, ShouldEqual, RollingBack)
		})
		Convey("does not rise without the store or the nodes' confirmation, and is rolled back at the end", func() {
			for _, change := range []func(in *Input){
				func(in *Input) { in.StoreResponds = false }, func(in *Input) { in.Confirmed = false },
			} {
				s := New(0.1, Waiting, 0)
				So(run(s, 14*time.Second, change).Share, ShouldBeLessThan, 0.1)
				So(run(s, 15*time.Second, change).Phase, ShouldEqual, RollingBack)
			}
		})
		Convey("is rolled back at the end without an upstream", func() {
			step := run(s, 15*time.Second, func(in *Input) { in.Upstreams = nil })
			So(step.Phase, ShouldEqual, RollingBack)
			So(step.Why, ShouldContainSubstring, "no upstream")
		})
		Convey("is rolled back at once for a bad version, whatever the phase", func() {
			run(s, 10*time.Second, nil)
			bad := at(10*time.Second + 1)
			bad.Verdict.Bad = true
			So(s.Next(bad).Share, ShouldEqual, 0)
			So(s.Next(at(11*time.Second)).Phase, ShouldEqual, RollingBack)
		})
		Convey("goes on where the former controller was", func() {
			So(New(0.1, Whole, 10*time.Second).Next(at(10*time.Second)).Phase, ShouldEqual, Whole)
			So(New(0.1, RollingBack, 10*time.Second).Next(at(10*time.Second)).Share, ShouldEqual, 0)
		})
	})
}
