// Package admitter implements admission control for the upstream on the node's VM:
// it decides which calls run there and when. All calls to the upstream pass through
// this node, so the node counts the slots in use exactly and does not depend on
// load figures from the upstream.
package admitter

import (
	"time"

	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
)

// Rank is the policy of one rank. Ranks are listed from the most to the least
// urgent.
type Rank struct {
	Name string
	// Floor is the minimum fraction of the slots granted, from 0 to 1, that the
	// rank gets while it has queued calls.
	Floor float64
	// MaxQueue is the maximum number of queued calls.
	MaxQueue int
}

// Discipline is the order in which queued calls get slots.
type Discipline int

// The disciplines. FirstInFirstOut treats all ranks as one queue; it is the
// baseline for measurements.
const (
	ByRank Discipline = iota
	FirstInFirstOut
)

// Ticket is a call that is queued or runs.
type Ticket struct {
	// Rank is an index into the list of ranks.
	Rank int
	// Deadline is the time after which the caller has no use for an answer.
	Deadline time.Time
	// Arrived is the time at which the ticket was queued.
	Arrived time.Time
	// Settled is closed by the owner of the queue when the ticket gets a slot or
	// is refused. If it is refused, Refusal is set before.
	Settled chan struct{}
	Refusal *framer.Refusal

	// sequence is the ticket's position in the order of arrival across all ranks.
	sequence uint64
	// dequeued reports that the ticket has left the queue: it was granted a slot,
	// refused or withdrawn.
	dequeued bool
}

// smoothing is the weight of a new sample in the moving average of the service time.
const smoothing = 0.05

// Queue is the admission state of one upstream. It does no I/O and reads no clock. It
// is not safe for concurrent use.
type Queue struct {
	// Slots is the maximum number of running calls; the owner sets it before
	// each use.
	Slots int

	discipline Discipline
	ranks      []Rank
	// waiting holds the tickets of each rank in order of arrival, including
	// withdrawn ones that are not removed yet.
	waiting [][]*Ticket
	// depth is the number of tickets of each rank that are still queued.
	depth []int
	// credit is what each rank has accumulated towards its floor, see next.
	credit []float64
	inUse  int
	// sequence is that of the last ticket that was queued.
	sequence uint64
	// meanService is the mean time for which a call holds its slot, in seconds;
	// 0 means unknown.
	meanService float64
}

// NewQueue returns an empty queue.
func NewQueue(ranks []Rank, discipline Discipline) *Queue {
	return &Queue{
		ranks: ranks, discipline: discipline, waiting: make([][]*Ticket, len(ranks)),
		depth: make([]int, len(ranks)), credit: make([]float64, len(ranks)),
	}
}

// InUse returns the number of slots in use.
func (q *Queue) InUse() int { return q.inUse }

// Waiting returns the number of queued calls.
func (q *Queue) Waiting() int {
	total := 0
	for _, depth := range q.depth {
		total += depth
	}
	return total
}

// ShedFrom returns the index of the most urgent rank whose queue is full, or -1 if
// none is.
func (q *Queue) ShedFrom() int {
	for rank := range q.ranks {
		if q.full(rank) {
			return rank
		}
	}
	return -1
}

func (q *Queue) full(rank int) bool {
	if q.discipline == FirstInFirstOut {
		limit := 0
		for _, policy := range q.ranks {
			limit += policy.MaxQueue
		}
		return q.Waiting() >= limit
	}
	return q.depth[rank] >= q.ranks[rank].MaxQueue
}

// Offer queues a ticket, or returns a refusal with outcome not-run. A call is refused
// if no slot is free and the queue of its rank is full. A call that is not expected to
// complete before its deadline is refused at once, since retrying it at another
// endpoint costs little at this point.
func (q *Queue) Offer(t *Ticket, now time.Time) *framer.Refusal {
	if !now.Before(t.Deadline) {
		return framer.Refuse(framer.DeadlineTooShort, "the deadline has passed")
	}
	if q.inUse >= q.Slots && q.full(t.Rank) {
		return framer.Refuse(framer.QueueFull, "%d calls of rank %s are already queued", q.depth[t.Rank], q.ranks[t.Rank].Name)
	}
	if wait := q.expectedWait(t.Rank); now.Add(wait + q.serviceTime()).After(t.Deadline) {
		return framer.Refuse(framer.DeadlineTooShort, "expected wait is %s", wait.Round(time.Millisecond))
	}
	q.sequence++
	t.sequence, t.Arrived = q.sequence, now
	q.waiting[t.Rank] = append(q.waiting[t.Rank], t)
	q.depth[t.Rank]++
	return nil
}

