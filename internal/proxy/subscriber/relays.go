package subscriber

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/pauser"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
)

// Relay is a node that other nodes poll for changes.
type Relay struct {
	// Address is the peer address, host:port.
	Address string
	// Start is when its process started, in Unix nanoseconds. It distinguishes the
	// process from another one that has taken over the address.
	Start int64
}

// takeoverDelay returns how long the node waits for the relays before it contacts the
// store itself. It is zero for a relay, for a node without a version, for a node that
// watches the store already, and if no relay is reachable.
func (s *Subscriber) takeoverDelay() time.Duration {
	if s.Version() == 0 || s.watchingStore.Load() || !s.anyRelayReachable() {
		return 0
	}
	for position, r := range s.config.Relays() {
		if r.Address != s.config.OwnAddress {
			continue
		}
		if position < relayCount {
			return 0
		}
		return minTakeoverDelay + time.Duration(min(position, maxTakeoverDelaySteps))*takeoverDelayStep
	}
	return minTakeoverDelay
}

// anyRelayReachable reports whether any relay replied to the last request, even if it
// receives no changes itself.
func (s *Subscriber) anyRelayReachable() bool {
	for i := range relayCount {
		if s.relayReached[i].Load() {
			return true
		}
	}
	return false
}

// needsStore reports whether the node has to watch the store itself because no relay
// passes changes on to it. The first node of an availability zone polls no relay.
func (s *Subscriber) needsStore() bool {
	for i := range relayCount {
		if s.relaySubscribed[i].Load() {
			return false
		}
	}
	return true
}

// subscribed reports whether the node receives changes, from the store or from a relay. A
// node that can't decode the store's newest configuration does not: another release behind
// it may know more, and must read the store itself.
func (s *Subscriber) subscribed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.subscribedLocked()
}

// subscribedLocked is subscribed for a caller that holds s.mu.
func (s *Subscriber) subscribedLocked() bool {
	return s.watchingStore.Load() && !s.rejected || !s.needsStore()
}

// setRelaySubscribed sets whether the relay with the given index replies and receives
// changes itself.
func (s *Subscriber) setRelaySubscribed(index int, relaySubscribed bool) {
	if s.relaySubscribed[index].Swap(relaySubscribed) != relaySubscribed {
		s.notifyWaiters()
	}
}

// relay returns the relay with the given index in the order of Config.Relays if this node
// polls it, and reports whether it does. A relay polls only the relays before it.
func (s *Subscriber) relay(index int) (Relay, bool) {
	for i, r := range s.config.Relays() {
		if r.Address == s.config.OwnAddress {
			return Relay{}, false
		}
		if i == index {
			return r, true
		}
	}
	return Relay{}, false
}

// pollRelay keeps a request pending at the relay with the given index until the context
// ends.
func (s *Subscriber) pollRelay(ctx context.Context, index int) {
	for ctx.Err() == nil {
		relay, found := s.relay(index)
		if !found {
			s.setRelaySubscribed(index, false)
			s.relayReached[index].Store(false)
			s.relayRequested[index].Store(true)
			if !pauser.Pause(ctx, rolePollInterval) {
				return
			}
			continue
		}
		reply, err := s.requestFromRelay(ctx, relay)
		s.relayReached[index].Store(err == nil)
		// The version is applied first: a node without one does not wait for its relays any
		// more once it has their replies.
		if err == nil {
			s.applyReply(ctx, relay, reply, "relay")
		}
		s.setRelaySubscribed(index, err == nil && reply.Subscribed && reply.Start == relay.Start)
		s.relayRequested[index].Store(true)
		// A version that was not applied can't be decoded; it would be sent again at once.
		if (err != nil || !reply.Subscribed || reply.Version > s.Version()) && !pauser.Pause(ctx, peerPollInterval) {
			return
		}
	}
}

// requestFromRelay requests changes from a relay. A node without a version accepts one
// from any process at the relay's address: after a restart of all nodes, the start times
// of the others are not known yet, and if each node fetched a whole configuration from
// the store, the links would be saturated.
func (s *Subscriber) requestFromRelay(ctx context.Context, relay Relay) (forwarder.ConfigurationReply, error) {
	if s.Version() == 0 {
		relay.Start = 0
	}
	return s.request(ctx, relay, relayPollTimeout)
}

// checkPeers requests a newer version from some other node, each peerCheckInterval. What the node
// believes of its relays and of its watch does not matter for this: they may receive no changes
// without having noticed, or the store may hold an older version than the others have in force, if
// it has come back from an older copy. A node without a version asks any nodes, and more often: the
// store may not respond, or hold one that this release can't decode.
func (s *Subscriber) checkPeers(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.config.Seed, 0))
	for {
		interval, peers := peerCheckInterval, s.config.RemotePeers
		if s.Version() == 0 {
			interval, peers = peerPollInterval, s.config.Peers
		}
		if !pauser.Pause(ctx, interval) {
			return
		}
		s.consultOne(ctx, choose(slices.Clone(peers()), checkedPeers, random))
	}
}

// consultOne requests a newer version from nodes until one of them has replied. The next is asked
// when the one before has failed or has not replied for consultDelay.
func (s *Subscriber) consultOne(ctx context.Context, addresses []string) {
	replied := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { replied <- s.consult(ctx, Relay{Address: address}) }()
		select {
		case ok := <-replied:
			if ok {
				return
			}
		case <-time.After(consultDelay):
		}
	}
}

// choose returns up to n of the addresses in random order. It reorders the slice.
func choose(addresses []string, n int, random *rand.Rand) []string {
	n = min(n, len(addresses))
	for i := range n {
		j := i + random.IntN(len(addresses)-i)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	return addresses[:n]
}
