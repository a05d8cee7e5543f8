package subscriber

import (
	"context"
	"errors"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/pauser"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
)

// followStore takes in what the store has and watches it until a call fails.
func (s *Subscriber) followStore(ctx context.Context) error {
	if err := s.catchUp(ctx); err != nil {
		return err
	}
	if !s.setFollowing(true) {
		s.config.Observe.StoreRegained()
	}
	for {
		events, err := s.watch(ctx, s.known())
		if err != nil {
			return err
		}
		s.takeEvents(events)
		if len(events.List) > 0 && !pauser.Pause(ctx, gatherTime) {
			return ctx.Err()
		}
		if !s.mustFollow() {
			return nil
		}
	}
}

// catchUp takes in the store's version. A node that knows a revision asks for what
// changed since then: a whole configuration for each node at once would fill their
// links when the store is back.
func (s *Subscriber) catchUp(ctx context.Context) error {
	if revision := s.known(); revision > 0 {
		events, err := s.config.Store.Follow(ctx, s.config.Key, revision, shortestWatch)
		if err == nil {
			s.takeEvents(events)
		}
		return err
	}
	item, revision, err := s.config.Store.Read(ctx, s.config.Key)
	var missing *keeper.NotFoundError
	if errors.As(err, &missing) {
		s.know(revision)
		return nil
	}
	if err != nil {
		return err
	}
	s.apply(item.Value, "store")
	s.know(revision)
	return nil
}

// shortestWatch is the wait of a watch that only asks what there is.
const shortestWatch = time.Millisecond

func (s *Subscriber) takeEvents(events keeper.Events) {
	for i := len(events.List) - 1; i >= 0; i-- {
		if event := events.List[i]; event.Key == s.config.Key && !event.Deleted {
			s.apply(event.Value, "store")
			break
		}
	}
	s.know(events.Revision)
}

// errHinted ends a watch because another node is ahead of it.
var errHinted = errors.New("another node has a newer version")

// watch waits for changes. A hint that is not followed by the store's own word
// within a gatherTime ends it: the watch may have gone silent.
func (s *Subscriber) watch(ctx context.Context, after keeper.Revision) (keeper.Events, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-done:
			return
		case <-s.hinted:
		}
		select {
		case <-done:
		case <-time.After(gatherTime):
			cancel(errHinted)
		}
	}()
	events, err := s.config.Store.Follow(ctx, s.config.Key, after, watchTime)
	if err != nil && errors.Is(context.Cause(ctx), errHinted) {
		return events, &keeper.HistoryLostError{After: after}
	}
	return events, err
}

// know notes up to which revision of the store the version in force is the newest.
func (s *Subscriber) know(revision keeper.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
}

func (s *Subscriber) known() keeper.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}
