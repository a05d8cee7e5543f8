package dispatcher

import (
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

const (
	// minRetryAfter keeps a refused caller from sending the call again at once.
	minRetryAfter = 20 * time.Millisecond
	// failureRetryAfter is the delay after a refusal that is not due to a queue, such as
	// after the failure of an upstream or a node. By then a replacement is known.
	failureRetryAfter = 250 * time.Millisecond
	// maxRetryAfterFraction bounds the delay to a fraction of the caller's remaining
	// time.
	maxRetryAfterFraction = 1.0 / 3
)

// retryAfter returns the delay after which the caller of a refused call should send it again:
// when the calls queued ahead of it are done, but early enough for it to be served before
// the deadline. It returns 0 if the call may have run, has no route or no valid key. A call over its
// account's quota is told when there is quota again, even if that is late.
func retryAfter(r carrier.Result, remaining time.Duration) time.Duration {
	switch {
	case r.Outcome != carrier.NotRun, r.Reason == carrier.NoRoute, r.Reason == carrier.KeyMissing, r.Reason == carrier.KeyUnknown:
		return 0
	case r.Reason == carrier.OverQuota, r.Reason == carrier.QuotaUnavailable:
		return max(r.Wait, minRetryAfter)
	}
	delay := failureRetryAfter
	if r.Reason == carrier.WaitTooLong || r.Reason == carrier.UrgentFirst || r.Reason == carrier.LinkBusy {
		delay = r.Wait
	}
	maxDelay := time.Duration(maxRetryAfterFraction * float64(remaining))
	return max(min(delay, maxDelay), minRetryAfter)
}
