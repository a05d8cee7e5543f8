package forwarder

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/encoder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/unpacker"
)

// serviceName is the name under which a node registers its methods with net/rpc.
const serviceName = "Node"

//go:generate go tool msgp -tests=false -marshal=false -o messages_gen.go

//msgp:tuple RunArgs RunReply CancelArgs AttemptArgs AttemptReply RevokeArgs ClockReply OfferArgs PieceArgs OfferReply Empty DrainStartArgs DrainStartReply ConfigurationArgs ConfigurationReply
//msgp:ignore MemberList

// ClockReply holds a reading of the receiver's steady clock.
type ClockReply struct {
	// Start is the start time of the process, in Unix nanoseconds.
	Start int64
	// Reading is the time since the receiver was built, by its steady clock.
	Reading time.Duration
}

// AttemptArgs forwards an attempt to the node of the VM on which the upstream runs.
type AttemptArgs struct {
	AttemptID fencer.AttemptID
	// Start is the start time of the process that must run the call, in Unix
	// nanoseconds; a process with another start time rejects it.
	Start int64
	// LatestStart is the reading of the receiver's clock after which the call must not start. It
	// is the same in all messages of an attempt.
	LatestStart time.Duration
	// Job holds the times left at the start of the attempt. The receiver computes those left
	// when it begins from LatestStart, which is when Job.Remaining has passed.
	Job executor.Job
	// Offset is the number of bytes of the body that were sent before as pieces; Job holds the rest.
	Offset int
	// Repeat is that of the job.
	Repeat bool
}

// AttemptReply is the result of an attempt, with what a sender needs that states the latest start.
type AttemptReply struct {
	Run RunReply
	// Reading is that of ClockReply. It is not set if Run.OtherProcess is.
	Reading time.Duration
	// Expired reports that the message arrived after the latest start and that the receiver knew
	// no earlier one, so that it can't state whether an earlier one has run.
	Expired bool
}

// RevokeArgs cancels an attempt, whether or not it has begun.
type RevokeArgs struct {
	AttemptID fencer.AttemptID
	// Start and LatestStart are those of AttemptArgs.
	Start       int64
	LatestStart time.Duration
}

// RunArgs forwards an attempt of a sender that does not know the receiver's clock, as those of
// earlier releases.
type RunArgs struct {
	AttemptID fencer.AttemptID
	// Start is the start time of the process that must run the call, in Unix
	// nanoseconds; a process with another start time rejects it.
	Start int64
	Job   executor.Job
}

// RunReply is the result of an attempt, as the method Run replies it.
type RunReply struct {
	Result carrier.Result
	// UpstreamTime is the time that the upstream took. It is 0 if the attempt did not run.
	UpstreamTime time.Duration
	Load         balancer.Load
	// Version is the configuration version in force at the node.
	Version int64
	// OtherProcess reports that a process with another start time than RunArgs.Start
	// received the attempt and did not run it.
	OtherProcess bool
}

// CancelArgs cancels an attempt of RunArgs, whether or not it has begun.
type CancelArgs struct{ AttemptID fencer.AttemptID }

// DrainStartArgs queries when an incarnation of an upstream began to drain.
type DrainStartArgs struct {
	Instance string
	// Born is when the incarnation started, in Unix milliseconds; 0 if unknown.
	Born int64
}

// DrainStartReply holds when the incarnation began to drain, in Unix milliseconds; 0 if
// the node has no record of it.
type DrainStartReply struct{ DrainStart int64 }

// Empty is an argument or a reply without content.
type Empty struct{}

// MemberList holds the records of members.
type MemberList []balancer.Member

// DecodeMsg implements msgp.Decodable.
func (m *MemberList) DecodeMsg(reader *msgp.Reader) (err error) {
	*m, err = unpacker.DecodeArray(reader, *m)
	return err
}

// EncodeMsg implements msgp.Encodable.
func (m MemberList) EncodeMsg(writer *msgp.Writer) error { return unpacker.EncodeArray(writer, m) }

// Msgsize implements msgp.Sizer.
func (m MemberList) Msgsize() int { return unpacker.Size(m) }

// ConfigurationArgs requests a configuration newer than version Have.
type ConfigurationArgs struct {
	// Start is the start time of the addressed process, in Unix nanoseconds; zero
	// addresses any process. Another process at the address returns an empty reply.
	// Otherwise two nodes could poll each other as relays after a change of address,
	// and each would count as receiving changes through the other. Start is zero in a request to a
	// peer that is no relay, and in one of a node that has no version yet.
	Start int64
	// Have is the version that the requester holds; 0 if none.
	Have int64
	// Wait is how long the node may hold the reply if there is no newer version yet.
	Wait time.Duration
}

// ConfigurationReply holds a newer configuration; its version is 0 if there is none.
type ConfigurationReply struct {
	encoder.Message
	// Start is the start time of the replying process, in Unix nanoseconds.
	Start int64
	// PackedPosition is the position of the store up to which the replying node's version is
	// known to be the newest, as Pack returns it.
	PackedPosition int64
	// Subscribed reports whether the replying node receives changes itself, from the
	// store or from a relay.
	Subscribed bool
}

// revisionBits is the number of bits of a packed position that hold the revision. 15 bits are
// left for the era.
const revisionBits = 48

// Pack returns a position as one number, in the order of positions. A release that does not
// know eras takes the number for a revision, which the store does not have, and reads the
// whole configuration instead.
func Pack(p keeper.Position) int64 { return int64(p.Era)<<revisionBits | int64(p.Revision) }

// Position unpacks PackedPosition. Its era is 0 if the reply is of a release
// that does not know eras.
func (r *ConfigurationReply) Position() keeper.Position {
	return keeper.Position{
		Era: keeper.Era(r.PackedPosition >> revisionBits), Revision: keeper.Revision(r.PackedPosition & (1<<revisionBits - 1)),
	}
}

// OfferArgs offers an attempt with a large body before the body is sent.
type OfferArgs struct {
	// Attempt is the attempt without the body of its call.
	Attempt AttemptArgs
	// Bytes is the size of the body.
	Bytes int
}

// PieceArgs sends a granted piece of the body of an offered attempt, which is not the last one.
type PieceArgs struct {
	AttemptID fencer.AttemptID
	// Start and LatestStart are those of AttemptArgs.
	Start       int64
	LatestStart time.Duration
	// Offset is the position of the piece in the body.
	Offset int
	Bytes  []byte
}

// OfferReply grants an offer, or the rest of one after a piece, or holds the result of the attempt if
// it is refused or has begun already.
type OfferReply struct {
	// Granted is the number of bytes that the sender may send; 0 if the offer is not granted.
	Granted int
	Attempt AttemptReply
}
