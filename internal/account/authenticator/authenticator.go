// Package authenticator finds the account of a client by the key that the client sends. It keeps no
// keys, only their hashes under a secret that is drawn when the process first needs one, so that
// neither a copy of its memory nor the time of a lookup shows a key.
//
// It is built for thousands of accounts in a configuration of which several versions a second come
// into force: an index is shared by all versions with the same keys.
package authenticator

import (
	"cmp"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"hash"
	"slices"
	"sync"
)

// Key is the text that identifies an account. It formats and marshals as redacted, so that it does
// not get into a log or an error.
type Key string

const redacted = "[key]"

// Format implements fmt.Formatter.
func (Key) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// MarshalText implements encoding.TextMarshaler.
func (Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Credential is a key with the account that it identifies.
type Credential struct {
	Key Key
	// Account is the position of the account in the caller's list.
	Account int
}

// entry is the hash of a key and the account that the key identifies.
type entry struct {
	digest  [sha256.Size]byte
	account int
}

// Index finds accounts by key. It is immutable and safe for concurrent use.
type Index struct {
	hasher *hasher
	// entries is ordered by digest. One slice takes less memory than a map of digests.
	entries []entry
}

// New returns the index of credentials, of which no two have the same key. It has the secret of the
// previous index, which may be nil, and is the previous index itself if the credentials are the same.
func New(credentials []Credential, previous *Index) *Index {
	index := &Index{entries: make([]entry, len(credentials))}
	if previous != nil {
		index.hasher = previous.hasher
	} else {
		index.hasher = newHasher()
	}
	for i, c := range credentials {
		index.entries[i] = entry{digest: index.hasher.sum(string(c.Key)), account: c.Account}
	}
	slices.SortFunc(index.entries, func(a, b entry) int { return slices.Compare(a.digest[:], b.digest[:]) })
	if previous != nil && slices.Equal(index.entries, previous.entries) {
		return previous
	}
	return index
}

// Lookup returns the account that the key identifies, and whether there is one.
func (x *Index) Lookup(key string) (int, bool) {
	digest := x.hasher.sum(key)
	// The search compares only a prefix of the digests. Callers can't choose digests without the
	// secret, so that its time tells them nothing about keys.
	prefix := binary.BigEndian.Uint64(digest[:])
	at, _ := slices.BinarySearchFunc(x.entries, prefix, func(e entry, prefix uint64) int {
		return cmp.Compare(binary.BigEndian.Uint64(e.digest[:]), prefix)
	})
	for ; at < len(x.entries) && binary.BigEndian.Uint64(x.entries[at].digest[:]) == prefix; at++ {
		if subtle.ConstantTimeCompare(x.entries[at].digest[:], digest[:]) == 1 {
			return x.entries[at].account, true
		}
	}
	return 0, false
}

// Len returns the number of keys.
func (x *Index) Len() int { return len(x.entries) }

// hasher computes keyed hashes.
type hasher struct{ pool sync.Pool }

// newHasher returns a hasher with a new secret.
func newHasher() *hasher {
	var secret [sha256.Size]byte
	// Read never returns an error; it ends the process if there is no randomness.
	_, _ = rand.Read(secret[:])
	return &hasher{pool: sync.Pool{New: func() any { return hmac.New(sha256.New, secret[:]) }}}
}

func (h *hasher) sum(text string) (digest [sha256.Size]byte) {
	mac := h.pool.Get().(hash.Hash)
	defer h.pool.Put(mac)
	mac.Reset()
	_, _ = mac.Write([]byte(text))
	mac.Sum(digest[:0])
	return digest
}
