package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/bundle/compiler"
	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/internal/serving/limiter"
)

// Heartbeat is what an upstream sends about itself to the node on its VM.
type Heartbeat struct {
	// Address is IP:port.
	Address string `json:"address"`
	Service string `json:"service"`
	// Slots is the number of calls that the upstream can run at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the upstream accepts; 0 if the
	// heartbeat states none.
	Connections int `json:"connections"`
	// State is "warming", "ready" or "draining".
	State string `json:"state"`
}

// Admitter controls the admission of calls to one upstream. It is safe for
// concurrent use.
type Admitter struct {
	discipline Discipline

	mu       sync.Mutex
	queue    *Queue
	version  int64
	ranks    map[string]int
	policy   policy
	upstream Heartbeat
	state    merger.EndpointState
	readyAt  time.Time
	adaptive limiter.AdaptiveLimit
	// nodeDraining is set when the node begins to stop, and never reset.
	nodeDraining bool
	// idle is closed and replaced whenever a call is released or withdrawn and no slot
	// is in use then.
	idle chan struct{}
}

// policy is the part of a service's endpoint policy that bounds the slots.
type policy struct {
	maxSlots       int
	maxConnections int
	warmUp         time.Duration
}

// New returns an admitter without an upstream. It refuses all calls until Configure
// and SetUpstream have been called.
func New(discipline Discipline) *Admitter {
	return &Admitter{discipline: discipline, idle: make(chan struct{})}
}

// Configure applies the ranks of a bundle version and its policy for the
// upstream's service. A version that is not newer than the current one is ignored.
// Queued calls stay queued; those of a removed rank move to the least urgent one.
func (a *Admitter) Configure(table *compiler.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if table.Version <= a.version {
		return
	}
	var ranks []Rank
	for _, rank := range table.Bundle.Ranks {
		ranks = append(ranks, Rank{Name: rank.Name, Floor: rank.Floor, MaxQueue: rank.MaxQueue})
	}
	next := NewQueue(ranks, a.discipline)
	if a.queue != nil {
		a.transfer(next, table.Ranks)
	}
	a.queue, a.ranks, a.version = next, table.Ranks, table.Version
	a.applyPolicy(table)
	a.grant()
}

// transfer copies the slots in use, the mean service time and the queued tickets
// to the next queue.
func (a *Admitter) transfer(next *Queue, ranks map[string]int) {
	next.inUse, next.meanService, next.sequence = a.queue.inUse, a.queue.meanService, a.queue.sequence
	for old, tickets := range a.queue.waiting {
		rank, exists := ranks[a.queue.ranks[old].Name]
		if !exists {
			rank = len(next.ranks) - 1
		}
		for _, ticket := range tickets {
			if !ticket.dequeued {
				ticket.Rank = rank
				next.waiting[rank] = append(next.waiting[rank], ticket)
				next.depth[rank]++
			}
		}
	}
}

// applyPolicy sets the policy of the upstream's service. If the table has no such
// service, it allows one slot and one connection.
func (a *Admitter) applyPolicy(table *compiler.Table) {
	a.policy = policy{maxSlots: 1, maxConnections: 1}
	if service := table.Services[a.upstream.Service]; service != nil {
		limits := service.EndpointPolicy
		a.policy = policy{maxSlots: limits.MaxSlots, maxConnections: limits.MaxConnections, warmUp: limits.WarmUp.Std()}
	}
}

// SetUpstream sets the upstream's heartbeat and state. It refuses the queued calls
// if the upstream now takes no calls. After Drain the state stays Draining. A nil
// table leaves the policy as it is.
func (a *Admitter) SetUpstream(upstream Heartbeat, state merger.EndpointState, table *compiler.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.nodeDraining {
		state = merger.Draining
	}
	if state == merger.Ready && a.state != merger.Ready {
		a.readyAt = time.Now()
	}
	a.upstream, a.state = upstream, state
	if table != nil {
		a.applyPolicy(table)
	}
	if !a.acceptsCalls() {
		a.refuseWaiting()
	}
	a.grant()
}

// refuseWaiting refuses all queued calls, so that they can be retried at other
// endpoints. The caller holds the lock.
func (a *Admitter) refuseWaiting() {
	if a.queue == nil {
		return
	}
	refusal := framer.Refuse(framer.NodeDraining, "the endpoint is %s", a.state)
	for _, ticket := range a.queue.RefuseAll(refusal) {
		close(ticket.Settled)
	}
}

// State returns the endpoint's state and the time at which it last became ready.
func (a *Admitter) State() (merger.EndpointState, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state, a.readyAt
}

// Upstream returns the latest heartbeat of the upstream.
func (a *Admitter) Upstream() Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.upstream
}

// Drain refuses the queued calls and all later ones. Calls that run are not
// affected. It cannot be undone.
func (a *Admitter) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state, a.nodeDraining = merger.Draining, true
	a.refuseWaiting()
}

