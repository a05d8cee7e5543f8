// Package balancer chooses the upstream of a call from what answers have told:
// load, service times and failures. It is pure: the clock is passed in.
//
// The load it answers: upstreams of unequal speed, some nearly full, cold or
// failing in part, in zones whose links are slow and dear.
package balancer

import (
	"time"
)

const (
	// unknownService stands for the service time of an upstream not used yet.
	unknownService = 50 * time.Millisecond
	// smoothing is the weight of the newest sample in means.
	smoothing = 0.15
	// loadMemory is how long a reported load is believed in full.
	loadMemory = 300 * time.Millisecond
	// coldFactor multiplies the service time of an upstream that just started.
	coldFactor = 2
	// crossZoneDelay is the round trip to another zone.
	crossZoneDelay = 8 * time.Millisecond
	// crossZoneShare is the part of a call's latency objective that must be
	// gained for it to leave the zone: bytes between zones are dear. Urgent
	// calls, of rank 0, leave for less.
	crossZoneShare       = 0.5
	crossZoneShareUrgent = 0.2
	// firstEjection and longestEjection bound how long an upstream that failed
	// is avoided; the time doubles with each failure in a row.
	firstEjection   = 300 * time.Millisecond
	longestEjection = 5 * time.Second
	// failureCost is the time that a certain failure would cost a call.
	failureCost = 2 * time.Second
	// fullMemory is how long a refusal for want of room is believed.
	fullMemory = 60 * time.Millisecond
)

// Member is a node with the upstream beside it, as the node tells of itself.
type Member struct {
	// Node is the name of the node; unique at any time.
	Node string
	// Start is when the node's process started, in Unix nanoseconds.
	Start int64
	// Sequence grows with each change that one process tells of itself.
	Sequence uint64
	// Address is where other nodes reach it.
	Address string
	Zone    string
	// Service is empty while the node knows no upstream.
	Service  string
	Instance string
	Slots    int
	// Leaving says that the upstream or the node stops soon, Stopping that the
	// node does.
	Leaving  bool
	Stopping bool
	// ColdUntil is when the upstream stops to be slow, in Unix milliseconds.
	ColdUntil int64
}

// Newer says whether m replaces other as the word of one node.
func (m Member) Newer(other Member) bool {
	if m.Start != other.Start {
		return m.Start > other.Start
	}
	return m.Sequence > other.Sequence
}

// Load is what a node says of its upstream with each result.
type Load struct {
	InUse   int
	Waiting int
	Slots   int
	// Backlog is how long a new call would wait.
	Backlog time.Duration
	Leaving bool
}

// Candidate is a member with what this node has learned of it.
type Candidate struct {
	Member

	outstanding  int
	load         Load
	loadAt       time.Time
	service      map[string]time.Duration
	failures     int
	failureRate  float64
	ejectedUntil time.Time
	fullUntil    time.Time
}

// Need describes a call to be placed.
type Need struct {
	Service string
	// Kind groups calls of like service time; the route's name.
	Kind string
	Rank int
	// Objective is the route's latency objective.
	Objective time.Duration
	// Tried names the nodes that can't take this call.
	Tried []string
}

// Balancer knows the candidates of all services. It is used under its owner's
// lock.
type Balancer struct {
	zone     string
	members  map[string]*Candidate
	services map[string][]*Candidate
}

// New returns a balancer for a node in the given zone.
func New(zone string) *Balancer {
	return &Balancer{zone: zone, members: map[string]*Candidate{}, services: map[string][]*Candidate{}}
}

// Update takes in a member's word and says whether it was news.
func (b *Balancer) Update(m Member) bool {
	c, known := b.members[m.Node]
	if known && !m.Newer(c.Member) {
		return false
	}
	if !known || c.Instance != m.Instance || c.Start != m.Start {
		c = &Candidate{service: map[string]time.Duration{}}
		b.members[m.Node] = c
	}
	c.Member = m
	b.index()
	return true
}

// Remove forgets a member.
func (b *Balancer) Remove(node string) {
	delete(b.members, node)
	b.index()
}

func (b *Balancer) index() {
	clear(b.services)
	for _, c := range b.members {
		if c.Service != "" {
			b.services[c.Service] = append(b.services[c.Service], c)
		}
	}
}

