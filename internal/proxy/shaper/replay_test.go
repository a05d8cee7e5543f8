package shaper

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// The load of the replay: uploads in waves and bursts to upstreams behind links of 10 Mbit/s.
const (
	uploadRate    = 160.0
	meanBody      = 60_000
	maxBody       = 360_000
	directBody    = 16 << 10
	linkMegabits  = 10.0
	linkBytes     = linkMegabits * 1e6 / 8
	slotCount     = 4
	smallBytes    = 1000
	smallRate     = 1460.0
	serviceTime   = 120 * time.Millisecond
	callerTimeout = 4 * time.Second
	objective     = 800 * time.Millisecond
	replayTime    = 30 * time.Second
	// roundTrip is the time until a sender knows that its bytes have arrived.
	roundTrip = 8 * time.Millisecond
)

// event is something that happens at a time of the replay.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replay is one run of the load.
type replay struct {
	offers bool
	now    time.Time
	queue  events
	count  int
	random *rand.Rand
	links  []*link

	calls, inTime, late int
	sent, wasted        int
	smallWaits          []time.Duration
}

// link is the way to one upstream, with its slots. It carries all bytes in the order in which they
// were sent, so that the waits of small calls are upper bounds.
type link struct {
	r         *replay
	shaper    *Shaper
	busyUntil time.Time
	slots     [slotCount]time.Time
}

// upload is one caller's upload with its repeats.
type upload struct {
	bytes    int
	first    time.Time
	deadline time.Time
	// leaves is when the caller disconnects.
	leaves time.Time
	// repeats is how often it is sent again, atOnce whether that ignores the stated wait.
	repeats int
	atOnce  bool
}

func (r *replay) after(d time.Duration, run func()) {
	r.count++
	heap.Push(&r.queue, event{r.now.Add(d), r.count, run})
}

// send puts bytes on the link and returns the time until they have arrived.
func (l *link) send(bytes int) time.Duration {
	if l.busyUntil.Before(l.r.now) {
		l.busyUntil = l.r.now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(bytes) / linkBytes * float64(time.Second)))
	return l.busyUntil.Sub(l.r.now)
}

// nextSlot returns the index of the slot that is free first, and the time until then.
func (l *link) nextSlot() (int, time.Duration) {
	best := 0
	for i, free := range l.slots {
		if free.Before(l.slots[best]) {
			best = i
		}
	}
	return best, max(0, l.slots[best].Sub(l.r.now))
}

// rateAt is the number of uploads per second: a wave of 55 % and bursts of 1.7 times.
func rateAt(elapsed time.Duration) float64 {
	rate := uploadRate * (1 + 0.55*math.Sin(2*math.Pi*elapsed.Seconds()/20))
	if math.Mod(elapsed.Seconds(), 15) < 2 {
		rate *= 1.7
	}
	return rate
}

// run replays the load and returns the result.
func run(offers bool, linkCount int) *replay {
	start := time.Unix(1000, 0)
	r := &replay{offers: offers, now: start, random: rand.New(rand.NewSource(7))}
	for range linkCount {
		l := &link{r: r, shaper: New(linkMegabits)}
		l.busyUntil = start
		r.links = append(r.links, l)
		r.after(0, func() { r.tick(l) })
	}
	// The callers do not depend on what is compared.
	callers := rand.New(rand.NewSource(11))
	for at := time.Duration(0); at < replayTime; {
		at += time.Duration(callers.ExpFloat64() / rateAt(at) * float64(time.Second))
		u := &upload{bytes: min(maxBody, 1000+int(callers.ExpFloat64()*meanBody)), repeats: 2}
		u.first = start.Add(at)
		u.leaves = u.first.Add(callerTimeout * 4)
		switch draw := callers.Float64(); {
		case draw < 0.08:
			u.leaves = u.first.Add(200*time.Millisecond + time.Duration(callers.Float64()*float64(800*time.Millisecond)))
		case draw < 0.18:
			u.repeats, u.atOnce = 10, true
		}
		r.after(at, func() { r.begin(u) })
	}
	for at := time.Duration(0); at < replayTime; {
		at += time.Duration(callers.ExpFloat64() / smallRate * float64(time.Second))
		l := r.links[callers.Intn(linkCount)]
		r.after(at, func() {
			r.smallWaits = append(r.smallWaits, max(0, l.busyUntil.Sub(r.now)))
			l.send(smallBytes)
		})
	}
	for len(r.queue) > 0 {
		next := heap.Pop(&r.queue).(event)
		r.now = next.at
		next.run()
	}
	return r
}

// tick advances the shaper of a link at intervals.
func (r *replay) tick(l *link) {
	l.shaper.Advance(r.now)
	if r.now.Sub(time.Unix(1000, 0)) < replayTime+2*callerTimeout {
		r.after(20*time.Millisecond, func() { r.tick(l) })
	}
}

