package balancer

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/unpacker"
)

//go:generate go tool msgp -tests=false -marshal=false -o member_gen.go

//msgp:tuple Member Load VersionedMember
//msgp:ignore VersionedMembers

// Member is the record of a node and the upstream beside it, as the node announces it.
// Nodes exchange it as a tuple, so the order of the fields is part of the protocol.
type Member struct {
	// Node is the name of the node. No two running nodes share one.
	Node string
	// Start is when the node's process started, in Unix nanoseconds. It identifies the incarnation.
	Start int64
	// Sequence counts the changes of the record within one incarnation.
	Sequence uint64
	// Address is where other nodes reach this one, as host:port.
	Address string
	Zone    string
	// LinkRate is the rate of the VM's network link in Mbit/s; 0 if unknown.
	LinkRate float64
	// Service is the service of the upstream; empty while no upstream is known.
	Service  string
	Instance string
	// Born is when the instance started, in Unix milliseconds; 0 if unknown.
	Born  int64
	Slots int
	// DrainStart is when the draining or deregistration of the instance was acknowledged, in
	// Unix milliseconds; 0 if it is not draining.
	DrainStart int64 `json:"LeftAt"`
	// Draining reports whether the upstream or the node is draining, Stopping whether
	// the node is.
	Draining bool `json:"Leaving"`
	Stopping bool
	// ColdUntil is when the upstream is expected to reach its normal speed after a start,
	// in Unix milliseconds; 0 if it is not cold.
	ColdUntil int64
	// Version is the version of the upstream; empty if unknown. The tuple lacks it, since nodes of
	// earlier releases can't decode a longer one: it travels in a VersionedMember.
	Version string `json:"Version,omitempty" msg:"-"`
}

// VersionedMember is a Member with the version of its upstream. Only nodes that roll versions out
// exchange it.
type VersionedMember struct {
	Member  Member
	Version string
}

// WithVersion returns the record in the form that has the version on the wire.
func WithVersion(m Member) VersionedMember { return VersionedMember{Member: m, Version: m.Version} }

// Unpack returns the member with its version.
func (v VersionedMember) Unpack() Member {
	v.Member.Version = v.Version
	return v.Member
}

// VersionedMembers is a list of members with their versions.
type VersionedMembers []VersionedMember

// DecodeMsg implements msgp.Decodable.
func (v *VersionedMembers) DecodeMsg(reader *msgp.Reader) (err error) {
	*v, err = unpacker.DecodeArray(reader, *v)
	return err
}

// EncodeMsg implements msgp.Encodable.
func (v VersionedMembers) EncodeMsg(writer *msgp.Writer) error {
	return unpacker.EncodeArray(writer, v)
}

// Msgsize implements msgp.Sizer.
func (v VersionedMembers) Msgsize() int { return unpacker.Size(v) }

// Newer reports whether m supersedes another record of the same node.
func (m Member) Newer(other Member) bool {
	if m.Start != other.Start {
		return m.Start > other.Start
	}
	return m.Sequence > other.Sequence
}

// Load is the load of a node's upstream, sent with the result of each attempt. It is
// exchanged as a tuple, so the order of the fields is part of the protocol.
type Load struct {
	// InUse is the number of slots in use, Waiting the number of calls in the queue, and
	// Slots the number of calls that may run at once.
	InUse    int
	Waiting  int
	Slots    int
	Draining bool
	// Waits estimates how long a new call of each class would wait in the queue.
	Waits [queuer.Classes]time.Duration
}
