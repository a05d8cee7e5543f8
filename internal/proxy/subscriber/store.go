package subscriber

import (
	"context"
	"errors"
	"strings"
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
	if err := s.readOrders(ctx); err != nil {
		return err
	}
	defer s.endOrders()
	for {
		events, err := s.watch(ctx, s.knownPosition())
		if err != nil {
			return err
		}
		s.applyEvents(events)
		s.passOrders(events)
		if len(events.List) > 0 && !pauser.Pause(ctx, coalesceDelay) {
			return ctx.Err()
		}
		if !s.needsStore() {
			return nil
		}
	}
}

// catchUp returns the store's version, as an event, if it may be newer than the one in
// force. A node with a known position requests only the events after it: if every node read
// the whole configuration when the store is back, their links would be saturated.
func (s *Subscriber) catchUp(ctx context.Context) (keeper.Events, error) {
	if position := s.knownPosition(); position.Revision > 0 {
		return s.config.Store.Watch(ctx, s.watchedPrefix(), position, minWatchTimeout)
	}
	item, position, err := s.config.Store.Read(ctx, s.config.Key)
	var missing *keeper.NotFoundError
	if errors.As(err, &missing) {
		return keeper.Events{Position: position}, nil
	}
	if err != nil {
		return keeper.Events{}, err
	}
	item.Key = s.config.Key
	return keeper.Events{List: []keeper.Event{{Item: item}}, Position: position}, nil
}

// watchedPrefix returns the prefix of the watch.
func (s *Subscriber) watchedPrefix() string {
	if s.config.Orders.WatchPrefix != "" {
		return s.config.Orders.WatchPrefix
	}
	return s.config.Key
}

// readOrders reads all orders. The node does so whenever it starts to watch: other nodes, which may
// know nothing of orders, have confirmed its position meanwhile.
func (s *Subscriber) readOrders(ctx context.Context) error {
	if s.config.Orders.WatchPrefix == "" {
		return nil
	}
	snapshot, err := s.config.Store.Range(ctx, s.config.Orders.Prefix, keeper.Linearizable)
	if err == nil {
		s.config.Orders.Reset(snapshot.Items)
	}
	return err
}

// passOrders passes the events of orders on.
func (s *Subscriber) passOrders(events keeper.Events) {
	if s.config.Orders.WatchPrefix == "" {
		return
	}
	var orders []keeper.Event
	for _, event := range events.List {
		if strings.HasPrefix(event.Key, s.config.Orders.Prefix) {
			orders = append(orders, event)
		}
	}
	if len(orders) > 0 {
		s.config.Orders.Changed(orders)
	}
}

// endOrders states that the node does not watch any more.
func (s *Subscriber) endOrders() {
	if s.config.Orders.WatchPrefix != "" {
		s.config.Orders.Ended()
	}
}

// minWatchTimeout is the timeout of a watch that returns only existing events.
const minWatchTimeout = time.Millisecond

// applyEvents applies the latest version in events.
func (s *Subscriber) applyEvents(events keeper.Events) {
	for i := len(events.List) - 1; i >= 0; i-- {
		if event := events.List[i]; event.Key == s.config.Key && !event.Deleted {
			s.apply(event.Value, storeSource, events.Position)
			break
		}
	}
	s.confirm(events.Position)
}

// errHinted is the cause that cancels a watch when another node has a newer version.
var errHinted = errors.New("another node has a newer version")

// watch waits for changes after a position. A hint that is not followed by an event of
// the store within coalesceDelay ends it with a HistoryLostError, since the watch may no
// longer deliver events. The configuration is then read again.
func (s *Subscriber) watch(ctx context.Context, after keeper.Position) (keeper.Events, error) {
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
	events, err := s.config.Store.Watch(ctx, s.watchedPrefix(), after, watchTimeout)
	if err != nil && errors.Is(context.Cause(ctx), errHinted) {
		return events, &keeper.HistoryLostError{After: after, Era: after.Era}
	}
	return events, err
}

// confirm records that the version in force is the newest up to a position of the store. An
// earlier position than the known one changes nothing, since a version never goes back.
func (s *Subscriber) confirm(position keeper.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmLocked(position)
}

// confirmLocked is confirm for a caller that holds s.mu.
func (s *Subscriber) confirmLocked(position keeper.Position) {
	if s.position.Before(position) {
		s.position = position
	}
}

// forgetPosition makes the next watch begin with the whole configuration. Positions of eras
// before the given one, which other nodes may still have, count no more.
func (s *Subscriber) forgetPosition(era keeper.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position = keeper.Position{Era: max(s.position.Era, era)}
}

func (s *Subscriber) knownPosition() keeper.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position
}
