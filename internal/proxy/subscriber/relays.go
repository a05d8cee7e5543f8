package subscriber

import (
	"context"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/pauser"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
)

// Relay is a node that passes changes on.
type Relay struct {
	Address string
	// Start is when its process started: another one may have its address by now.
	Start int64
}

// takeover is how long a node gives the relays before it asks the store itself:
// nothing for a relay, for a node that has no version yet, or where none answers.
func (s *Subscriber) takeover() time.Duration {
	if s.Version() == 0 || s.following.Load() || !s.relayAnswers() {
		return 0
	}
	for position, r := range s.config.Relays() {
		if r.Address != s.config.Own {
			continue
		}
		if position < relayCount {
			return 0
		}
		return takeoverPause + time.Duration(min(position, takeoverNodes))*takeoverSpread
	}
	return takeoverPause
}

// relayAnswers says whether any relay answers, be it that it hears of no changes.
func (s *Subscriber) relayAnswers() bool {
	for i := range relayCount {
		if s.answers[i].Load() {
			return true
		}
	}
	return false
}

// awaitRelays returns once a relay passes changes on, or its time to begin is up.
func (s *Subscriber) awaitRelays(ctx context.Context) {
	began := time.Now()
	for s.mustFollow() && time.Since(began) < s.patience() {
		if !pauser.Pause(ctx, startPause) {
			return
		}
	}
}

// patience is how long a node that starts waits for a relay. Where all start at
// once, the first relay begins before the others.
func (s *Subscriber) patience() time.Duration {
	switch relays := s.config.Relays(); {
	case !s.config.FirstStart && s.heardRelays():
		return 0
	case !s.config.FirstStart:
		return firstAnswer
	case len(relays) > 0 && relays[0].Address == s.config.Own:
		return firstMeeting
	default:
		return firstMeeting + firstAnswer
	}
}

// heardRelays says that every relay was asked once.
func (s *Subscriber) heardRelays() bool {
	for i := range relayCount {
		if !s.asked[i].Load() {
			return false
		}
	}
	return true
}

// mustFollow says whether the node follows the store itself: no relay tells it
// of changes. The first node of a zone has none.
func (s *Subscriber) mustFollow() bool {
	for i := range relayCount {
		if s.relayed[i].Load() {
			return false
		}
	}
	return true
}

// fresh says that the node hears of changes, from the store or from a relay.
func (s *Subscriber) fresh() bool { return s.following.Load() || !s.mustFollow() }

func (s *Subscriber) setRelayed(index int, relayed bool) {
	if s.relayed[index].Swap(relayed) != relayed {
		s.tellFresh()
	}
}

// relay returns a relay that this node asks, and whether there is one. A relay asks
// those before it.
func (s *Subscriber) relay(index int) (Relay, bool) {
	for i, r := range s.config.Relays() {
		if r.Address == s.config.Own {
			return Relay{}, false
		}
		if i == index {
			return r, true
		}
	}
	return Relay{}, false
}

// followRelay keeps a question open at one relay.
func (s *Subscriber) followRelay(ctx context.Context, index int) {
	for ctx.Err() == nil {
		relay, found := s.relay(index)
		if !found {
			s.setRelayed(index, false)
			s.answers[index].Store(false)
			s.asked[index].Store(true)
			if !pauser.Pause(ctx, rolePause) {
				return
			}
			continue
		}
		reply, err := s.askRelay(ctx, relay)
		s.answers[index].Store(err == nil)
		s.setRelayed(index, err == nil && reply.Following && reply.Start == relay.Start)
		s.asked[index].Store(true)
		if err == nil {
			s.take(ctx, relay, reply, "relay")
		}
		if (err != nil || !reply.Following) && !pauser.Pause(ctx, peerPause) {
			return
		}
	}
}

// askRelay asks the relay for changes. A node without a version takes one from any
// process at the relay's address: after a restart of all, the others' starts are not
// known yet, and a whole configuration for each node would fill the links.
func (s *Subscriber) askRelay(ctx context.Context, relay Relay) (forwarder.ConfigurationReply, error) {
	if s.Version() == 0 {
		relay.Start = 0
	}
	return s.ask(ctx, relay, relayWait)
}

// followPeers asks other nodes while the store does not answer.
func (s *Subscriber) followPeers(ctx context.Context) {
	turn := 0
	for pauser.Pause(ctx, peerPause) {
		if s.following.Load() || !s.mustFollow() {
			continue
		}
		peers := s.config.Peers()
		if len(peers) == 0 {
			continue
		}
		peer := Relay{Address: peers[turn%len(peers)]}
		reply, err := s.ask(ctx, peer, peerWait)
		if err != nil || (!reply.Following && reply.Version == 0) {
			turn++
		}
		if err == nil {
			s.take(ctx, peer, reply, "peer")
		}
	}
}
