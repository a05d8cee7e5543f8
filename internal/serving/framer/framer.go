// Package framer defines calls, answers and refusals, and the HTTP headers that
// carry them between callers, nodes and upstreams.
package framer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of the callers' interface, in requests and responses.
const (
	// KeyHeader carries the idempotency key, by which a retry of a non-idempotent
	// request is recognised.
	KeyHeader = "Idempotency-Key"
	// TimeoutHeader is the timeout of the caller, as a Go duration such as "250ms".
	TimeoutHeader = "Tamarack-Timeout"
	// TenantHeader names the tenant that the caller belongs to.
	TenantHeader = "Tamarack-Tenant"
	// RequestHeader is the ID of the request; every response carries it.
	RequestHeader = "Tamarack-Request-Id"
	// OutcomeHeader is set on each refusal and holds its Outcome.
	OutcomeHeader = "Tamarack-Outcome"
	// DepthHeader is the number of calls in the chain that led to this one.
	DepthHeader = "Tamarack-Depth"
	// RetriesExhaustedHeader is set to "true" on a refusal with RetriesExhausted.
	RetriesExhaustedHeader = "Tamarack-Retries-Exhausted"
)

// Headers of calls between nodes.
const (
	RankHeader    = "Tamarack-Rank"
	ServiceHeader = "Tamarack-Service"
	// VersionHeader is the bundle version that the call was routed by.
	VersionHeader = "Tamarack-Version"
	// NodeHeader is the ID of the node that routed the call.
	NodeHeader = "Tamarack-Node"
	// NodeKeyHeader carries the idempotency key between nodes, in place of KeyHeader.
	NodeKeyHeader = "Tamarack-Key"
	// LoadHeader holds the encoded Load and is set on answers and refusals.
	LoadHeader = "Tamarack-Load"
	// TimesHeader is set on answers. It holds the time in the queue and the time at
	// the upstream, both in microseconds.
	TimesHeader = "Tamarack-Times"
)

// MaxDepth is the maximum length of a chain of calls. A longer one is taken for a
// loop and refused.
const MaxDepth = 32

// Outcome states whether a refused request was run by the upstream.
type Outcome string

// The outcomes.
const (
	// NotRun means that the upstream has not run the request and will not run it.
	NotRun Outcome = "not-run"
	// Unknown means that the upstream may have run the request or may still run it.
	Unknown Outcome = "unknown"
	// Run means that the request was run before, but its answer was not stored.
	Run Outcome = "run"
)

// Code is the machine-readable reason for a refusal.
type Code string

// The codes, as documented in docs/INTERFACES.md.
const (
	NoVersion            Code = "noVersionInForce"
	NoRoute              Code = "noRoute"
	BadRequest           Code = "badRequest"
	BodyTooLarge         Code = "bodyTooLarge"
	KeyRequired          Code = "idempotencyKeyRequired"
	KeyReused            Code = "idempotencyKeyReused"
	KeyInProgress        Code = "idempotencyKeyInProgress"
	KeyUnavailable       Code = "idempotencyUnavailable"
	AlreadyRun           Code = "alreadyRun"
	TenantLimit          Code = "tenantLimit"
	NoEndpoint           Code = "noEndpoint"
	QueueFull            Code = "queueFull"
	DeadlineTooShort     Code = "deadlineTooShort"
	DeadlineExceeded     Code = "deadlineExceeded"
	Cancelled            Code = "cancelled"
	Saturated            Code = "saturated"
	NodeDraining         Code = "draining"
	WrongEndpoint        Code = "wrongEndpoint"
	UpstreamShed         Code = "upstreamShed"
	UpstreamUnreachable  Code = "upstreamUnreachable"
	UpstreamAnswerBroken Code = "upstreamAnswerBroken"
	PeerUnreachable      Code = "nodeUnreachable"
	PeerAnswerBroken     Code = "nodeAnswerBroken"
	TooDeep              Code = "tooDeep"
	RetryBudgetSpent     Code = "retryBudgetSpent"
)

// statusCodes maps refusal codes to HTTP status codes. All other codes map to 503.
var statusCodes = map[Code]int{
	NoRoute: http.StatusNotFound, BadRequest: http.StatusBadRequest, BodyTooLarge: http.StatusRequestEntityTooLarge,
	KeyRequired: http.StatusBadRequest, KeyReused: http.StatusUnprocessableEntity,
	KeyInProgress: http.StatusConflict, AlreadyRun: http.StatusConflict,
	TenantLimit: http.StatusTooManyRequests, TooDeep: http.StatusLoopDetected,
	DeadlineExceeded: http.StatusGatewayTimeout, UpstreamAnswerBroken: http.StatusBadGateway, PeerAnswerBroken: http.StatusBadGateway,
}

