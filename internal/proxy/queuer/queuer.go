// Package queuer decides which call an upstream gets next and sheds the calls that can't
// be served before their deadline. All work of an upstream passes through the node beside it,
// so the number of slots in use is known exactly. The package has no clock of its own: the
// current time is an argument.
//
// It is built for overload by calls of several ranks, some of which are nested: upstreams
// make them for calls that were admitted earlier. An upstream may also limit the rate at which it
// takes calls; free slots then wait for the next call to be due.
package queuer

import (
	"sort"
	"time"
)

const (
	// smoothing is the weight of the newest sample in a mean service time.
	smoothing = 0.08
	// defaultServiceTime is assumed until the first sample.
	defaultServiceTime = 50 * time.Millisecond
	// oldestFirstInterval is the number of picks of which one goes to the call that has
	// waited longest, whatever its rank, so that the lowest ranks are not starved.
	oldestFirstInterval = 10
	// MinRemainingFactor times the mean service time must be left before the deadline for
	// a call to get a slot that others wait for.
	MinRemainingFactor = 1.1
	// loadDecayTime is the time constant of the offered load's exponential decay.
	loadDecayTime = time.Second
	// ranks is the number of distinct ranks. Ranks beyond the last count as the last.
	ranks = 4
	// inTimeFactor times the mean service time must be left before the objective for a
	// call to count as likely to meet it.
	inTimeFactor = 1.5
	// minResidualFraction is the fraction of the mean service time that a running call
	// is expected to need still, however long it has run.
	minResidualFraction = 0.15
	// maxUtilisation caps the fraction of the slots that more urgent calls are taken to
	// need, so that estimated waits stay finite.
	maxUtilisation = 0.98
)

// Class is the priority class of a call in a queue. The lowest number goes first: nested
// calls, then by rank the calls that can meet their objective, then by rank the late ones.
type Class int

// Nested is the class of calls made by an upstream for a running call.
const Nested Class = 0

// Classes is the number of classes of calls that are not late.
const Classes = 1 + ranks

// lateOffset is added to the class of a call that is expected to miss its objective.
const lateOffset Class = Classes

// ClassOf returns the class of a call that is not late.
func ClassOf(rank int, nested bool) Class {
	if nested {
		return Nested
	}
	return Class(1 + min(max(rank, 0), ranks-1))
}

// Ticket is a call that waits for a slot or holds one.
type Ticket struct {
	// Kind groups calls with similar service times. It is the name of the route.
	Kind string
	// Rank is the urgency of the call; 0 is the most urgent.
	Rank int
	// Nested marks a call made by an upstream for a call that runs already. Nested calls
	// go first, since shedding one wastes the work done for its parent.
	Nested bool
	// Objective is the time after which an answer counts as late, Deadline the time after
	// which it is of no use.
	Objective time.Time
	Deadline  time.Time
	// Arrived is when the caller first sent the call, before any retry. Tickets of a
	// class are ordered by it.
	Arrived time.Time
	// Settled receives nil when the ticket gets a slot, or the refusal if it gets none.
	Settled chan *Refusal
	// Local marks a call whose answer does not leave the VM.
	Local bool

	sequence  uint64
	grantedAt time.Time
	// linkTime is the time on the link that is planned for the answer of a call that has a slot.
	linkTime time.Duration
}

// Refusal states why a ticket gets no slot.
type Refusal struct {
	// Wait is the estimated wait in the queue; 0 if Closed, or if a slot was free but too
	// little time was left before the deadline.
	Wait time.Duration
	// Closed reports whether the upstream takes no more calls.
	Closed bool
}

// Queue is the admission queue of one upstream. It is not safe for concurrent use: the
// owner's lock must be held.
type Queue struct {
	// Slots is the number of calls that may run at once. While it is 0, calls wait without
	// being shed.
	Slots int

	pacer        pacer
	link         link
	waiting      []*Ticket
	running      map[*Ticket]struct{}
	serviceTimes map[string]time.Duration
	sequence     uint64
	// picks counts the tickets that pick has chosen, including those shed after that.
	picks uint64
	// offeredLoad is the number of slots that the arriving calls of each class need, averaged
	// with exponential decay. Calls that are late on arrival do not count.
	offeredLoad   [Classes]float64
	offeredLoadAt time.Time
	// offeredRate is the number of calls of each class that arrive per second, averaged and
	// counted like offeredLoad.
	offeredRate [Classes]float64
}

