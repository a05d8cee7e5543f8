package dispatcher

import (
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

const (
	// shortestPause keeps a refused caller from coming back at once.
	shortestPause = 20 * time.Millisecond
	// repairPause is when a caller may come back after a part failed: by then
	// the next upstream or node is known.
	repairPause = 250 * time.Millisecond
	// leftShare is the part of its time that a caller spends on a pause at most.
	leftShare = 1.0 / 3
)

// pauseOf returns when the caller of a refused call should come back: when the
// work that is ahead of it now is done, but early enough to be served then.
func pauseOf(r carrier.Result, left time.Duration) time.Duration {
	if r.Outcome != carrier.NotRun || r.Reason == carrier.NoRoute {
		return 0
	}
	pause := repairPause
	if r.Reason == carrier.WaitTooLong || r.Reason == carrier.UrgentFirst {
		pause = r.Wait
	}
	longest := time.Duration(leftShare * float64(left))
	return max(min(pause, longest), shortestPause)
}
