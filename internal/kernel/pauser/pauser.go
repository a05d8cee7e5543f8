// Package pauser waits until a duration has elapsed or a context has ended.
package pauser

import (
	"context"
	"time"
)

// Pause waits for d and reports whether it has elapsed. It returns false as soon as the
// context ends.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
