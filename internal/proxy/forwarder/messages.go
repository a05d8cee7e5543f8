package forwarder

import (
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/encoder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
)

// serviceName is the name under which net/rpc finds the methods of a node.
const serviceName = "Node"

//go:generate go tool msgp -tests=false -marshal=false -o messages_gen.go

//msgp:tuple RunArgs RunReply CancelArgs Empty LeftArgs LeftReply ConfigurationArgs ConfigurationReply

// RunArgs hands a call over to the node beside its upstream.
type RunArgs struct {
	HandOver fencer.HandOver
	// Start is the process that must run the call; another one refuses it.
	Start int64
	Job   executor.Job
}

// RunReply is the result of a hand-over.
type RunReply struct {
	Result carrier.Result
	// Service is the time at the upstream.
	Service time.Duration
	Load    balancer.Load
	// Version is the configuration version in force at the node.
	Version int64
	// OtherStart says that the process that was meant is gone.
	OtherStart bool
}

// CancelArgs ends a hand-over, or keeps it from beginning.
type CancelArgs struct{ HandOver fencer.HandOver }

// LeftArgs asks when a start of an upstream has left.
type LeftArgs struct {
	Instance string
	Born     int64
}

// LeftReply holds the time in Unix milliseconds; 0 if the node knows of no leaving.
type LeftReply struct{ At int64 }

// Empty is an argument or a reply that says nothing.
type Empty struct{}

// MemberList holds the words of members.
type MemberList []balancer.Member

// ConfigurationArgs asks for a configuration newer than Have.
type ConfigurationArgs struct {
	// Start is the process that is meant; zero is any. Another one at the address
	// answers nothing: nodes that ask each other by mistake would both believe to
	// hear of changes. A node without a version asks any process.
	Start int64
	Have  int64
	// Wait is how long the answer may take if there is none yet.
	Wait time.Duration
}

// ConfigurationReply holds a newer configuration; its version is 0 if there is none.
type ConfigurationReply struct {
	encoder.Message
	// Start is the process that answers.
	Start int64
	// Revision is the store's revision up to which the answering node knows that
	// there is no newer version.
	Revision int64
	// Following says that the answering node hears of changes itself.
	Following bool
}
