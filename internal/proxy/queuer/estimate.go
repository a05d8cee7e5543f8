package queuer

import (
	"math"
	"time"
)

// Waits estimates how long a new call of each class would wait in the queue. All waits are 0
// if a call may start now or Slots is 0.
func (q *Queue) Waits(now time.Time) [Classes]time.Duration {
	var waits [Classes]time.Duration
	if q.Slots == 0 || (len(q.running) < q.Slots && q.pacer.wait(now) == 0) {
		return waits
	}
	q.order(now)
	schedule := q.schedule(now)
	next := 0
	for class := range waits {
		for next < len(q.waiting) && q.class(q.waiting[next], now) <= Class(class) {
			schedule.assign(q.ServiceTime(q.waiting[next].Kind), q.link.timeOf(q.waiting[next]))
			next++
		}
		waits[class] = q.inflateWait(schedule.earliest(0, 0), Class(class), now)
	}
	return waits
}

// inflateWait returns the wait after allowing for more urgent calls that arrive in the
// meantime.
func (q *Queue) inflateWait(wait time.Duration, class Class, now time.Time) time.Duration {
	return time.Duration(float64(wait) / (1 - min(maxUtilisation, q.higherPriorityLoad(class, now))))
}

// higherPriorityLoad is the offered load of more urgent classes as a fraction of the slots, or
// their offered rate as a fraction of the limit, whichever is higher.
func (q *Queue) higherPriorityLoad(class Class, now time.Time) float64 {
	load, rate := 0.0, 0.0
	for other := range min(class, lateOffset) {
		load += q.offeredLoad[other]
		rate += q.offeredRate[other]
	}
	decay := math.Exp(-now.Sub(q.offeredLoadAt).Seconds() / loadDecayTime.Seconds())
	return decay * max(load/float64(max(1, q.Slots)), rate*q.pacer.interval.Seconds())
}

// recordArrival adds a ticket to the offered load, unless it is late already.
func (q *Queue) recordArrival(t *Ticket, now time.Time) {
	decay := math.Exp(-now.Sub(q.offeredLoadAt).Seconds() / loadDecayTime.Seconds())
	for class := range q.offeredLoad {
		q.offeredLoad[class] *= decay
		q.offeredRate[class] *= decay
	}
	q.offeredLoadAt = now
	class := q.class(t, now)
	if class >= lateOffset {
		return
	}
	q.offeredLoad[class] += q.ServiceTime(t.Kind).Seconds() / loadDecayTime.Seconds()
	q.offeredRate[class] += 1 / loadDecayTime.Seconds()
}

// expectedWait returns the wait of a ticket after allowing for more urgent calls that arrive in
// the meantime. All calls that are in time go before one that becomes late while it waits.
func (q *Queue) expectedWait(t *Ticket, planned time.Duration, now time.Time) time.Duration {
	class := q.class(t, now)
	wait := q.inflateWait(planned, class, now)
	if class >= lateOffset {
		return wait
	}
	if class = q.class(t, now.Add(wait)); class >= lateOffset {
		return q.inflateWait(planned, class, now)
	}
	return wait
}

// schedule estimates when each slot becomes free. It holds no more free slots than the waiting calls
// and a new one need.
func (q *Queue) schedule(now time.Time) schedule {
	used := max(min(q.Slots, len(q.running)+len(q.waiting)+1), len(q.running))
	s := schedule{now: now, pacer: q.pacer, link: q.link, slots: make([]time.Duration, used)}
	i := 0
	for t := range q.running {
		mean := q.ServiceTime(t.Kind)
		s.slots[i] = max(mean-now.Sub(t.grantedAt), time.Duration(minResidualFraction*float64(mean)))
		i++
	}
	return s
}

// schedule is a plan of the starts of waiting calls.
type schedule struct {
	now time.Time
	// pacer holds the limit of the rate with the planned starts, link the link with their answers.
	pacer pacer
	link  link
	// slots holds the time from now until each slot becomes free.
	slots []time.Duration
}

// nextFree returns the index of the slot that is free first.
func (s *schedule) nextFree() int {
	best := 0
	for i, free := range s.slots {
		if free < s.slots[best] {
			best = i
		}
	}
	return best
}

// slotFree is the time until the next slot is free and the limit of the rate allows a start.
func (s *schedule) slotFree() time.Duration { return max(s.slots[s.nextFree()], s.pacer.wait(s.now)) }

// earliest is the time until a call can start that has the given service time and needs the link for
// the given time.
func (s *schedule) earliest(service, linkTime time.Duration) time.Duration {
	if linkTime == 0 {
		return s.slotFree()
	}
	return max(s.slotFree(), s.link.wait(service, s.now))
}

// assign adds a call to the slot that is free first. One that waits for the link leaves the slot to
// others until then, and is planned on the link only.
func (s *schedule) assign(service, linkTime time.Duration) {
	start := s.earliest(service, linkTime)
	s.link.start(linkTime, s.now.Add(start))
	if start > s.slotFree() {
		return
	}
	s.pacer.start(s.now.Add(start))
	s.slots[s.nextFree()] = start + service
}
