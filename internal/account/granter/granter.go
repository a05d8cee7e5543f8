// Package granter admits the calls of accounts with a quota. It takes the tokens of package rationer
// from the owner of an account, by a message unless the node itself is the owner, and serves the
// messages of other nodes.
package granter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/account/rationer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
)

// ServiceName is the name of the service between nodes.
const ServiceName = "Quota"

const (
	// messageTimeout bounds an exchange with another node. Calls wait less; a reply that comes later
	// than they wait still brings tokens.
	messageTimeout = 600 * time.Millisecond
	// viewTime is how long the list of members is used before it is read again.
	viewTime = 200 * time.Millisecond
	// unableTime is how long a node counts as unable to own accounts after it replied that it does not
	// have the service, as one of an earlier release.
	unableTime = 10 * time.Second
	// idleTime is how long the state of an account that is not used is kept, except the buckets of
	// accounts that the version in force has. Tokens and the fallback have ended long before.
	idleTime = time.Minute
	// jitterFraction is the fraction of a wait by which it is prolonged at random, so that callers that
	// were refused together do not come back together.
	jitterFraction = 0.2
)

// Config holds the dependencies of a Granter.
type Config struct {
	// Node is the name of this node.
	Node   string
	Bounds rationer.Bounds
	// Members returns the records of all members, including this node.
	Members func() []balancer.Member
	// Limit returns the quota of an account in the version in force, and whether it has one.
	Limit func(account string) (rationer.Limit, bool)
	// Call calls a method of a service of another node.
	Call func(ctx context.Context, address, method string, args, reply any) error
	// Isolated reports whether other nodes may have chosen other owners than this node.
	Isolated func() bool
	Observe  Observer
}

// Observer is notified of tokens.
type Observer interface {
	// Tokens is called with the tokens that the node has asked for, was granted, has held until they
	// expired and has got back since their calls did not run, since it was last called.
	Tokens(s rationer.Stats)
}

// Granter admits calls. It is safe for concurrent use.
type Granter struct {
	Config

	mu       sync.Mutex
	accounts map[string]*account
	view     view
	// unable holds until when nodes do not count as owners.
	unable map[string]time.Time
	// started is when the process began.
	started time.Time
	// sweptAt is when the state of idle accounts was last dropped.
	sweptAt time.Time
}

// account is the state of an account at this node.
type account struct {
	// holder and bucket are nil before their first use.
	holder *rationer.Holder
	bucket *rationer.Bucket
	usedAt time.Time
	// owner is the owner among the members of a view.
	owner     balancer.Member
	ownerView int
}

// view is the list of the members that may own accounts.
type view struct {
	names   []string
	members []balancer.Member
	readAt  time.Time
	// number counts the views that differ.
	number int
}

// New returns a granter that knows no account.
func New(config Config) *Granter {
	now := time.Now()
	return &Granter{Config: config, accounts: map[string]*account{}, unable: map[string]time.Time{}, started: now, sweptAt: now}
}

// Take takes a token for a call of an account, which has a limit. It waits at most the shorter of
// rationer.MaxWait and rationer.MaxWaitFraction of the call's remaining time.
func (g *Granter) Take(ctx context.Context, name string, limit rationer.Limit, remaining time.Duration) rationer.Verdict {
	ticket := rationer.NewTicket()
	g.mu.Lock()
	now := time.Now()
	a := g.account(name, now)
	owner := g.owner(name, a, now)
	if owner.Node == g.Node {
		verdict := g.bucket(a, limit, now).Take(now)
		g.mu.Unlock()
		return jittered(verdict)
	}
	h := g.holder(a, limit)
	h.Offer(ticket, now)
	g.ask(name, a, h, now)
	g.mu.Unlock()
	return jittered(g.await(ctx, h, ticket, remaining))
}

