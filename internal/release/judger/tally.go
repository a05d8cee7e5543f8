package judger

import (
	"math"
	"time"
)

//go:generate go tool msgp -tests=false -marshal=false -o tally_gen.go

//msgp:tuple Tally

const (
	// Buckets is the number of classes of times. Each is wider than the one before by the square
	// root of two; the first ends at a millisecond, the last has no end and begins at 2.9 s.
	Buckets = 24
	// bucketsPerDoubling is the number of classes in which the time doubles.
	bucketsPerDoubling = 2
)

// Tally counts the answers of upstreams on one route. It travels as a tuple, so the order of the
// fields is part of the protocol.
type Tally struct {
	// Failures are answers with status 500 or above, broken answers and timeouts.
	Failures int
	// Times counts the other answers by their time at the upstream.
	Times [Buckets]int
}

// Record counts one answer.
func (t *Tally) Record(failed bool, took time.Duration) {
	if failed {
		t.Failures++
		return
	}
	t.Times[bucketOf(took)]++
}

// Add adds another tally.
func (t *Tally) Add(other Tally) {
	t.Failures += other.Failures
	for i, n := range other.Times {
		t.Times[i] += n
	}
}

// subtract takes an earlier tally away.
func (t *Tally) subtract(earlier Tally) {
	t.Failures = max(0, t.Failures-earlier.Failures)
	for i, n := range earlier.Times {
		t.Times[i] = max(0, t.Times[i]-n)
	}
}

// Answers returns the number of answers, the failures included.
func (t *Tally) Answers() int {
	sum := t.Failures
	for _, n := range t.Times {
		sum += n
	}
	return sum
}

// failureRate returns the fraction of failures.
func (t *Tally) failureRate() float64 { return float64(t.Failures) / float64(max(1, t.Answers())) }

// bad returns the number of failures and of answers in a class from slow on.
func (t *Tally) bad(slow int) int {
	sum := t.Failures
	for _, n := range t.Times[min(slow, Buckets):] {
		sum += n
	}
	return sum
}

// slowBucket returns the first class of times that are slowFactor times the median; Buckets if
// there are too few answers to tell.
func (t *Tally) slowBucket() int {
	good := t.Answers() - t.Failures
	if good < minBaseline {
		return Buckets
	}
	below := 0
	for i, n := range t.Times {
		if below += n; 2*below >= good {
			return i + slowBuckets
		}
	}
	return Buckets
}

func bucketOf(took time.Duration) int {
	if took <= time.Millisecond {
		return 0
	}
	doublings := math.Log2(float64(took) / float64(time.Millisecond))
	return min(Buckets-1, int(doublings*bucketsPerDoubling)+1)
}