// New returns an empty queue without slots.
func New() *Queue {
	return &Queue{running: map[*Ticket]struct{}{}, serviceTimes: map[string]time.Duration{}}
}

// NewTicket returns a ticket that is not in a queue yet. Its Arrived is zero; Offer sets it
// to the current time if the caller does not.
func NewTicket(kind string, rank int, nested bool, objective, deadline time.Time) *Ticket {
	return &Ticket{
		Kind: kind, Rank: rank, Nested: nested, Objective: objective, Deadline: deadline,
		Settled: make(chan *Refusal, 1),
	}
}

// InUse returns the number of slots in use.
func (q *Queue) InUse() int { return len(q.running) }

// Waiting returns the number of calls that wait for a slot.
func (q *Queue) Waiting() int { return len(q.waiting) }

// ServiceTime returns the mean service time of a kind of call, or a default without samples.
func (q *Queue) ServiceTime(kind string) time.Duration {
	if mean, known := q.serviceTimes[kind]; known {
		return mean
	}
	return defaultServiceTime
}

// LimitRate limits the rate at which calls start, in calls per second.
func (q *Queue) LimitRate(rate float64, now time.Time) {
	q.pacer.limit(rate, now)
	q.Advance(now)
}

// UnlimitRate ends the limit of LimitRate.
func (q *Queue) UnlimitRate(now time.Time) {
	q.pacer = pacer{}
	q.Advance(now)
}

// CountResend counts a call that is sent once more within its slot against the limit.
func (q *Queue) CountResend(now time.Time) {
	if !q.pacer.unlimited() {
		q.pacer.start(now)
	}
}

// NextStart returns the time until Advance has to be called since the limit of the rate lets a
// waiting call start, and reports whether any call waits for that alone.
func (q *Queue) NextStart(now time.Time) (time.Duration, bool) {
	if len(q.waiting) == 0 || len(q.running) >= q.Slots {
		return 0, false
	}
	shortest := q.startDelay(q.waiting[0], now)
	for _, t := range q.waiting[1:] {
		shortest = min(shortest, q.startDelay(t, now))
	}
	return shortest, true
}

// Offer adds a ticket to the queue. It may grant free slots, shed the new ticket, and shed
// tickets that the new one delays too much.
func (q *Queue) Offer(t *Ticket, now time.Time) {
	q.sequence++
	t.sequence = q.sequence
	if t.Arrived.IsZero() {
		t.Arrived = now
	}
	q.recordArrival(t, now)
	q.waiting = append(q.waiting, t)
	q.Advance(now)
}

// Advance gives free slots to waiting tickets, as the limit of the rate allows, and sheds those
// whose turn would come too late. A slot that no other ticket waits for goes to a call even if it
// is unlikely to end before its deadline. Advance must be called after each change of Slots, and
// when the time of NextStart has passed.
func (q *Queue) Advance(now time.Time) {
	if len(q.waiting) == 0 {
		return
	}
	q.order(now)
	for len(q.running) < q.Slots && len(q.waiting) > 0 && q.pacer.wait(now) == 0 {
		index := q.pick(now)
		if index < 0 {
			break
		}
		if t := q.waiting[index]; len(q.waiting) > 1 && now.Add(q.minRemaining(t)).After(t.Deadline) {
			q.waiting = append(q.waiting[:index], q.waiting[index+1:]...)
			t.Settled <- &Refusal{}
			continue
		}
		q.grant(index, now)
	}
	q.shedUnservable(now)
}

// order sorts the waiting tickets by class, then by arrival.
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

// class returns the current class of a ticket. A call becomes late in the queue when too
// little time is left before its objective; a nested call never does.
func (q *Queue) class(t *Ticket, now time.Time) Class {
	class := ClassOf(t.Rank, t.Nested)
	needed := time.Duration(inTimeFactor * float64(q.ServiceTime(t.Kind)))
	if class != Nested && now.Add(needed).After(t.Objective) {
		return class + lateOffset
	}
	return class
}

// minRemaining is the time that must be left before the deadline of a ticket for it to get a slot.
func (q *Queue) minRemaining(t *Ticket) time.Duration {
	return time.Duration(MinRemainingFactor * float64(q.ServiceTime(t.Kind)))
}

// startDelay returns the time until the limits of the rate and of the link let a ticket start.
func (q *Queue) startDelay(t *Ticket, now time.Time) time.Duration {
	delay := q.pacer.wait(now)
	if q.link.timeOf(t) > 0 {
		delay = max(delay, q.link.wait(q.ServiceTime(t.Kind), now))
	}
	return delay
}

// pick returns the index of the ticket that goes next; -1 if the link lets none start.
func (q *Queue) pick(now time.Time) int {
	next, oldest := -1, -1
	for i, t := range q.waiting {
		if q.startDelay(t, now) > 0 {
			continue
		}
		if next < 0 {
			next, oldest = i, i
		}
		if t.Arrived.Before(q.waiting[oldest].Arrived) {
			oldest = i
		}
	}
	if next < 0 {
		return -1
	}
	q.picks++
	if q.picks%oldestFirstInterval != 0 {
		return next
	}
	return oldest
}

func (q *Queue) grant(index int, now time.Time) {
	t := q.waiting[index]
	q.waiting = append(q.waiting[:index], q.waiting[index+1:]...)
	t.grantedAt = now
	q.pacer.start(now)
	t.linkTime = q.link.timeOf(t)
	q.link.start(t.linkTime, now)
	q.running[t] = struct{}{}
	t.Settled <- nil
}

// shedUnservable sheds the tickets that the work ahead of them delays past the last moment
// at which they could still be served.
func (q *Queue) shedUnservable(now time.Time) {
	if len(q.waiting) == 0 || q.Slots == 0 {
		return
	}
	schedule := q.schedule(now)
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		needed := q.link.timeOf(t)
		wait := q.expectedWait(t, schedule.earliest(q.ServiceTime(t.Kind), needed), now)
		if now.Add(wait + q.minRemaining(t)).After(t.Deadline) {
			t.Settled <- &Refusal{Wait: wait}
			continue
		}
		schedule.assign(q.ServiceTime(t.Kind), needed)
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// Withdraw removes a waiting ticket and reports whether it was waiting. If it was not, the
// ticket has a slot, which the caller must release, or was refused.
func (q *Queue) Withdraw(t *Ticket) bool {
	for i, other := range q.waiting {
		if other == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Release frees the slot of a ticket. The time it was held is a sample of the service time
// if the call was answered; otherwise it is a lower bound, used only if it exceeds the mean.
func (q *Queue) Release(t *Ticket, answered bool, now time.Time) {
	if _, runs := q.running[t]; !runs {
		return
	}
	delete(q.running, t)
	if held := now.Sub(t.grantedAt); answered || held > q.ServiceTime(t.Kind) {
		q.recordServiceTime(t.Kind, held)
	}
	q.Advance(now)
}

// Abandon frees the slot of a ticket whose call was withdrawn while it ran. How long its caller
// waited says nothing about the service time.
func (q *Queue) Abandon(t *Ticket, now time.Time) {
	if _, runs := q.running[t]; !runs {
		return
	}
	delete(q.running, t)
	// Without effect if the size of the answer has been recorded.
	q.link.recordAnswer(t, 0)
	q.Advance(now)
}

func (q *Queue) recordServiceTime(kind string, sample time.Duration) {
	mean, known := q.serviceTimes[kind]
	if !known {
		q.serviceTimes[kind] = sample
		return
	}
	q.serviceTimes[kind] = mean + time.Duration(smoothing*float64(sample-mean))
}

// RefuseAll refuses every waiting ticket because the upstream takes no more calls.
func (q *Queue) RefuseAll() {
	for _, t := range q.waiting {
		t.Settled <- &Refusal{Closed: true}
	}
	clear(q.waiting)
	q.waiting = q.waiting[:0]
}
