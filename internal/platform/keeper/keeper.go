// Package keeper defines the interfaces to the platform's key-value service, which is
// the only persistent storage: Store as the node with the product's own interface uses it, and
// EventStore as the proxy on the users' platform does. The packages connector below
// internal/platform and platform implement them over HTTP.
package keeper

import (
	"context"
	"fmt"
	"time"
)

// Revision orders the writes to the platform; each write increases it. Zero stands
// for a key that does not exist.
type Revision int64

// LeaseID identifies a lease.
type LeaseID int64

// Item is one key with its value.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is that of the write which set the value.
	Revision Revision `json:"revision"`
}

// PutRequest is a compare-and-swap write of one key.
type PutRequest struct {
	Key   string
	Value []byte
	// Expected is the revision that the key must have; zero requires that it does
	// not exist.
	Expected Revision
	// Lease is the lease that the key expires with; zero means none.
	Lease LeaseID
}

// Change is the result of a watch.
type Change struct {
	// Revision is to be passed to the next watch.
	Revision Revision `json:"revision"`
	// Items holds every item below the prefix if one has changed; nil otherwise.
	Items []Item `json:"items"`
}

// Store is the platform's key-value service. Every call counts against its rate
// limits. The errors are the types of this package; with any other error the outcome
// of a write is unknown.
type Store interface {
	// Get returns an item. The error is a *NotFoundError if the key does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items below prefix in ascending order of their keys.
	List(ctx context.Context, prefix string) ([]Item, error)
	// Put writes a key and returns its new revision. The error is a *ConflictError
	// if the key does not have the expected revision.
	Put(ctx context.Context, request PutRequest) (Revision, error)
	// Watch waits until an item below prefix is newer than after, or until wait has
	// elapsed, in which case Change.Items is nil.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Change, error)
	// Grant returns a new lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease. The error is a *NotFoundError if it has expired.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys bound to it.
	Revoke(ctx context.Context, lease LeaseID) error
}

// NotFoundError reports that a key or lease does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%q does not exist on the platform", e.Key)
}

// ConflictError reports that a key did not have the expected revision; nothing was
// written.
type ConflictError struct {
	Key      string
	Expected Revision
	Current  Revision
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%q was changed by another writer: at revision %d, expected %d", e.Key, e.Current, e.Expected)
}

// UnavailableError reports that the call was not executed, because the platform
// rejected it or it was never sent; nothing was written.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string { return "platform did not execute the call: " + e.Reason }

// UnknownOutcomeError reports that no usable response was received; a write may have
// taken effect.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("no usable response from the platform to %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// HistoryLostError reports that the events after a position are no longer retained, have never
// been part of the store's present era, or may not arrive; the reader must start again from a
// snapshot.
type HistoryLostError struct {
	After Position
	// Era is the store's present era.
	Era Era
}

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the platform does not retain the history after revision %d of era %d in era %d", e.After.Revision, e.After.Era, e.Era)
}
