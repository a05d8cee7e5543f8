package admitter_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/tamarackscale/tamarackscale/internal/serving/admitter"
	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
)

var start = time.Unix(1_700_000_000, 0)

const serviceTime = 10 * time.Millisecond

func ranks() []admitter.Rank {
	return []admitter.Rank{{Name: "gift", MaxQueue: 50}, {Name: "booking", Floor: 0.1, MaxQueue: 50}, {Name: "browse", Floor: 0.05, MaxQueue: 50}}
}

func ticket(rank int, deadline time.Duration, now time.Time) *admitter.Ticket {
	return &admitter.Ticket{Rank: rank, Deadline: now.Add(deadline)}
}

// flood offers the given number of calls of each rank in every round, frees one slot
// a round, and returns how many calls of each rank got a slot.
func flood(discipline admitter.Discipline, offered [3]int, rounds int) [3]int {
	q := admitter.NewQueue(ranks(), discipline)
	q.Slots = 1
	var granted [3]int
	now := start
	for range rounds {
		for rank, count := range offered {
			for range count {
				q.Offer(ticket(rank, time.Hour, now), now)
			}
		}
		for _, t := range q.Grant(now) {
			granted[t.Rank]++
		}
		now = now.Add(serviceTime)
		if q.InUse() > 0 {
			q.Release(serviceTime)
		}
	}
	return granted
}

func TestUrgentCallsGoFirstAndOthersKeepTheirFloor(t *testing.T) {
	Convey("a flood of the least urgent calls does not delay an urgent one", t, func() {
		q := admitter.NewQueue(ranks(), admitter.ByRank)
		q.Slots = 1
		for range 40 {
			q.Offer(ticket(2, time.Hour, start), start)
		}
		q.Grant(start)
		q.Offer(ticket(0, time.Hour, start), start)
		q.Release(serviceTime)
		next := q.Grant(start)
		So(next[0].Rank, ShouldEqual, 0)
	})
	Convey("the other ranks keep their floors during a flood of the most urgent calls", t, func() {
		granted := flood(admitter.ByRank, [3]int{10, 10, 10}, 2000)
		So(granted[1], ShouldBeBetween, 190, 210)
		So(granted[2], ShouldBeBetween, 90, 110)
		So(granted[0], ShouldBeGreaterThan, 1680)
	})
	Convey("first in, first out starves urgent calls during a flood; ranks do not", t, func() {
		So(flood(admitter.FirstInFirstOut, [3]int{1, 0, 10}, 2000)[0], ShouldBeLessThan, 400)
		So(flood(admitter.ByRank, [3]int{1, 0, 10}, 2000)[0], ShouldBeGreaterThan, 1850)
	})
}

func TestQueueRefusesCallsThatCannotMeetTheirDeadline(t *testing.T) {
	Convey("with a known service time and all slots in use", t, func() {
		q := admitter.NewQueue(ranks(), admitter.ByRank)
		q.Slots = 1
		q.Offer(ticket(2, time.Hour, start), start)
		q.Grant(start)
		q.Release(serviceTime)
		for range 11 {
			So(q.Offer(ticket(1, time.Hour, start), start), ShouldBeNil)
		}
		q.Grant(start)
		Convey("a call that cannot complete before its deadline is refused at once, as not run", func() {
			refusal := q.Offer(ticket(1, 50*time.Millisecond, start), start)
			So(refusal.Code, ShouldEqual, framer.DeadlineTooShort)
			So(refusal.Outcome, ShouldEqual, framer.NotRun)
		})
		Convey("the same deadline is enough for an urgent call", func() {
			So(q.Offer(ticket(0, 50*time.Millisecond, start), start), ShouldBeNil)
		})
		Convey("a call whose deadline passes while it is queued gets no slot", func() {
			late := ticket(0, 25*time.Millisecond, start)
			So(q.Offer(late, start), ShouldBeNil)
			q.Release(serviceTime)
			settled := q.Grant(start.Add(time.Second))
			So(settled[0], ShouldEqual, late)
			So(late.Refusal.Code, ShouldEqual, framer.DeadlineExceeded)
		})
		Convey("a full queue sheds calls of its own rank only", func() {
			for range 50 {
				So(q.Offer(ticket(2, time.Hour, start), start), ShouldBeNil)
			}
			So(q.Offer(ticket(2, time.Hour, start), start).Code, ShouldEqual, framer.QueueFull)
			So(q.Offer(ticket(0, time.Hour, start), start), ShouldBeNil)
			So(q.ShedFrom(), ShouldEqual, 2)
		})
	})
}

// TestSlotsAreNeverExceeded offers, grants, withdraws and releases in random order:
// never are more slots in use than exist, nor is one free while a call is queued.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admitter.NewQueue(ranks(), admitter.Discipline(rapid.IntRange(0, 1).Draw(t, "discipline")))
		q.Slots = rapid.IntRange(1, 4).Draw(t, "slots")
		now := start
		var waiting, running []*admitter.Ticket
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				offered := ticket(rapid.IntRange(0, 2).Draw(t, "rank"), 100*time.Millisecond, now)
				if q.Offer(offered, now) == nil {
					waiting = append(waiting, offered)
				}
			case 1:
				if len(waiting) > 0 {
					i := rapid.IntRange(0, len(waiting)-1).Draw(t, "withdraw")
					q.Withdraw(waiting[i])
				}
			case 2:
				if len(running) > 0 {
					running = running[1:]
					q.Release(serviceTime)
				}
			}
			for _, settled := range q.Grant(now) {
				if settled.Refusal == nil {
					running = append(running, settled)
				}
			}
			if q.InUse() != len(running) || q.InUse() > q.Slots {
				t.Fatalf("%d in use, %d granted, %d slots", q.InUse(), len(running), q.Slots)
			}
			if q.Waiting() > 0 && q.InUse() < q.Slots {
				t.Fatal("a slot is free while a call is queued")
			}
		}
	})
}

// BenchmarkQueue measures one offer, grant and release while 40 calls are queued.
func BenchmarkQueue(b *testing.B) {
	q := admitter.NewQueue(ranks(), admitter.ByRank)
	q.Slots = 12
	for range 40 {
		q.Offer(ticket(2, time.Hour, start), start)
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Offer(ticket(0, time.Hour, start), start)
		q.Grant(start)
		q.Release(serviceTime)
	}
}
