// Package carrier holds one call and its answer as they travel through the
// nodes, free of the names that callers and upstreams use on the wire.
package carrier

import "time"

//go:generate go tool msgp -tests=false -marshal=false -o carrier_gen.go

//msgp:tuple Field Call Answer Result

// Field is one end-to-end header field.
type Field struct {
	Name  string
	Value string
}

// Call is one attempt of a caller. Bodies are whole: a call is forwarded only
// after its last byte was read.
type Call struct {
	// ID is the caller's own identification of the attempt, unique for each.
	ID     string
	Method string
	// Target is the request target as the caller sent it, query included.
	Target string
	Host   string
	// Fields excludes what concerns one connection and what the system sets.
	Fields []Field
	Body   []byte
	// Timeout is how long the caller waits; zero if it did not say.
	Timeout time.Duration
	// Parent is the ID of the call for which an upstream makes this one; empty if
	// the caller's identification names none.
	Parent string
}

// Answer is a complete answer of an upstream.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
}

// Outcome says what is known about the execution of a call.
type Outcome uint8

// The outcomes. Unknown is the zero value, so that a lost result promises nothing.
const (
	// Unknown: the call may have run, or may still run.
	Unknown Outcome = iota
	// NotRun: no upstream has begun on the call, and none ever will.
	NotRun
	// Run: an upstream has answered; Result.Answer is whole.
	Run
)

// String returns the outcome as it stands in logs.
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

// Reason is why a call has no answer of an upstream. It is the same text in
// logs, metrics and the operators' page.
type Reason string

// The reasons.
const (
	NoConfiguration     Reason = "noConfiguration"
	NoRoute             Reason = "noRoute"
	NoEndpoint          Reason = "noEndpoint"
	WaitTooLong         Reason = "waitTooLong"
	Draining            Reason = "draining"
	WrongEndpoint       Reason = "wrongEndpoint"
	UpstreamShed        Reason = "upstreamShed"
	UpstreamUnreachable Reason = "upstreamUnreachable"
	AnswerBroken        Reason = "answerBroken"
	DeadlineExceeded    Reason = "deadlineExceeded"
	CallerGone          Reason = "callerGone"
	PeerUnreachable     Reason = "peerUnreachable"
	PeerLost            Reason = "peerLost"
	Stopping            Reason = "stopping"
	UrgentFirst         Reason = "urgentFirst"
	BodyTooLarge        Reason = "bodyTooLarge"
)

// Result is how one execution, or the whole call, ended.
type Result struct {
	Outcome Outcome
	// Reason is empty if Outcome is Run.
	Reason Reason
	Answer Answer
	// Wait estimates when a refused call could be served; zero is unknown.
	Wait time.Duration
	// Arrived says that the call was sent to an upstream, run or not.
	Arrived bool
}

// Refuse returns the result of a call that has not run.
func Refuse(reason Reason) Result { return Result{Outcome: NotRun, Reason: reason} }

// Fail returns the result of a call that may have run.
func Fail(reason Reason) Result { return Result{Outcome: Unknown, Reason: reason, Arrived: true} }
