package rationer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// The load of the replays: accounts of sizes as 1/k^1.2 with limits of 1.6 times their usual rate, on
// nodes in three zones.
const (
	replayNodes    = 71
	replayAccounts = 78
	replayZones    = 3
	largestRate    = 500.0
	limitFactor    = 1.6
	// burstSeconds is how many seconds of its limit an account may send at once.
	burstSeconds = 0.5
	// removalTime is when nodes with a store remove a member that ended: lease, then the next read.
	removalTime = 16 * time.Second
	// isolationTime is when a node without store and other zones counts as isolated.
	isolationTime = 6 * time.Second
	askTimeout    = 600 * time.Millisecond
)

var (
	replayBounds = Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20}
	replayStart  = time.Unix(0, 0)
)

// replay runs holders and buckets against each other without a network.
type replay struct {
	rng      *rand.Rand
	now      time.Time
	events   eventHeap
	sequence int
	nodes    []*replayNode
	accounts []*replayAccount
	// static replaces the scheme by equal shares that are fixed in advance.
	static bool
	// cut reports whether two zones can't reach each other now.
	cut func(a, b int) bool
	// messages counts asks and requests to release.
	messages int
}

type replayNode struct {
	name    string
	zone    int
	holders map[int]*holderState
	buckets map[int]*Bucket
	// dead means that no process runs, removed that the others know it.
	dead, removed bool
	// asked counts the asks that the node got as an owner.
	asked int
	// restarts counts the processes, the latest of which has begun at begun.
	restarts int
	begun    time.Time
	// cutSince is when the zone lost the others; zero if it is not cut off.
	cutSince time.Time
}

type holderState struct {
	*Holder
	pending []*Ticket
	// level and at are the node's bucket with static shares.
	level float64
	at    time.Time
}

type replayAccount struct {
	name  string
	usual float64
	limit Limit
	// factor multiplies the usual rate; zone restricts the callers to a zone unless it is negative.
	factor func(at time.Duration) float64
	zone   int
	// owners holds the nodes in the order in which they would own the account.
	owners   []*replayNode
	arrivals int
	admitted []time.Time
	// ideal is one exact bucket over all nodes, which counts what it would admit.
	ideal      float64
	idealAt    time.Time
	idealCount int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newReplay(seed uint64) *replay {
	r := newReplayOf(seed, replayNodes, replayAccounts, largestRate)
	for _, a := range r.accounts {
		a.owners = r.ownersOf(a.name)
	}
	return r
}

// newReplayOf returns a replay of a deployment of any size. Accounts whose owner may be lost need all
// their owners.
func newReplayOf(seed uint64, nodes, accounts int, largest float64) *replay {
	r := &replay{rng: rand.New(rand.NewPCG(seed, 1)), now: replayStart, cut: func(int, int) bool { return false }}
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprintf("vm-%d", i))
		r.nodes = append(r.nodes, &replayNode{name: names[i], zone: i % replayZones})
		r.start(r.nodes[i])
		// The deployment runs already, so that new buckets hold the burst.
		r.nodes[i].begun = r.now.Add(-time.Minute)
	}
	for k := 1; k <= accounts; k++ {
		usual := largest / math.Pow(float64(k), 1.2)
		limit := Limit{Rate: limitFactor * usual, Burst: max(2, burstSeconds*limitFactor*usual)}
		r.accounts = append(r.accounts, &replayAccount{
			name: fmt.Sprintf("account-%d", k), usual: usual, limit: limit, zone: -1, ideal: limit.Burst, idealAt: r.now,
			factor: func(time.Duration) float64 { return 1 },
		})
		a := r.accounts[k-1]
		a.owners = []*replayNode{r.nodes[Owner(a.name, names)]}
	}
	return r
}

// start begins a process of a node.
func (r *replay) start(n *replayNode) {
	n.holders, n.buckets, n.dead = map[int]*holderState{}, map[int]*Bucket{}, false
	n.restarts++
	n.begun = r.now
}

func (r *replay) after(d time.Duration, run func()) {
	r.sequence++
	heap.Push(&r.events, event{at: r.now.Add(d), sequence: r.sequence, run: run})
}

// run replays the arrivals for the time and the answers to the last of them.
func (r *replay) run(length time.Duration) {
	for i := range r.accounts {
		r.nextArrival(i, length)
	}
	r.drain()
}

