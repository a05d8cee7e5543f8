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
	var work [Classes]time.Duration
	for _, t := range q.waiting {
		if class := q.class(t, now); class < lateClass {
			work[class] += q.ServiceTime(t.Kind)
		}
	}
	ahead := q.remaining()
	for class := range waits {
		ahead += work[class]
		waits[class] = q.waitBehind(ahead, Class(class), now)
	}
	return waits
}

// waitBehind is the time until the work ahead of a call is done, while more
// urgent work goes on arriving.
func (q *Queue) waitBehind(work time.Duration, class Class, now time.Time) time.Duration {
	free := float64(q.Slots) * (1 - min(mostLoad, q.loadAhead(class, now)))
	return time.Duration(float64(work) / free)
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
	q.load[ClassOf(t.Rank, t.Nested)] += q.ServiceTime(t.Kind).Seconds() / loadMemory.Seconds()
}

// Offer takes in a ticket. It settles every ticket that this decides: the new
// one if it can't be served in time, and those that it pushes past theirs.
func (q *Queue) Offer(t *Ticket, now time.Time) {
	q.sequence++
	t.sequence = q.sequence
	q.measure(t, now)
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
		position := q.pick()
		if t := q.waiting[position]; now.Add(q.least(t)).After(t.Deadline) {
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
		return a.sequence < b.sequence
	})
}

func (q *Queue) class(t *Ticket, now time.Time) Class {
	class := ClassOf(t.Rank, t.Nested)
	if class != Nested && now.Add(q.ServiceTime(t.Kind)).After(t.Objective) {
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
	work := q.remaining()
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		wait := q.waitBehind(work, q.class(t, now), now)
		if now.Add(wait + q.least(t)).After(t.Deadline) {
			t.Settled <- &Refusal{Wait: wait}
			continue
		}
		work += q.ServiceTime(t.Kind)
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// remaining is the work left in the slots, half of the mean for each call that
// runs: service times vary too widely for its age to say more.
func (q *Queue) remaining() time.Duration {
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
