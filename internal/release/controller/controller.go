// Package controller rolls versions of services out. Of the nodes that watch the store, one is the
// controller while an order is open: the one that holds a key of the system under a lease. It tells all
// nodes how to divide the calls, collects what they have counted, and writes the status. Nodes follow a
// plan for a short time only, so that the end of the controller, of its contact to the store or to a
// node takes the new version's calls away.
package controller

import (
	"context"
	"hash/crc32"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/pauser"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/release/assigner"
	"github.com/tamarackscale/tamarackscale/internal/release/judger"
	"github.com/tamarackscale/tamarackscale/internal/release/stepper"
)

const (
	// tickInterval is the interval between decisions.
	tickInterval = 100 * time.Millisecond
	// exchangeInterval is the interval between exchanges with one node, fastInterval that in the large
	// steps, settleInterval that while nodes confirm the last, and maxExchanges the number of exchanges
	// a second with all nodes together.
	exchangeInterval = 500 * time.Millisecond
	fastInterval     = 350 * time.Millisecond
	settleInterval   = 200 * time.Millisecond
	maxExchanges     = 190
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 800 * time.Millisecond
	// planSilence is how long a node that could be the controller hears no plan before it tries to
	// become it.
	planSilence = 900 * time.Millisecond
	// maxHeadStart bounds the differences between the nodes' first tries, so that few of them call the
	// store for the same order.
	maxHeadStart = 200 * time.Millisecond
	// doneLinger and rolledBackLinger are how long nodes are told of the end of a rollout. Those that
	// start after one that is done have to know which version is the established one while records of
	// the former are still around.
	doneLinger       = 10 * time.Second
	rolledBackLinger = 2 * time.Second
	// maxBurst is the number of nodes that are told of a step all at once. Those beyond it are told at
	// their turn, so that a step does not exceed maxExchanges.
	maxBurst = maxExchanges / 2
	// storeTrustTime is how long after its last response the store counts as responding.
	storeTrustTime = 1500 * time.Millisecond
)

// Observer is notified of what a controller does.
type Observer interface {
	// OrderSeen is called for each new order, OrderUnusable for one that can't be followed.
	OrderSeen(o stepper.Order)
	OrderUnusable(key string, err error)
	// Controls is called when the node becomes the controller or ceases to be it.
	Controls(controls bool)
	// Stepped is called when a rollout enters a phase, with the reason and the attempts since the
	// order, all and those at the target.
	Stepped(o stepper.Order, step stepper.Step, calls, targetCalls int)
	// Judged is called when a version is found bad.
	Judged(o stepper.Order, evidence judger.Evidence)
	// Recorded is called when a status has been written.
	Recorded(s stepper.Status)
}

// Config holds the dependencies of a controller.
type Config struct {
	Store keeper.EventStore
	// Node names the process: no two processes share a name.
	Node string
	// Exposure is the bound of the fraction of calls that a bad version may get.
	Exposure float64
	// OrderPrefix and StatusPrefix precede the service in the keys of orders and statuses.
	OrderPrefix  string
	StatusPrefix string
	DecodeOrder  func(key string, value []byte) (stepper.Order, error)
	EncodeStatus func(s stepper.Status) ([]byte, error)
	DecodeStatus func(value []byte) (stepper.Status, error)
	// Members returns the records of all members, this node included.
	Members func() []balancer.Member
	// Exchange passes plans to a member and returns its reports. The error states by unable that the
	// member does not roll versions out.
	Exchange func(ctx context.Context, m balancer.Member, args *assigner.ExchangeArgs) (reply assigner.ExchangeReply, unable bool, err error)
	// Heard returns the plan that this node follows for a service, and whether it holds.
	Heard   func(service string, now time.Time) (assigner.Plan, bool)
	Observe Observer
}

// Controller is the part of a node that may roll versions out. It is safe for concurrent use.
type Controller struct {
	config Config
	// wake starts the work when there is an open order.
	wake chan struct{}
	// headStart is how long the node leaves a new order to others.
	headStart time.Duration

	mu sync.Mutex
	// watching reports that the node watches the store.
	watching bool
	orders   map[string]*tracked
	lease    leadership
	rollouts map[string]*rollout
	// pending holds the statuses to be written, oldest first, by service.
	pending map[string][]write
	writing map[string]bool
	// ends is when the final status of each rollout was written.
	ends map[string]time.Time
	// due is when each node is to be exchanged with next, busy whether an exchange is under way.
	due  map[peer]time.Time
	busy map[peer]bool
}

// tracked is an order that the node knows.
type tracked struct {
	order
	revision keeper.Revision
	seen     time.Time
	closed   bool
}

// New returns a controller that knows of no order.
func New(config Config) *Controller {
	return &Controller{
		config: config, wake: make(chan struct{}, 1), headStart: time.Duration(crc32.ChecksumIEEE([]byte(config.Node))) % maxHeadStart, orders: map[string]*tracked{}, rollouts: map[string]*rollout{},
		pending: map[string][]write{}, writing: map[string]bool{}, ends: map[string]time.Time{},
		due: map[peer]time.Time{}, busy: map[peer]bool{},
	}
}

