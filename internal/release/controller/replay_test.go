package controller

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/release/assigner"
	"github.com/tamarackscale/tamarackscale/internal/release/stepper"
)

const (
	replayNodes    = 64
	replayLimit    = 16 * time.Second
	replayTick     = 5 * time.Millisecond
	exchangeTicks  = 100
	fastTicks      = 70
	decideTicks    = 20
	replayExposure = 0.1
	replaySlack    = 50
	replayWork     = 60 * time.Millisecond
)

// load is the calls of one service: the rate by route and second, and the mean time of its calls.
type load struct {
	rates map[string]float64
	work  time.Duration
}

func (l load) perSecond() float64 {
	sum := 0.0
	for _, rate := range l.rates {
		sum += rate
	}
	return sum
}

// fault returns the fraction of failures and the factor of times of an upstream of the target, on a
// route, so long after its start, with so many calls in flight at it.
type fault func(route string, age time.Duration, inFlight int) (failures, factor float64)

// ended is a call that ends at a tick.
type ended struct {
	node    int
	member  balancer.Member
	outcome balancer.Outcome
	// bad means that the fault of the version made the answer bad.
	bad bool
}

// replay is a service of 14 upstreams, of which each has a new one beside it, in a deployment of 64 nodes.
type replay struct {
	random    *rand.Rand
	load      load
	fault     fault
	ill       map[string]float64
	nodes     []*assigner.Assigner
	balancers []*balancer.Balancer
	members   []balancer.Member
	inFlight  map[string]int
	pending   map[int][]ended
	rollout   *rollout
	final     stepper.Phase
	finalAt   time.Duration
	pushed    bool

	calls, target, bad int
	// fiftieth is when the 50th bad answer of the target came, latest when its latest call was sent.
	fiftieth, latest time.Duration
}

const (
	replayUpstreams = 14
	// illFraction is the fraction of all upstreams that are slow or fail for another reason.
	illFraction = 0.16
	newStart    = 500 * time.Millisecond
)

var begin = time.Unix(1_000_000, 0)

func newReplay(seed uint64, l load, f fault, ill float64) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 1)), load: l, fault: f, ill: map[string]float64{}, inFlight: map[string]int{}, pending: map[int][]ended{},
	}
	for i := range replayNodes {
		m := balancer.Member{Node: fmt.Sprintf("n-%02d", i), Start: 1, Sequence: 1, Zone: "x", Service: "other", Address: fmt.Sprintf("10.0.0.%d:1", i)}
		switch {
		case i < replayUpstreams:
			m.Service, m.Version, m.Born, m.Slots = "s", "v1", 1+int64(i), 16
		case i < 2*replayUpstreams:
			m.Service, m.Version, m.Born, m.Slots = "s", "v2", 1000+int64(i), 16
		}
		m.Instance = "i-" + m.Node
		r.members = append(r.members, m)
	}
	// As many upstreams of either version are ill, drawn at random.
	for version := range 2 {
		for _, i := range r.random.Perm(replayUpstreams)[:int(ill*replayUpstreams)] {
			r.ill[r.members[version*replayUpstreams+i].Node] = 0.4
		}
	}
	for i := range replayNodes {
		r.nodes = append(r.nodes, assigner.New(seed+uint64(i)))
		b := balancer.New("x")
		for _, m := range r.members {
			b.Update(m)
		}
		r.balancers = append(r.balancers, b)
	}
	r.rollout = newRollout(order{Order: stepper.Order{Service: "s", Target: "v2", Limit: replayLimit}, id: 7}, 1, begin, begin)
	return r
}

// call makes one call of a node, of which a failure is tried again once.
func (r *replay) call(node int, route string, tried []string, tick int, now time.Time) {
	elapsed := now.Sub(begin)
	info := balancer.PickInfo{Service: "s", Kind: route, Objective: time.Second, Remaining: 4 * time.Second, Tried: tried}
	info.Versions = r.nodes[node].Restrict(r.balancers[node], info, now)
	c := r.balancers[node].Pick(info, now)
	if c == nil {
		return
	}
	m := c.Member
	r.nodes[node].Began(m)
	r.balancers[node].Done(c, balancer.Outcome{}, now)
	r.calls++
	failures, factor := r.ill[m.Node], 1.0
	if r.ill[m.Node] > 0 && m.Born%2 == 0 {
		failures, factor = 0, 6
	}
	faulty := false
	if m.Version == "v2" {
		r.target++
		r.latest = elapsed
		f, slow := r.fault(route, elapsed-newStart, r.inFlight[m.Node])
		faulty = r.random.Float64() < f || slow > 1
		factor = max(factor, slow)
		if faulty && slow == 1 {
			failures = 1
		}
	}
	took := time.Duration(factor * float64(r.load.work) * (0.5 + r.random.ExpFloat64()/2))
	failed := r.random.Float64() < failures
	r.inFlight[m.Node]++
	end := tick + max(1, int(took/replayTick))
	outcome := balancer.Outcome{Kind: route, Answered: !failed, Failed: failed, UpstreamTime: took, Elapsed: took}
	r.pending[end] = append(r.pending[end], ended{node: node, member: m, outcome: outcome, bad: faulty})
	if failed && len(tried) == 0 {
		r.call(node, route, []string{m.Node}, tick, now)
	}
}

