package queuer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// start is the time at which the clock of each test starts.
var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// settlement reports whether a ticket was granted a slot, or the refusal if it got one.
// Both are zero while it waits, and once the settlement has been returned.
func settlement(t *Ticket) (granted bool, refusal *Refusal) {
	select {
	case refusal := <-t.Settled:
		return refusal == nil, refusal
	default:
		return false, nil
	}
}

// ticket returns a ticket whose objective and deadline are given in milliseconds after now.
func ticket(kind string, rank int, nested bool, now, objective, deadline int) *Ticket {
	return NewTicket(kind, rank, nested, at(now+objective), at(now+deadline))
}

// Guards against calls that go before more urgent ones, and against slots for late calls while
// others can still meet their objective.
func TestOrderOfWaitingCalls(t *testing.T) {
	Convey("Nested calls go first, then calls by rank and arrival, and late calls last", t, func() {
		q := New()
		q.Slots = 1
		q.recordServiceTime("k", 10*time.Millisecond)
		running := ticket("k", 0, false, 0, 1000, 2000)
		q.Offer(running, at(0))
		late := ticket("k", 0, false, 0, 5, 2000)
		second := ticket("k", 1, false, 0, 1000, 2000)
		first := ticket("k", 0, false, 0, 1000, 2000)
		third := ticket("k", 1, false, 0, 1000, 2000)
		nested := ticket("k", 3, true, 0, 5, 2000)
		for _, t := range []*Ticket{late, second, first, third, nested} {
			q.Offer(t, at(0))
		}
		before := running
		for i, next := range []*Ticket{nested, first, second, third, late} {
			q.Release(before, true, at(10*(i+1)))
			granted, _ := settlement(next)
			So(granted, ShouldBeTrue)
			before = next
		}
	})
}

// Guards against calls that wait in vain: their callers would be refused only at the deadline,
// and a slot would be spent on a call that ends too late.
func TestUnservableCallIsShedAtOnce(t *testing.T) {
	Convey("A call whose turn would come too late is shed with the estimated wait", t, func() {
		q := New()
		q.Slots = 1
		q.recordServiceTime("k", 100*time.Millisecond)
		q.Offer(ticket("k", 0, false, 0, 1000, 1000), at(0))
		fits := ticket("k", 0, false, 0, 1000, 250)
		q.Offer(fits, at(0))
		unservable := ticket("k", 0, false, 0, 1000, 250)
		q.Offer(unservable, at(0))
		_, refusal := settlement(unservable)
		So(refusal, ShouldNotBeNil)
		So(refusal.Wait, ShouldEqual, 200*time.Millisecond)
		So(q.Waiting(), ShouldEqual, 1)
	})
	Convey("A call that a more urgent one delays past its deadline is shed at once", t, func() {
		q := New()
		q.Slots = 1
		q.recordServiceTime("k", 100*time.Millisecond)
		q.Offer(ticket("k", 0, false, 0, 1000, 1000), at(0))
		delayed := ticket("k", 2, false, 0, 1000, 250)
		q.Offer(delayed, at(0))
		q.Offer(ticket("k", 0, false, 0, 1000, 1000), at(0))
		_, refusal := settlement(delayed)
		So(refusal, ShouldNotBeNil)
	})
	Convey("A call with too little time left gets no slot while others wait", t, func() {
		q := New()
		q.Slots = 1
		q.recordServiceTime("k", 100*time.Millisecond)
		running := ticket("k", 0, false, 0, 1000, 1000)
		q.Offer(running, at(0))
		short := ticket("k", 0, false, 0, 1000, 220)
		q.Offer(short, at(0))
		other := ticket("k", 1, false, 0, 1000, 1000)
		q.Offer(other, at(0))
		// The running call takes longer than expected.
		q.Release(running, false, at(130))
		granted, refusal := settlement(short)
		So(granted, ShouldBeFalse)
		So(refusal, ShouldNotBeNil)
		granted, _ = settlement(other)
		So(granted, ShouldBeTrue)
	})
	Convey("A call with too little time left gets a slot that no other call waits for", t, func() {
		q := New()
		q.Slots = 1
		q.recordServiceTime("k", 100*time.Millisecond)
		short := ticket("k", 0, false, 0, 1000, 60)
		q.Offer(short, at(0))
		granted, _ := settlement(short)
		So(granted, ShouldBeTrue)
	})
}

