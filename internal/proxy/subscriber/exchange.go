package subscriber

import (
	"context"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/encoder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
)

// request requests from r a version newer than the one in force. If there is none yet, r
// may hold the reply for up to wait.
func (s *Subscriber) request(
	ctx context.Context, r Relay, wait time.Duration,
) (forwarder.ConfigurationReply, error) {
	return s.requestSince(ctx, r, s.Version(), wait)
}

// requestSince is request for a version newer than have; 0 requests the whole
// configuration in force. The reply may take one second longer than r may hold it.
func (s *Subscriber) requestSince(
	ctx context.Context, r Relay, have int64, wait time.Duration,
) (forwarder.ConfigurationReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	return s.config.Request(ctx, r.Address, forwarder.ConfigurationArgs{Start: r.Start, Have: have, Wait: wait})
}

// applyReply brings a newer configuration from another node into force. If a patch does
// not yield the version that was encoded, applyReply requests the whole configuration. A
// reply without a newer version confirms the one in force up to the reply's position.
func (s *Subscriber) applyReply(ctx context.Context, r Relay, reply forwarder.ConfigurationReply, source string) {
	if reply.Version == 0 && reply.Subscribed && reply.PackedPosition > 0 {
		s.confirm(reply.Position())
	}
	if reply.Version <= s.Version() {
		return
	}
	data, err := s.decode(reply.Message)
	if err != nil {
		s.config.Observe.Unusable(source, err)
		if reply, err = s.requestSince(ctx, r, 0, wholeRequestTimeout); err != nil {
			return
		}
		if data, err = s.decode(reply.Message); err != nil {
			s.config.Observe.Unusable(source, err)
			return
		}
	}
	s.apply(data, source, reply.Position())
}

func (s *Subscriber) decode(m encoder.Message) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Decode(m)
}

// Next waits for a configuration newer than version have and returns it. The version of
// the reply is 0 if there is none when the context ends or when this node starts or
// stops receiving changes. A node that has just stopped replies at once: the request may have been
// sent before, and the requester would rely on this node until the reply.
func (s *Subscriber) Next(ctx context.Context, have int64) forwarder.ConfigurationReply {
	subscribed := s.subscribed()
	if !subscribed && s.lostRecently() {
		return s.reply(have)
	}
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if s.Version() > have || s.subscribed() != subscribed {
			return s.reply(have)
		}
		select {
		case <-ctx.Done():
			return s.reply(have)
		case <-changed:
		}
	}
}

// lostRecently reports whether the node has stopped receiving changes within recentLoss.
func (s *Subscriber) lostRecently() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lostAt) < recentLoss
}

// reply returns a reply to a node that holds version have: the version in force if that is
// newer, or that there is none. Version and position are taken together, since the position of a
// newer version would confirm the node's own. If the version can't be encoded, the reply
// confirms nothing.
func (s *Subscriber) reply(have int64) forwarder.ConfigurationReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := forwarder.ConfigurationReply{
		Subscribed: s.subscribedLocked(), PackedPosition: forwarder.Pack(s.confirmedPositionLocked()),
	}
	if s.Version() <= have {
		return reply
	}
	message, err := s.history.Encode(have)
	if err != nil {
		s.config.Observe.Unusable("encoder", err)
		reply.PackedPosition = 0
	}
	reply.Message = message
	return reply
}

// confirmedPositionLocked returns the position up to which the version in force is the
// newest; zero if a newer one was rejected. The caller holds s.mu.
func (s *Subscriber) confirmedPositionLocked() keeper.Position {
	if s.rejected {
		return keeper.Position{}
	}
	return s.position
}
