// Package carrier defines the representation of a call and its answer that the
// nodes exchange. It is independent of the header names that callers and upstreams
// use on the wire.
package carrier

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/tamarackscale/tamarackscale/internal/proxy/unpacker"
)

//go:generate go tool msgp -tests=false -marshal=false -o carrier_gen.go

//msgp:tuple Field Call Answer Result
//msgp:ignore Fields

// Field is one end-to-end header field.
type Field struct {
	Name  string
	Value string
}

// Fields is a list of header fields.
type Fields []Field

// maxFields bounds the fields that a message may declare. A head of 64 KB has less than 22,000.
const maxFields = 128 << 10

// DecodeMsg implements msgp.Decodable.
func (f *Fields) DecodeMsg(reader *msgp.Reader) (err error) {
	*f, err = unpacker.DecodeBoundedArray(reader, *f, maxFields)
	return err
}

// EncodeMsg implements msgp.Encodable.
func (f Fields) EncodeMsg(writer *msgp.Writer) error { return unpacker.EncodeArray(writer, f) }

// Msgsize implements msgp.Sizer.
func (f Fields) Msgsize() int { return unpacker.Size(f) }

// Call is one request of a caller. Its body is complete: a call is forwarded only
// after its last byte was read.
type Call struct {
	// ID is the request ID that the caller chose. It is unique for each request; a
	// caller that retries sends a new one.
	ID     string
	Method string
	// Target is the request target as the caller sent it, including the query.
	Target string
	Host   string
	// Fields holds the header fields without hop-by-hop fields and without those
	// that the system sets itself.
	Fields Fields
	Body   unpacker.Bytes
	// Timeout is how long the caller waits; zero if it did not specify a timeout.
	Timeout time.Duration
	// Parent is the ID of the call on whose behalf an upstream makes this one; empty
	// if the request ID names none.
	Parent string
}

// Answer is a complete answer of an upstream.
type Answer struct {
	Status int
	Fields Fields
	Body   unpacker.Bytes
}

// Outcome is what is known about the execution of a call.
type Outcome uint8

// The outcomes. Unknown is the zero value, so that a result that was lost makes no
// claim about the execution.
const (
	// Unknown: the call may have run, or may still run.
	Unknown Outcome = iota
	// NotRun: no upstream has started to execute the call, and none will.
	NotRun
	// Run: an upstream has answered; Result.Answer is complete.
	Run
)

// String returns the outcome as it is written to logs.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "notRun"
	case Run:
		return "run"
	default:
		return "unknown"
	}
}

// Reason is why a call has no answer from an upstream. Logs, metrics and the
// operators' page show the same text.
type Reason string

// The reasons.
const (
	// NoConfiguration: the node has no configuration yet.
	NoConfiguration Reason = "noConfiguration"
	// NoRoute: no route of the configuration matches the call.
	NoRoute Reason = "noRoute"
	// NoEndpoint: no upstream of the service is known.
	NoEndpoint Reason = "noEndpoint"
	// WaitTooLong: no slot is expected to be free in time.
	WaitTooLong Reason = "waitTooLong"
	// Draining: the upstream is draining.
	Draining Reason = "draining"
	// WrongEndpoint: the upstream runs another service or is another instance than
	// expected.
	WrongEndpoint Reason = "wrongEndpoint"
	// UpstreamShed: the upstream states that it has not run the call.
	UpstreamShed Reason = "upstreamShed"
	// UpstreamUnreachable: no connection to the upstream could be opened.
	UpstreamUnreachable Reason = "upstreamUnreachable"
	// AnswerBroken: no complete and valid answer was received.
	AnswerBroken     Reason = "answerBroken"
	DeadlineExceeded Reason = "deadlineExceeded"
	// CallerGone: the caller has disconnected or the sending node has revoked the call.
	CallerGone Reason = "callerGone"
	// PeerUnreachable: no message about the call has reached the other node.
	PeerUnreachable Reason = "peerUnreachable"
	// PeerLost: a message may have reached the other node, but no reply came back.
	PeerLost Reason = "peerLost"
	// Stopping: the node is stopping.
	Stopping Reason = "stopping"
	// LinkBusy: the link of the upstream's VM can't carry the body in time.
	LinkBusy Reason = "linkBusy"
	// UrgentFirst: calls that are more urgent have precedence.
	UrgentFirst Reason = "urgentFirst"
	// BodyTooLarge: the request's body exceeds its limit.
	BodyTooLarge Reason = "bodyTooLarge"
	// KeyMissing: the route is not public, and the call has no key.
	KeyMissing Reason = "keyMissing"
	// KeyUnknown: no account of the configuration in force has the key.
	KeyUnknown Reason = "keyUnknown"
	// ParentUnknown: the call has no key, and the node does not run the call on whose behalf it
	// is made.
	ParentUnknown Reason = "parentUnknown"
	// OverQuota: the account has no quota left.
	OverQuota Reason = "overQuota"
	// QuotaUnavailable: the owner of the account's quota can't be reached, and what the node may admit
	// without it is used up.
	QuotaUnavailable Reason = "quotaUnavailable"
	// MemoryFull: the memory for requests like this one is in use.
	MemoryFull Reason = "memoryFull"
	// ConnectionLimit: as many connections as the node takes are open.
	ConnectionLimit Reason = "connectionLimit"
)

// Result is the result of one attempt or of the whole call.
type Result struct {
	Outcome Outcome
	// Reason is empty if Outcome is Run.
	Reason Reason
	Answer Answer
	// Wait is the estimated time until a refused call could be served; zero if
	// unknown.
	Wait time.Duration
	// Arrived reports whether the call was, or may have been, sent to an upstream,
	// whether or not it ran.
	Arrived bool
}

// Refuse returns the result of a call that has not run and will not run.
func Refuse(reason Reason) Result { return Result{Outcome: NotRun, Reason: reason} }

// Fail returns the result of a call that may have run or may still run.
func Fail(reason Reason) Result { return Result{Outcome: Unknown, Reason: reason, Arrived: true} }
