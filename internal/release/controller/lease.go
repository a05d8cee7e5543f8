package controller

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/release/stepper"
)

const (
	// controllerKey is the key of the controller. The finder does not read its prefix.
	controllerKey = "tamarackscale/release/controller"
	// leaseTTL is how long a controller that ends keeps the others from its place, renewInterval the
	// interval of the renewals, and leaseMargin how long before its end the controller stops to rely
	// on the lease.
	leaseTTL      = 2200 * time.Millisecond
	renewInterval = 600 * time.Millisecond
	leaseMargin   = 200 * time.Millisecond
	// retryInterval is the delay after a failed call to the store, and competeInterval that between
	// tries to become the controller.
	retryInterval   = 200 * time.Millisecond
	competeInterval = 250 * time.Millisecond
	// readInterval is the interval between a controller's reads of all orders.
	readInterval = time.Second
)

// leadership is the node's hold on the controller's key.
type leadership struct {
	held bool
	// epoch is the packed position of the key.
	epoch int64
	key   keeper.Position
	lease keeper.Lease
	// until is when the lease ends, at the earliest, responded when the store has responded last.
	until     time.Time
	responded time.Time
	// calling means that a call to the store is under way, next is when the next is due.
	calling bool
	next    time.Time
	// reading means that a read of the orders is under way, nextRead is when the next is due.
	reading  bool
	nextRead time.Time
	// statuses are those that the store held when the node became the controller, and those it has
	// written since.
	statuses map[string]recordedStatus
}

// recordedStatus is a status with the revision of its key.
type recordedStatus struct {
	stepper.Status
	at keeper.Revision
}

// write is a status that has to be written.
type write struct {
	status stepper.Status
	// phase is the one that the rollout of the order enters when the status is written, if it is final.
	phase stepper.Phase
	order int64
}

// positionBits is the number of bits of a packed position that hold the revision.
const positionBits = 48

func pack(p keeper.Position) int64 { return int64(p.Era)<<positionBits | int64(p.Revision) }

// storeResponds reports whether the store has responded lately. The caller holds the lock.
func (c *Controller) storeResponds(now time.Time) bool {
	return now.Sub(c.lease.responded) < storeTrustTime
}

// keepLease starts the call about the lease that is due: a renewal, or a try to become the controller.
// The caller holds the lock.
func (c *Controller) keepLease(ctx context.Context, now time.Time) {
	l := &c.lease
	if l.held && !now.Before(l.until.Add(-leaseMargin)) {
		c.loseLease()
	}
	if l.held && !l.reading && !now.Before(l.nextRead) {
		l.reading = true
		go c.readOrders(ctx)
	}
	if l.calling || now.Before(l.next) {
		return
	}
	switch {
	case l.held:
		l.calling = true
		go c.renew(ctx, l.lease)
	case !c.watching || !c.anyOpen() || c.heardPlans(now):
	default:
		l.calling = true
		go c.compete(ctx)
	}
}

// loseLease ends the node's time as the controller. The nodes' plans expire. The caller holds the lock.
func (c *Controller) loseLease() {
	if !c.lease.held {
		return
	}
	c.lease = leadership{calling: c.lease.calling, next: c.lease.next, reading: c.lease.reading}
	clear(c.rollouts)
	clear(c.pending)
	clear(c.ends)
	c.config.Observe.Controls(false)
	c.awaken()
}

// renew renews the lease.
func (c *Controller) renew(ctx context.Context, lease keeper.Lease) {
	start := time.Now()
	err := c.config.Store.Renew(ctx, lease)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.calling = false
	var missing *keeper.NotFoundError
	switch {
	case c.lease.lease != lease:
	case err == nil:
		c.lease.until, c.lease.responded = start.Add(leaseTTL), time.Now()
		c.lease.next = start.Add(renewInterval)
	case errors.As(err, &missing):
		c.loseLease()
	default:
		c.lease.next = time.Now().Add(retryInterval)
	}
}