// run replays the rollout until its limit.
func (r *replay) run() {
	for tick := range int(replayLimit / replayTick) {
		now := begin.Add(time.Duration(tick) * replayTick)
		for _, e := range r.pending[tick] {
			r.inFlight[e.member.Node]--
			r.nodes[e.node].Ended(e.member, e.outcome, now)
			if e.bad {
				if r.bad++; r.bad == 50 {
					r.fiftieth = now.Sub(begin)
				}
			}
		}
		delete(r.pending, tick)
		for _, route := range slices.Sorted(maps.Keys(r.load.rates)) {
			for expected := r.load.rates[route] * replayTick.Seconds(); expected > 0; expected-- {
				if r.random.Float64() < expected {
					r.call(r.random.IntN(replayNodes), route, nil, tick, now)
				}
			}
		}
		r.exchange(tick, now)
	}
}

// exchange lets the controller exchange with the nodes in turn, each twice a second.
func (r *replay) exchange(tick int, now time.Time) {
	members := r.members
	if now.Sub(begin) < newStart {
		members = append(append([]balancer.Member{}, members[:replayUpstreams]...), members[2*replayUpstreams:]...)
	}
	if tick%decideTicks == 0 {
		if final, is := r.rollout.decide(members, replayExposure, true, now); is && !r.rollout.stepper.Phase().Final() {
			r.final, r.finalAt = final, now.Sub(begin)
			r.rollout.close(final, now)
		}
	}
	interval := exchangeTicks
	if phase := r.rollout.phase(); phase >= stepper.Ramp && phase <= stepper.Settling {
		interval = fastTicks
	}
	push := r.rollout.phase() == stepper.RollingBack && !r.pushed
	r.pushed = r.pushed || push
	for i, a := range r.nodes {
		if push || (tick+i*interval/replayNodes)%interval == 0 {
			a.Apply(r.rollout.plan(now), now)
			report, _ := a.Report("s", now)
			r.rollout.receive(peerOf(r.members[i]), report, now)
		}
	}
}

// exposureBound is the number of calls that a bad version may get.
func (r *replay) exposureBound() float64 { return replayExposure*float64(r.calls) + replaySlack }

var fourRoutes = map[string]float64{"a": 0.5, "b": 0.3, "c": 0.15, "d": 0.05}

// loadOf returns a load of so many calls a second on four routes of unequal rates.
func loadOf(perSecond float64) load {
	rates := map[string]float64{}
	for route, fraction := range fourRoutes {
		rates[route] = fraction * perSecond
	}
	return load{rates: rates, work: replayWork}
}

// never is the fault of a good version.
func never(string, time.Duration, int) (float64, float64) { return 0, 1 }

// Guards against versions that reach too many callers before they are rolled back, whatever makes them
// bad and whenever, beside upstreams that are slow or fail for another reason.
func TestBadVersionIsRolledBackInTime(t *testing.T) {
	after := func(start time.Duration, f fault) fault {
		return func(route string, age time.Duration, inFlight int) (float64, float64) {
			if age < start {
				return 0, 1
			}
			return f(route, age, inFlight)
		}
	}
	half := func(string, time.Duration, int) (float64, float64) { return 0.5, 1 }
	slow := func(string, time.Duration, int) (float64, float64) { return 0, 8 }
	casesAt := func(perSecond float64) map[string]fault {
		return map[string]fault{
			"at once": half, "slow": slow, "late": after(3*time.Second, half), "later": after(7*time.Second, half),
			"latest": after(9500*time.Millisecond, half), "slow and late": after(5*time.Second, slow),
			"under load": func(_ string, _ time.Duration, inFlight int) (float64, float64) {
				if float64(inFlight) < 0.8*perSecond*replayWork.Seconds()/replayUpstreams {
					return 0, 1
				}
				return 0.6, 1
			},
			"on one route": func(route string, _ time.Duration, _ int) (float64, float64) {
				if route == "c" {
					return 0.5, 1
				}
				return 0, 1
			},
			"on a rare route": func(route string, _ time.Duration, _ int) (float64, float64) {
				if route == "d" {
					return 0.5, 1
				}
				return 0, 1
			},
		}
	}
	for _, c := range []struct{ perSecond, ill float64 }{{911, 0}, {911, illFraction}, {228, illFraction}} {
		for name, f := range casesAt(c.perSecond) {
			Convey(fmt.Sprintf("%s, %v calls/s, %v ill", name, c.perSecond, c.ill), t, func() {
				r := newReplay(1, loadOf(c.perSecond), f, c.ill)
				r.run()
				t.Logf("%s %v/s ill %v: %s at %v, %d of %d calls (bound %.0f), %d bad",
					name, c.perSecond, c.ill, r.final, r.finalAt, r.target, r.calls, r.exposureBound(), r.bad)
				So(r.final, ShouldEqual, stepper.RolledBack)
				So(float64(r.target), ShouldBeLessThan, r.exposureBound())
				if r.bad >= 50 {
					So(r.latest-r.fiftieth, ShouldBeLessThan, 5*time.Second)
				}
			})
		}
	}
}

// Guards against good versions that are rolled back for the trouble of single upstreams, or that are not
// done long before the limit.
func TestGoodVersionIsDoneInTime(t *testing.T) {
	for _, perSecond := range []float64{911, 228, 40} {
		for _, ill := range []float64{0, illFraction} {
			for seed := range uint64(2) {
				Convey(fmt.Sprintf("%v calls/s, %v ill, seed %d", perSecond, ill, seed), t, func() {
					r := newReplay(seed, loadOf(perSecond), never, ill)
					r.run()
					t.Logf("good %v/s ill %v seed %d: %s at %v, share until then %.3f, %v", perSecond, ill, seed, r.final, r.finalAt, float64(r.target)/float64(r.calls), r.rollout.verdict)
					So(r.final, ShouldEqual, stepper.Done)
					So(r.finalAt, ShouldBeLessThan, replayLimit-4*time.Second)
				})
			}
		}
	}
}
