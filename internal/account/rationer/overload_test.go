package rationer

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
)

// fullSlots replays eight accounts at the queue of an upstream whose slots suffice for the usual calls
// of all. The first account asks for eight times its usual and is admitted at its limit. It returns the
// shares of the calls that were served, of the first account's and of the others'.
func fullSlots(seed uint64, behind bool) (first, others float64) {
	const (
		accounts, slots = 8, 20
		service         = 50 * time.Millisecond
		usual           = slots / 0.05 / accounts
	)
	r := &replay{rng: rand.New(rand.NewPCG(seed, 2)), now: replayStart}
	queue := queuer.New()
	queue.Slots = slots
	var asked, served [accounts]float64
	var poll func(t *queuer.Ticket, account int)
	waiting := map[*queuer.Ticket]int{}
	poll = func(t *queuer.Ticket, account int) {
		select {
		case refusal := <-t.Settled:
			delete(waiting, t)
			if refusal != nil {
				return
			}
			served[account]++
			work := time.Duration((0.5 + r.rng.Float64()) * float64(service))
			r.after(work, func() {
				queue.Release(t, true, r.now)
				for other, account := range waiting {
					poll(other, account)
				}
			})
		default:
		}
	}
	for account := range accounts {
		bucket := NewBucket(replayBounds, Limit{Rate: limitFactor * usual, Burst: 1}, r.now, r.now)
		rate := usual
		if account == 0 {
			rate *= 8
		}
		var arrive func()
		arrive = func() {
			if r.now.Sub(replayStart) > replayTime {
				return
			}
			r.after(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
			verdict := bucket.Take(r.now)
			if !verdict.Admitted {
				return
			}
			objective := r.now.Add(300 * time.Millisecond)
			if verdict.Over && behind {
				objective = r.now
			}
			t := queuer.NewTicket("k", 0, false, objective, r.now.Add(time.Second))
			asked[account]++
			waiting[t] = account
			queue.Offer(t, r.now)
			for other, account := range waiting {
				poll(other, account)
			}
		}
		r.after(0, arrive)
	}
	r.drain()
	othersAsked, othersServed := 0.0, 0.0
	for account := 1; account < accounts; account++ {
		othersAsked += asked[account]
		othersServed += served[account]
	}
	return served[0] / asked[0], othersServed / othersAsked
}

// Guards against an account far over its quota that pushes others below what they ask for within their
// own, where the slots do not suffice for its calls up to the limit.
func TestAccountOverQuotaWaitsBehindOthers(t *testing.T) {
	Convey("The others are served, and it gets what is left", t, func() {
		for seed := range *seeds {
			first, others := fullSlots(seed, true)
			firstBefore, othersBefore := fullSlots(seed, false)
			t.Logf("seed %d: behind %.3f and others %.3f; with equal rights %.3f and %.3f", seed, first, others, firstBefore, othersBefore)
			So(others, ShouldBeGreaterThan, 0.99)
			So(others, ShouldBeGreaterThan, othersBefore)
			// What is left of the slots is its usual of 1.6 times that.
			So(first, ShouldBeGreaterThan, 0.8/limitFactor)
		}
	})
}