// Guards against calls of the lowest rank that never get a slot under sustained urgent load.
func TestLeastUrgentCallIsNotStarved(t *testing.T) {
	Convey("Under sustained urgent load one grant in ten goes to the call that has waited longest", t, func() {
		q := New()
		q.Slots = 1
		q.recordServiceTime("k", time.Millisecond)
		running := ticket("k", 0, false, 0, 100000, 100000)
		q.Offer(running, at(0))
		leastUrgent := ticket("k", 3, false, 0, 100000, 100000)
		q.Offer(leastUrgent, at(0))
		for i := range 30 {
			q.Offer(ticket("k", 0, false, i, 100000, 100000), at(i))
		}
		grants := 0
		for done := false; !done && grants < 30; grants++ {
			for t := range q.running {
				running = t
			}
			q.Release(running, true, at(100+grants))
			done, _ = settlement(leastUrgent)
		}
		So(grants, ShouldBeLessThanOrEqualTo, oldestFirstInterval)
	})
}

// Guards against slots that are lost or granted twice when calls end or are withdrawn in any
// order.
func TestReleaseAndWithdrawKeepSlotCount(t *testing.T) {
	Convey("The number of slots in use never exceeds Slots and returns to zero", t, func() {
		random := rand.New(rand.NewPCG(1, 2))
		q := New()
		q.Slots = 3
		var open []*Ticket
		for step := range 5000 {
			now := at(step)
			if random.IntN(2) == 0 || len(open) == 0 {
				t := ticket(fmt.Sprint(random.IntN(3)), random.IntN(4), random.IntN(4) == 0, step, random.IntN(200), random.IntN(400))
				q.Offer(t, now)
				open = append(open, t)
			} else {
				i := random.IntN(len(open))
				if !q.Withdraw(open[i]) {
					q.Release(open[i], random.IntN(2) == 0, now)
				}
				open = append(open[:i], open[i+1:]...)
			}
			So(q.InUse(), ShouldBeLessThanOrEqualTo, 3)
			So(q.InUse()+q.Waiting(), ShouldBeLessThanOrEqualTo, len(open))
		}
		for _, t := range open {
			if !q.Withdraw(t) {
				q.Release(t, true, at(6000))
			}
		}
		So(q.InUse()+q.Waiting(), ShouldEqual, 0)
	})
}

// outcome counts how the calls of a load end.
type outcome struct {
	inTime, late, shed int
	// held is how long the calls that were shed had waited, in milliseconds, all together.
	held int
}

// replay offers calls to a queue at their arrival times and counts how they end. All times
// are in milliseconds; work returns the service time of call i.
func replay(q *Queue, load []*Ticket, arrive []int, work func(i int) int, until int) outcome {
	var o outcome
	ends := map[*Ticket]int{}
	index := map[*Ticket]int{}
	next := 0
	for ms := range until {
		now := at(ms)
		if delay, waits := q.NextStart(now); waits && delay == 0 {
			q.Advance(now)
		}
		for t, end := range ends {
			if end <= ms {
				q.Release(t, true, now)
				delete(ends, t)
				if now.After(t.Objective) {
					o.late++
				} else {
					o.inTime++
				}
			}
		}
		for next < len(load) && arrive[next] <= ms {
			index[load[next]] = next
			q.Offer(load[next], now)
			next++
		}
		for i := range next {
			granted, refusal := settlement(load[i])
			if granted {
				ends[load[i]] = ms + work(i)
			}
			if refusal != nil {
				o.shed++
				o.held += ms - arrive[i]
			}
		}
	}
	return o
}

