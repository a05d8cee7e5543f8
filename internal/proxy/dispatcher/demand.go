package dispatcher

import (
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
)

// Nested implements acceptor.Handler.
func (d *Dispatcher) Nested(call carrier.Call) bool {
	_, nested := d.parentOf(call)
	return nested
}

// parentOf returns the call for which the local upstream makes this one, and whether it is
// running such a call.
func (d *Dispatcher) parentOf(call carrier.Call) (executor.Parent, bool) {
	if call.Parent == "" {
		return executor.Parent{}, false
	}
	return d.Execute.InFlight(call.Parent)
}

// Admit reports whether a call of the kind and rank may start at the local upstream. If
// not, the services of its nested calls need their capacity for more urgent calls, and
// the returned duration is how long those wait.
func (d *Dispatcher) Admit(kind string, rank int, now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Admit(kind, rank, func(service string, rank int) time.Duration {
		return d.Balancer.ShortestWait(service, queuer.ClassOf(rank, false), now)
	}, now)
}

// recordDemand records a call of a caller to a service or, for a nested call, that the
// parent's kind of call leads to the service.
func (d *Dispatcher) recordDemand(e Event, parentKind string, objective time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.Nested {
		d.gate.RecordNested(parentKind, e.Service)
		return
	}
	d.gate.RecordCall(e.Service, e.Rank, objective, now)
}