// Load returns the endpoint's current load.
func (a *Admitter) Load() framer.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	load := framer.Load{ShedFrom: -1, Draining: !a.acceptsCalls()}
	if a.queue != nil {
		load.InUse, load.Slots = a.queue.InUse(), a.queue.Slots
		load.Waiting, load.ShedFrom = a.queue.Waiting(), a.queue.ShedFrom()
	}
	return load
}

func (a *Admitter) acceptsCalls() bool { return a.state == merger.Ready || a.state == merger.Warming }

// Admit waits for a slot, at most until the deadline. The caller must call Release
// once for each ticket that it gets. The error is a *framer.Refusal with outcome
// not-run. An unknown rank counts as the least urgent one.
func (a *Admitter) Admit(ctx context.Context, service, rank string, deadline time.Time) (*Ticket, error) {
	ticket := &Ticket{Deadline: deadline, Settled: make(chan struct{})}
	if refusal := a.offer(ticket, service, rank); refusal != nil {
		return nil, refusal
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-ticket.Settled:
	case <-ctx.Done():
		return nil, a.withdraw(ticket, framer.Refuse(framer.Cancelled, "the caller disconnected"))
	case <-timer.C:
		return nil, a.withdraw(ticket, framer.Refuse(framer.DeadlineExceeded, "the deadline passed while the call was queued"))
	}
	if ticket.Refusal != nil {
		return nil, ticket.Refusal
	}
	return ticket, nil
}

// offer queues a ticket, or returns the refusal if this upstream cannot take the call.
func (a *Admitter) offer(ticket *Ticket, service, rank string) *framer.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue == nil {
		return framer.Refuse(framer.NoVersion, "no version is in force at the endpoint's node")
	}
	if !a.acceptsCalls() {
		return framer.Refuse(framer.NodeDraining, "the endpoint is %s", a.state)
	}
	if a.upstream.Service != service {
		return framer.Refuse(framer.WrongEndpoint, "the endpoint serves %q", a.upstream.Service)
	}
	position, known := a.ranks[rank]
	if !known {
		position = len(a.ranks) - 1
	}
	ticket.Rank = position
	a.queue.Slots = a.slots(time.Now())
	if refusal := a.queue.Offer(ticket, time.Now()); refusal != nil {
		return refusal
	}
	a.grant()
	return nil
}

// withdraw removes a ticket from the queue and returns the given refusal. If the ticket
// got a slot in the meantime, the slot is freed without a sample of the service time.
func (a *Admitter) withdraw(ticket *Ticket, refusal *framer.Refusal) *framer.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.queue.Withdraw(ticket) && ticket.Refusal == nil {
		a.queue.inUse--
		a.grant()
	}
	a.notifyIdle()
	return refusal
}

// Release frees the slot of a call that held it for the given time. Shed reports
// whether the upstream shed the call; such a call counts against the adaptive limit
// and not towards the mean service time. All other calls count as completed.
func (a *Admitter) Release(held time.Duration, shed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if shed {
		a.adaptive.OnShed(a.queue.InUse(), time.Now())
		a.queue.inUse--
	} else {
		a.adaptive.OnSuccess(a.allowed())
		a.queue.Release(held)
	}
	a.grant()
	a.notifyIdle()
}

// notifyIdle wakes WaitIdle if no slot is in use. The caller holds the lock.
func (a *Admitter) notifyIdle() {
	if a.queue.InUse() == 0 {
		close(a.idle)
		a.idle = make(chan struct{})
	}
}

// allowed returns the number of slots that policy and heartbeat permit, at
// least 1. Each running call has its own connection, so there are never more slots
// than connections.
func (a *Admitter) allowed() int {
	allowed := min(a.policy.maxSlots, a.policy.maxConnections, a.upstream.Slots)
	if a.upstream.Connections > 0 {
		allowed = min(allowed, a.upstream.Connections)
	}
	return max(1, allowed)
}

// slots returns the number of slots to use now: the permitted ones, reduced during
// warm-up and by the adaptive limit.
func (a *Admitter) slots(now time.Time) int {
	if a.state == merger.Absent {
		return 0
	}
	allowed := limiter.Ramp(a.allowed(), a.readyAt, now, a.policy.warmUp)
	return a.adaptive.Limit(allowed)
}

// grant gives free slots to queued calls and wakes those that got a slot or were
// refused. The caller holds the lock.
func (a *Admitter) grant() {
	if a.queue == nil {
		return
	}
	a.queue.Slots = a.slots(time.Now())
	for _, ticket := range a.queue.Grant(time.Now()) {
		close(ticket.Settled)
	}
}

// WaitIdle waits until no call runs or is queued. It returns the error of ctx if
// ctx ends first.
func (a *Admitter) WaitIdle(ctx context.Context) error {
	for {
		a.mu.Lock()
		busy := a.queue != nil && (a.queue.InUse() > 0 || a.queue.Waiting() > 0)
		idle := a.idle
		a.mu.Unlock()
		if !busy {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle:
		}
	}
}
