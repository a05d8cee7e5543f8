package assigner

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/release/stepper"
)

var now = time.Unix(1000, 0)

// newService returns a balancer with two upstreams of v1 and two of v2.
func newService() *balancer.Balancer {
	b := balancer.New("x")
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		b.Update(balancer.Member{
			Node: fmt.Sprint(i), Start: 1, Sequence: 1, Address: fmt.Sprint(i), Zone: "x", Service: "s",
			Instance: fmt.Sprint("i-", i), Slots: 100, Born: int64(i + 1), Version: version,
		})
	}
	return b
}

// plan returns a plan that gives v2 a share.
func plan(phase stepper.Phase, share float64) Plan {
	return Plan{Service: "s", Target: "v2", Order: 1, Epoch: 5, Sequence: 1, Phase: int(phase), Share: share, Validity: 2 * time.Second}
}

// share assigns calls that all end well, and returns the fraction of those that go to v2.
func share(a *Assigner, b *balancer.Balancer, tried []string, at time.Time) float64 {
	const calls = 1000
	target := 0
	for range calls {
		info := balancer.PickInfo{Service: "s", Kind: "k", Objective: time.Second, Remaining: time.Second, Tried: tried}
		info.Versions = a.Restrict(b, info, at)
		c := b.Pick(info, at)
		a.Began(c.Member)
		if c.Version == "v2" {
			target++
		}
		o := balancer.Outcome{Kind: "k", Answered: true, UpstreamTime: time.Millisecond}
		b.Done(c, o, at)
		a.Ended(c.Member, o, at)
	}
	return float64(target) / calls
}

// Guards against calls to a version that no plan in force allows.
func TestShareFollowsPlan(t *testing.T) {
	Convey("A node", t, func() {
		a, b := New(1), newService()
		Convey("without a plan uses the established version", func() { So(share(a, b, nil, now), ShouldEqual, 0) })
		Convey("with a plan", func() {
			a.Apply(plan(stepper.Canary, 0.06), now)
			Convey("gives the share, but no retries", func() {
				So(share(a, b, nil, now), ShouldAlmostEqual, 0.06, 0.002)
				So(share(a, b, []string{"0"}, now), ShouldEqual, 0)
			})
			Convey("gives a route its own share and the named upstreams all of it", func() {
				p := plan(stepper.Canary, 0)
				p.Sequence, p.Routes, p.Nodes = 2, RouteShares{{Route: "k", Share: 0.2}}, Upstreams{{Node: "3"}}
				a.Apply(p, now)
				So(share(a, b, nil, now), ShouldAlmostEqual, 0.2, 0.002)
				r, _ := a.Report("s", now)
				for _, row := range r.Rows {
					So(row.Upstream, ShouldNotEqual, "2")
				}
			})
			Convey("uses the established version once it has expired", func() { So(share(a, b, nil, now.Add(2*time.Second)), ShouldEqual, 0) })
			Convey("ignores plans of a former controller and invalid ones", func() {
				for _, change := range []func(p *Plan){
					func(p *Plan) { p.Epoch = 4 }, func(p *Plan) { p.Sequence = 0 }, func(p *Plan) { p.Share = 1.5 },
					func(p *Plan) { p.Validity = time.Hour }, func(p *Plan) { p.Target = "" },
				} {
					p := plan(stepper.Whole, 1)
					change(&p)
					a.Apply(p, now)
				}
				So(share(a, b, nil, now), ShouldAlmostEqual, 0.06, 0.002)
			})
		})
		Convey("uses the target alone, for retries too, when the rollout settles and after it is done", func() {
			a.Apply(plan(stepper.Settling, 1), now)
			So(share(a, b, []string{"0"}, now), ShouldEqual, 1)
			So(share(a, b, nil, now.Add(3*time.Second)), ShouldEqual, 0)
			done := plan(stepper.Done, 1)
			done.Sequence = 2
			a.Apply(done, now)
			So(share(a, b, nil, now.Add(time.Hour)), ShouldEqual, 1)
			for _, node := range []string{"2", "3"} {
				m, _ := b.Member(node)
				m.Sequence, m.Draining = 2, true
				b.Update(m)
			}
			So(share(a, b, nil, now.Add(time.Hour)), ShouldEqual, 0)
		})
	})
}

// Guards against a node that goes on sending calls to a version that it sees fail, until the controller
// knows.
func TestNodeHoldsBackFromFailingVersion(t *testing.T) {
	Convey("The share falls with failures and rises with good answers", t, func() {
		a, b := New(1), newService()
		a.Apply(plan(stepper.Whole, 1), now)
		m, _ := b.Member("2")
		for range recentAnswers {
			a.Began(m)
			a.Ended(m, balancer.Outcome{Kind: "k", Failed: true}, now)
		}
		So(share(a, b, nil, now), ShouldBeBetween, 0.9, 1)
		for range recentAnswers {
			a.Began(m)
			a.Ended(m, balancer.Outcome{Kind: "k", Failed: true}, now)
		}
		taken := 0
		for range 10 {
			if a.services["s"].take("k", a.random) {
				taken++
			}
		}
		So(taken, ShouldBeBetweenOrEqual, 2, 4)
	})
}

// The rollout is done only when nothing runs at the other versions. A call that began before the order
// counts, and one of an upstream whose version became known meanwhile must not count for ever.
func TestReportCountsCallsInFlightAtOtherVersions(t *testing.T) {
	Convey("Calls in flight", t, func() {
		a := New(1)
		m := balancer.Member{Node: "0", Service: "s"}
		a.Began(m)
		a.Apply(plan(stepper.Settling, 1), now)
		r, _ := a.Report("s", now)
		So(r.OtherInFlight, ShouldEqual, 1)
		a.Ended(m, balancer.Outcome{Kind: "k", Answered: true}, now)
		r, _ = a.Report("s", now)
		So(r.OtherInFlight, ShouldEqual, 0)
	})
}

// A node that has taken part in rollouts of many services must take part in the next one: its controller
// would wait for the confirmation until the limit.
func TestEndedRolloutsLeaveRoomForOthers(t *testing.T) {
	Convey("After as many rollouts as a node keeps", t, func() {
		a := New(1)
		apply := func(name string, phase stepper.Phase, at time.Time) bool {
			p := plan(phase, 1)
			p.Service = name
			a.Apply(p, at)
			_, inForce := a.Plan(name, at)
			return inForce
		}
		for i := range maxServices - 1 {
			So(apply(fmt.Sprint("ended-", i), stepper.Done, now), ShouldBeTrue)
		}
		So(apply("running", stepper.Canary, now), ShouldBeTrue)
		later := now.Add(time.Minute)
		So(apply("running", stepper.Canary, later), ShouldBeTrue)
		So(apply("next", stepper.Canary, later), ShouldBeTrue)
		_, inForce := a.Plan("running", later)
		So(inForce, ShouldBeTrue)
		So(a.done, ShouldHaveLength, maxServices-1)
		So(a.services, ShouldHaveLength, maxServices)
	})
}
