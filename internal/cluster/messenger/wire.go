package messenger

import (
	"github.com/tamarackscale/tamarackscale/internal/bundle/differ"
	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
)

// Names under which receivers are registered with net/rpc.
const (
	GossipName  = "Gossip"
	BundlesName = "Bundles"
	ClaimsName  = "Claims"
)

// Methods that nodes call on each other.
const (
	ExchangeMethod = GossipName + ".Exchange"
	SyncMethod     = GossipName + ".Sync"
	PushMethod     = GossipName + ".Push"
	ProbeMethod    = GossipName + ".Probe"
	FetchMethod    = BundlesName + ".Fetch"
	ReportMethod   = BundlesName + ".Report"
	ClaimMethod    = ClaimsName + ".Claim"
	SettleMethod   = ClaimsName + ".Settle"
	CopyMethod     = ClaimsName + ".Copy"
)

// ExchangeRequest compares two views of the fleet. It is also the liveness probe.
type ExchangeRequest struct {
	// From is the ID of the calling node.
	From string
	// Digest is the digest of the entries, Stamps that of the documents' stamps.
	Digest uint64
	Stamps uint64
}

// ExchangeReply holds what the caller needs for reconciliation; it is empty if the
// views agree.
type ExchangeReply struct {
	// Buckets is nil if the entries agree.
	Buckets []uint64
	// Stamps is nil if the documents agree.
	Stamps []merger.Stamp
	// Differs is set if the entries or the documents differ.
	Differs bool
}

// SyncRequest carries the caller's side of a reconciliation: its entries in the
// differing buckets and its newer documents.
type SyncRequest struct {
	// From is the ID of the calling node.
	From string
	// Numbers are the buckets whose entries the caller requests.
	Numbers []int
	Entries []merger.Entry
	// Stamps are those of all documents of the caller.
	Stamps    []merger.Stamp
	Documents []merger.Document
}

// SyncReply carries the peer's side of a reconciliation: its entries in the requested
// buckets and the documents that are newer than the request's stamps.
type SyncReply struct {
	// From is the ID of the replying node.
	From      string
	Entries   []merger.Entry
	Documents []merger.Document
}

// PushRequest carries updates: whole entries, but only the stamps of documents. A
// peer that is behind requests the documents from the sender, so that each document
// is sent to a node only once.
type PushRequest struct {
	// From is the ID of the calling node.
	From    string
	Entries []merger.Entry
	Stamps  []merger.Stamp
}

// Empty is the reply of a method that returns nothing.
type Empty struct{}

// ProbeRequest asks a member to probe another member.
type ProbeRequest struct {
	// Address is the control address of the member to probe, IP:port.
	Address string
	// Zone is the zone of the member to probe.
	Zone string
}

// ProbeReply reports whether the probed member replied.
type ProbeReply struct{ Answered bool }

// FetchRequest asks for a version of the bundle.
type FetchRequest struct {
	Wanted parser.Pointer
	// Have is the version that the caller holds; zero if it has none.
	Have parser.Pointer
}

// FetchReply carries a version: as a delta if the peer holds the version that the
// caller has and the delta is smaller, in full otherwise.
type FetchReply struct {
	// Found reports whether the peer holds the version.
	Found   bool
	SignOff parser.SignOff
	// Delta applies to the content of FetchRequest.Have; it is nil if Content is set.
	Delta   *differ.Delta
	Content []byte
}

// ReportRequest carries node reports on their way to a collector of the zone.
type ReportRequest struct {
	// Collector is the ID of the node that the reports are addressed to.
	Collector string
	Reports   []NodeReport
}

// NodeReport is a node's progress with a revision of the rollout record.
type NodeReport struct {
	Node        string
	Incarnation int64
	// Revision is the revision of the record that the report is about.
	Revision keeper.Revision
	Prepared bool
	// InForce is the version in force on the node; zero if there is none.
	InForce int64
	// Refusal is the reason why the node cannot prepare; empty if it can.
	Refusal string
}
