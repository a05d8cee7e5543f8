package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/kernel/limiter"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

const (
	// readBufferBytes and writeBufferBytes are the sizes of a connection's buffers.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxPipelined is the maximum number of calls in flight on one connection. Further
	// requests are not read until one of them has its response.
	maxPipelined = 64
	// writeTimeout is the timeout for writing a response to a caller that reads slowly.
	writeTimeout = 30 * time.Second
	// lingerTime is how long a connection is still read after the node has closed its
	// write side. If unread input were left at the close, the kernel would reset the
	// connection, and the caller could lose the response.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds the input that is discarded during lingerTime.
	lingerBytes = 1 << 20
)

// errReadLimit is returned when the head or the body of a request exceeds its limit.
var errReadLimit = errors.New("request exceeds its size limit")

// task is one call that was read from a connection.
type task struct {
	call     carrier.Call
	received time.Time
	// last reports whether the caller asked to close the connection after the response.
	last bool
	// memory is what the call holds until its response is written.
	memory accountant.Reservation
	// previous is closed when the response to the previous call on the connection is
	// written, and written when the response to this call is. Both are closed even if the
	// connection has failed and nothing is written.
	previous, written chan struct{}
}

// conn is one caller's connection. One goroutine reads requests and a worker goroutine
// handles them. While the worker is busy, each further call gets a goroutine of its
// own.
type conn struct {
	acceptor *Acceptor
	raw      *accountant.Conn
	limit    *limiter.Reader
	// reader reads from limit.
	reader *bufio.Reader
	writer *bufio.Writer
	// head holds the head that was read last, memory what the request being read holds.
	head   []byte
	memory accountant.Reservation
	// request is the one whose body is being read; nil if there is none.
	request *http.Request
	// pipelined limits the calls in flight; it holds one element for each.
	pipelined chan struct{}
	// work passes calls to the worker.
	work chan task
	// hasWorker is set once a goroutine has become the worker.
	hasWorker atomic.Bool

	// state tells whether the connection may be closed. Only the goroutine that reads requests
	// closes an idle connection, since it alone knows whether it has read anything.
	state state
	// cancel cancels the calls in flight.
	cancel context.CancelFunc
}

func newConn(acceptor *Acceptor, raw *accountant.Conn) *conn {
	limit := &limiter.Reader{Reader: raw, Exceeded: errReadLimit}
	return &conn{
		acceptor: acceptor, raw: raw, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes),
		writer: bufio.NewWriterSize(raw, writeBufferBytes), pipelined: make(chan struct{}, maxPipelined),
		memory: acceptor.account.Open(raw), work: make(chan task), state: state{lastResponse: time.Now()},
	}
}

// serve reads requests until the connection ends. The end of the caller's input counts
// as a disconnect, which cancels the calls in flight.
func (c *conn) serve() {
	var ctx context.Context
	ctx, c.cancel = context.WithCancel(context.Background())
	defer c.acceptor.remove(c)
	defer close(c.work)
	previous := make(chan struct{})
	close(previous)
	for {
		request, body, err := c.readRequest(previous)
		if err != nil {
			c.memory.Release()
			c.finish(err, previous)
			c.abandonRead()
			c.cancel()
			return
		}
		received := time.Now()
		call := c.decode(request, body)
		c.raw.AddBusy(1)
		c.pipelined <- struct{}{}
		if !c.state.accept() {
			c.memory.Release()
			c.raw.AddBusy(-1)
			c.drop(call, previous)
			c.cancel()
			return
		}
		written := make(chan struct{})
		c.startTask(ctx, task{
			call: call, received: received, last: request.Close, memory: c.memory, previous: previous, written: written,
		})
		c.memory = c.acceptor.account.Open(c.raw)
		previous = written
		if request.Close {
			c.lingerAndClose()
			c.cancel()
			return
		}
	}
}

// abandonRead records that the reading of a request has failed.
func (c *conn) abandonRead() {
	if c.state.abandon() {
		c.acceptor.inFlight.Add(-1)
	}
}

// drop ends the connection after a request behind the last response, which the caller sends
// again elsewhere. Previous is closed when that response is written.
func (c *conn) drop(call carrier.Call, previous <-chan struct{}) {
	c.acceptor.observe.Unanswered(call, BehindLast)
	<-previous
	c.lingerAndClose()
	c.abandonRead()
}

