package subscriber

import (
	"context"
	"errors"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/pauser"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
)

// watchStore applies the store's version and watches the store for changes. It returns
// an error when a call fails or the context ends, and nil when a relay passes changes on
// again.
func (s *Subscriber) watchStore(ctx context.Context) error {
	newest, err := s.catchUp(ctx)
	if err != nil {
		return err
	}
	// A reply with the version must state that this node receives changes. Otherwise the
	// nodes that poll it would contact the store themselves.
	if !s.setWatchingStore(true) {
		s.config.Observe.StoreRegained()
	}
	s.applyEvents(newest)
	for {
		events, err := s.watch(ctx, s.knownRevision())
		if err != nil {
			return err
		}
		s.applyEvents(events)
		if len(events.List) > 0 && !pauser.Pause(ctx, coalesceDelay) {
			return ctx.Err()
		}
		if !s.needsStore() {
			return nil
		}
	}
}

// catchUp returns the store's version, as an event, if it may be newer than the one in
// force. A node with a known revision requests only the events after it: if every node read
// the whole configuration when the store is back, their links would be saturated.
func (s *Subscriber) catchUp(ctx context.Context) (keeper.Events, error) {
	if revision := s.knownRevision(); revision > 0 {
		return s.config.Store.Watch(ctx, s.config.Key, revision, minWatchTimeout)
	}
	item, revision, err := s.config.Store.Read(ctx, s.config.Key)
	var missing *keeper.NotFoundError
	if errors.As(err, &missing) {
		return keeper.Events{Revision: revision}, nil
	}
	if err != nil {
		return keeper.Events{}, err
	}
	item.Key = s.config.Key
	return keeper.Events{List: []keeper.Event{{Item: item}}, Revision: revision}, nil
}

// minWatchTimeout is the timeout of a watch that returns only existing events.
const minWatchTimeout = time.Millisecond

// applyEvents applies the latest version in events.
func (s *Subscriber) applyEvents(events keeper.Events) {
	for i := len(events.List) - 1; i >= 0; i-- {
		if event := events.List[i]; event.Key == s.config.Key && !event.Deleted {
			s.apply(event.Value, storeSource, events.Revision)
			break
		}
	}
	s.setKnownRevision(events.Revision)
}

// errHinted is the cause that cancels a watch when another node has a newer version.
var errHinted = errors.New("another node has a newer version")

// watch waits for changes after a revision. A hint that is not followed by an event of
// the store within coalesceDelay ends it with a HistoryLostError, since the watch may no
// longer deliver events. The configuration is then read again.
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
		case <-time.After(coalesceDelay):
			cancel(errHinted)
		}
	}()
	events, err := s.config.Store.Watch(ctx, s.config.Key, after, watchTimeout)
	if err != nil && errors.Is(context.Cause(ctx), errHinted) {
		return events, &keeper.HistoryLostError{After: after}
	}
	return events, err
}

// setKnownRevision records the store revision up to which the version in force is the
// newest; 0 is unknown.
func (s *Subscriber) setKnownRevision(revision keeper.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
}

func (s *Subscriber) knownRevision() keeper.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}