// Reset takes over all orders of the store, when the node starts to watch it.
func (c *Controller) Reset(items []keeper.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watching = true
	for _, item := range items {
		c.takeOrder(item)
	}
	c.withdrawOthers(items, time.Now())
	c.awaken()
}

// withdrawOthers marks the orders as withdrawn that were known at a time and are not among all items. The
// caller holds the lock.
func (c *Controller) withdrawOthers(items []keeper.Item, at time.Time) {
	found := map[string]bool{}
	for _, item := range items {
		found[strings.TrimPrefix(item.Key, c.config.OrderPrefix)] = true
	}
	for service, o := range c.orders {
		if !found[service] && o.seen.Before(at) {
			o.withdrawn = true
		}
	}
}

// readOrders reads all orders. A controller does so at intervals: it need not watch the store any more,
// and a watch may deliver no events without an error.
func (c *Controller) readOrders(ctx context.Context) {
	start := time.Now()
	snapshot, err := c.config.Store.Range(ctx, c.config.OrderPrefix, keeper.Linearizable)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.reading, c.lease.nextRead = false, start.Add(readInterval)
	if err != nil {
		return
	}
	for _, item := range snapshot.Items {
		known := c.orders[strings.TrimPrefix(item.Key, c.config.OrderPrefix)]
		if known == nil || item.Revision > known.revision {
			c.takeOrder(item)
		}
	}
	c.withdrawOthers(snapshot.Items, start)
}

// Changed takes over orders that were written or deleted.
func (c *Controller) Changed(events []keeper.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range events {
		o := c.orders[strings.TrimPrefix(event.Key, c.config.OrderPrefix)]
		switch {
		case !event.Deleted:
			c.takeOrder(event.Item)
		case o != nil && event.Revision > o.revision:
			o.withdrawn = true
		}
	}
	c.awaken()
}

// Ended is called when the node does not watch the store any more.
func (c *Controller) Ended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watching = false
}

// takeOrder takes over an order, unless it is known. The caller holds the lock.
func (c *Controller) takeOrder(item keeper.Item) {
	service := strings.TrimPrefix(item.Key, c.config.OrderPrefix)
	id := orderID(item)
	if known := c.orders[service]; known != nil && known.id == id {
		return
	}
	decoded, err := c.config.DecodeOrder(item.Key, item.Value)
	if err != nil {
		c.config.Observe.OrderUnusable(item.Key, err)
		return
	}
	c.config.Observe.OrderSeen(decoded)
	c.orders[service] = &tracked{order: order{Order: decoded, id: id}, revision: item.Revision, seen: time.Now()}
}

// orderID identifies an order. The value is part of it, since another era gives a revision out again.
func orderID(item keeper.Item) int64 {
	return int64(item.Revision)<<16 | int64(crc32.ChecksumIEEE(item.Value)&0xffff)
}

// awaken starts the work if there is an open order. The caller holds the lock.
func (c *Controller) awaken() {
	if !c.anyOpen() {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// anyOpen reports whether an order is open. The caller holds the lock.
func (c *Controller) anyOpen() bool {
	for _, o := range c.orders {
		if !o.closed {
			return true
		}
	}
	return false
}

// Run works until the context ends. While no order is open, it does nothing.
func (c *Controller) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for c.tick(ctx, time.Now()) {
			if !pauser.Pause(ctx, tickInterval) {
				return
			}
		}
	}
}

// tick does what is due and reports whether there is more to do.
func (c *Controller) tick(ctx context.Context, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeHeard(now)
	c.keepLease(ctx, now)
	if !c.lease.held {
		return c.watching && c.anyOpen()
	}
	members := c.config.Members()
	c.begin(now)
	phases := c.phases()
	for service, r := range c.rollouts {
		c.decide(service, r, members, now)
	}
	c.writeStatuses(ctx)
	c.exchange(ctx, members, phases != c.phases(), now)
	if c.anyOpen() || len(c.rollouts) > 0 {
		return true
	}
	c.loseLease()
	return false
}

// closeHeard closes the orders of which another controller has told the end. The caller holds the lock.
func (c *Controller) closeHeard(now time.Time) {
	for service, o := range c.orders {
		if plan, _ := c.config.Heard(service, now); !o.closed && plan.Order == o.id && stepper.Phase(plan.Phase).Final() {
			o.closed = true
		}
	}
}

// heardPlans reports whether another controller gives plans for all open orders, or is given the time to
// begin with those that have just been written. The caller holds the lock.
func (c *Controller) heardPlans(now time.Time) bool {
	for service, o := range c.orders {
		if o.closed {
			continue
		}
		plan, recent := c.config.Heard(service, now.Add(validity-planSilence))
		if (!recent || plan.Order != o.id) && now.Sub(o.seen) >= c.headStart {
			return false
		}
	}
	return true
}

