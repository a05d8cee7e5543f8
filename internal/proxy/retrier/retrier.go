// Package retrier bounds the repeats that all nodes together send to a service.
// Each node holds its own part of the shared budget, by the calls that it saw
// itself, so that no message between nodes is needed. The package is pure.
package retrier

import "time"

// Budget is what operators allow for one service over a sliding window.
type Budget struct {
	// Ratio is the repeats allowed for each call.
	Ratio float64
	// Slack is the repeats allowed besides, over all nodes.
	Slack  float64
	Window time.Duration
}

const (
	// caution is the part of the budget that direct repeats may use. The rest is
	// left for the calls that upstreams make again while they serve a repeat.
	caution = 0.5
	// buckets divide the window; a repeat is forgotten one bucket late.
	buckets = 10
)

// Retrier counts calls and repeats of each service. It is used under its
// owner's lock.
type Retrier struct {
	budget   Budget
	services map[string]*window
}

type window struct {
	calls   [buckets + 1]float64
	repeats [buckets + 1]float64
	last    int64
}

// New returns a retrier with nothing counted.
func New(budget Budget) *Retrier {
	return &Retrier{budget: budget, services: map[string]*window{}}
}

func (r *Retrier) window(service string, now time.Time) *window {
	w := r.services[service]
	if w == nil {
		w = &window{}
		r.services[service] = w
	}
	w.advance(now.UnixNano() / max(1, int64(r.budget.Window/buckets)))
	return w
}

func (w *window) advance(bucket int64) {
	steps := min(bucket-w.last, buckets+1)
	for i := int64(0); i < steps; i++ {
		position := (bucket - i) % (buckets + 1)
		w.calls[position], w.repeats[position] = 0, 0
	}
	w.last = max(w.last, bucket)
}

// Called counts one call of a caller.
func (r *Retrier) Called(service string, now time.Time) {
	w := r.window(service, now)
	w.calls[w.last%(buckets+1)]++
}

// Allow says whether a repeat fits the budget, and counts it if so. Nodes is how
// many nodes share the budget.
func (r *Retrier) Allow(service string, nodes int, now time.Time) bool {
	w := r.window(service, now)
	allowed := caution * (r.budget.Ratio*sum(w.calls) + r.budget.Slack/float64(max(1, nodes)))
	if sum(w.repeats)+1 > allowed {
		return false
	}
	w.repeats[w.last%(buckets+1)]++
	return true
}

func sum(values [buckets + 1]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
