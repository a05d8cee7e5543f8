package carrier

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
)

// Backend runs calls at the local upstream.
type Backend interface {
	// Execute runs a call. The caller must close the body of the answer. An error that
	// does not wrap a *framer.Refusal means that the outcome of the call is unknown.
	Execute(ctx context.Context, call *framer.Call) (*framer.Answer, error)
}

// Server serves the calls that other nodes forward to this node.
type Server struct {
	backend Backend
	// load returns the load that is sent with refusals.
	load func() framer.Load
	// observeVersion is called for each call with the bundle version that it was routed
	// by and the ID of the node that routed it.
	observeVersion func(version int64, node string)
}

// NewServer returns a server that runs calls at the backend. Load returns the load that
// is sent with refusals. ObserveVersion is called for each call with the bundle version
// that it was routed by and the ID of the node that routed it.
func NewServer(backend Backend, load func() framer.Load, observeVersion func(version int64, node string)) *Server {
	return &Server{backend: backend, load: load, observeVersion: observeVersion}
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler if the body of
// an answer ends early.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, refusal := readCall(r)
	if refusal != nil {
		s.refuse(w, refusal, "")
		return
	}
	s.observeVersion(call.Version, call.Node)
	answer, err := s.backend.Execute(r.Context(), call)
	if err != nil {
		s.refuse(w, err, call.ID)
		return
	}
	defer answer.Body.Close()
	framer.CopyHeader(w.Header(), answer.Header)
	w.Header().Set(framer.RequestHeader, call.ID)
	w.Header().Set(framer.LoadHeader, answer.Load.String())
	w.Header().Set(framer.TimesHeader, formatTimes(answer.QueueTime, answer.UpstreamTime))
	SendBody(w, answer)
}

// refuse writes the refusal that err is or wraps. While this node drains, it also
// closes the connection to the peer.
func (s *Server) refuse(w http.ResponseWriter, err error, id string) {
	load := s.load()
	w.Header().Set(framer.LoadHeader, load.String())
	if load.Draining {
		w.Header().Set("Connection", "close")
	}
	var refusal *framer.Refusal
	if !errors.As(err, &refusal) {
		refusal = framer.RefuseUnknown(framer.PeerAnswerBroken, "%s", err)
	}
	refusal.Write(w, id)
}

// SendBody writes the status and the body of an answer. If the body ends early, it
// panics with http.ErrAbortHandler, which closes the connection, so that the receiver
// detects the truncated body.
func SendBody(w http.ResponseWriter, answer *framer.Answer) {
	if answer.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	w.WriteHeader(answer.Status)
	if _, err := io.Copy(w, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// MaxBodyBytes is the maximum size of a call's body, in bytes.
const MaxBodyBytes = 1 << 20

// ReadBody reads the whole body of a call. The refusal has code BadRequest if the body is
// truncated, and BodyTooLarge if it exceeds MaxBodyBytes.
func ReadBody(r *http.Request) ([]byte, *framer.Refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBodyBytes+1))
	if err != nil {
		return nil, framer.Refuse(framer.BadRequest, "the body was truncated: %s", err)
	}
	if len(body) > MaxBodyBytes {
		return nil, framer.Refuse(framer.BodyTooLarge, "the body exceeds %d bytes", MaxBodyBytes)
	}
	return body, nil
}

// readCall decodes a call. The timeout header is relative, so that nodes need no common
// clock.
func readCall(r *http.Request) (*framer.Call, *framer.Refusal) {
	timeout, err := time.ParseDuration(r.Header.Get(framer.TimeoutHeader))
	if err != nil {
		return nil, framer.Refuse(framer.BadRequest, "header %s is not a duration", framer.TimeoutHeader)
	}
	version, err := strconv.ParseInt(r.Header.Get(framer.VersionHeader), 10, 64)
	if err != nil {
		return nil, framer.Refuse(framer.BadRequest, "header %s is not a number", framer.VersionHeader)
	}
	depth, err := strconv.Atoi(r.Header.Get(framer.DepthHeader))
	if err != nil {
		return nil, framer.Refuse(framer.BadRequest, "header %s is not a number", framer.DepthHeader)
	}
	body, refusal := ReadBody(r)
	if refusal != nil {
		return nil, refusal
	}
	return &framer.Call{
		ID: r.Header.Get(framer.RequestHeader), Tenant: r.Header.Get(framer.TenantHeader),
		Service: r.Header.Get(framer.ServiceHeader), Rank: r.Header.Get(framer.RankHeader),
		Method: r.Method, Target: r.URL.RequestURI(), Header: r.Header, Body: body,
		Key: r.Header.Get(framer.NodeKeyHeader), Deadline: time.Now().Add(timeout),
		Depth: depth, Version: version, Node: r.Header.Get(framer.NodeHeader),
	}, nil
}

// cancellingBody cancels the call's context when the body is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (b *cancellingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
