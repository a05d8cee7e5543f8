package executor

import (
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
)

// Forecast is what a call may expect of the upstream.
type Forecast struct {
	// Refusal is why the upstream can't take the call; empty if it can.
	Refusal carrier.Reason
	// Wait is the expected time until a slot is free, Service how long the call will hold it, and
	// Slots the number of slots; 0 if it is unknown.
	Wait    time.Duration
	Service time.Duration
	Slots   int
}

// Forecast returns what a call may expect that arrives now.
func (e *Executor) Forecast(job Job, now time.Time) Forecast {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Forecast{
		Refusal: e.refusalReason(job.Service, now),
		Wait:    e.queue.Waits(now)[queuer.ClassOf(job.Rank, job.Nested)],
		Service: e.queue.ServiceTime(job.Kind), Slots: e.queue.Slots,
	}
}