// Members returns the word of every member.
func (b *Balancer) Members() []Member {
	members := make([]Member, 0, len(b.members))
	for _, c := range b.members {
		members = append(members, c.Member)
	}
	return members
}

// Member returns the word of one member.
func (b *Balancer) Member(node string) (Member, bool) {
	c, known := b.members[node]
	if !known {
		return Member{}, false
	}
	return c.Member, true
}

// Pick returns the candidate that is expected to answer soonest at a fair price,
// or nil if every one was tried.
func (b *Balancer) Pick(n Need, now time.Time) *Candidate {
	var best *Candidate
	var bestCost time.Duration
	for _, c := range b.services[n.Service] {
		if contains(n.Tried, c.Node) {
			continue
		}
		cost := b.cost(c, n, now)
		if best == nil || cost < bestCost || (cost == bestCost && c.Node < best.Node) {
			best, bestCost = c, cost
		}
	}
	if best != nil {
		best.outstanding++
	}
	return best
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// lastResort is added to the cost of a candidate that is used only if no other
// is left.
const lastResort = time.Hour

func (b *Balancer) cost(c *Candidate, n Need, now time.Time) time.Duration {
	service := c.serviceTime(n.Kind)
	if now.UnixMilli() < c.ColdUntil {
		service *= coldFactor
	}
	cost := service + c.wait(service, now) + time.Duration(c.failureRate*float64(failureCost))
	if c.Zone != b.zone {
		cost += crossZoneDelay + b.crossZonePrice(n)
	}
	if c.Leaving || c.load.Leaving {
		cost += 2 * lastResort
	}
	if now.Before(c.ejectedUntil) {
		cost += lastResort
	}
	if now.Before(c.fullUntil) {
		cost += lastResort / 2
	}
	return cost
}

func (b *Balancer) crossZonePrice(n Need) time.Duration {
	share := crossZoneShare
	if n.Rank == 0 {
		share = crossZoneShareUrgent
	}
	return time.Duration(share * float64(n.Objective))
}

func (c *Candidate) serviceTime(kind string) time.Duration {
	if mean, known := c.service[kind]; known {
		return mean
	}
	return unknownService
}

// wait estimates the time in the queue from the calls that this node has there
// itself and from the load that the last result told.
func (c *Candidate) wait(service time.Duration, now time.Time) time.Duration {
	slots := max(1, c.Slots)
	busy := c.outstanding
	if age := now.Sub(c.loadAt); age < loadMemory {
		busy = max(busy, c.load.InUse+c.load.Waiting)
	} else if age < 4*loadMemory {
		busy = max(busy, (c.load.InUse+c.load.Waiting)/2)
	}
	utilisation := float64(busy) / float64(slots)
	if utilisation < 1 {
		// Upstreams slow down when they are nearly full.
		return time.Duration(utilisation * utilisation * float64(service) / 2)
	}
	return time.Duration((utilisation - 0.5) * float64(service))
}

// Outcome is what one hand-over taught.
type Outcome struct {
	Kind string
	// Answered says that the upstream gave a usable answer, in Service.
	Answered bool
	Service  time.Duration
	// Failed says that the upstream or its node misbehaved.
	Failed bool
	// Unreachable says that nothing can be sent there now.
	Unreachable bool
	// Full says that the upstream has no room.
	Full bool
	Load *Load
}

// Done takes in how a hand-over ended.
func (b *Balancer) Done(c *Candidate, o Outcome, now time.Time) {
	c.outstanding--
	if o.Load != nil {
		c.load, c.loadAt = *o.Load, now
	}
	if o.Full {
		c.fullUntil = now.Add(fullMemory)
	}
	switch {
	case o.Answered:
		c.failures = 0
		c.failureRate -= smoothing * c.failureRate
		c.learn(o.Kind, o.Service)
	case o.Unreachable:
		c.failures++
		c.ejectedUntil = now.Add(min(firstEjection<<min(c.failures-1, 8), longestEjection))
	case o.Failed:
		c.failureRate += smoothing * (1 - c.failureRate)
	}
}

func (c *Candidate) learn(kind string, sample time.Duration) {
	mean, known := c.service[kind]
	if !known {
		c.service[kind] = sample
		return
	}
	c.service[kind] = mean + time.Duration(smoothing*float64(sample-mean))
}

// Size returns the number of members.
func (b *Balancer) Size() int { return len(b.members) }