// compete tries to become the controller.
func (c *Controller) compete(ctx context.Context) {
	won, err := c.take(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.calling = false
	c.lease.next = time.Now().Add(competeInterval)
	if err != nil || !won.held {
		return
	}
	won.responded, won.next, won.reading = time.Now(), won.until.Add(-leaseTTL+renewInterval), c.lease.reading
	won.nextRead = won.next
	c.lease = won
	for service, o := range c.orders {
		// A status that was written after the order, for its version, tells its end.
		status := won.statuses[service]
		if status.at < o.revision || status.Target != o.Target || status.State == stepper.StateRunning {
			continue
		}
		if !o.closed && status.State == stepper.StateDone {
			// The nodes may not know yet.
			r := newRollout(o.order, won.epoch, o.seen, time.Now())
			r.close(stepper.Done, time.Now())
			c.rollouts[service], c.ends[service] = r, time.Now()
		}
		o.closed = true
	}
	c.due = map[peer]time.Time{}
	c.config.Observe.Controls(true)
	c.awaken()
}

// take takes the controller's key if nobody has it, and reads the statuses.
func (c *Controller) take(ctx context.Context) (leadership, error) {
	_, position, err := c.config.Store.Read(ctx, controllerKey)
	var missing *keeper.NotFoundError
	if err == nil || !errors.As(err, &missing) {
		return leadership{}, err
	}
	// Nobody else can write a status before the key is taken.
	statuses, err := c.readStatuses(ctx)
	if err != nil {
		return leadership{}, err
	}
	start := time.Now()
	lease, err := c.config.Store.Lease(ctx, leaseTTL)
	if err != nil {
		return leadership{}, err
	}
	value := c.config.Node + "/" + strconv.FormatInt(int64(lease.ID), 10)
	commitErr := c.config.Store.Commit(ctx, keeper.Transaction{
		Conditions: []keeper.Condition{{Key: controllerKey, Expected: keeper.Position{Era: position.Era}}},
		Writes:     []keeper.Write{{Key: controllerKey, Value: []byte(value), Lease: lease}},
	})
	var unknown *keeper.UnknownOutcomeError
	if commitErr != nil && !errors.As(commitErr, &unknown) {
		return leadership{}, commitErr
	}
	// A slow store would let the lease end before the key has been read.
	renewed := time.Now()
	renewal := make(chan error, 1)
	go func() { renewal <- c.config.Store.Renew(ctx, lease) }()
	// The answer does not state the revision, and may be lost though the write took effect.
	item, position, err := c.config.Store.Read(ctx, controllerKey)
	if renewErr := <-renewal; renewErr == nil {
		start = renewed
	}
	if err != nil || string(item.Value) != value || position.Era != lease.Era {
		return leadership{}, err
	}
	key := keeper.Position{Era: position.Era, Revision: item.Revision}
	return leadership{
		held: time.Since(start) < leaseTTL-leaseMargin, epoch: pack(key), key: key, lease: lease, until: start.Add(leaseTTL), statuses: statuses,
	}, nil
}

// readStatuses reads all statuses. One that can't be decoded counts as none.
func (c *Controller) readStatuses(ctx context.Context) (map[string]recordedStatus, error) {
	snapshot, err := c.config.Store.Range(ctx, c.config.StatusPrefix, keeper.Linearizable)
	if err != nil {
		return nil, err
	}
	statuses := map[string]recordedStatus{}
	for _, item := range snapshot.Items {
		if s, err := c.config.DecodeStatus(item.Value); err == nil {
			statuses[strings.TrimPrefix(item.Key, c.config.StatusPrefix)] = recordedStatus{Status: s, at: item.Revision}
		}
	}
	return statuses, nil
}

// record makes a status be written after those that wait. The caller holds the lock.
func (c *Controller) record(service string, s stepper.Status, phase stepper.Phase, order int64) {
	c.pending[service] = append(c.pending[service], write{status: s, phase: phase, order: order})
}

// recording reports whether a status of a final phase waits to be written. The caller holds the lock.
func (c *Controller) recording(service string, phase stepper.Phase) bool {
	for _, w := range c.pending[service] {
		if w.phase == phase && w.order == c.rollouts[service].order.id {
			return true
		}
	}
	return false
}

// writeStatuses starts the writes that wait, one for each service. The caller holds the lock.
func (c *Controller) writeStatuses(ctx context.Context) {
	for service, writes := range c.pending {
		if len(writes) > 0 && !c.writing[service] {
			c.writing[service] = true
			go c.write(ctx, service, writes[0], c.lease.key)
		}
	}
}

// write writes a status on the condition that the node still is the controller.
func (c *Controller) write(ctx context.Context, service string, w write, key keeper.Position) {
	err := c.commit(ctx, service, w.status, key)
	c.mu.Lock()
	held := c.lease.held && c.lease.key == key
	if held && err == nil {
		c.recorded(service, w, time.Now())
	}
	var conflict *keeper.ConflictError
	var lost *keeper.HistoryLostError
	if held && (errors.As(err, &conflict) || errors.As(err, &lost)) {
		c.loseLease()
	}
	c.mu.Unlock()
	if err != nil {
		pause(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.writing, service)
}

// pause waits between two tries of a write.
func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryInterval):
	}
}

// commit writes a status once. If the answer is lost, it reads back whether the write took effect.
func (c *Controller) commit(ctx context.Context, service string, s stepper.Status, key keeper.Position) error {
	value, err := c.config.EncodeStatus(s)
	if err != nil {
		return err
	}
	statusKey := c.config.StatusPrefix + service
	err = c.config.Store.Commit(ctx, keeper.Transaction{
		Conditions: []keeper.Condition{{Key: controllerKey, Expected: key}},
		Writes:     []keeper.Write{{Key: statusKey, Value: value}},
	})
	var unknown *keeper.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		return err
	}
	item, position, readErr := c.config.Store.Read(ctx, statusKey)
	if readErr == nil && position.Era == key.Era && item.Revision > key.Revision && string(item.Value) == string(value) {
		return nil
	}
	return err
}

// recorded notes that a status has been written. The caller holds the lock.
func (c *Controller) recorded(service string, w write, now time.Time) {
	c.pending[service] = c.pending[service][1:]
	if len(c.pending[service]) == 0 {
		delete(c.pending, service)
	}
	c.lease.responded = now
	c.config.Observe.Recorded(w.status)
	r := c.rollouts[service]
	if r == nil || r.order.id != w.order || !w.phase.Final() {
		return
	}
	r.close(w.phase, now)
	c.ends[service] = now
	c.due = map[peer]time.Time{}
	if o := c.orders[service]; o != nil && o.id == w.order {
		o.closed = true
	}
}
