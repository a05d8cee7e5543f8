package fleet

import (
	"context"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/standin/platform"
)

// PlatformHost is the host name of the platform in the rules of Network.Cut.
const PlatformHost = "platform"

// callTimeout limits a call, as the platform's HTTP client (connector.Client) does.
const callTimeout = 2 * time.Second

// hostStore is the platform's store as one host sees it. A call that begins while the
// host is cut off from the platform blocks until its timeout; List is not affected.
type hostStore struct {
	*platform.Engine
	fleet *Fleet
	host  string
}

// callContext returns the context of a call with a timeout. If the host is cut off, it
// blocks until the timeout and returns a keeper.UnknownOutcomeError.
func (s *hostStore) callContext(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	if s.fleet.Network.IsCut(s.host, PlatformHost) {
		<-ctx.Done()
		cancel()
		return nil, nil, &keeper.UnknownOutcomeError{Operation: "call", Cause: ctx.Err()}
	}
	return ctx, cancel, nil
}

// boundedCall makes a call with a timeout if the host is not cut off from the platform.
func boundedCall[T any](ctx context.Context, s *hostStore, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	var none T
	ctx, cancel, err := s.callContext(ctx, timeout)
	if err != nil {
		return none, err
	}
	defer cancel()
	return call(ctx)
}

// Get implements keeper.Store.
func (s *hostStore) Get(ctx context.Context, key string) (keeper.Item, error) {
	return boundedCall(ctx, s, callTimeout, func(ctx context.Context) (keeper.Item, error) { return s.Engine.Get(ctx, key) })
}

// Put implements keeper.Store.
func (s *hostStore) Put(ctx context.Context, q keeper.PutRequest) (keeper.Revision, error) {
	return boundedCall(ctx, s, callTimeout, func(ctx context.Context) (keeper.Revision, error) { return s.Engine.Put(ctx, q) })
}

// Watch implements keeper.Store. A watch that is in flight when the host is cut off
// runs to its end; its response is lost if the host is still cut off then.
func (s *hostStore) Watch(
	ctx context.Context, prefix string, after keeper.Revision, wait time.Duration,
) (keeper.Change, error) {
	change, err := boundedCall(ctx, s, wait+callTimeout, func(ctx context.Context) (keeper.Change, error) {
		return s.Engine.Watch(ctx, prefix, after, wait)
	})
	if err == nil && s.fleet.Network.IsCut(s.host, PlatformHost) {
		return keeper.Change{}, &keeper.UnknownOutcomeError{Operation: "watch", Cause: context.DeadlineExceeded}
	}
	return change, err
}

// Grant implements keeper.Store.
func (s *hostStore) Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error) {
	return boundedCall(ctx, s, callTimeout, func(ctx context.Context) (keeper.LeaseID, error) { return s.Engine.Grant(ctx, ttl) })
}

// Renew implements keeper.Store.
func (s *hostStore) Renew(ctx context.Context, lease keeper.LeaseID) error {
	_, err := boundedCall(ctx, s, callTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.Engine.Renew(ctx, lease)
	})
	return err
}

// Revoke implements keeper.Store.
func (s *hostStore) Revoke(ctx context.Context, lease keeper.LeaseID) error {
	_, err := boundedCall(ctx, s, callTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.Engine.Revoke(ctx, lease)
	})
	return err
}
