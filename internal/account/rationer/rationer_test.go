package rationer

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// seeds is the number of seeds that each replay runs with.
var seeds = flag.Uint64("seeds", 1, "number of seeds of each replay")

const (
	// replayTime is the time of a replay, disturbance the time in it at which something happens.
	replayTime  = 40 * time.Second
	disturbance = 10 * time.Second
	// surgeTime is how long an account sends more than usual.
	surgeTime = 6 * time.Second
	// maxUsualLoss is the share of calls below the limit that may be refused while nothing is disturbed:
	// it is near zero.
	maxUsualLoss = 0.002
)

// surge multiplies an account's rate for some time.
func surge(factor float64, from, length time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < from+length {
			return factor
		}
		return 1
	}
}

func (r *replay) surgeAll(from, length time.Duration) {
	for _, a := range r.accounts {
		a.factor = surge(8, from, length)
	}
}

func (r *replay) restartAll() {
	for _, n := range r.nodes {
		r.start(n)
	}
}

// replayed returns the reports of a scenario with each seed, by tokens and by static shares.
func replayed(t *testing.T, name string, prepare func(r *replay)) (tokens, static []report) {
	for seed := range *seeds {
		for _, shares := range []bool{false, true} {
			r := newReplay(seed + 1)
			r.static = shares
			prepare(r)
			r.run(replayTime)
			x := r.report(replayTime)
			if shares {
				static = append(static, x)
			} else {
				tokens = append(tokens, x)
			}
			t.Logf("%-28s seed %d static %-5v lost %.5f, most %.3f (%s), excess %.0f (%s), %.0f messages/s",
				name, seed+1, shares, x.lost, x.worstLost, x.worst, x.excess, x.most, x.messages)
		}
	}
	return tokens, static
}

// Guards against calls below the limit that are refused since tokens lie elsewhere, and against sums
// over the quota: at the usual load, with one account at 3 to 8 times its usual, and with callers in
// one zone.
func TestCallsBelowLimitAreServed(t *testing.T) {
	one := func(account int, factor float64) func(r *replay) {
		return func(r *replay) { r.accounts[account].factor = surge(factor, disturbance, surgeTime) }
	}
	oneZone := func(factor float64) func(r *replay) {
		return func(r *replay) {
			for i := range 5 {
				r.accounts[i].zone = 1
				r.accounts[i].factor = surge(factor, disturbance, surgeTime)
			}
		}
	}
	scenarios := []struct {
		name    string
		prepare func(r *replay)
	}{
		{"usual", func(*replay) {}},
		{"largest at 3 times", one(0, 3)},
		{"largest at 8 times", one(0, 8)},
		{"middle at 8 times", one(9, 8)},
		{"smallest at 8 times", one(replayAccounts-1, 8)},
		{"callers in one zone", oneZone(1)},
		{"the same at 8 times", oneZone(8)},
	}
	Convey("Nearly none is lost, and no quota is exceeded", t, func() {
		for _, s := range scenarios {
			tokens, static := replayed(t, s.name, s.prepare)
			for i, x := range tokens {
				So(x.lost, ShouldBeLessThan, maxUsualLoss)
				So(x.lost, ShouldBeLessThan, static[i].lost/10)
				So(x.excess, ShouldBeLessThanOrEqualTo, 0)
			}
		}
	})
}

// Guards against sums over the quota when nodes decide without each other, and against accounts that
// are hardly served then. Each account asks for eight times its usual in the scenarios at full load.
func TestQuotaHoldsUnderFailures(t *testing.T) {
	ownerOfLargest := func(r *replay) *replayNode { return r.accounts[0].owners[0] }
	kill := func(r *replay) {
		n := ownerOfLargest(r)
		r.after(disturbance, func() { n.dead = true })
		r.after(disturbance+removalTime, func() { n.removed = true })
	}
	restart := func(r *replay) {
		n := ownerOfLargest(r)
		r.after(disturbance, func() { n.dead = true })
		r.after(disturbance+2*time.Second, func() { r.start(n) })
	}
	cut := func(length time.Duration) func(r *replay) {
		return func(r *replay) { r.cutZone(ownerOfLargest(r).zone, disturbance, length) }
	}
	restartAll := func(r *replay) { r.after(disturbance, r.restartAll) }
	full := func(prepare func(r *replay), from time.Duration) func(r *replay) {
		return func(r *replay) {
			prepare(r)
			r.surgeAll(from, 20*time.Second)
		}
	}
	scenarios := []struct {
		name    string
		prepare func(r *replay)
		full    bool
	}{
		{"owner killed", kill, false},
		{"owner restarts", restart, false},
		{"zone cut for 5 s", cut(5 * time.Second), false},
		{"zone cut for 20 s", cut(20 * time.Second), false},
		{"all restart", restartAll, false},
		{"owner killed, full load", full(kill, disturbance-2*time.Second), true},
		{"owner restarts, full load", full(restart, disturbance-2*time.Second), true},
		{"zone cut, full load", full(cut(20*time.Second), disturbance-5*time.Second), true},
		{"zone cut, load begins then", full(cut(20*time.Second), disturbance), true},
		{"all restart, full load", full(restartAll, disturbance-2*time.Second), true},
	}
	Convey("The quota holds, and the rest is better than static shares", t, func() {
		for _, s := range scenarios {
			tokens, static := replayed(t, s.name, s.prepare)
			for i, x := range tokens {
				So(x.excess, ShouldBeLessThanOrEqualTo, 0)
				So(x.lost, ShouldBeLessThan, static[i].lost)
				So(1-x.worstLost, ShouldBeGreaterThan, (1-x.lost)/4)
			}
		}
	})
}

