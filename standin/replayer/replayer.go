// Package replayer replays a seeded load of calls on upstreams with faults, to compare policies of
// hedging. It uses the product's decisions (balancer, queuer, retrier, hedger) on a clock of its own,
// without a network.
package replayer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/hedger"
	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/retrier"
)

const (
	service = "s"
	// upstreams is the number of upstreams, with a node beside each, and faulty how many of them
	// have the fault.
	upstreams = 12
	faulty    = 2
	slots     = 4
	// meanWork is the mean service time of a call.
	meanWork = 40 * time.Millisecond
	// callSpread and attemptSpread are the standard deviations of the logarithm of the service
	// time that belong to the call at every upstream and to one attempt.
	callSpread    = 0.45
	attemptSpread = 0.25
	objective     = 250 * time.Millisecond
	deadline      = time.Second
	nearDelay     = 500 * time.Microsecond
	farDelay      = 4 * time.Millisecond
	// idempotentShare is the fraction of the calls that may be hedged.
	idempotentShare = 0.8
	maxAttempts     = 3
	maxNodes        = 6
	// hedgeDeviations is the number of mean deviations beyond the mean service time after which
	// ByDeviation hedges, as in package dispatcher.
	hedgeDeviations = 4.0
	// warmUp is the time before calls count; the faults begin then. duration is the end of the load.
	warmUp   = 4 * time.Second
	duration = 12 * time.Second
)

// retryBudget is that of package standin/mesh.
var retryBudget = retrier.Budget{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// Fault is what is wrong with the faulty upstreams.
type Fault string

// The faults.
const (
	Healthy Fault = "healthy"
	// Slow: four times slower.
	Slow Fault = "slow"
	// Noisy: 2.5 times slower, other upstreams each half second.
	Noisy Fault = "noisy"
	// Hanging: no call ends, in every other second.
	Hanging Fault = "hanging"
	// Failing: four of ten calls end early with status 500.
	Failing Fault = "failing"
	// Losing: four of ten answers never arrive.
	Losing Fault = "lost answers"
)

// Faults lists all faults.
var Faults = []Fault{Healthy, Slow, Noisy, Hanging, Failing, Losing}

// Policy is a way to hedge.
type Policy struct {
	Name string
	// ByDeviation hedges after the mean and hedgeDeviations, as the product does without the setting
	// hedging.extraWork. Tied sends each call to two upstreams of which the first to start it cancels
	// the other. ExtraWork is the limit of package hedger; 0 if it is not used.
	ByDeviation bool
	Tied        bool
	ExtraWork   float64
}

// Policies lists the policies that are compared.
var Policies = []Policy{
	{Name: "none"},
	{Name: "deviation", ByDeviation: true},
	{Name: "1 %", ExtraWork: 0.01},
	{Name: "2 %", ExtraWork: 0.02},
	{Name: "5 %", ExtraWork: 0.05},
	{Name: "10 %", ExtraWork: 0.1},
	{Name: "tied", Tied: true},
}

// Scenario is one replay.
type Scenario struct {
	Fault  Fault
	Policy Policy
	// Load is the offered work as a fraction of the capacity without faults.
	Load float64
	Seed uint64
}

// replay is the state of one replay.
type replay struct {
	Scenario
	// random draws the calls, which are the same for all policies.
	random *rand.Rand
	now    time.Time
	begin  time.Time
	events events
	// number counts the events, calls the calls.
	number int
	calls  int
	nodes  []*node
	result Result
}

// node is a node with the upstream beside it.
type node struct {
	index int
	name  string
	zone  string
	// queue, waiting and fault belong to the upstream, the other fields to the callers' side.
	queue    *queuer.Queue
	waiting  []*attempt
	balancer *balancer.Balancer
	retrier  *retrier.Retrier
	hedger   *hedger.Hedger
}

// Run replays a scenario.
func Run(s Scenario) *Result {
	r := newReplay(s)
	r.arrive()
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.run()
	}
	return &r.result
}

// newReplay returns a replay with the nodes, each of which knows all others, and no calls.
func newReplay(s Scenario) *replay {
	r := &replay{Scenario: s, random: rand.New(rand.NewPCG(s.Seed, 1)), begin: time.Unix(1000, 0)}
	r.now = r.begin
	zones := []string{"x", "y", "z"}
	for i := range upstreams {
		n := &node{
			index: i, name: fmt.Sprintf("n-%d", i), zone: zones[i%len(zones)], queue: queuer.New(),
			retrier: retrier.New(retryBudget),
			hedger:  hedger.New(s.Policy.ExtraWork),
		}
		n.queue.Slots = slots
		n.balancer = balancer.New(n.zone)
		r.nodes = append(r.nodes, n)
	}
	for _, n := range r.nodes {
		for j, m := range r.nodes {
			n.balancer.Update(balancer.Member{
				Node: m.name, Start: 1, Sequence: 1, Address: fmt.Sprintf("10.0.0.%d:7000", j+1), Zone: m.zone,
				Service: service, Instance: m.name, Slots: slots,
			})
		}
	}
	return r
}

// after runs a function after a delay.
func (r *replay) after(delay time.Duration, run func()) {
	r.number++
	heap.Push(&r.events, event{at: r.now.Add(delay), number: r.number, run: run})
}

// arrive makes one call and plans the next one.
func (r *replay) arrive() {
	if r.now.Sub(r.begin) > duration {
		return
	}
	rate := r.Load * upstreams * slots / meanWork.Seconds()
	r.calls++
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	c := &call{
		r: r, number: r.calls, at: r.nodes[r.random.IntN(upstreams)], began: r.now, idempotent: r.random.Float64() < idempotentShare,
		work: time.Duration(float64(meanWork) * spread(r.random, callSpread)),
	}
	c.begin()
}

// spread returns a factor with mean 1 whose logarithm has the given standard deviation.
func spread(random *rand.Rand, deviation float64) float64 {
	return math.Exp(random.NormFloat64()*deviation - deviation*deviation/2)
}

// faulty reports whether an upstream has the fault now.
func (r *replay) faulty(n *node) bool {
	since := r.now.Sub(r.begin) - warmUp
	if r.Fault == Healthy || since < 0 {
		return false
	}
	first := 0
	switch r.Fault {
	case Noisy:
		first = int(since/(500*time.Millisecond)) * 5 * faulty
	case Hanging:
		if since/time.Second%2 == 1 {
			return false
		}
	}
	for i := range faulty {
		if r.nodes[(first+i)%upstreams] == n {
			return true
		}
	}
	return false
}

// event runs a function at a time; those at the same time run in the order of their numbers.
type event struct {
	at     time.Time
	number int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].number < e[j].number
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
