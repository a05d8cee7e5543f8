package granter

import (
	"context"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/account/rationer"
)

// Methods returns the value whose methods other nodes call as ServiceName.
func (g *Granter) Methods() any { return &methods{g} }

// methods is the type whose methods net/rpc exports.
type methods struct{ g *Granter }

// Take grants tokens of an account that this node owns. The node may know other members than the
// asking one and still grant: the account would otherwise have no owner until both know the same.
func (m *methods) Take(args *TakeArgs, reply *TakeReply) error {
	g := m.g
	limit, limited := g.Limit(args.Account)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !limited || g.stopping(now) {
		reply.NotOwner = true
		return nil
	}
	b := g.bucket(g.account(args.Account, now), limit, now)
	grant := b.Grant(args.Node, rationer.Ask{Need: args.Need, Expect: args.Expect, Returned: args.Returned}, now)
	reply.Tokens, reply.Wait, reply.Fallback, reply.Over = grant.Tokens, grant.Wait, grant.Fallback, grant.Over
	for _, node := range b.Silent(now) {
		go g.requestRelease(node, args.Account, b)
	}
	return nil
}

// stopping reports whether the node is stopping, so that others have chosen other owners.
func (g *Granter) stopping(now time.Time) bool {
	if now.Sub(g.view.readAt) >= viewTime {
		g.readView(now)
	}
	for _, name := range g.view.names {
		if name == g.Node {
			return false
		}
	}
	return true
}

// requestRelease asks a silent node to admit no calls without contact.
func (g *Granter) requestRelease(node, account string, b *rationer.Bucket) {
	address := g.addressOf(node)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	if g.Call(ctx, address, ServiceName+".Release", &ReleaseArgs{Account: account}, &ReleaseReply{}) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b.Release(node, time.Now())
}

// addressOf returns the address of a member; empty if it is not known.
func (g *Granter) addressOf(node string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.view.members {
		if m.Node == node {
			return m.Address
		}
	}
	return ""
}

// Release makes the node admit no calls of an account without contact to its owner.
func (m *methods) Release(args *ReleaseArgs, _ *ReleaseReply) error {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	if a := m.g.accounts[args.Account]; a != nil && a.holder != nil {
		a.holder.Release()
	}
	return nil
}
