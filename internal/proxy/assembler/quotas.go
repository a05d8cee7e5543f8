package assembler

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/account/granter"
	"github.com/tamarackscale/tamarackscale/internal/account/rationer"
	"github.com/tamarackscale/tamarackscale/internal/observe/reporter"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/finder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/internal/settings/reader"
)

const (
	// isolationTime is how long after the loss of the store a node that reaches no other zone counts as
	// isolated. Others replace it as the owner of accounts once its entry, which was written at most
	// three seconds before the loss and lives for ten, has ended.
	isolationTime = 5 * time.Second
	// isolationCheckInterval is the interval between checks of whether other zones can be reached,
	// isolationCheckTimeout the time for one and isolationCheckPeers the number of nodes that it asks.
	isolationCheckInterval = time.Second
	isolationCheckTimeout  = time.Second
	isolationCheckPeers    = 3
	// announcementTime is how long after the return of the store the others may not have taken the
	// node's announcement yet.
	announcementTime = time.Second
)

// buildQuotas builds the granter of quotas, unless the settings have none.
func (p *Proxy) buildQuotas(s *reader.Quotas) error {
	if s == nil {
		return nil
	}
	p.granter = granter.New(granter.Config{
		Node:     p.settings.Load().Node.ID,
		Bounds:   rationer.Bounds{Window: s.Window(), Excess: s.Excess, Slack: s.Slack},
		Members:  p.Members,
		Limit:    p.quotaOf,
		Call:     p.forwarder.CallService,
		Isolated: p.isolation.isolated,
		Observe:  p.telemetry,
	})
	p.isolation.watched = true
	return p.receiver.Register(granter.ServiceName, p.granter.Methods())
}

// quotaOf returns the quota of an account in the version in force, and whether it has one.
func (p *Proxy) quotaOf(name string) (rationer.Limit, bool) {
	table := p.subscriber.Table()
	if table == nil {
		return rationer.Limit{}, false
	}
	account := table.Account(name)
	if !account.Limited() {
		return rationer.Limit{}, false
	}
	return rationer.Limit{Rate: account.Rate, Burst: account.Burst}, true
}

// isolation tells whether other nodes may have removed this one, since it reaches neither the store nor
// another zone. It is a finder.Observer. Its methods are safe for concurrent use.
type isolation struct {
	*reporter.Reporter
	// peers returns the addresses of nodes of other zones, or of this one if there are no others.
	peers func() []string
	ping  func(ctx context.Context, address string) error
	// listed reports whether a node has this one among its members.
	listed func(ctx context.Context, address string) bool
	// announce announces the node to all others.
	announce func()
	// watched is whether the node may own accounts, so that it checks while the store is lost.
	watched bool
	// done ends the checks.
	done chan struct{}

	mu sync.Mutex
	// lostAt is when the store was lost, regainedAt when it responded again; zero if not.
	lostAt     time.Time
	regainedAt time.Time
	checkedAt  time.Time
	// unreachable is the result of the last check.
	unreachable bool
	// replaced means that the node was isolated and others may still have chosen other owners.
	replaced bool
}

var _ finder.Observer = (*isolation)(nil)

// newIsolation returns the isolation of a node.
func (p *Proxy) newIsolation() *isolation {
	return &isolation{
		Reporter: p.telemetry, peers: p.remotePeers, announce: p.publishSelf, done: make(chan struct{}),
		ping: func(ctx context.Context, address string) error {
			return p.forwarder.CallService(ctx, address, "Ping", &forwarder.Empty{}, &forwarder.Empty{})
		},
		listed: func(ctx context.Context, address string) bool {
			members, err := p.forwarder.Members(ctx, address)
			self := p.settings.Load().Node.ID
			return err == nil && slices.ContainsFunc(members, func(m balancer.Member) bool { return m.Node == self && m.Start == p.incarnation })
		},
	}
}

// RegistrationFailed implements finder.Observer.
func (i *isolation) RegistrationFailed(err error) {
	i.mu.Lock()
	i.lostAt, i.regainedAt = time.Now(), time.Time{}
	i.mu.Unlock()
	if i.watched {
		go i.watch()
	}
	i.Reporter.RegistrationFailed(err)
}

// watch checks in each interval until the store responds again. A node that owns accounts has to know
// that it was replaced even if it is asked for no token meanwhile.
func (i *isolation) watch() {
	ticker := time.NewTicker(isolationCheckInterval)
	defer ticker.Stop()
	for i.isLost() {
		i.isolated()
		select {
		case <-i.done:
			return
		case <-ticker.C:
		}
	}
}

func (i *isolation) isLost() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.lostAt.IsZero()
}

// RegistrationRegained implements finder.Observer. Nodes that have removed this one would otherwise
// find its entry only at their next read.
func (i *isolation) RegistrationRegained() {
	i.mu.Lock()
	i.lostAt, i.regainedAt, i.unreachable = time.Time{}, time.Now(), false
	replaced := i.replaced
	i.mu.Unlock()
	if replaced {
		i.announce()
	}
	i.Reporter.RegistrationRegained()
}

// isolated reports whether the node is isolated. It does not wait: while the store is lost it begins a
// check if the last one is isolationCheckInterval ago.
func (i *isolation) isolated() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	switch {
	case i.lostAt.IsZero():
		i.replaced = i.replaced && now.Sub(i.regainedAt) < announcementTime
		return i.replaced
	case now.Sub(i.checkedAt) >= isolationCheckInterval:
		i.checkedAt = now
		go i.check(i.replaced)
	}
	i.replaced = i.replaced || (i.unreachable && now.Sub(i.lostAt) >= isolationTime)
	return i.replaced
}

// check asks some nodes of other zones at once. The node is isolated if none of them replies, unless
// there are none, and no longer replaced if one that replies still has it among its members.
func (i *isolation) check(replaced bool) {
	ctx, cancel := context.WithTimeout(context.Background(), isolationCheckTimeout)
	defer cancel()
	peers := i.peers()
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	peers = peers[:min(len(peers), isolationCheckPeers)]
	reached := make(chan string, len(peers))
	for _, address := range peers {
		go func() {
			if i.ping(ctx, address) != nil {
				address = ""
			}
			reached <- address
		}()
	}
	unreachable, listed := len(peers) > 0, false
	for range peers {
		if address := <-reached; address != "" {
			unreachable = false
			listed = replaced && i.listed(ctx, address)
			break
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.unreachable = unreachable && !i.lostAt.IsZero()
	i.replaced = i.replaced && !listed
}
