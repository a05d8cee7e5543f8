package messenger

import (
	"fmt"
	"math"
)

// maxMessageBytes bounds one message. The largest hold a version of the bundle, or the records of one shard.
const maxMessageBytes = 16 << 20

// maxPrefixBytes is the size of the longest length prefix.
const maxPrefixBytes = 9

// LengthError reports a message that is longer than maxMessageBytes, or whose length can't be read.
type LengthError struct{ Declared uint64 }

func (e *LengthError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Declared, maxMessageBytes)
}

// frames follows the messages of a connection, of which package gob reads up to gigabytes into memory. Each
// begins with its length: one byte below 128, or the negative number of the big-endian bytes that follow.
type frames struct {
	// prefix is what has arrived of the next length, rest what is to come of a message.
	prefix []byte
	rest   uint64
}

// follow returns a *LengthError if bytes that have arrived begin a message that is too long.
func (f *frames) follow(arrived []byte) error {
	for len(arrived) > 0 {
		if f.rest > 0 {
			skipped := min(f.rest, uint64(len(arrived)))
			f.rest -= skipped
			arrived = arrived[skipped:]
			continue
		}
		f.prefix = append(f.prefix, arrived[0])
		arrived = arrived[1:]
		size := prefixSize(f.prefix[0])
		if size > maxPrefixBytes {
			return &LengthError{math.MaxUint64}
		}
		if len(f.prefix) < size {
			continue
		}
		if f.rest = lengthIn(f.prefix); f.rest > maxMessageBytes {
			return &LengthError{f.rest}
		}
		f.prefix = f.prefix[:0]
	}
	return nil
}

// prefixSize returns the size of a length prefix from its first byte.
func prefixSize(first byte) int {
	if first < 128 {
		return 1
	}
	return 1 - int(int8(first))
}

// lengthIn returns the length that a whole prefix states.
func lengthIn(prefix []byte) uint64 {
	if len(prefix) == 1 {
		return uint64(prefix[0])
	}
	length := uint64(0)
	for _, b := range prefix[1:] {
		length = length<<8 | uint64(b)
	}
	return length
}
