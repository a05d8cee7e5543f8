// Package queuer decides which call an upstream gets next and which calls wait
// in vain. The node beside the upstream sees all of its work, so slots in use
// are known exactly. The package is pure: the clock is passed in.
//
// The load it answers: more calls than slots, of several ranks, part of them
// made by upstreams for calls that were admitted earlier.
package queuer

import (
	"math"
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
	leastShare = 1.1
	// loadMemory is the time constant of the measured load.
	loadMemory = time.Second
	// ranks is how many ranks are told apart; the others count as the last.
	ranks = 4
	// inTimeShare is the part of the mean service time that must be left before the
	// objective for a call to be likely to meet it.
	inTimeShare = 1.5
	// leastLeftShare is the part of the mean service time that a call is expected
	// to need still, however long it has run.
	leastLeftShare = 0.15
	// mostLoad bounds the measured load of more urgent work, so that estimates
	// stay finite.
	mostLoad = 0.98
)

// Class is the place of a call in the order of a queue: nested calls, then calls
// that can meet their objective by rank, then the others by rank.
type Class int

// Nested is the class of calls that upstreams make.
const Nested Class = 0

// Classes is the number of classes of calls that are not late.
const Classes = 1 + ranks

// lateClass is added to the class of a call that will miss its objective.
const lateClass Class = Classes

// ClassOf returns the class of a call that is not late.
func ClassOf(rank int, nested bool) Class {
	if nested {
		return Nested
	}
	return Class(1 + min(max(rank, 0), ranks-1))
}

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
	// Arrived is when the caller first asked; it orders the tickets of a class.
	Arrived time.Time
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
	// load is the work that arrives, by class, in slots: a decaying mean.
	load   [Classes]float64
	loadAt time.Time
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

// Waits estimates how long a new call of each class would wait.
func (q *Queue) Waits(now time.Time) [Classes]time.Duration {
	var waits [Classes]time.Duration
	if len(q.running) < q.Slots || q.Slots == 0 {
		return waits
	}
	q.order(now)
	plan := q.plan(now)
	next := 0
	for class := range waits {
		for next < len(q.waiting) && q.class(q.waiting[next], now) <= Class(class) {
			plan.start(q.ServiceTime(q.waiting[next].Kind))
			next++
		}
		waits[class] = q.stretch(plan.earliest(), Class(class), now)
	}
	return waits
}

// stretch is how long a wait becomes while more urgent work goes on arriving.
func (q *Queue) stretch(wait time.Duration, class Class, now time.Time) time.Duration {
	return time.Duration(float64(wait) / (1 - min(mostLoad, q.loadAhead(class, now))))
}

// loadAhead is the part of the slots that arriving work of more urgent classes
// takes.
func (q *Queue) loadAhead(class Class, now time.Time) float64 {
	total := 0.0
	for other := range min(class, lateClass) {
		total += q.load[other]
	}
	decay := math.Exp(-now.Sub(q.loadAt).Seconds() / loadMemory.Seconds())
	return total * decay / float64(max(1, q.Slots))
}

func (q *Queue) measure(t *Ticket, now time.Time) {
	decay := math.Exp(-now.Sub(q.loadAt).Seconds() / loadMemory.Seconds())
	for class := range q.load {
		q.load[class] *= decay
	}
	q.loadAt = now
	class := q.class(t, now)
	if class >= lateClass {
		return
	}
	q.load[class] += q.ServiceTime(t.Kind).Seconds() / loadMemory.Seconds()
}

// Offer takes in a ticket. It settles every ticket that this decides: the new
// one if it can't be served in time, and those that it pushes past theirs.
func (q *Queue) Offer(t *Ticket, now time.Time) {
	q.sequence++
	t.sequence = q.sequence
	if t.Arrived.IsZero() {
		t.Arrived = now
	}
	q.measure(t, now)
	q.waiting = append(q.waiting, t)
	q.Advance(now)
}

// Advance gives free slots to waiting tickets and refuses those whose turn
// would come too late. A slot that nobody else waits for goes to a call even if
// it is unlikely to end in time.
func (q *Queue) Advance(now time.Time) {
	if len(q.waiting) == 0 {
		return
	}
	q.order(now)
	for len(q.running) < q.Slots && len(q.waiting) > 0 {
		position := q.pick()
		if t := q.waiting[position]; len(q.waiting) > 1 && now.Add(q.least(t)).After(t.Deadline) {
			q.waiting = append(q.waiting[:position], q.waiting[position+1:]...)
			t.Settled <- &Refusal{}
			continue
		}
		q.grant(position, now)
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
		if !a.Arrived.Equal(b.Arrived) {
			return a.Arrived.Before(b.Arrived)
		}
		return a.sequence < b.sequence
	})
}

func (q *Queue) class(t *Ticket, now time.Time) Class {
	class := ClassOf(t.Rank, t.Nested)
	needed := time.Duration(inTimeShare * float64(q.ServiceTime(t.Kind)))
	if class != Nested && now.Add(needed).After(t.Objective) {
		return class + lateClass
	}
	return class
}

// least is the time that must be left before a ticket's deadline.
func (q *Queue) least(t *Ticket) time.Duration {
	return time.Duration(leastShare * float64(q.ServiceTime(t.Kind)))
}

// pick returns the position of the ticket that goes next.
func (q *Queue) pick() int {
	q.grants++
	if q.grants%floorInterval != 0 {
		return 0
	}
	oldest := 0
	for i, t := range q.waiting {
		if t.Arrived.Before(q.waiting[oldest].Arrived) {
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
	plan := q.plan(now)
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		wait := q.stretch(plan.earliest(), q.class(t, now), now)
		if now.Add(wait + q.least(t)).After(t.Deadline) {
			t.Settled <- &Refusal{Wait: wait}
			continue
		}
		plan.start(q.ServiceTime(t.Kind))
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// plan returns when each slot is expected to be free, from now.
func (q *Queue) plan(now time.Time) slotPlan {
	plan := make(slotPlan, max(q.Slots, len(q.running)))
	i := 0
	for t := range q.running {
		mean := q.ServiceTime(t.Kind)
		plan[i] = max(mean-now.Sub(t.granted), time.Duration(leastLeftShare*float64(mean)))
		i++
	}
	return plan
}

// slotPlan holds when each slot is free, from now.
type slotPlan []time.Duration

func (p slotPlan) first() int {
	best := 0
	for i, free := range p {
		if free < p[best] {
			best = i
		}
	}
	return best
}

// earliest is when the next call can begin.
func (p slotPlan) earliest() time.Duration { return p[p.first()] }

// start lets the next call begin, which takes a service time.
func (p slotPlan) start(service time.Duration) { p[p.first()] += service }

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

// Release gives a slot back. A call that was answered teaches the mean; one that
// was not shows only that it would have taken longer.
func (q *Queue) Release(t *Ticket, answered bool, now time.Time) {
	if _, runs := q.running[t]; !runs {
		return
	}
	delete(q.running, t)
	if held := now.Sub(t.granted); answered || held > q.ServiceTime(t.Kind) {
		q.learn(t.Kind, held)
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
