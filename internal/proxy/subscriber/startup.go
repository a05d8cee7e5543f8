package subscriber

import (
	"context"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/pauser"
)

const (
	// relayResponseTimeout is how long a starting node waits for the relays' replies, and
	// discoveryTimeout how long it waits for nodes that all start at once to discover
	// each other.
	relayResponseTimeout = 700 * time.Millisecond
	discoveryTimeout     = 3 * time.Second
	// startupPollInterval is the interval between checks of whether a relay has replied.
	startupPollInterval = 50 * time.Millisecond
	// consultedPeers is the number of other nodes from which a starting node without a version
	// requests one, consultDelay how long it waits for one reply before it asks the next node,
	// and consultTimeout how long all may take.
	consultedPeers = 3
	consultDelay   = 150 * time.Millisecond
	consultTimeout = 700 * time.Millisecond
)

// awaitRelays waits until a relay passes changes on to this node, at most for
// startupTimeout.
func (s *Subscriber) awaitRelays(ctx context.Context) {
	start := time.Now()
	for s.needsStore() && time.Since(start) < s.startupTimeout() {
		if !pauser.Pause(ctx, startupPollInterval) {
			return
		}
	}
}

// startupTimeout returns how long a starting node waits for a relay. At the first start
// of the whole system, the first relay waits less than the other nodes, so that it
// contacts the store before them. At a later start, a node waits no longer than until it
// has the results of its first requests to the relays.
func (s *Subscriber) startupTimeout() time.Duration {
	switch relays := s.config.Relays(); {
	case !s.config.FirstStart && s.allRelaysRequested():
		return 0
	case !s.config.FirstStart:
		return relayResponseTimeout
	case len(relays) > 0 && relays[0].Address == s.config.OwnAddress:
		return discoveryTimeout
	default:
		return discoveryTimeout + relayResponseTimeout
	}
}

// allRelaysRequested reports whether a first request to every relay has ended.
func (s *Subscriber) allRelaysRequested() bool {
	for i := range relayCount {
		if !s.relayRequested[i].Load() {
			return false
		}
	}
	return true
}

// consultPeers requests a version from other nodes, unless the node has one or no node can have
// one. The next node is asked when the one before has replied, or does not reply for a while. The
// first that has a version sends it as a whole, those asked later only what has changed since.
func (s *Subscriber) consultPeers(ctx context.Context) {
	if s.config.FirstStart || s.Version() > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, consultTimeout)
	defer cancel()
	peers := spread(s.config.Peers(), consultedPeers)
	replied := make(chan struct{}, len(peers))
	pending := 0
	for _, address := range peers {
		pending++
		go func() {
			s.consult(ctx, Relay{Address: address})
			replied <- struct{}{}
		}()
		select {
		case <-replied:
			pending--
		case <-time.After(consultDelay):
		}
	}
	for ; pending > 0 && s.Version() == 0; pending-- {
		<-replied
	}
}

// consult requests a newer version from a node and reports whether it replied.
func (s *Subscriber) consult(ctx context.Context, peer Relay) bool {
	reply, err := s.request(ctx, peer, 0)
	if err == nil {
		s.applyReply(ctx, peer, reply, "peer")
	}
	return err == nil
}

// spread returns up to n addresses from all parts of a list. Its first ones are of the node's
// own availability zone, where the nodes may have restarted together.
func spread(addresses []string, n int) []string {
	if len(addresses) <= n {
		return addresses
	}
	chosen := make([]string, 0, n)
	for i := range n {
		chosen = append(chosen, addresses[i*(len(addresses)-1)/(n-1)])
	}
	return chosen
}
