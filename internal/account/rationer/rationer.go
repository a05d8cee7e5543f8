// Package rationer keeps the calls of an account within its quota over all nodes. Each account has an
// owner among the nodes (Owner), which holds its token bucket (Bucket). The other nodes ask the owner
// for tokens (Holder); each call that runs takes one. The package does no I/O and has no clock: the
// current time is an argument.
//
// It is built for 78 accounts of very different size on 71 nodes, most of which send a node less than
// a call a second, so that shares fixed in advance would refuse calls below the limit; for one account
// at eight times its usual rate; and for nodes and zones that are cut off for seconds while both sides
// admit calls.
package rationer

import (
	"hash/fnv"
	"io"
	"math"
	"time"
)

// Limit is the quota of an account. The rate is in calls per second, and positive.
type Limit struct {
	Rate  float64
	Burst float64
}

// Bounds states by how much the calls of an account may exceed its quota in any period of Window: by
// the fraction Excess of Window's calls at the rate and of the burst, and by Slack calls.
type Bounds struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// excess returns the number of calls by which the quota may be exceeded in a window.
func (b Bounds) excess(l Limit) float64 {
	return b.Excess*(b.Window.Seconds()*l.Rate+l.Burst) + b.Slack
}

const (
	// burstFraction and silentFraction are the fractions of the permitted excess that a bucket holds
	// in addition to the burst, and that nodes out of contact may use before tokens are reserved for
	// them. The rest covers tokens that nodes hold and the time until a silence is noticed.
	burstFraction  = 0.3
	silentFraction = 0.3
	// maxBurstCalls and maxSilentCalls bound the two: large accounts gain nothing by more, and their
	// nodes hold more tokens.
	maxBurstCalls  = 20.0
	maxSilentCalls = 20.0
	// shareTime is the time constant of the exponential decay of the tokens that a node was granted.
	shareTime = 4 * time.Second
	// fallbackTime is how long a node without contact to the owner admits calls at the rate that the
	// owner has stated. After that all nodes together admit isolatedFraction of the rate.
	fallbackTime     = 10 * time.Second
	isolatedFraction = 0.1
)

// Owner returns the position of the node that owns an account: the one whose hash with the account is
// the highest. If a node leaves or joins, only the accounts that it had or gets change their owner. The
// result is -1 if there are no nodes.
func Owner(account string, nodes []string) int {
	owner, highest := -1, uint64(0)
	for i, node := range nodes {
		h := fnv.New64a()
		_, _ = io.WriteString(h, account)
		_, _ = h.Write([]byte{0})
		_, _ = io.WriteString(h, node)
		if weight := mix(h.Sum64()); owner < 0 || weight > highest || (weight == highest && node < nodes[owner]) {
			owner, highest = i, weight
		}
	}
	return owner
}

// mix spreads a hash over all bits. The high bits of FNV-1a hardly depend on the last bytes, which are
// those in which the names of nodes differ. It is the finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// share measures the rate at which a node was granted tokens.
type share struct {
	// sum is the number of tokens with exponential decay as of at, before that without the latest.
	sum    float64
	before float64
	at     time.Time
}

func (s *share) add(tokens int, now time.Time) {
	s.before = s.sum * decay(now.Sub(s.at), shareTime)
	s.sum = s.before + float64(tokens)
	s.at = now
}

// rate returns the rate up to the latest tokens. These don't count: a node that asks seldom would
// otherwise have a multiple of its rate each time that it asks.
func (s *share) rate() float64 { return s.before / shareTime.Seconds() }

// decay returns the factor by which a value with the time constant has decayed.
func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / constant.Seconds())
}