// awaitRequest waits for the first byte of the next request. It returns an error when the
// connection has been idle for too long, is retired or has failed.
func (c *conn) awaitRequest(idleTimeout time.Duration) error {
	for {
		c.state.arm(c.raw, idleTimeout)
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			c.acceptor.inFlight.Add(1)
			c.state.beginRead()
			return nil
		case !isTimeout(err) || c.state.expired(idleTimeout):
			return err
		}
	}
}

// readRequest reads one request with its body. A request that is invalid or exceeds a
// limit is returned as a *rejection. Previous is closed when the responses to the earlier
// requests are written.
func (c *conn) readRequest(previous <-chan struct{}) (*http.Request, []byte, error) {
	limits := c.acceptor.handler.Limits()
	c.limit.Remaining = int64(limits.MaxHeaderBytes) + readBufferBytes
	if err := c.awaitRequest(limits.IdleTimeout); err != nil {
		return nil, nil, err
	}
	c.raw.Begin()
	c.setReadTimeout(limits.HeaderTimeout)
	request, err := c.readHead(limits.MaxHeaderBytes)
	if err != nil {
		return nil, nil, readError(err, headRejections)
	}
	body, err := c.body(request, limits.MaxBodyBytes, previous)
	c.setReadTimeout(0)
	return request, body, err
}

// body reads the body of a request. It returns a *rejection if the body is longer than
// limit bytes.
func (c *conn) body(request *http.Request, limit int64, previous <-chan struct{}) ([]byte, error) {
	if request.ContentLength > limit {
		return nil, bodyRejections.tooLarge
	}
	if request.ContentLength == 0 {
		return nil, nil
	}
	if sizes := accountant.BodySizes; !c.acceptor.account.CanHold(sizes.Of(request.ContentLength), request.ContentLength) {
		c.acceptor.account.Refuse(sizes.Of(request.ContentLength))
		return nil, memoryRejection
	}
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		// An interim response must not fall into the response to an earlier request.
		<-previous
		_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	body, err := c.readBody(request, limit)
	if err != nil {
		return nil, readError(err, bodyRejections)
	}
	return body, nil
}

// maxChunkOverhead times the limit of the body bounds the bytes of a chunked body on the
// wire. Chunks of one byte take six.
const maxChunkOverhead = 6

// bodyTimeout is the timeout for reading the body of one request.
const bodyTimeout = 30 * time.Second

// setReadTimeout sets the read deadline to d from now; no deadline if d is not positive.
func (c *conn) setReadTimeout(d time.Duration) {
	_ = c.raw.SetReadDeadline(deadline(time.Now(), d))
}

// rejection is the error for a request that is invalid or exceeds a limit. It is
// answered without being read completely.
type rejection struct {
	status int
	reason string
	// retryAfter is how long the caller should wait before it retries; 0 if that is of no use.
	retryAfter time.Duration
}

func (r *rejection) Error() string { return r.reason }

// rejections holds the rejections of one part of a request.
type rejections struct {
	tooLarge  *rejection
	timeout   *rejection
	malformed *rejection
}

var (
	headRejections = rejections{
		tooLarge:  &rejection{http.StatusRequestHeaderFieldsTooLarge, "headerTooLarge", 0},
		timeout:   &rejection{http.StatusRequestTimeout, "headerTimeout", 0},
		malformed: &rejection{http.StatusBadRequest, "malformedRequest", 0},
	}
	bodyRejections = rejections{
		tooLarge:  &rejection{http.StatusRequestEntityTooLarge, string(carrier.BodyTooLarge), 0},
		timeout:   &rejection{http.StatusRequestTimeout, "bodyTimeout", 0},
		malformed: &rejection{http.StatusBadRequest, "malformedBody", 0},
	}
)

// memoryRetryAfter is how long a caller should wait for whose request there is no memory.
const memoryRetryAfter = 500 * time.Millisecond

var memoryRejection = &rejection{http.StatusServiceUnavailable, string(carrier.MemoryFull), memoryRetryAfter}

