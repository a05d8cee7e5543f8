// Package pauser waits until a duration has elapsed or a context has ended.
package pauser

import (
	"context"
	"time"
)

// Pause waits for d and reports whether it has elapsed. It returns false as soon as the
// context ends. A duration that is not positive has elapsed already.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