// Refusal is a node's response to a call in place of an upstream's answer. It is
// used as an error within a node and encoded as JSON on the wire.
type Refusal struct {
	Code    Code    `json:"code"`
	Outcome Outcome `json:"outcome"`
	Detail  string  `json:"detail"`
	// RetriesExhausted reports that the call was retried already or that the retry
	// budget is spent. Callers further up the chain must not retry such a call again.
	RetriesExhausted bool `json:"retriesExhausted,omitempty"`
}

// Refuse returns a refusal of a request that was not run.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// RefuseUnknown returns a refusal of a request that may have been run.
func RefuseUnknown(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: Unknown, Detail: fmt.Sprintf(format, args...)}
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Detail)
}

// Status returns the HTTP status code of the refusal.
func (r *Refusal) Status() int {
	if status, found := statusCodes[r.Code]; found {
		return status
	}
	return http.StatusServiceUnavailable
}

// Write sends the refusal as the response to an HTTP request. If the request was not
// run and the status is 503, the response asks for a retry after one second.
func (r *Refusal) Write(w http.ResponseWriter, requestID string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(OutcomeHeader, string(r.Outcome))
	w.Header().Set(RequestHeader, requestID)
	if r.RetriesExhausted {
		w.Header().Set(RetriesExhaustedHeader, "true")
	}
	if r.Outcome == NotRun && r.Status() == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(r.Status())
	_ = json.NewEncoder(w).Encode(r)
}

// maxRefusalBytes is the maximum body size of a refusal from another node.
const maxRefusalBytes = 4096

// ReadRefusal decodes a refusal from another node's response, which has the
// OutcomeHeader. If it cannot be read or does not match the header, ReadRefusal
// returns a refusal with an unknown outcome.
func ReadRefusal(header http.Header, body io.Reader) *Refusal {
	refusal := &Refusal{}
	data, err := io.ReadAll(io.LimitReader(body, maxRefusalBytes))
	if err == nil {
		err = json.Unmarshal(data, refusal)
	}
	if err != nil || string(refusal.Outcome) != header.Get(OutcomeHeader) {
		return RefuseUnknown(PeerAnswerBroken, "the refusal of another node could not be decoded")
	}
	return refusal
}

// Call is a caller's request as it is passed to an upstream.
type Call struct {
	// ID identifies the caller's request. All of its attempts have the same ID.
	ID      string
	Tenant  string
	Service string
	Rank    string
	Method  string
	// Target is the path and query of the URL.
	Target string
	Header http.Header
	Body   []byte
	// Key is the idempotency key; empty if the caller sent none.
	Key string
	// Deadline is the time by which the caller needs the answer.
	Deadline time.Time
	// Depth is the position of the call in its chain, from 1.
	Depth int
	// Version is the bundle version that the call was routed by.
	Version int64
	// Node is the ID of the node that routed the call.
	Node string
}

// Answer is the answer of an upstream to a call.
type Answer struct {
	Status int
	Header http.Header
	// Body must be closed by the receiver. Reading a truncated body ends in an error.
	Body io.ReadCloser
	// Length is the length of the body in bytes; -1 if it is unknown.
	Length int64
	// QueueTime is the time that the call waited for a slot, UpstreamTime the time at
	// the upstream.
	QueueTime    time.Duration
	UpstreamTime time.Duration
	// Load is the endpoint's load at the time of the answer.
	Load Load
}

// Load is the load of an endpoint, which is sent with each of its answers and
// refusals.
type Load struct {
	// InUse is the number of slots in use, Slots the capacity.
	InUse int
	Slots int
	// Waiting is the number of queued calls.
	Waiting int
	// ShedFrom is the index of the most urgent rank whose queue was full when the
	// load was measured; -1 if none was full.
	ShedFrom int
	// Draining reports that the endpoint takes no new calls.
	Draining bool
}

// String encodes the load for LoadHeader, as five integers separated by slashes.
func (l Load) String() string {
	draining := 0
	if l.Draining {
		draining = 1
	}
	return fmt.Sprintf("%d/%d/%d/%d/%d", l.InUse, l.Slots, l.Waiting, l.ShedFrom, draining)
}

// ParseLoad decodes the value of LoadHeader and reports whether it is well-formed.
func ParseLoad(text string) (Load, bool) {
	parts := strings.Split(text, "/")
	if len(parts) != 5 {
		return Load{}, false
	}
	var numbers [5]int
	for i, part := range parts {
		number, err := strconv.Atoi(part)
		if err != nil {
			return Load{}, false
		}
		numbers[i] = number
	}
	return Load{
		InUse: numbers[0], Slots: numbers[1], Waiting: numbers[2], ShedFrom: numbers[3], Draining: numbers[4] == 1,
	}, true
}

// hopByHopHeaders are the headers that apply to one connection only, or that each hop
// sets itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", RankHeader, ServiceHeader, VersionHeader, NodeHeader, NodeKeyHeader,
	LoadHeader, TimesHeader, TimeoutHeader, DepthHeader,
}

// CopyHeader copies the end-to-end headers and removes the others from the
// destination.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
}