// begin begins the rollouts of open orders, and replaces those of former ones. The caller holds the lock.
func (c *Controller) begin(now time.Time) {
	for service, o := range c.orders {
		r := c.rollouts[service]
		switch {
		case r != nil && r.order.id == o.id:
			r.order.withdrawn = o.withdrawn
			continue
		case o.closed:
			continue
		case r != nil && r.order.Target != o.Target && !r.phase().Final():
			c.record(service, stepper.Status{Service: service, Target: r.order.Target, State: stepper.StateRolledBack}, stepper.RolledBack, r.order.id)
		}
		recorded := c.lease.statuses[service]
		if r == nil && recorded.State == stepper.StateRunning && recorded.Target != o.Target {
			c.record(service, stepper.Status{Service: service, Target: recorded.Target, State: stepper.StateRolledBack}, stepper.RolledBack, 0)
		}
		c.rollouts[service] = newRollout(o.order, c.lease.epoch, o.seen, now)
		delete(c.ends, service)
		c.due = map[peer]time.Time{}
		if recorded.at < o.revision || recorded.Target != o.Target {
			c.record(service, stepper.Status{Service: service, Target: o.Target, State: stepper.StateRunning}, stepper.Waiting, o.id)
		}
	}
}

// decide moves a rollout on. The caller holds the lock.
func (c *Controller) decide(service string, r *rollout, members []balancer.Member, now time.Time) {
	if end, ended := c.ends[service]; ended {
		if (r.phase() == stepper.RolledBack && now.Sub(end) > rolledBackLinger) || now.Sub(end) > doneLinger {
			delete(c.rollouts, service)
		}
		return
	}
	before, wasBad := r.phase(), r.verdict.Bad
	final, isDue := r.decide(members, c.config.Exposure, c.storeResponds(now), now)
	if r.verdict.Bad && !wasBad {
		c.config.Observe.Judged(r.order.Order, r.verdict.Evidence)
	}
	if r.phase() != before {
		calls, target := r.calls()
		c.config.Observe.Stepped(r.order.Order, r.step, calls, target)
	}
	if isDue && !c.recording(service, final) {
		state := stepper.StateDone
		if final == stepper.RolledBack {
			state = stepper.StateRolledBack
		}
		c.record(service, stepper.Status{Service: service, Target: r.order.Target, State: state}, final, r.order.id)
	}
}

// phases returns the sum of the phases, which changes with each of them. The caller holds the lock.
func (c *Controller) phases() int {
	sum := 0
	for _, r := range c.rollouts {
		sum += int(r.phase())
	}
	return sum
}

// exchange starts the exchanges that are due: all if a phase has changed. The caller holds the lock.
func (c *Controller) exchange(ctx context.Context, members []balancer.Member, all bool, now time.Time) {
	if len(c.rollouts) == 0 {
		return
	}
	interval := c.interval(len(members))
	for i, m := range members {
		p := peerOf(m)
		due, known := c.due[p]
		if !known && i >= maxBurst {
			c.due[p] = now.Add(time.Duration(i) * time.Second / maxExchanges)
			continue
		}
		if c.busy[p] || (known && now.Before(due) && (!all || i >= maxBurst)) {
			continue
		}
		c.due[p] = now.Add(interval)
		if !known {
			// The later ones are spread over the interval.
			c.due[p] = now.Add(interval/2 + interval/2*time.Duration(i)/time.Duration(len(members)))
		}
		c.busy[p] = true
		args := &assigner.ExchangeArgs{}
		for _, service := range slices.Sorted(maps.Keys(c.rollouts)) {
			args.Plans = append(args.Plans, c.rollouts[service].plan(now))
		}
		go c.exchangeWith(ctx, m, args)
	}
}

// interval returns the interval between exchanges with one of the members. The caller holds the lock.
func (c *Controller) interval(members int) time.Duration {
	interval := exchangeInterval
	for _, r := range c.rollouts {
		switch r.phase() {
		case stepper.Settling:
			interval = min(interval, settleInterval)
		case stepper.Ramp, stepper.Whole:
			interval = min(interval, fastInterval)
		}
	}
	return max(interval, time.Duration(members)*time.Second/maxExchanges)
}

// exchangeWith exchanges with one member.
func (c *Controller) exchangeWith(ctx context.Context, m balancer.Member, args *assigner.ExchangeArgs) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, unable, err := c.config.Exchange(ctx, m, args)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, peerOf(m))
	for _, r := range c.rollouts {
		if unable {
			r.refuse(peerOf(m))
		}
		if err != nil {
			continue
		}
		var own assigner.Report
		for _, report := range reply.Reports {
			if report.Service == r.order.Service {
				own = report
			}
		}
		r.receive(peerOf(m), own, time.Now())
	}
}