// Guards against a queue so long under overload that most calls are served, but late.
func TestSteadyOverloadIsServedInTime(t *testing.T) {
	Convey("At one and a half times the capacity most of the served calls are served in time", t, func() {
		random := rand.New(rand.NewPCG(3, 4))
		q := New()
		q.Slots = 18
		q.recordServiceTime("read", 140*time.Millisecond)
		var load []*Ticket
		var arrive []int
		const calls, spacing = 2000, 5
		for i := range calls {
			load = append(load, ticket("read", 1, false, i*spacing, 300, 1200))
			arrive = append(arrive, i*spacing)
		}
		o := replay(q, load, arrive, func(int) int { return 90 + random.IntN(100) }, calls*spacing+3000)
		So(o.inTime+o.late+o.shed, ShouldEqual, calls)
		// The capacity is 18 slots/0.14 s = 128 calls/s; 200 calls/s arrive.
		So(o.inTime+o.late, ShouldBeGreaterThan, calls*60/100)
		So(o.inTime, ShouldBeGreaterThan, 3*o.late)
	})
}

// starts returns when the calls of a load start, in milliseconds, and how many were shed.
func starts(q *Queue, load []*Ticket, arrive []int, work, until int) (started map[*Ticket]int, shed int) {
	started = map[*Ticket]int{}
	o := replay(q, load, arrive, func(i int) int {
		started[load[i]] = int(load[i].grantedAt.Sub(start) / time.Millisecond)
		return work
	}, until)
	So(o.inTime+o.late, ShouldEqual, len(started))
	return started, o.shed
}

// Guards against more calls than an upstream takes by its own statement: twice as many arrive, a
// third of them urgent, in bursts, and some are sent twice.
func TestCallsStartWithinLimitOfRate(t *testing.T) {
	const calls, window = 900, 4000
	for _, rate := range []float64{100, 20, 3, 0} {
		Convey(fmt.Sprintf("An upstream with 18 slots takes %v calls a second", rate), t, func() {
			q := New()
			q.Slots = 18
			q.recordServiceTime("read", 50*time.Millisecond)
			q.LimitRate(rate, at(0))
			var load []*Ticket
			var arrive []int
			spacing := int(1000 / (2 * max(rate, 5)))
			for i := range calls {
				// Five calls arrive at once.
				ms := i / 5 * 5 * spacing
				rank := min(i%3, 1)
				load, arrive = append(load, ticket("read", rank, false, ms, 600, 1200)), append(arrive, ms)
			}
			started, shed := starts(q, load, arrive, 50, calls*spacing+3000)
			counts := make([]int, calls*spacing+3000+window)
			urgent := 0
			for t, ms := range started {
				for i := ms; i < ms+window; i++ {
					counts[i]++
				}
				if t.Rank == 0 {
					urgent++
				}
			}
			most := 0
			for _, n := range counts {
				most = max(most, n)
			}
			So(most, ShouldBeLessThanOrEqualTo, int(1.5*rate*window/1000)+5)
			So(len(started)+shed, ShouldEqual, calls)
			So(len(started), ShouldBeGreaterThanOrEqualTo, int(0.9*rate*float64(calls*spacing)/1000))
			if rate >= 20 {
				So(urgent, ShouldBeGreaterThan, calls/3*9/10)
			}
		})
	}
}

