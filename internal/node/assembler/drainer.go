package assembler

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tamarackscale/tamarackscale/internal/kernel/pauser"
	"github.com/tamarackscale/tamarackscale/internal/node/administrator"
	"github.com/tamarackscale/tamarackscale/internal/serving/admitter"
	"github.com/tamarackscale/tamarackscale/internal/serving/claimer"
)

const (
	// drainNotice is how long a stopping node still routes calls at least,
	// while its peers learn that its endpoint takes none.
	drainNotice = time.Second
	// handOverTimeout bounds the wait for other nodes to take its seats over.
	handOverTimeout = 5 * time.Second
	// handOverInterval is the pause between looks at whether they have.
	handOverInterval = 50 * time.Millisecond
)

// drainer is the last service to start and so the first to stop.
type drainer struct {
	admin    *administrator.Administrator
	admitter *admitter.Admitter
	claimer  *claimer.Claimer
	log      *logrus.Entry
}

// Name implements registrar.Service.
func (d *drainer) Name() string { return "drainer" }

// Needs implements registrar.Service.
func (d *drainer) Needs() []string { return []string{"callerServer", "peerServer", "adminServer"} }

// Start implements registrar.Service.
func (d *drainer) Start(context.Context) error { return nil }

// Stop announces the stop, waits until peers know, and lets the endpoint's
// calls in flight finish and the seats of the node go to others.
func (d *drainer) Stop(ctx context.Context) error {
	d.admin.Drain()
	pauser.Pause(ctx, drainNotice)
	err := d.admitter.WaitIdle(ctx)
	d.log.Info("no call is in flight at the endpoint")
	deadline := time.Now().Add(handOverTimeout)
	for d.claimer.HeldSeats() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		pauser.Pause(ctx, handOverInterval)
	}
	if seats := d.claimer.HeldSeats(); seats > 0 {
		d.log.WithField("seats", seats).Warn("idempotency records were not handed over")
		return err
	}
	// The new holders copy the records in this time.
	pauser.Pause(ctx, drainNotice)
	return err
}
