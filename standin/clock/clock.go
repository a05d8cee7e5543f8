// Package clock stands in for a VM whose time of day jumps while its steady clock runs on.
package clock

import (
	"time"
	"unsafe"
)

// Bits of the first word of a time.Time that has a reading of the steady clock: the highest
// one marks it, and the seconds of the time of day are above the nanoseconds.
const (
	steadyReading = 1 << 63
	secondShift   = 30
)

// Step returns t as time.Now would have returned it if the time of day had jumped by some
// seconds before: its reading of the steady clock is the same. It panics if t has none, as
// within testing/synctest.
func Step(t time.Time, seconds int) time.Time {
	word := (*uint64)(unsafe.Pointer(&t))
	if *word&steadyReading == 0 {
		panic("clock: the time has no reading of the steady clock")
	}
	*word += uint64(int64(seconds)) << secondShift
	return t
}
