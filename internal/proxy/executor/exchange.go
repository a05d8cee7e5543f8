package executor

import (
	"context"
	"io"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

const (
	// maxForeignAnswers is how many answers to other calls are read away before
	// a connection is given up.
	maxForeignAnswers = 4
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 16 << 20
	// backgroundWrite is the body size from which a request is written beside
	// the reading of its answer, which may come first.
	backgroundWrite = 1 << 10
)

// verdict is how one exchange with the upstream ended.
type verdict struct {
	carrier.Result
	// unsent says that the connection was dead before anything was sent on it.
	unsent bool
	// stale says that a used connection ended before any byte of an answer.
	stale bool
	head  Head
}

// exchange sends a call on a connection and reads its answer. The connection is
// kept or closed.
func (e *Executor) exchange(ctx context.Context, c *connection, address string, o Outgoing) verdict {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	v, reusable := e.converse(c, o)
	cancelled := !stop()
	if v.Outcome != carrier.Run && ctx.Err() != nil && !v.unsent && v.Outcome == carrier.Unknown {
		v.Reason = reasonOf(ctx)
	}
	if !reusable || cancelled {
		_ = c.Close()
		return v
	}
	e.pool.put(c, address, v.head.IdleTimeout, time.Now())
	return v
}

func (e *Executor) converse(c *connection, o Outgoing) (verdict, bool) {
	written := make(chan error, 1)
	if len(o.Call.Body) > backgroundWrite {
		go func() { written <- e.send(c, o) }()
	} else {
		written <- e.send(c, o)
	}
	v, reusable := e.receive(c, o)
	select {
	case err := <-written:
		if err != nil {
			// Nothing of a request that could not be written whole was run, unless
			// the upstream answered it.
			reusable = false
		}
	default:
		// The answer came before the request was taken in whole.
		reusable = false
	}
	return v, reusable
}

func (e *Executor) send(c *connection, o Outgoing) error {
	if err := e.dialect.EncodeCall(c.writer, o); err != nil {
		return err
	}
	return c.writer.Flush()
}

// receive reads answers until the one to this call comes.
func (e *Executor) receive(c *connection, o Outgoing) (verdict, bool) {
	for range maxForeignAnswers {
		if _, err := c.reader.Peek(1); err != nil {
			return verdict{Result: carrier.Fail(carrier.AnswerBroken), stale: !c.fresh}, false
		}
		head, err := e.dialect.DecodeAnswer(c.reader, o.Call.Method)
		if err != nil {
			return verdict{Result: carrier.Fail(carrier.AnswerBroken)}, false
		}
		body, err := io.ReadAll(io.LimitReader(head.Body, maxAnswerBytes+1))
		_ = head.Body.Close()
		if err != nil || len(body) > maxAnswerBytes {
			return verdict{Result: carrier.Fail(carrier.AnswerBroken)}, false
		}
		if head.ID != o.Call.ID {
			if head.Close {
				break
			}
			continue
		}
		return judge(head, body), !head.Close && c.reader.Buffered() == 0
	}
	return verdict{Result: carrier.Fail(carrier.AnswerBroken)}, false
}

// judge says what an answer that belongs to the call means.
func judge(head Head, body []byte) verdict {
	switch {
	case head.Misdirected:
		return verdict{Result: carrier.Result{Outcome: carrier.NotRun, Reason: carrier.WrongEndpoint, Arrived: true}, head: head}
	case head.NotExecuted:
		return verdict{Result: carrier.Result{Outcome: carrier.NotRun, Reason: carrier.UpstreamShed, Arrived: true}, head: head}
	case head.Encoded || (!head.Stamped && head.Status < 300):
		return verdict{Result: carrier.Fail(carrier.AnswerBroken), head: head}
	}
	answer := carrier.Answer{Status: head.Status, Fields: head.Fields, Body: body}
	return verdict{Result: carrier.Result{Outcome: carrier.Run, Answer: answer, Arrived: true}, head: head}
}

func reasonOf(ctx context.Context) carrier.Reason {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return carrier.DeadlineExceeded
	}
	return carrier.CallerGone
}
