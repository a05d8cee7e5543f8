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
	// drainDelay is the minimum time for which a stopping node still routes calls
	// after it has announced the drain, so that its peers can update their records
	// of its endpoint. It is also the time that the new holders of the node's seats get
	// to copy the idempotency records.
	drainDelay = time.Second
	// seatTransferTimeout limits the wait until the node's seats are assigned to other
	// nodes.
	seatTransferTimeout = 5 * time.Second
	// seatPollInterval is the interval between checks of the seats that the node still
	// holds.
	seatPollInterval = 50 * time.Millisecond
)

// drainer drains the node when it stops: its endpoint, and its seats, each of which makes
// the node a replica of some idempotency records (package claimer). It needs all servers
// and is registered after the other services, so it is the last service to start and the
// first to stop.
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

// Start implements registrar.Service. It does nothing.
func (d *drainer) Start(context.Context) error { return nil }

// Stop announces the drain, gives the peers drainDelay to receive it, and then waits until
// the endpoint has no call in flight and the seats of the node are assigned to other nodes.
// It returns the error of ctx if ctx ends while calls are in flight. Seats that are not
// transferred in time are logged, but are no error.
func (d *drainer) Stop(ctx context.Context) error {
	d.admin.Drain()
	pauser.Pause(ctx, drainDelay)
	err := d.admitter.WaitIdle(ctx)
	d.log.Info("no call is in flight at the endpoint")
	deadline := time.Now().Add(seatTransferTimeout)
	for d.claimer.HeldSeats() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		pauser.Pause(ctx, seatPollInterval)
	}
	if seats := d.claimer.HeldSeats(); seats > 0 {
		d.log.WithField("seats", seats).Warn("node still holds seats; their idempotency records were not transferred to other nodes")
		return err
	}
	// Gives the new holders of the seats time to copy the records.
	pauser.Pause(ctx, drainDelay)
	return err
}