// begin sends a request of a caller.
func (r *replay) begin(u *upload) {
	if u.first.Equal(r.now) {
		r.calls++
	}
	u.deadline = r.now.Add(callerTimeout)
	if u.leaves.Before(r.now) {
		return
	}
	if !r.offers || u.bytes <= directBody {
		r.transfer(u, r.links[r.random.Intn(len(r.links))], nil)
		return
	}
	r.offer(u, r.random.Perm(len(r.links))[:4])
}

// offer offers the body at one link after another.
func (r *replay) offer(u *upload, order []int) {
	l := r.links[order[0]]
	o := NewOffer(u.bytes, 1, u.first.Add(objective), u.deadline, func(time.Time) Slots {
		_, wait := l.nextSlot()
		return Slots{Wait: wait, Service: serviceTime, Count: slotCount}
	})
	l.shaper.Offer(o, r.now)
	r.await(u, l, o, func(refusal *Refusal) {
		if len(order) > 1 {
			r.offer(u, order[1:])
		} else {
			r.refuse(u, refusal.Wait)
		}
	})
}

// await waits until an offer is settled or its caller leaves, and sends what is granted.
func (r *replay) await(u *upload, l *link, o *Offer, refused func(*Refusal)) {
	select {
	case refusal := <-o.Settled:
		if refusal == nil {
			r.transfer(u, l, o)
		} else {
			refused(refusal)
		}
	default:
		if u.leaves.Before(r.now) {
			l.shaper.Withdraw(o, r.now)
			r.wasted += u.bytes - o.Bytes
			return
		}
		r.after(time.Millisecond, func() { r.await(u, l, o, refused) })
	}
}

// transfer sends the body and runs the call when it has arrived.
func (r *replay) transfer(u *upload, l *link, o *Offer) {
	if u.leaves.Before(r.now) {
		if o != nil {
			l.shaper.Withdraw(o, r.now)
			r.wasted += u.bytes - o.Bytes
		}
		return
	}
	bytes := u.bytes
	if o != nil {
		bytes = o.Granted
	}
	r.sent += bytes
	r.after(l.send(bytes)+roundTrip, func() {
		if o != nil && o.Granted < o.Bytes {
			l.shaper.Continue(o, r.now)
			r.await(u, l, o, func(refusal *Refusal) {
				r.wasted += u.bytes - o.Bytes
				r.refuse(u, refusal.Wait)
			})
			return
		}
		if o != nil {
			l.shaper.Received(o, r.now)
		}
		slot, wait := l.nextSlot()
		end := r.now.Add(wait + serviceTime)
		switch {
		case u.leaves.Before(r.now.Add(wait)), r.now.After(u.deadline):
			r.wasted += u.bytes
		case end.After(u.deadline):
			r.wasted += u.bytes
			r.refuse(u, wait)
		default:
			l.slots[slot] = end
			if end.Sub(u.first) <= objective {
				r.inTime++
			} else {
				r.late++
			}
		}
	})
}

// refuse tells a caller when to come back.
func (r *replay) refuse(u *upload, wait time.Duration) {
	if u.repeats == 0 {
		return
	}
	u.repeats--
	if u.atOnce {
		wait = 0
	}
	r.after(min(max(wait, 10*time.Millisecond), callerTimeout/3), func() { r.begin(u) })
}

// Replays the load for which bodies are offered before they are sent. Guards against bodies that
// are sent for nothing, small calls that wait behind them, and uploads that are late since the link
// carries others first that can't be in time any more.
func TestOffersServeMoreUploadsInTime(t *testing.T) {
	for _, linkCount := range []int{14, 8} {
		Convey(fmt.Sprintf("The load on %d links with bodies that are sent at once and with offers", linkCount), t, func() {
			atOnce, offered := run(false, linkCount), run(true, linkCount)
			for name, r := range map[string]*replay{"at once": atOnce, "offered": offered} {
				t.Logf("%d links, %-8s calls %d, in time %.3f, late %.3f, sent %d MB, for nothing %.1f MB, small calls wait p50 %v p99 %v", linkCount, name,
					r.calls, r.share(r.inTime), r.share(r.late), r.sent/1e6, float64(r.wasted)/1e6, r.smallWait(0.5), r.smallWait(0.99))
			}
			So(offered.inTime, ShouldBeGreaterThan, atOnce.inTime)
			So(offered.wasted, ShouldBeLessThan, atOnce.wasted/2)
			So(offered.smallWait(0.99), ShouldBeLessThan, 2*window)
			So(offered.smallWait(0.99), ShouldBeLessThan, atOnce.smallWait(0.99)/2)
		})
	}
}

func (r *replay) share(n int) float64 { return float64(n) / float64(r.calls) }

// smallWait returns a quantile of the waits of small calls for the link.
func (r *replay) smallWait(quantile float64) time.Duration {
	sorted := append([]time.Duration(nil), r.smallWaits...)
	slices.Sort(sorted)
	return sorted[int(quantile*float64(len(sorted)-1))]
}
