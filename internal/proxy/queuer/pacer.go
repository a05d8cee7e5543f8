package queuer

import "time"

const (
	// paceBurst is how long an unused allowance of calls is kept.
	paceBurst = 250 * time.Millisecond
	// minPace is the lowest rate, in calls per second, at which calls start. At a rate of 0, no
	// call would ever show that the limit has ended.
	minPace = 0.5
)

// pacer spaces the starts of calls so that their rate stays within a limit, except for a burst
// after a quiet time. The zero value has no limit.
type pacer struct {
	// interval is the mean time between two starts; 0 without a limit.
	interval time.Duration
	// due is when the starts so far are paid for at the limited rate. A start may be early by
	// paceBurst at most.
	due time.Time
}

// limit sets the rate in calls per second. What the starts so far still have to be paid for is
// not extended: a limit that is lowered does not stop all calls.
func (p *pacer) limit(rate float64, now time.Time) {
	p.interval = time.Duration(float64(time.Second) / max(rate, minPace))
	if latest := now.Add(paceBurst + p.interval); p.due.After(latest) {
		p.due = latest
	}
}

// unlimited reports whether there is no limit.
func (p *pacer) unlimited() bool { return p.interval == 0 }

// wait returns the time until the next call may start.
func (p *pacer) wait(now time.Time) time.Duration {
	if p.unlimited() {
		return 0
	}
	// The difference is taken last, since that to a zero time overflows.
	return max(0, p.due.Add(-paceBurst).Sub(now))
}

// start records that a call starts at the given time.
func (p *pacer) start(at time.Time) {
	if p.due.Before(at) {
		p.due = at
	}
	p.due = p.due.Add(p.interval)
}