// drain runs all planned events.
func (r *replay) drain() {
	for r.events.Len() > 0 {
		e, _ := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
}

// nextArrival plans the next call of an account. Calls thin out a process at the highest rate.
func (r *replay) nextArrival(i int, length time.Duration) {
	const highest = 8.0
	a := r.accounts[i]
	gap := time.Duration(r.rng.ExpFloat64() / (highest * a.usual) * float64(time.Second))
	r.after(gap, func() {
		at := r.now.Sub(replayStart)
		if at > length {
			return
		}
		if r.rng.Float64() < a.factor(at)/highest {
			r.arrive(i)
		}
		r.nextArrival(i, length)
	})
}

func (r *replay) arrive(i int) {
	a := r.accounts[i]
	n := r.nodes[r.rng.IntN(len(r.nodes))]
	for n.dead || (a.zone >= 0 && n.zone != a.zone) {
		n = r.nodes[r.rng.IntN(len(r.nodes))]
	}
	a.arrivals++
	a.ideal = min(a.limit.Burst, a.ideal+a.limit.Rate*r.now.Sub(a.idealAt).Seconds())
	a.idealAt = r.now
	if a.ideal >= 1 {
		a.ideal--
		a.idealCount++
	}
	switch owner := r.owner(n, i); {
	case r.static:
		r.takeStatic(n, i)
	case owner == n:
		if r.bucket(n, i).Take(r.now).Admitted {
			a.admitted = append(a.admitted, r.now)
		}
	default:
		h := r.holder(n, i)
		t := NewTicket()
		h.pending = append(h.pending, t)
		h.Offer(t, r.now)
		r.settle(h, i)
		r.ask(n, i, h)
		r.after(MaxWait, func() {
			h.Expire(t, r.now)
			r.settle(h, i)
		})
	}
}

func (r *replay) takeStatic(n *replayNode, i int) {
	a, h := r.accounts[i], r.holder(n, i)
	if h.at.IsZero() {
		h.level, h.at = max(1, a.limit.Burst/float64(len(r.nodes))), r.now
	}
	h.level = min(max(1, a.limit.Burst/float64(len(r.nodes))), h.level+a.limit.Rate/float64(len(r.nodes))*r.now.Sub(h.at).Seconds())
	h.at = r.now
	if h.level >= 1 {
		h.level--
		a.admitted = append(a.admitted, r.now)
	}
}

func (r *replay) holder(n *replayNode, i int) *holderState {
	h := n.holders[i]
	if h == nil {
		h = &holderState{Holder: NewHolder(replayBounds, r.accounts[i].limit, len(r.nodes))}
		n.holders[i] = h
	}
	h.SetLimit(r.accounts[i].limit)
	return h
}

func (r *replay) bucket(n *replayNode, i int) *Bucket {
	b := n.buckets[i]
	if b == nil {
		b = NewBucket(replayBounds, r.accounts[i].limit, n.begun, r.now)
		n.buckets[i] = b
	}
	b.SetLimit(r.accounts[i].limit, r.now)
	b.SetIsolated(!n.cutSince.IsZero() && r.now.Sub(n.cutSince) > isolationTime, r.now)
	return b
}

// owner returns the owner of an account as a node knows the members.
func (r *replay) owner(n *replayNode, i int) *replayNode {
	for _, m := range r.accounts[i].owners {
		lost := !m.cutSince.IsZero() && r.now.Sub(m.cutSince) > removalTime && n.cutSince.IsZero()
		if !m.removed && !lost {
			return m
		}
	}
	return n
}

// ownersOf returns the nodes in the order in which they would own an account.
func (r *replay) ownersOf(account string) []*replayNode {
	var owners []*replayNode
	members := append([]*replayNode(nil), r.nodes...)
	for len(members) > 0 {
		names := make([]string, len(members))
		for i, m := range members {
			names[i] = m.name
		}
		owner := Owner(account, names)
		owners = append(owners, members[owner])
		members = append(members[:owner], members[owner+1:]...)
	}
	return owners
}

// settle counts the calls that have a verdict.
func (r *replay) settle(h *holderState, i int) {
	open := h.pending[:0]
	for _, t := range h.pending {
		select {
		case v := <-t.Settled:
			if v.Admitted {
				r.accounts[i].admitted = append(r.accounts[i].admitted, r.now)
			}
		default:
			open = append(open, t)
		}
	}
	h.pending = open
}

func (r *replay) latency(a, b *replayNode) time.Duration {
	if a.zone == b.zone {
		return time.Duration(300+r.rng.IntN(700)) * time.Microsecond
	}
	return time.Duration(2000+r.rng.IntN(4000)) * time.Microsecond
}

// ask sends the next ask of a holder, if there is one.
func (r *replay) ask(n *replayNode, i int, h *holderState) {
	ask, needed := h.NextAsk(r.now)
	if !needed {
		return
	}
	r.messages++
	owner, process := r.owner(n, i), n.restarts
	done := false
	finish := func(f func()) {
		if !done && n.restarts == process && !n.dead {
			done = true
			f()
			r.settle(h, i)
			r.ask(n, i, h)
		}
	}
	r.after(askTimeout, func() { finish(func() { h.Lose(r.now) }) })
	if r.cut(n.zone, owner.zone) {
		return
	}
	r.after(r.latency(n, owner), func() {
		if owner.dead {
			r.after(r.latency(n, owner), func() { finish(func() { h.Lose(r.now) }) })
			return
		}
		owner.asked++
		b := r.bucket(owner, i)
		grant := b.Grant(n.name, ask, r.now)
		r.probe(owner, b, i)
		if !r.cut(n.zone, owner.zone) {
			r.after(r.latency(n, owner), func() { finish(func() { h.Reply(grant, r.now) }) })
		}
	})
}

// probe asks the silent nodes of a bucket to release what is reserved for them.
func (r *replay) probe(owner *replayNode, b *Bucket, i int) {
	for _, name := range b.Silent(r.now) {
		for _, n := range r.nodes {
			if n.name != name || n.dead || r.cut(n.zone, owner.zone) {
				continue
			}
			r.messages++
			r.after(r.latency(n, owner), func() {
				r.holder(n, i).Release()
				r.after(r.latency(n, owner), func() { b.Release(name, r.now) })
			})
		}
	}
}

// cutZone cuts a zone off from the others for some time.
func (r *replay) cutZone(zone int, from, length time.Duration) {
	r.after(from, func() {
		r.cut = func(a, b int) bool { return (a == zone) != (b == zone) }
		for _, n := range r.nodes {
			if n.zone == zone {
				n.cutSince = r.now
			}
		}
	})
	r.after(from+length, func() {
		r.cut = func(int, int) bool { return false }
		for _, n := range r.nodes {
			n.cutSince = time.Time{}
		}
	})
}

// lost returns how many calls of an account were refused that one exact bucket would have admitted.
func (a *replayAccount) lost() int { return max(0, a.idealCount-len(a.admitted)) }

// excess returns by how many calls the account exceeds what it may run in any window, for a limit that
// holds from a time on; negative if it does not.
func (a *replayAccount) excess(limit Limit, from time.Time) float64 {
	allowed := limit.Rate*replayBounds.Window.Seconds() + limit.Burst
	allowed += replayBounds.excess(limit)
	sort.Slice(a.admitted, func(i, j int) bool { return a.admitted[i].Before(a.admitted[j]) })
	worst, first := math.Inf(-1), 0
	for i, t := range a.admitted {
		for t.Sub(a.admitted[first]) >= replayBounds.Window || (first < i && a.admitted[first].Before(from)) {
			first++
		}
		if !a.admitted[first].Before(from) {
			worst = max(worst, float64(i-first+1)-allowed)
		}
	}
	return worst
}

// report sums up a replay: the share of calls lost below the limit over all accounts, that of the
// account which lost most, and the worst excess of any.
type report struct {
	lost, worstLost float64
	worst, most     string
	excess          float64
	messages        float64
}

func (r *replay) report(length time.Duration) report {
	result := report{excess: math.Inf(-1), messages: float64(r.messages) / length.Seconds()}
	lost, ideal := 0, 0
	for _, a := range r.accounts {
		lost += a.lost()
		ideal += a.idealCount
		if share := float64(a.lost()) / float64(max(1, a.idealCount)); share > result.worstLost {
			result.worstLost, result.worst = share, a.name
		}
		if excess := a.excess(a.limit, replayStart); excess > result.excess {
			result.excess, result.most = excess, a.name
		}
	}
	result.lost = float64(lost) / float64(max(1, ideal))
	return result
}
