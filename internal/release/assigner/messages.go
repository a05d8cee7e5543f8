package assigner

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/tamarackscale/tamarackscale/internal/proxy/unpacker"
	"github.com/tamarackscale/tamarackscale/internal/release/judger"
)

//go:generate go tool msgp -tests=false -marshal=false -o messages_gen.go

//msgp:tuple Plan RouteShare Upstream Report Row ExchangeArgs ExchangeReply
//msgp:ignore List

// List is an array in a message. Its memory is allocated as its elements arrive.
type List[T any, P Element[T]] []T

// Element is implemented by a pointer to an element of a List.
type Element[T any] interface {
	*T
	msgp.Decodable
	msgp.Encodable
	msgp.Sizer
}

// DecodeMsg implements msgp.Decodable.
func (l *List[T, P]) DecodeMsg(reader *msgp.Reader) (err error) {
	*l, err = unpacker.DecodeArray[T, P](reader, *l)
	return err
}

// EncodeMsg implements msgp.Encodable.
func (l List[T, P]) EncodeMsg(writer *msgp.Writer) error {
	return unpacker.EncodeArray[T, P](writer, l)
}

// Msgsize implements msgp.Sizer.
func (l List[T, P]) Msgsize() int { return unpacker.Size[T, P](l) }

// Plan tells a node how to divide the calls of a service between two versions. All messages of this
// package are exchanged as tuples, so the order of the fields is part of the protocol.
type Plan struct {
	Service string
	// Target is the version that is rolled out.
	Target string
	// Order identifies the order: a packed position of the store.
	Order int64
	// Epoch is the packed position at which the controller took its key, and Sequence counts its
	// plans. A plan supersedes those of a lower epoch, or of the same epoch and a lower sequence.
	Epoch    int64
	Sequence int64
	// Phase is a stepper.Phase.
	Phase int
	// Share is the fraction of the calls that goes to the target, except on the routes in Routes.
	Share  float64
	Routes RouteShares
	// Nodes restricts the calls to the target's upstreams beside these nodes, unless it is empty.
	Nodes Upstreams
	// Elapsed is the time since the order.
	Elapsed time.Duration
	// Validity is how long the plan holds after its receipt.
	Validity time.Duration
	// Why is why the next phase has not begun, for operators.
	Why string
}

// RouteShare is the share of one route.
type RouteShare struct {
	Route string
	Share float64
}

// Upstream names the node beside an upstream.
type Upstream struct{ Node string }

// Report holds what a node has counted of a service since it first heard of the order.
type Report struct {
	Service string
	Order   int64
	// Epoch, Sequence and Phase are those of the plan that the node follows.
	Epoch    int64
	Sequence int64
	Phase    int
	// Elapsed is the time since the order, as far as the node knows.
	Elapsed time.Duration
	// Calls is the number of attempts, TargetCalls that of those sent to the target.
	Calls       int
	TargetCalls int
	// OtherInFlight is the number of attempts in flight at other versions.
	OtherInFlight int
	Rows          Rows
}

// Row counts answers: those of the target by route and upstream, those of other versions by route, and
// once more by upstream.
type Row struct {
	// Route is empty in a row of another version's upstream, whose bad answers all count as failures
	// and the others as of the shortest time.
	Route string
	// Upstream is the node beside the upstream; empty in a row of other versions' answers on a route.
	Upstream string
	Tally    judger.Tally
}

// ExchangeArgs carries the plans of all services that are rolled out.
type ExchangeArgs struct{ Plans Plans }

// ExchangeReply carries a report for each of the plans.
type ExchangeReply struct{ Reports Reports }

// RouteShares is an array of a message.
type RouteShares = List[RouteShare, *RouteShare]

// Upstreams is an array of a message.
type Upstreams = List[Upstream, *Upstream]

// Rows is an array of a message.
type Rows = List[Row, *Row]

// Plans is an array of a message.
type Plans = List[Plan, *Plan]

// Reports is an array of a message.
type Reports = List[Report, *Report]
