// Package resolver completes compare-and-swap writes whose response was lost. It
// reads the key back before it retries, so that a write takes effect at most once.
package resolver

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/base64"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/kernel/pauser"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
)

const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// nonceBytes makes a collision among the writes of one key negligibly likely and
// keeps values that hold several nonces short.
const nonceBytes = 8

// Nonce returns a random string by which a writer recognises its own value.
func Nonce() string {
	random := make([]byte, nonceBytes)
	_, _ = rand.Read(random)
	return base64.RawURLEncoding.EncodeToString(random)
}

// Put writes like Store.Put. If the outcome is unknown, it reads the key back until
// the platform responds or the context ends. If the key holds the written value, the
// write succeeded. If it still has the expected revision, the write is retried.
// Otherwise the error is a *keeper.ConflictError. The value must be unique to this
// write, for example by a Nonce, and no other writer may write the key after this
// write has taken effect; see PutShared.
func Put(ctx context.Context, store keeper.Store, request keeper.PutRequest) (keeper.Revision, error) {
	item, err := PutShared(ctx, store, request, func(value []byte) bool { return bytes.Equal(value, request.Value) })
	return item.Revision, err
}

// PutShared is Put for a key that other writers may write after this write has taken
// effect. The function follows reports whether a value is the written one or is
// derived from it; for that, values must record which values they are derived from.
// PutShared returns the item as last read, which may be newer than this write.
func PutShared(
	ctx context.Context, store keeper.Store, request keeper.PutRequest, follows func(value []byte) bool,
) (keeper.Item, error) {
	backoff := initialBackoff
	for {
		revision, err := store.Put(ctx, request)
		if !outcomeUnknown(err) {
			return keeper.Item{Key: request.Key, Value: request.Value, Revision: revision}, err
		}
		item, applied, readErr := readBack(ctx, store, request, follows, &backoff)
		if readErr != nil {
			return item, combineErrors(err, readErr)
		}
		if applied {
			return item, nil
		}
	}
}

// readBack reads the key until the platform responds. It returns true if the write
// took effect, and false without an error if the write can be retried. It waits for
// the backoff before each read and doubles it.
func readBack(
	ctx context.Context, store keeper.Store, request keeper.PutRequest, follows func(value []byte) bool,
	backoff *time.Duration,
) (keeper.Item, bool, error) {
	for {
		if !pauser.Pause(ctx, *backoff) {
			return keeper.Item{}, false, ctx.Err()
		}
		*backoff = min(*backoff*2, maxBackoff)
		item, err := store.Get(ctx, request.Key)
		var missing *keeper.NotFoundError
		switch {
		case errors.As(err, &missing):
			item = keeper.Item{Key: request.Key}
		case err != nil:
			continue
		}
		if item.Revision == request.Expected {
			return item, false, nil
		}
		if follows(item.Value) {
			return item, true, nil
		}
		return item, false, &keeper.ConflictError{
			Key: request.Key, Expected: request.Expected, Current: item.Revision,
		}
	}
}

// combineErrors returns a conflict unchanged. With any other error of reading back,
// the outcome of the write stays unknown.
func combineErrors(writeErr, readErr error) error {
	var conflict *keeper.ConflictError
	if errors.As(readErr, &conflict) {
		return readErr
	}
	return errors.CombineErrors(writeErr, readErr)
}

func outcomeUnknown(err error) bool {
	var unknown *keeper.UnknownOutcomeError
	return errors.As(err, &unknown)
}