// Guards against a lowered limit that tokens or buckets of the former one outlive.
func TestLoweredLimitApplies(t *testing.T) {
	Convey("From one window after the change the lower quota holds", t, func() {
		r := newReplay(3)
		r.surgeAll(0, replayTime)
		former := make([]Limit, len(r.accounts))
		r.after(disturbance, func() {
			for i, a := range r.accounts {
				former[i] = a.limit
				a.limit = Limit{Rate: a.limit.Rate / 4, Burst: a.limit.Burst / 4}
			}
		})
		r.run(20 * time.Second)
		for i, a := range r.accounts {
			So(a.excess(a.limit, replayStart.Add(disturbance+replayBounds.Window)), ShouldBeLessThanOrEqualTo, 0)
			So(a.excess(former[i], replayStart), ShouldBeLessThanOrEqualTo, 0)
		}
	})
}

// Guards against callers that are told to come back at a time when there is no token for them, all at
// the same time, or later than a window.
func TestRefusedCallersAreToldDifferentTimes(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 2}
	now := replayStart
	Convey("Each is told when the calls before it have their tokens", t, func() {
		b := NewBucket(replayBounds, limit, now, now)
		for i := range 30 {
			v := b.Take(now)
			So(v.Admitted, ShouldBeFalse)
			So(v.Wait.Seconds(), ShouldAlmostEqual, float64(i+1)/limit.Rate, 0.001)
		}
		for range 1000 {
			So(b.Take(now).Wait, ShouldBeLessThanOrEqualTo, replayBounds.Window)
		}
	})
}

// Guards against owners that differ between nodes which know the same members in another order, against
// uneven shares, and against accounts that move although their owner stays.
func TestOwnersAreEvenAndStable(t *testing.T) {
	var nodes, reversed []string
	for i := range replayNodes {
		nodes = append(nodes, fmt.Sprintf("vm-%d", i))
		reversed = append([]string{nodes[i]}, reversed...)
	}
	const accounts = 10_000
	Convey("Each node has its share, and keeps it when another leaves", t, func() {
		owned := map[string]int{}
		for i := range accounts {
			account := fmt.Sprintf("account-%d", i)
			owner := nodes[Owner(account, nodes)]
			owned[owner]++
			So(reversed[Owner(account, reversed)], ShouldEqual, owner)
			if owner != nodes[0] {
				So(nodes[1:][Owner(account, nodes[1:])], ShouldEqual, owner)
			}
		}
		for _, n := range owned {
			So(math.Abs(float64(n)-accounts/replayNodes), ShouldBeLessThan, accounts/replayNodes/2)
		}
		So(Owner("a", nil), ShouldEqual, -1)
	})
}

// A quota that is meant as none, such as 1e300, must not refuse calls, and one that is hardly any must not
// make the wait of a refused call negative.
func TestExtremeQuotas(t *testing.T) {
	Convey("A bucket whose level no integer holds grants tokens", t, func() {
		begun := time.Unix(1000, 0)
		now := begun.Add(time.Second)
		b := NewBucket(Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20}, Limit{Rate: 1e300, Burst: 1e300}, begun, now)
		grant := b.Grant("n", Ask{Need: 3, Expect: 2}, now)
		So(grant.Tokens, ShouldEqual, 5)
		So(grant.Wait, ShouldEqual, 0)
	})
	Convey("A bucket whose next token no duration reaches states the longest wait", t, func() {
		now := time.Unix(1000, 0)
		b := NewBucket(Bounds{Window: 5 * time.Second}, Limit{Rate: 1e-12}, now, now)
		So(b.Grant("n", Ask{Need: 1}, now).Wait, ShouldEqual, 5*time.Second)
	})
}
