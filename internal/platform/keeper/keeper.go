// Package keeper is the narrow interface to the platform's key-value service,
// the only place where something lasts. Package connector adapts it to HTTP.
package keeper

import (
	"context"
	"fmt"
	"time"
)

// Revision orders the writes of the platform; it grows with each write. Zero
// stands for a key that does not exist.
type Revision int64

// LeaseID names a lease.
type LeaseID int64

// Item is one key with its value.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is that of the write which made the value.
	Revision Revision `json:"revision"`
}

// PutRequest is a compare-and-swap.
type PutRequest struct {
	Key   string
	Value []byte
	// Expected is the revision that the key must have; zero creates the key.
	Expected Revision
	// Lease binds the key to a lease; it vanishes with it. Zero binds it to none.
	Lease LeaseID
}

// Change is the answer of a watch.
type Change struct {
	// Revision is to be passed to the next watch.
	Revision Revision `json:"revision"`
	// Items holds every key below the prefix if anything changed; nil otherwise.
	Items []Item `json:"items"`
}

// Store is the platform's service. Every call counts against its rates. Errors
// are the types of this package; any other error means that the outcome of a
// write is unknown.
type Store interface {
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items below prefix in ascending order of their keys.
	List(ctx context.Context, prefix string) ([]Item, error)
	Put(ctx context.Context, request PutRequest) (Revision, error)
	// Watch waits until something below prefix is newer than after, or until
	// wait has passed, and then returns.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Change, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew(ctx context.Context, lease LeaseID) error
	Revoke(ctx context.Context, lease LeaseID) error
}

// NotFoundError says that a key or lease does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%q does not exist on the platform", e.Key)
}

// ConflictError says that a compare-and-swap lost; nothing was written.
type ConflictError struct {
	Key      string
	Expected Revision
	Current  Revision
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%q was changed by another writer: at revision %d, expected %d", e.Key, e.Current, e.Expected)
}

// UnavailableError says that the platform refused the call; nothing was written.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string { return "platform refused the call: " + e.Reason }

// UnknownOutcomeError says that no answer came; a write may have taken effect.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("no answer from the platform to %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the transport's error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// HistoryLostError says that the events after a revision are no longer kept:
// the reader starts again from a snapshot.
type HistoryLostError struct{ After Revision }

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the platform no longer keeps the history after revision %d", e.After)
}
