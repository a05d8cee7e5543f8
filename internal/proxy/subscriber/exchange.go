package subscriber

import (
	"context"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/encoder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
)

func (s *Subscriber) ask(
	ctx context.Context, r Relay, wait time.Duration,
) (forwarder.ConfigurationReply, error) {
	return s.askFrom(ctx, r, s.Version(), wait)
}

func (s *Subscriber) askFrom(
	ctx context.Context, r Relay, have int64, wait time.Duration,
) (forwarder.ConfigurationReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	return s.config.Ask(ctx, r.Address, forwarder.ConfigurationArgs{Start: r.Start, Have: have, Wait: wait})
}

// take brings what another node told into force. A patch that does not lead to the
// version that it stands for is replaced by the whole.
func (s *Subscriber) take(ctx context.Context, r Relay, reply forwarder.ConfigurationReply, source string) {
	if reply.Version == 0 && reply.Following && reply.Revision > 0 {
		s.know(max(s.known(), keeper.Revision(reply.Revision)))
	}
	if reply.Version <= s.Version() {
		return
	}
	data, err := s.decode(reply.Message)
	if err != nil {
		s.config.Observe.Unusable(source, err)
		if reply, err = s.askFrom(ctx, r, 0, peerWait); err != nil {
			return
		}
		if data, err = s.decode(reply.Message); err != nil {
			s.config.Observe.Unusable(source, err)
			return
		}
	}
	s.apply(data, source)
	s.know(keeper.Revision(reply.Revision))
}

func (s *Subscriber) decode(m encoder.Message) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Decode(m)
}

// Next returns a configuration newer than have, waiting for one until the
// context ends.
func (s *Subscriber) Next(ctx context.Context, have int64) forwarder.ConfigurationReply {
	fresh := s.fresh()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if s.Version() > have {
			return s.reply(have)
		}
		if s.fresh() != fresh {
			return s.unchanged()
		}
		select {
		case <-ctx.Done():
			return s.unchanged()
		case <-changed:
		}
	}
}

// unchanged says that there is no newer version.
func (s *Subscriber) unchanged() forwarder.ConfigurationReply {
	return forwarder.ConfigurationReply{Following: s.fresh(), Revision: int64(s.known())}
}

func (s *Subscriber) reply(have int64) forwarder.ConfigurationReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	message, err := s.history.Encode(have)
	if err != nil {
		s.config.Observe.Unusable("encoder", err)
	}
	return forwarder.ConfigurationReply{Message: message, Following: s.fresh(), Revision: int64(s.revision)}
}
