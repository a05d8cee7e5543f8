package executor

import (
	"context"
	"net/http"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

const (
	// maxForeignAnswers is how many answers to other calls are discarded before the
	// connection is closed.
	maxForeignAnswers = 4
	// concurrentWriteBytes is the body size above which a request is written
	// concurrently with the reading of its answer, which may arrive before the whole
	// request is written.
	concurrentWriteBytes = 1 << 10
	// lateWriteTimeout is how long the rest of a request may take to write after an answer that ends with
	// its connection. The upstream runs on the same VM.
	lateWriteTimeout = 500 * time.Millisecond
)

// exchangeResult is the result of one exchange with the upstream.
type exchangeResult struct {
	carrier.Result
	// stale reports whether a reused connection failed before the first byte of an
	// answer.
	stale bool
	// unsent reports whether the connection failed before a byte of the call was written, so that
	// the upstream has not received it.
	unsent bool
	head   Head
}

// answered reports whether the upstream itself has answered or refused the call.
func (r exchangeResult) answered() bool {
	return r.Outcome == carrier.Run || r.Reason == carrier.UpstreamShed
}

// exchange sends a call on a connection and reads its answer. It then returns the
// connection to the pool, or closes it if it can't be reused. The end of ctx aborts
// the exchange.
func (e *Executor) exchange(ctx context.Context, c *connection, address string, request UpstreamRequest) exchangeResult {
	// A deadline in the past interrupts pending reads and writes.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	result, reusable := e.roundTrip(c, request)
	cancelled := !stop()
	if result.Outcome == carrier.Unknown && ctx.Err() != nil {
		result.Reason = reasonOf(ctx)
	}
	if !reusable || cancelled {
		_ = c.Close()
		return result
	}
	e.pool.put(c, address, result.head.IdleTimeout, time.Now())
	return result
}

// roundTrip writes a call and reads its answer. It also reports whether the connection
// can be reused.
func (e *Executor) roundTrip(c *connection, request UpstreamRequest) (exchangeResult, bool) {
	before := c.written.count.Load()
	written := make(chan error, 1)
	if len(request.Call.Body) > concurrentWriteBytes {
		go func() { written <- e.send(c, request) }()
	} else {
		written <- e.send(c, request)
	}
	result, reusable := e.receive(c, request)
	if result.stale {
		// Closing ends a write in progress.
		_ = c.Close()
		err := <-written
		if result.unsent = err != nil && c.written.count.Load() == before; result.unsent {
			result.Result = carrier.Refuse(carrier.UpstreamUnreachable)
		}
		return result, false
	}
	if result.Outcome == carrier.Run && result.head.EndsWithConnection {
		if !wroteWhole(written) {
			result = exchangeResult{Result: carrier.Fail(carrier.AnswerBroken)}
		}
		return result, false
	}
	select {
	case err := <-written:
		if err != nil {
			// The upstream has not received the whole request, so it would take the next
			// one for the rest of this one. Whether the call has run depends on its answer
			// alone.
			reusable = false
		}
	default:
		// The answer arrived before the request was written completely. The connection
		// is closed, which ends the write.
		reusable = false
	}
	return result, reusable
}

// wroteWhole waits for the end of a write and reports whether it succeeded. A body that ends with its
// connection is whole only then: a connection reports its failure once, so that a write which took the
// report leaves an ordinary end of the stream to the reader.
func wroteWhole(written <-chan error) bool {
	timer := time.NewTimer(lateWriteTimeout)
	defer timer.Stop()
	select {
	case err := <-written:
		return err == nil
	case <-timer.C:
		return false
	}
}

func (e *Executor) send(c *connection, request UpstreamRequest) error {
	if err := e.dialect.EncodeCall(c.writer, request); err != nil {
		return err
	}
	return c.writer.Flush()
}

// receive reads answers and discards those to other calls until the answer to this
// call arrives. It also reports whether the connection can be reused.
func (e *Executor) receive(c *connection, request UpstreamRequest) (exchangeResult, bool) {
	held := e.memory.account.Open(nil)
	defer e.memory.handOver(&held)
	reader := c.reader
	for range maxForeignAnswers {
		held.Release()
		c.wire.Remaining = maxHeadBytes
		if _, err := reader.Peek(1); err != nil {
			return exchangeResult{Result: carrier.Fail(carrier.AnswerBroken), stale: !c.fresh}, false
		}
		var err error
		if reader, err = e.memory.reserveHead(&held, reader); err != nil {
			return exchangeResult{Result: carrier.Fail(carrier.AnswerBroken)}, false
		}
		head, err := e.dialect.DecodeAnswer(reader, request.Call.Method)
		if err != nil {
			return exchangeResult{Result: carrier.Fail(carrier.AnswerBroken)}, false
		}
		c.wire.Remaining = maxWireBytes
		body, err := e.memory.readAll(&held, head)
		if err != nil {
			// The connection ends with the answer; closing the body would read on.
			return exchangeResult{Result: carrier.Fail(carrier.AnswerBroken)}, false
		}
		_ = head.Body.Close()
		if head.ID != request.Call.ID {
			if head.Close {
				break
			}
			continue
		}
		result := classify(head, body)
		if result.Outcome == carrier.NotRun {
			c.recordRefusal(request.Call.ID)
		}
		return result, !head.Close && reader.Buffered()+c.reader.Buffered() == 0
	}
	return exchangeResult{Result: carrier.Fail(carrier.AnswerBroken)}, false
}

// classify returns the result of a call from its answer. An answer with a content
// encoding, or with a status below 300 but without the upstream's stamp, counts as broken. So
// does one whose status promises the caller that the call has not run, unless the upstream states
// that.
func classify(head Head, body []byte) exchangeResult {
	switch {
	case head.Misdirected:
		return exchangeResult{Result: carrier.Result{Outcome: carrier.NotRun, Reason: carrier.WrongEndpoint, Arrived: true}, head: head}
	case head.NotExecuted:
		return exchangeResult{Result: carrier.Result{Outcome: carrier.NotRun, Reason: carrier.UpstreamShed, Arrived: true}, head: head}
	case head.Encoded || (!head.Stamped && head.Status < 300) || promisesNotRun(head.Status):
		return exchangeResult{Result: carrier.Fail(carrier.AnswerBroken), head: head}
	}
	answer := carrier.Answer{Status: head.Status, Fields: head.Fields, Body: body}
	return exchangeResult{Result: carrier.Result{Outcome: carrier.Run, Answer: answer, Arrived: true}, head: head}
}

// promisesNotRun reports whether callers take a status to mean that a call has not run and will
// not.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// reasonOf returns why a context has ended: its deadline has passed or the caller has disconnected.
func reasonOf(ctx context.Context) carrier.Reason {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return carrier.DeadlineExceeded
	}
	return carrier.CallerGone
}
