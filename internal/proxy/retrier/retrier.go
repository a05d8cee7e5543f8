// Package retrier limits the retries that all nodes together send to a service. Each
// node applies its own share of the common budget to the calls that it counted itself,
// so that nodes need not exchange messages about it. The package has no clock of its
// own: the current time is an argument.
package retrier

import "time"

// Budget is the retry budget of a service over a sliding window.
type Budget struct {
	// Ratio is the number of retries allowed per call.
	Ratio float64
	// Slack is the number of retries per window, over all nodes, that are allowed
	// regardless of the number of calls.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// directFraction is the fraction of the budget for the retries of this node's
	// callers. The rest is left for the nested calls that upstreams make again while
	// they serve a retry.
	directFraction = 0.5
	// directCallFraction is directFraction for the part that grows with the calls. It leaves more
	// for nested calls: a retry after the failure of a nested call repeats all of them, when the
	// retries of the service that has failed have been made already.
	directCallFraction = 0.36
	// resendFraction is the fraction of the budget for the resends of the node beside an upstream,
	// on another connection to it. It is taken from what directFraction leaves.
	resendFraction = 0.1
	// totalFraction is the fraction of the budget that retries and repeated nested calls may use
	// together. The rest is for resends, and for windows of which one bucket more is counted and that
	// begin at other times than those of the budget.
	totalFraction = 0.65
	// buckets is the number of buckets per window. One more is kept, so a retry
	// counts for up to one bucket longer than the window.
	buckets = 10
)

// Retrier counts the calls and retries of each service. It is not safe for concurrent
// use: its owner must hold a lock.
type Retrier struct {
	budget Budget
	// callFraction and slackFraction are the fractions that this Retrier may use of the parts of the
	// budget that Ratio and Slack give.
	callFraction  float64
	slackFraction float64
	// began is the time of the first count. Times are measured from it, so that a jump of the
	// time of day does not move the windows.
	began    time.Time
	services map[string]*window
}

// window holds the recent calls and retries of one service. Buckets are numbered from the
// first count on; the counts of a bucket are at its number modulo the length of the array.
type window struct {
	calls   [buckets + 1]float64
	retries [buckets + 1]float64
	// repeats counts the nested calls of calls that are repeats.
	repeats [buckets + 1]float64
	// last is the number of the newest bucket.
	last int64
}

// New returns a Retrier for the calls of a node's callers, with no calls counted.
func New(budget Budget) *Retrier { return newRetrier(budget, directCallFraction, directFraction) }

// NewResender returns a Retrier for the calls that a node receives for its upstream, with no
// calls counted.
func NewResender(budget Budget) *Retrier { return newRetrier(budget, resendFraction, resendFraction) }

func newRetrier(budget Budget, callFraction, slackFraction float64) *Retrier {
	return &Retrier{budget: budget, callFraction: callFraction, slackFraction: slackFraction, services: map[string]*window{}}
}

// window returns the window of a service, moved to the current time.
func (r *Retrier) window(service string, now time.Time) *window {
	if r.began.IsZero() {
		r.began = now
	}
	w := r.services[service]
	if w == nil {
		w = &window{}
		r.services[service] = w
	}
	w.advance(int64(now.Sub(r.began) / max(1, r.budget.Window/buckets)))
	return w
}

// advance moves the window forward to the given bucket and clears the counts of the buckets
// that have left it.
func (w *window) advance(bucket int64) {
	steps := min(bucket-w.last, buckets+1)
	for i := int64(0); i < steps; i++ {
		position := (bucket - i) % (buckets + 1)
		w.calls[position], w.retries[position], w.repeats[position] = 0, 0, 0
	}
	w.last = max(w.last, bucket)
}

// RecordCall counts one call of a caller to the service.
func (r *Retrier) RecordCall(service string, now time.Time) {
	w := r.window(service, now)
	w.calls[w.last%(buckets+1)]++
}

// RecordRepeat counts a nested call that an upstream makes again since the call that it runs is a
// repeat. Nobody decides on it, so it only leaves less for retries.
func (r *Retrier) RecordRepeat(service string, now time.Time) {
	w := r.window(service, now)
	w.repeats[w.last%(buckets+1)]++
}

// Charge is a retry that was counted against the budget of a service. The zero value is none.
type Charge struct {
	service string
	// bucket is the number of the bucket in which the retry counts.
	bucket int64
}

// Allow reports whether a retry fits this node's share of the budget, and counts it if
// so. The slack is divided among the given number of nodes.
func (r *Retrier) Allow(service string, nodes int, now time.Time) bool {
	_, allowed := r.Take(service, nodes, now)
	return allowed
}

// Take does the same as Allow and returns the charge for the retry.
func (r *Retrier) Take(service string, nodes int, now time.Time) (Charge, bool) {
	w := r.window(service, now)
	byCalls, slack := r.budget.Ratio*sum(w.calls), r.budget.Slack/float64(max(1, nodes))
	retries := sum(w.retries) + 1
	if retries > r.callFraction*byCalls+r.slackFraction*slack || retries+sum(w.repeats) > totalFraction*(byCalls+slack) {
		return Charge{}, false
	}
	w.retries[w.last%(buckets+1)]++
	return Charge{service: service, bucket: w.last}, true
}

// Return cancels the charge for a retry that reached no upstream. It must be called at most once
// for each charge.
func (r *Retrier) Return(c Charge, now time.Time) {
	if c.service == "" {
		return
	}
	if w := r.window(c.service, now); w.last-c.bucket <= buckets {
		w.retries[c.bucket%(buckets+1)]--
	}
}

func sum(values [buckets + 1]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
