package keeper

import (
	"context"
	"time"
)

// Event is one change of a key.
type Event struct {
	Item
	// Deleted says that the key is gone; Value is empty then.
	Deleted bool
}

// Events is what happened after a revision.
type Events struct {
	List []Event
	// Revision is where the next call continues.
	Revision Revision
}

// Snapshot is the items below a prefix. Several pages need not be of one moment.
type Snapshot struct {
	Items    []Item
	Revision Revision
}

// Write is one key of a transaction.
type Write struct {
	Key   string
	Value []byte
	// Lease binds the key to a lease; zero binds it to none.
	Lease LeaseID
}

// Condition is the revision that a key must have; zero: it must not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Transaction is applied whole if every condition holds, otherwise not at all.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// Consistency says how fresh a read must be.
type Consistency bool

// The consistencies. A stale read may be seconds old and costs a tenth.
const (
	Linearizable Consistency = false
	Stale        Consistency = true
)

// EventStore is a platform's service that keeps the history of its keys for a
// while and applies transactions. Errors are those of Store, and
// HistoryLostError.
type EventStore interface {
	// Read returns one item and the store's revision.
	Read(ctx context.Context, key string) (Item, Revision, error)
	// Range returns the items below prefix in ascending order of their keys.
	Range(ctx context.Context, prefix string, c Consistency) (Snapshot, error)
	// Watch waits until something below prefix is newer than after, or until
	// wait has passed.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Events, error)
	Commit(ctx context.Context, t Transaction) (Revision, error)
	// Lease returns a new lease and how long it lasts from the call's arrival.
	Lease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	Renew(ctx context.Context, lease LeaseID) error
	Revoke(ctx context.Context, lease LeaseID) error
}
