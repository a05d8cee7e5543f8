// Package executor runs calls at the upstream on the node's VM, subject to admission.
package executor

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/serving/admitter"
	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/internal/upstream/connector"
)

// MaxBufferedBytes is the maximum size, in bytes, of an answer body that is buffered
// before the answer is passed on. If such an answer is truncated, the call can still be
// retried or refused, since the caller has received nothing of it.
const MaxBufferedBytes = 256 << 10

// Executor runs calls at one upstream.
type Executor struct {
	admitter *admitter.Admitter
	invoker  connector.Invoker
	observe  func(rank string, queued time.Duration)
}

// New returns an executor. It calls observe with the rank of each admitted call and the
// time that the call was queued.
func New(a *admitter.Admitter, invoker connector.Invoker, observe func(rank string, queued time.Duration)) *Executor {
	return &Executor{admitter: a, invoker: invoker, observe: observe}
}

// Execute waits for a slot and runs the call. The error is a *framer.Refusal. The slot
// is held until the body is closed, or only until Execute returns if the body is
// buffered.
func (e *Executor) Execute(ctx context.Context, call *framer.Call) (*framer.Answer, error) {
	ticket, err := e.admitter.Admit(ctx, call.Service, call.Rank, call.Deadline)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	queued := started.Sub(ticket.Arrived)
	e.observe(call.Rank, queued)
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	release := sync.OnceFunc(func() {
		cancel()
		e.admitter.Release(time.Since(started), false)
	})
	answer, err := e.invoker.Invoke(ctx, e.admitter.Upstream().Address, call)
	if err == nil {
		err = bufferBody(ctx, answer)
	}
	if err != nil {
		e.releaseFailed(err, started, cancel)
		return nil, err
	}
	answer.QueueTime, answer.UpstreamTime = queued, time.Since(started)
	answer.Body = &releasingBody{ReadCloser: answer.Body, release: release}
	if answer.Length >= 0 && answer.Length <= MaxBufferedBytes {
		release()
	}
	answer.Load = e.admitter.Load()
	return answer, nil
}

// releaseFailed frees the slot of a call that got no answer, and reports to the admitter
// whether the upstream shed the call.
func (e *Executor) releaseFailed(err error, started time.Time, cancel context.CancelFunc) {
	cancel()
	var refusal *framer.Refusal
	shed := errors.As(err, &refusal) && refusal.Code == framer.UpstreamShed
	e.admitter.Release(time.Since(started), shed)
}

// bufferBody replaces a body of at most MaxBufferedBytes by one in memory. It returns a
// *framer.Refusal if the body ends early.
func bufferBody(ctx context.Context, answer *framer.Answer) error {
	head, err := io.ReadAll(io.LimitReader(answer.Body, MaxBufferedBytes+1))
	if err != nil {
		_ = answer.Body.Close()
		if ctx.Err() != nil {
			return framer.RefuseUnknown(framer.DeadlineExceeded, "the upstream's answer was not complete before the deadline")
		}
		return framer.RefuseUnknown(framer.UpstreamAnswerBroken, "the upstream's answer was truncated: %s", err)
	}
	if len(head) <= MaxBufferedBytes {
		_ = answer.Body.Close()
		answer.Body, answer.Length = io.NopCloser(bytes.NewReader(head)), int64(len(head))
		return nil
	}
	answer.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(head), answer.Body), Closer: answer.Body}
	return nil
}

// joinedBody reads the buffered start of a body and then the rest of it.
type joinedBody struct {
	io.Reader
	io.Closer
}

// releasingBody frees the slot when the body is closed.
type releasingBody struct {
	io.ReadCloser
	release func()
}

// Close closes the body and frees the slot.
func (b *releasingBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}
