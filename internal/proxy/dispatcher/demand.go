package dispatcher

import (
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
)

// Nested implements acceptor.Handler.
func (d *Dispatcher) Nested(call carrier.Call) bool {
	_, nested := d.parentKind(call)
	return nested
}

// parentKind returns the kind of the call for which the upstream beside the node makes
// this one, and whether it does.
func (d *Dispatcher) parentKind(call carrier.Call) (string, bool) {
	if call.Parent == "" {
		return "", false
	}
	return d.Execute.Runs(call.Parent)
}

// Admit says whether a call may begin at the upstream beside the node, or must leave
// the room at the services that it calls to their more urgent work.
func (d *Dispatcher) Admit(kind string, rank int, now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Admit(kind, rank, func(service string, rank int) time.Duration {
		return d.Balancer.Wait(service, queuer.ClassOf(rank, false), now)
	}, now)
}

// learnDemand takes in what callers ask of a service, or which kind of call leads to it.
func (d *Dispatcher) learnDemand(e Event, parentKind string, objective time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.Nested {
		d.gate.RecordNested(parentKind, e.Service)
		return
	}
	d.gate.RecordCall(e.Service, e.Rank, objective, now)
}
