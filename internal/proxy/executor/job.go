package executor

import (
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

//go:generate go tool msgp -tests=false -marshal=false -o job_gen.go

//msgp:tuple Job

// Job is one call to run at the local upstream of the node that receives it.
type Job struct {
	Call carrier.Call
	// CallerService is the service on the VM where the call began.
	CallerService string
	// Service is the service that must run the call.
	Service string
	// Kind is the route's name.
	Kind string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Nested reports whether an upstream makes the call on behalf of one that it runs.
	Nested     bool
	Idempotent bool
	// Objective is the time left until the latency objective, after which the answer
	// is of less use. Remaining is the time left until the deadline, after which it is
	// of no use.
	Objective time.Duration
	Remaining time.Duration
	// Waited is how long the caller has waited since its first attempt.
	Waited time.Duration
	// Repeat reports whether an upstream has received the call before, so that the calls that this one
	// makes are repeats too. The message of an attempt states it apart.
	Repeat bool `msg:"-"`
	// Local reports whether the caller is on the upstream's VM, so that the answer does not leave it.
	// LargeBodies reports whether calls of the kind have large bodies. Nodes do not exchange either.
	Local       bool `msg:"-"`
	LargeBodies bool `msg:"-"`
}

// At returns the job as of the time at which the given time remains until its deadline.
func (j Job) At(remaining time.Duration) Job {
	elapsed := j.Remaining - remaining
	j.Remaining, j.Objective, j.Waited = remaining, j.Objective-elapsed, j.Waited+elapsed
	return j
}
