package keeper

import (
	"context"
	"time"
)

// Era counts how often the store has come back from an older copy of its state. It has then
// lost the latest writes and leases and gives their revisions and IDs out again, so those of
// different eras can't be compared. Zero is unknown.
type Era int64

// Position is a point in the history of the store.
type Position struct {
	Era      Era
	Revision Revision
}

// Before reports whether p is earlier than other.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}

// Lease is a lease with the era that it belongs to. In another era it does not exist, although
// its ID may have been given out again.
type Lease struct {
	ID  LeaseID
	Era Era
	// TTL is how long the lease lasts, measured from when the platform received the call that
	// granted or renewed it.
	TTL time.Duration
}

// Event is one write or deletion of a key.
type Event struct {
	Item
	// Deleted reports whether the key was deleted; Value is then empty.
	Deleted bool
}

// Events is the result of Watch: the events after a position.
type Events struct {
	List []Event
	// Position is to be passed to the next call.
	Position Position
}

// Snapshot holds the items below a prefix. If the store returned them in several
// pages, they need not all be of the same revision.
type Snapshot struct {
	Items []Item
}

// Write sets one key in a transaction.
type Write struct {
	Key   string
	Value []byte
	// Lease is the lease that the key expires with; one with ID zero means none.
	Lease Lease
}

// Condition requires that a key has a revision.
type Condition struct {
	Key string
	// Expected has the revision 0 if the key must not exist. Its era is that in which the revision was
	// read: in another one, the revision could hold by chance.
	Expected Position
}

// Transaction is a set of writes that is applied as a whole, or not at all if a condition does not
// hold.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Consistency selects how current the result of a read is.
type Consistency bool

// The consistency levels. A stale read may be seconds out of date and costs a tenth
// of a linearizable one.
const (
	Linearizable Consistency = false
	Stale        Consistency = true
)

// EventStore is a key-value service that retains the recent history of its keys and
// supports transactions. Its errors are those of Store and *HistoryLostError.
type EventStore interface {
	// Read returns one item and the store's position. The error is a *NotFoundError if
	// the key does not exist.
	Read(ctx context.Context, key string) (Item, Position, error)
	// Range returns the items below prefix in ascending order of their keys.
	Range(ctx context.Context, prefix string, c Consistency) (Snapshot, error)
	// Watch waits for events below prefix that are newer than after, or until wait
	// has elapsed, in which case Events.List is empty. The error is a *HistoryLostError
	// if the events after that position are no longer retained, or if the store is in
	// another era, whatever it retains.
	Watch(ctx context.Context, prefix string, after Position, wait time.Duration) (Events, error)
	// Commit applies a transaction. The error is a *NotFoundError if a lease has ended or is
	// of another era. In the latter case the keys may be bound to another's lease, and must
	// be written again. It is a *ConflictError if a condition does not hold, and a
	// *HistoryLostError if one is of another era; if the era has just begun, the writes may have
	// been applied nevertheless.
	Commit(ctx context.Context, t Transaction) error
	// Lease grants a lease.
	Lease(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease. The error is a *NotFoundError if it has expired or is of another
	// era.
	Renew(ctx context.Context, lease Lease) error
}