// A limit that is lowered must hold soon, and one that ends must release the calls that wait.
func TestLimitOfRateChanges(t *testing.T) {
	Convey("A call waits for the limit alone", t, func() {
		q := New()
		q.Slots = 4
		q.LimitRate(2, at(0))
		first, second := ticket("k", 0, false, 0, 900, 2000), ticket("k", 0, false, 0, 900, 2000)
		q.Offer(first, at(0))
		granted, _ := settlement(first)
		So(granted, ShouldBeTrue)
		q.Offer(second, at(0))
		delay, waits := q.NextStart(at(0))
		So(waits, ShouldBeTrue)
		So(delay, ShouldEqual, 500*time.Millisecond-paceBurst)
		So(q.Waits(at(0))[ClassOf(0, false)], ShouldBeGreaterThan, delay)
		Convey("and starts when it is due", func() {
			q.Advance(at(250))
			granted, _ := settlement(second)
			So(granted, ShouldBeTrue)
		})
		Convey("and starts when the limit ends", func() {
			q.UnlimitRate(at(10))
			granted, _ := settlement(second)
			So(granted, ShouldBeTrue)
			So(q.Waits(at(10)), ShouldResemble, [Classes]time.Duration{})
		})
		Convey("and is refused when a lower limit leaves no time for it", func() {
			for range 4 {
				q.CountResend(at(0))
			}
			q.LimitRate(0.5, at(10))
			_, refusal := settlement(second)
			So(refusal, ShouldNotBeNil)
			So(refusal.Wait, ShouldBeGreaterThan, 1900*time.Millisecond)
		})
	})
}

// Guards against calls that wait for most of their objective and are then refused, since newer calls
// go first once they are late: their callers could have gone elsewhere.
func TestCallThatWouldBecomeLateIsShedOnArrival(t *testing.T) {
	Convey("At one and a half times the capacity the refused calls have hardly waited", t, func() {
		random := rand.New(rand.NewPCG(5, 6))
		q := New()
		q.Slots = 12
		q.recordServiceTime("read", 100*time.Millisecond)
		var load []*Ticket
		var arrive []int
		// The capacity is 12 slots/0.1 s = 120 calls/s; 180 calls/s arrive.
		const calls, objective, deadline = 1800, 600, 1500
		for i := range calls {
			ms := i * 1000 / 180
			load, arrive = append(load, ticket("read", 1, false, ms, objective, deadline)), append(arrive, ms)
		}
		o := replay(q, load, arrive, func(int) int { return 60 + random.IntN(80) }, calls*1000/180+3000)
		So(o.inTime+o.late+o.shed, ShouldEqual, calls)
		So(o.inTime, ShouldBeGreaterThan, calls*60/100)
		So(o.held/o.shed, ShouldBeLessThan, objective/8)
	})
}

// Guards against memory for each slot that an upstream claims to have: a count of 2^62 ended the
// process once a limit of the rate made calls wait.
func TestMemoryDoesNotGrowWithSlots(t *testing.T) {
	Convey("An upstream with a rate limit claims to have 2^62 slots", t, func() {
		q := New()
		q.Slots = 1 << 62
		q.LimitRate(1, at(0))
		for range 3 {
			q.Offer(ticket("k", 0, false, 0, 1000, 60_000), at(0))
		}
		So(q.Waiting(), ShouldBeGreaterThan, 0)
		So(q.Waits(at(0))[0], ShouldBeGreaterThan, 0)
	})
}

// Guards against the patience of callers, or a hedge that was faster, being taken for the service
// time of the upstream: the queue would shed calls that it can serve.
func TestWithdrawnCallIsNoSampleOfServiceTime(t *testing.T) {
	Convey("The slot is free, and the mean service time is unchanged", t, func() {
		q, now := New(), time.Unix(1000, 0)
		q.Slots = 1
		first := NewTicket("k", 1, false, now.Add(time.Second), now.Add(time.Second))
		q.Offer(first, now)
		q.Release(first, true, now.Add(20*time.Millisecond))
		second := NewTicket("k", 1, false, now.Add(time.Minute), now.Add(time.Minute))
		q.Offer(second, now)
		q.Abandon(second, now.Add(10*time.Second))
		So(q.InUse(), ShouldEqual, 0)
		So(q.ServiceTime("k"), ShouldEqual, 20*time.Millisecond)
	})
}
