package forwarder

import (
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/encoder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
)

// serviceName is the name under which a node registers its methods with net/rpc.
const serviceName = "Node"

//go:generate go tool msgp -tests=false -marshal=false -o messages_gen.go

//msgp:tuple RunArgs RunReply CancelArgs Empty LeftArgs LeftReply ConfigurationArgs ConfigurationReply

// RunArgs forwards an attempt to the node of the VM on which the upstream runs.
type RunArgs struct {
	AttemptID fencer.AttemptID
	// Start is the start time of the process that must run the call, in Unix
	// nanoseconds; a process with another start time rejects it.
	Start int64
	Job   executor.Job
}

// RunReply is the result of an attempt.
type RunReply struct {
	Result carrier.Result
	// Service is the time that the upstream took.
	Service time.Duration
	Load    balancer.Load
	// Version is the configuration version in force at the node.
	Version int64
	// OtherStart reports that another process than RunArgs.Start received the attempt
	// and did not run it.
	OtherStart bool
}

// CancelArgs cancels an attempt, whether or not it has begun.
type CancelArgs struct{ AttemptID fencer.AttemptID }

// LeftArgs requests the time at which an incarnation of an upstream began to drain.
type LeftArgs struct {
	Instance string
	// Born is when the incarnation started, in Unix milliseconds; 0 if unknown.
	Born int64
}

// LeftReply holds that time in Unix milliseconds; 0 if the node knows of no draining.
type LeftReply struct{ At int64 }

// Empty is an argument or a reply without content.
type Empty struct{}

// MemberList holds the records of members.
type MemberList []balancer.Member

// ConfigurationArgs requests a configuration newer than version Have.
type ConfigurationArgs struct {
	// Start is the start time of the addressed process, in Unix nanoseconds; zero
	// addresses any process. Another process at the address returns an empty reply:
	// two nodes that polled each other by mistake would both believe that they
	// receive changes. A node without a version addresses any process.
	Start int64
	Have  int64
	// Wait is how long the node may hold the reply if there is no newer version yet.
	Wait time.Duration
}

// ConfigurationReply holds a newer configuration; its version is 0 if there is none.
type ConfigurationReply struct {
	encoder.Message
	// Start is the start time of the replying process, in Unix nanoseconds.
	Start int64
	// Revision is the store revision up to which the replying node knows that there is
	// no newer version.
	Revision int64
	// Following reports whether the replying node receives changes itself, from the
	// store or from a relay.
	Following bool
}
