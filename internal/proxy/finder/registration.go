package finder

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/recorder"
)

// renew renews the lease. A lease that has expired, or was lost with the store's latest writes,
// is dropped without an error, so that the node registers again.
func (f *Finder) renew(ctx context.Context) error {
	err := f.config.Store.Renew(ctx, f.lease)
	var notFound *keeper.NotFoundError
	if errors.As(err, &notFound) {
		f.lease = keeper.Lease{}
		return nil
	}
	return err
}

// register writes the node's entry under its lease, and first obtains a lease if there is none.
func (f *Finder) register(ctx context.Context, own balancer.Member) error {
	if f.lease.ID == 0 {
		lease, err := f.config.Store.Lease(ctx, leaseTTL)
		if err != nil {
			return err
		}
		f.lease = lease
	}
	next := entry{Member: own, Drains: f.config.Directory.Drains()}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	err = f.config.Store.Commit(ctx, keeper.Transaction{
		Writes: []keeper.Write{{Key: keyPrefix + own.Node, Value: value, Lease: f.lease}},
	})
	var notFound *keeper.NotFoundError
	if errors.As(err, &notFound) {
		f.lease = keeper.Lease{}
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.registered, f.registeredAt = next, time.Now()
	close(f.written)
	f.written = make(chan struct{})
	f.mu.Unlock()
	return nil
}

// entryOutdated reports whether the node's entry lacks a drain or states that of an upstream which
// does not drain any more.
func (f *Finder) entryOutdated(own balancer.Member) bool {
	if f.registered.Draining != own.Draining || f.registered.DrainStart != own.DrainStart {
		return true
	}
	return slices.ContainsFunc(f.config.Directory.Drains(), func(d recorder.Drain) bool { return !f.registered.holds(d) })
}

// AwaitDrain waits until the node's entry has the given drain or the context ends, and reports
// whether it has. The drain must have been announced (AnnounceNow).
func (f *Finder) AwaitDrain(ctx context.Context, drain recorder.Drain) bool {
	for {
		f.mu.Lock()
		recorded, written := f.registered.holds(drain), f.written
		f.mu.Unlock()
		if recorded {
			return true
		}
		select {
		case <-written:
		case <-ctx.Done():
			return false
		}
	}
}

// readFormer passes the drains in the entry of the node's former process to the directory, if it is
// still there. Unlike the reads of all entries, this one is not stale. It does nothing once it has
// succeeded. The error is that of the store.
func (f *Finder) readFormer(ctx context.Context) error {
	if f.formerRead {
		return nil
	}
	key := keyPrefix + f.config.Directory.Self().Node
	snapshot, err := f.config.Store.Range(ctx, key, keeper.Linearizable)
	if err != nil {
		return err
	}
	for _, item := range snapshot.Items {
		// The names of other nodes may begin with this node's.
		if item.Key == key {
			f.recoverDrains(key, item.Value)
		}
	}
	f.formerRead = true
	close(f.former)
	return nil
}

// recoverDrains passes the drains in the entry of the node's former process to the directory.
func (f *Finder) recoverDrains(key string, value []byte) {
	former, err := decodeEntry(key, value, time.Now())
	if err != nil {
		f.config.Observe.EntryUnusable(key, SourceStore, err)
		return
	}
	f.config.Directory.RecoverDrains(former.drains())
}

// isRegistered reports whether m is the record that the node wrote last.
func (f *Finder) isRegistered(m balancer.Member) bool {
	return m.Node == f.registered.Node && m.Start == f.registered.Start && m.Sequence == f.registered.Sequence
}