// await waits for the verdict on a ticket.
func (g *Granter) await(ctx context.Context, h *rationer.Holder, t *rationer.Ticket, remaining time.Duration) rationer.Verdict {
	select {
	case verdict := <-t.Settled:
		return verdict
	default:
	}
	timer := time.NewTimer(min(rationer.MaxWait, time.Duration(rationer.MaxWaitFraction*float64(remaining))))
	defer timer.Stop()
	select {
	case verdict := <-t.Settled:
		return verdict
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	h.Expire(t, time.Now())
	g.mu.Unlock()
	return <-t.Settled
}

func jittered(v rationer.Verdict) rationer.Verdict {
	v.Wait = time.Duration(float64(v.Wait) * (1 + jitterFraction*rand.Float64()))
	return v
}

// Return takes back the token of a call that did not run.
func (g *Granter) Return(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	a := g.account(name, now)
	switch {
	case g.owner(name, a, now).Node == g.Node && a.bucket != nil:
		a.bucket.Return(now)
	case a.holder != nil:
		a.holder.Return(now)
	}
}

// account returns the state of an account. The caller holds the lock.
func (g *Granter) account(name string, now time.Time) *account {
	g.sweep(now)
	a := g.accounts[name]
	if a == nil {
		a = &account{ownerView: -1}
		g.accounts[name] = a
	}
	a.usedAt = now
	return a
}

// sweep drops the state of idle accounts, each idleTime.
func (g *Granter) sweep(now time.Time) {
	if now.Sub(g.sweptAt) < idleTime {
		return
	}
	g.sweptAt = now
	for name, a := range g.accounts {
		if now.Sub(a.usedAt) < idleTime {
			continue
		}
		a.holder = nil
		if _, limited := g.Limit(name); a.bucket == nil || !limited {
			delete(g.accounts, name)
		}
	}
}

// owner returns the owner of an account. The caller holds the lock.
func (g *Granter) owner(name string, a *account, now time.Time) balancer.Member {
	if now.Sub(g.view.readAt) >= viewTime {
		g.readView(now)
	}
	if a.ownerView != g.view.number {
		a.owner, a.ownerView = balancer.Member{Node: g.Node}, g.view.number
		if i := rationer.Owner(name, g.view.names); i >= 0 {
			a.owner = g.view.members[i]
		}
	}
	return a.owner
}

// readView reads the members that may own accounts: those that are not stopping.
func (g *Granter) readView(now time.Time) {
	for node, until := range g.unable {
		if now.After(until) {
			delete(g.unable, node)
		}
	}
	var names []string
	var members []balancer.Member
	for _, m := range g.Members() {
		if _, unable := g.unable[m.Node]; !m.Stopping && !unable {
			names, members = append(names, m.Node), append(members, m)
		}
	}
	g.view.readAt = now
	if !g.view.equals(members) {
		g.view.names, g.view.members = names, members
		g.view.number++
	}
}

// equals reports whether the view has the members with their addresses, in any order.
func (v *view) equals(members []balancer.Member) bool {
	if len(members) != len(v.members) {
		return false
	}
	known := make(map[string]string, len(v.members))
	for _, m := range v.members {
		known[m.Node] = m.Address
	}
	for _, m := range members {
		if address, found := known[m.Node]; !found || address != m.Address {
			return false
		}
	}
	return true
}

// bucket returns the bucket of an account that this node owns. The caller holds the lock.
func (g *Granter) bucket(a *account, limit rationer.Limit, now time.Time) *rationer.Bucket {
	if a.bucket == nil {
		a.bucket = rationer.NewBucket(g.Bounds, limit, g.started, now)
	}
	a.bucket.SetLimit(limit, now)
	a.bucket.SetIsolated(g.Isolated(), now)
	return a.bucket
}

// holder returns the holder of an account that another node owns. The caller holds the lock.
func (g *Granter) holder(a *account, limit rationer.Limit) *rationer.Holder {
	if a.holder == nil {
		a.holder = rationer.NewHolder(g.Bounds, limit, len(g.view.names))
	}
	a.holder.SetLimit(limit)
	a.holder.Nodes = max(1, len(g.view.names))
	return a.holder
}

// ask sends the next ask for an account, if there is one. The caller holds the lock.
func (g *Granter) ask(name string, a *account, h *rationer.Holder, now time.Time) {
	ask, needed := h.NextAsk(now)
	g.reportTokens(h)
	if !needed {
		return
	}
	owner := g.owner(name, a, now)
	if owner.Node == g.Node {
		// The node has become the owner. Calls that wait are settled without a message.
		h.Lose(now)
		return
	}
	args := &TakeArgs{Node: g.Node, Account: name, Need: ask.Need, Expect: ask.Expect, Returned: ask.Returned}
	go g.exchange(name, a, h, owner, args)
}

// exchange sends an ask to the owner and passes its reply to the holder.
func (g *Granter) exchange(name string, a *account, h *rationer.Holder, owner balancer.Member, args *TakeArgs) {
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	reply := &TakeReply{}
	err := g.Call(ctx, owner.Address, ServiceName+".Take", args, reply)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil && !reply.NotOwner:
		h.Reply(rationer.Grant{Tokens: reply.Tokens, Wait: reply.Wait, Fallback: reply.Fallback, Over: reply.Over}, now)
	case forwarder.IsServerError(err):
		g.unable[owner.Node] = now.Add(unableTime)
		g.view.readAt = time.Time{}
		h.Lose(now)
	default:
		h.Lose(now)
	}
	g.ask(name, a, h, now)
}

// reportTokens passes the counted tokens of a holder to the observer.
func (g *Granter) reportTokens(h *rationer.Holder) {
	if h.Stats != (rationer.Stats{}) {
		g.Observe.Tokens(h.Stats)
		h.Stats = rationer.Stats{}
	}
}
