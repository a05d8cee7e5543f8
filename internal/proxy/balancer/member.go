package balancer

import (
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
)

//go:generate go tool msgp -tests=false -marshal=false -o member_gen.go

//msgp:tuple Member Load

// Member is a node with the upstream beside it, as the node tells of itself.
type Member struct {
	// Node is the name of the node; unique at any time.
	Node string
	// Start is when the node's process started, in Unix nanoseconds.
	Start int64
	// Sequence grows with each change that one process tells of itself.
	Sequence uint64
	// Address is where other nodes reach it.
	Address string
	Zone    string
	// LinkRate is the rate of its VM's link in Mbit/s; 0 is unknown.
	LinkRate float64
	// Service is empty while the node knows no upstream.
	Service  string
	Instance string
	// Born is when the instance started, in Unix milliseconds; 0 if unsaid.
	Born  int64
	Slots int
	// LeftAt is when the instance's leaving was acknowledged, in Unix milliseconds; 0
	// if it does not leave.
	LeftAt int64
	// Leaving says that the upstream or the node stops soon, Stopping that the
	// node does.
	Leaving  bool
	Stopping bool
	// ColdUntil is when the upstream stops to be slow, in Unix milliseconds.
	ColdUntil int64
}

// Newer says whether m replaces other as the word of one node.
func (m Member) Newer(other Member) bool {
	if m.Start != other.Start {
		return m.Start > other.Start
	}
	return m.Sequence > other.Sequence
}

// Load is what a node says of its upstream with each result.
type Load struct {
	InUse   int
	Waiting int
	Slots   int
	Leaving bool
	// Waits is how long a new call of each class would wait.
	Waits [queuer.Classes]time.Duration
}