// readError translates an error of reading a part of a request: to a *rejection if the
// caller gets a response, and to the error itself if the connection has failed.
func readError(err error, r rejections) error {
	var rejected *rejection
	switch {
	case errors.As(err, &rejected):
		return rejected
	case errors.Is(err, accountant.ErrFull):
		return memoryRejection
	case errors.Is(err, errReadLimit), errors.Is(err, accountant.ErrTooLong):
		return r.tooLarge
	case isTimeout(err):
		return r.timeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return err
	}
	var broken net.Error
	if errors.As(err, &broken) {
		return err
	}
	return r.malformed
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// headBytes returns the size in bytes of a request's head, computed from the parsed
// request. Fields that net/http removes from the header, such as Transfer-Encoding, and
// optional white space are not counted.
func headBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// startTask passes a call to the worker, or to a new goroutine if the worker is busy or
// does not exist yet.
func (c *conn) startTask(ctx context.Context, t task) {
	select {
	case c.work <- t:
	default:
		go func() {
			c.respond(ctx, t)
			c.runWorker(ctx)
		}()
	}
}

// runWorker handles calls until the connection ends. It returns at once if the
// connection already has a worker.
func (c *conn) runWorker(ctx context.Context) {
	if !c.hasWorker.CompareAndSwap(false, true) {
		return
	}
	for t := range c.work {
		c.respond(ctx, t)
	}
}

// respond handles one call and writes its response after the previous call's.
func (c *conn) respond(ctx context.Context, t task) {
	response := c.handle(ctx, t)
	t.memory.Take(accountant.AnswerSizes.Of(answerCost(response.Answer)), answerCost(response.Answer))
	<-t.previous
	if last, open := c.state.beginResponse(t.last, c.acceptor.stopping.Load()); open {
		c.write(t.call, response, last)
	} else {
		c.acceptor.observe.Unanswered(t.call, ConnectionEnded)
	}
	t.memory.Release()
	c.state.settle(c.raw)
	c.raw.AddBusy(-1)
	c.acceptor.inFlight.Add(-1)
	<-c.pipelined
	close(t.written)
}

// stoppingRetryAfter is how long the caller of a stopping node should wait before it
// retries.
const stoppingRetryAfter = 300 * time.Millisecond

var stoppingResponse = Response{
	Refused: true, Status: http.StatusServiceUnavailable, Reason: string(carrier.Stopping), RetryAfter: stoppingRetryAfter,
}

// write writes a response. If it is the last one, no further response is written. If the
// writing fails, the other calls in flight are cancelled too.
func (c *conn) write(call carrier.Call, r Response, last bool) {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	var err error
	if r.Refused {
		err = c.acceptor.dialect.EncodeRefusal(c.writer, call, r.Status, r.Reason, r.RetryAfter, last)
	} else {
		err = c.acceptor.dialect.EncodeAnswer(c.writer, call, r.Answer, last)
	}
	if err != nil {
		c.state.end()
		c.cancel()
		_ = c.raw.Close()
		c.acceptor.observe.Unanswered(call, WriteFailed)
		return
	}
	if last {
		c.closeWrite()
	}
}

// closeWrite closes the write side of the connection. The read side stays open for
// lingerTime.
func (c *conn) closeWrite() { _ = c.raw.CloseWrite() }

// finish closes the connection after a read error. A *rejection is first written as a
// response, after the responses to the previous calls.
func (c *conn) finish(err error, previous chan struct{}) {
	var r *rejection
	if !errors.As(err, &r) {
		_ = c.raw.Close()
		return
	}
	<-previous
	if _, open := c.state.beginResponse(true, false); open {
		c.write(carrier.Call{Method: http.MethodGet}, Response{Refused: true, Status: r.status, Reason: r.reason, RetryAfter: r.retryAfter}, true)
	}
	c.lingerAndClose()
}

// lingerAndClose discards input behind the last request until lingerTime after the last
// response, at most lingerBytes, and closes the connection.
func (c *conn) lingerAndClose() {
	c.limit.Remaining = lingerBytes
	c.state.linger(c.raw)
	c.discardInput()
	_ = c.raw.Close()
}

// discardInput reads and discards input until the read fails.
func (c *conn) discardInput() {
	buffer := make([]byte, 512)
	for {
		if _, err := c.reader.Read(buffer); err != nil {
			return
		}
	}
}