// expectedWait estimates how long a new call of a rank waits for a slot: the number
// of calls up to and including it, times the mean service time, divided by the slots.
func (q *Queue) expectedWait(rank int) time.Duration {
	if q.inUse < q.Slots || q.Slots == 0 {
		return 0
	}
	ahead := 0
	for other, depth := range q.depth {
		if other <= rank || q.discipline == FirstInFirstOut {
			ahead += depth
		}
	}
	seconds := float64(ahead+1) * q.meanService / float64(q.Slots)
	return time.Duration(seconds * float64(time.Second))
}

func (q *Queue) serviceTime() time.Duration {
	return time.Duration(q.meanService * float64(time.Second))
}

// Grant gives the free slots to queued tickets. It returns these tickets and those
// whose deadline passed while they were queued; the latter have Refusal set.
func (q *Queue) Grant(now time.Time) []*Ticket {
	var settled []*Ticket
	for q.inUse < q.Slots {
		rank := q.next()
		if rank < 0 {
			break
		}
		ticket := q.pop(rank)
		if !now.Before(ticket.Deadline) {
			ticket.Refusal = framer.Refuse(framer.DeadlineExceeded, "the deadline passed while the call was queued")
		} else {
			q.inUse++
		}
		settled = append(settled, ticket)
	}
	return settled
}

// next selects the rank that gets the next slot, or -1 if no call is queued. With
// each selection every rank with queued calls gains its floor as credit. A rank with
// a credit of at least 1 goes first and pays 1; otherwise the most urgent rank does.
func (q *Queue) next() int {
	if q.discipline == FirstInFirstOut {
		return q.oldest()
	}
	urgent := -1
	for rank := range q.ranks {
		if q.depth[rank] == 0 {
			q.credit[rank] = 0
			continue
		}
		if urgent < 0 {
			urgent = rank
		}
		q.credit[rank] += q.ranks[rank].Floor
	}
	for rank := range q.ranks {
		if q.credit[rank] >= 1 {
			q.credit[rank]--
			return rank
		}
	}
	return urgent
}

// oldest returns the rank whose first ticket was queued before those of all others,
// or -1 if no call is queued.
func (q *Queue) oldest() int {
	oldest := -1
	for rank := range q.ranks {
		if q.depth[rank] == 0 {
			continue
		}
		if oldest < 0 || q.front(rank).sequence < q.front(oldest).sequence {
			oldest = rank
		}
	}
	return oldest
}

// front returns the first queued ticket of a rank, which must have one.
func (q *Queue) front(rank int) *Ticket {
	for q.waiting[rank][0].dequeued {
		q.waiting[rank] = q.waiting[rank][1:]
	}
	return q.waiting[rank][0]
}

func (q *Queue) pop(rank int) *Ticket {
	ticket := q.front(rank)
	q.waiting[rank] = q.waiting[rank][1:]
	q.depth[rank]--
	ticket.dequeued = true
	return ticket
}

// Withdraw removes a ticket and reports whether it was still queued. If it was not,
// it has either a slot, which the caller must free, or a refusal.
func (q *Queue) Withdraw(t *Ticket) bool {
	if t.dequeued {
		return false
	}
	t.dequeued = true
	q.depth[t.Rank]--
	return true
}

// Release frees the slot of a call that held it for the given time, and updates the
// mean service time.
func (q *Queue) Release(held time.Duration) {
	q.inUse--
	if q.meanService == 0 {
		q.meanService = held.Seconds()
		return
	}
	q.meanService += smoothing * (held.Seconds() - q.meanService)
}

// RefuseAll removes all queued tickets, sets their Refusal and returns them.
func (q *Queue) RefuseAll(refusal *framer.Refusal) []*Ticket {
	var refused []*Ticket
	for rank := range q.ranks {
		for q.depth[rank] > 0 {
			ticket := q.pop(rank)
			ticket.Refusal = refusal
			refused = append(refused, ticket)
		}
	}
	return refused
}
