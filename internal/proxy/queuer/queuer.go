// Package queuer decides which call an upstream gets next and which calls wait
// in vain. The node beside the upstream sees all of its work, so slots in use
// are known exactly. The package is pure: the clock is passed in.
//
// The load it answers: more calls than slots, of several ranks, part of them
// made by upstreams for calls that were admitted earlier.
package queuer

import (
	"sort"
	"time"
)

const (
	// smoothing is the weight of the newest sample in a mean service time.
	smoothing = 0.08
	// unknownService stands for the service time before the first sample.
	unknownService = 50 * time.Millisecond
	// floorInterval is how many grants there are for each one that goes to the
	// call that has waited longest, whatever its rank.
	floorInterval = 10
	// leastShare is the part of the mean service time that must be left before
	// the deadline for a call to be worth a slot.
	leastShare = 0.5
)

// Ticket is a call that waits or runs.
type Ticket struct {
	// Kind groups calls of like service time; the route's name.
	Kind string
	// Rank is the urgency, 0 first.
	Rank int
	// Nested calls were made by an upstream for a call that runs already. They
	// go first: turning one away wastes the work of its parent.
	Nested bool
	// Objective is when the answer loses part of its use, Deadline when all.
	Objective time.Time
	Deadline  time.Time
	// Settled receives nil when the ticket gets a slot, or a refusal.
	Settled chan *Refusal

	sequence uint64
	granted  time.Time
}

// Refusal says why a ticket gets no slot.
type Refusal struct {
	// Wait is how long the work ahead of the ticket would take.
	Wait time.Duration
	// Closed says that the upstream takes no more calls at all.
	Closed bool
}

// Queue is the state of one upstream's admission. It is used under its owner's
// lock.
type Queue struct {
	// Slots is how many calls may run at once.
	Slots int

	waiting  []*Ticket
	running  map[*Ticket]struct{}
	service  map[string]time.Duration
	sequence uint64
	grants   uint64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{running: map[*Ticket]struct{}{}, service: map[string]time.Duration{}}
}

// NewTicket returns a ticket that waits for nothing yet.
func NewTicket(kind string, rank int, nested bool, objective, deadline time.Time) *Ticket {
	return &Ticket{
		Kind: kind, Rank: rank, Nested: nested, Objective: objective, Deadline: deadline,
		Settled: make(chan *Refusal, 1),
	}
}

// InUse returns the number of calls that run.
func (q *Queue) InUse() int { return len(q.running) }

// Waiting returns the number of calls that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// ServiceTime returns the mean service time of a kind of call.
func (q *Queue) ServiceTime(kind string) time.Duration {
	if mean, known := q.service[kind]; known {
		return mean
	}
	return unknownService
}

// Backlog is how long a new call of the least urgent rank would wait.
func (q *Queue) Backlog(now time.Time) time.Duration {
	if len(q.running) < q.Slots || q.Slots == 0 {
		return 0
	}
	work := q.remaining(now)
	for _, t := range q.waiting {
		work += q.ServiceTime(t.Kind)
	}
	return work / time.Duration(q.Slots)
}

// Offer takes in a ticket. It settles every ticket that this decides: the new
// one if it can't be served in time, and those that it pushes past theirs.
func (q *Queue) Offer(t *Ticket, now time.Time) {
	q.sequence++
	t.sequence = q.sequence
	q.waiting = append(q.waiting, t)
	q.Advance(now)
}

// Advance gives free slots to waiting tickets and refuses those whose turn
// would come too late.
func (q *Queue) Advance(now time.Time) {
	if len(q.waiting) == 0 {
		return
	}
	q.order(now)
	for len(q.running) < q.Slots && len(q.waiting) > 0 {
		q.grant(q.pick(), now)
	}
	q.refuseHopeless(now)
}

// order sorts by urgency: nested calls, then calls that can still meet their
// objective by rank, then the others by rank; by arrival within each.
func (q *Queue) order(now time.Time) {
	sort.SliceStable(q.waiting, func(i, j int) bool {
		a, b := q.waiting[i], q.waiting[j]
		if ca, cb := q.class(a, now), q.class(b, now); ca != cb {
			return ca < cb
		}
		return a.sequence < b.sequence
	})
}

// lateClass is added to the class of a call that will miss its objective.
const lateClass = 1 << 16

func (q *Queue) class(t *Ticket, now time.Time) int {
	if t.Nested {
		return -1
	}
	if now.Add(q.ServiceTime(t.Kind)).After(t.Objective) {
		return t.Rank + lateClass
	}
	return t.Rank
}

// pick returns the position of the ticket that goes next.
func (q *Queue) pick() int {
	q.grants++
	if q.grants%floorInterval != 0 {
		return 0
	}
	oldest := 0
	for i, t := range q.waiting {
		if t.sequence < q.waiting[oldest].sequence {
			oldest = i
		}
	}
	return oldest
}

func (q *Queue) grant(position int, now time.Time) {
	t := q.waiting[position]
	q.waiting = append(q.waiting[:position], q.waiting[position+1:]...)
	t.granted = now
	q.running[t] = struct{}{}
	t.Settled <- nil
}

// refuseHopeless walks the queue in order with the work ahead of each ticket.
func (q *Queue) refuseHopeless(now time.Time) {
	if len(q.waiting) == 0 || q.Slots == 0 {
		return
	}
	work := q.remaining(now)
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		mean := q.ServiceTime(t.Kind)
		wait := work / time.Duration(q.Slots)
		least := time.Duration(leastShare * float64(mean))
		if now.Add(wait + least).After(t.Deadline) {
			t.Settled <- &Refusal{Wait: wait}
			continue
		}
		work += mean
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// remaining is the work left in the slots, half of the mean for each call that
// runs: service times vary too widely for its age to say more.
func (q *Queue) remaining(time.Time) time.Duration {
	var work time.Duration
	for t := range q.running {
		work += q.ServiceTime(t.Kind) / 2
	}
	return work
}

// Withdraw takes out a ticket that waits and says whether it did. If not, it has
// a slot, which the caller must release, or a refusal.
func (q *Queue) Withdraw(t *Ticket) bool {
	for i, other := range q.waiting {
		if other == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Release gives a slot back. Only a call that was answered teaches the mean.
func (q *Queue) Release(t *Ticket, answered bool, now time.Time) {
	if _, runs := q.running[t]; !runs {
		return
	}
	delete(q.running, t)
	if answered {
		q.learn(t.Kind, now.Sub(t.granted))
	}
	q.Advance(now)
}

func (q *Queue) learn(kind string, sample time.Duration) {
	mean, known := q.service[kind]
	if !known {
		q.service[kind] = sample
		return
	}
	q.service[kind] = mean + time.Duration(smoothing*float64(sample-mean))
}

// RefuseAll refuses every ticket that waits.
func (q *Queue) RefuseAll() {
	for _, t := range q.waiting {
		t.Settled <- &Refusal{Closed: true}
	}
	clear(q.waiting)
	q.waiting = q.waiting[:0]
}
