package executor

import (
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

//go:generate go tool msgp -tests=false -marshal=false -o job_gen.go

//msgp:tuple Job

// Job is one call to be run here.
type Job struct {
	Call          carrier.Call
	CallerService string
	Service       string
	// Kind is the route's name.
	Kind       string
	Rank       int
	Nested     bool
	Idempotent bool
	// Objective and Remaining are the time left until the answer loses part and
	// all of its use.
	Objective time.Duration
	Remaining time.Duration
	// Waited is how long the caller has waited since its first attempt.
	Waited time.Duration
}
