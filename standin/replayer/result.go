package replayer

import (
	"slices"
	"time"
)

// Result counts the calls that began after the warm-up.
type Result struct {
	// Times holds the time of each idempotent call; that of a call that was not served is the
	// deadline.
	Times []time.Duration
	// Calls counts all calls, Idempotent and InTime the idempotent ones and those of them that
	// were answered within the objective.
	Calls      int
	Idempotent int
	InTime     int
	// Plain and PlainInTime count the calls that may not be hedged.
	Plain       int
	PlainInTime int
	// Extra counts the arrivals at upstreams beyond the first of each call.
	Extra int
}

// Add adds the counts of another replay.
func (r *Result) Add(other *Result) {
	r.Times = append(r.Times, other.Times...)
	r.Calls += other.Calls
	r.Idempotent += other.Idempotent
	r.InTime += other.InTime
	r.Plain += other.Plain
	r.PlainInTime += other.PlainInTime
	r.Extra += other.Extra
}

func (r *Result) count(c *call, served bool, took time.Duration) {
	if c.began.Sub(c.r.begin) < warmUp {
		return
	}
	if !served {
		took = deadline
	}
	inTime := 0
	if took <= objective {
		inTime = 1
	}
	r.Calls++
	r.Extra += max(0, c.arrivals-1)
	if !c.idempotent {
		r.Plain++
		r.PlainInTime += inTime
		return
	}
	r.Idempotent++
	r.InTime += inTime
	r.Times = append(r.Times, took)
}

// Percentile returns the time within which the given share of the idempotent calls ended.
func (r *Result) Percentile(share float64) time.Duration {
	sorted := slices.Sorted(slices.Values(r.Times))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// Share returns a part as a fraction of the whole.
func Share(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }
