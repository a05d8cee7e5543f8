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

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

const (
	// readBuffer and writeBuffer are the sizes of a connection's buffers.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// maxPipelined bounds the calls of one connection that are in flight.
	maxPipelined = 64
	// writeTimeout bounds the writing of an answer to a caller that reads slowly.
	writeTimeout = 30 * time.Second
	// lingerTime is how long a connection that we end is read on, so that what
	// the caller still sends does not reset the answer away.
	lingerTime = 500 * time.Millisecond
)

// errHeaderTooLarge says that a request head exceeds its limit.
var errHeaderTooLarge = errors.New("the request head is too large")

// task is one call on its way through a connection.
type task struct {
	call     carrier.Call
	received time.Time
	// last says that the caller wants no further answer on the connection.
	last bool
	// previous is closed when the answer before this one is written, written when
	// this one is.
	previous, written chan struct{}
}

// conn is one caller's connection. One goroutine reads requests and one answers
// them; while that one is busy, a further goroutine answers each call that comes.
type conn struct {
	a      *Acceptor
	raw    net.Conn
	limit  *limitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	// open counts the calls without a written answer.
	open atomic.Int64
	// ended is set when an answer said that it is the last one.
	ended atomic.Bool
	slots chan struct{}
	work  chan task
	// waiting says that a goroutine takes calls from work.
	waiting atomic.Bool
}

// limitedReader fails once more than its allowance was read.
type limitedReader struct {
	io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(b)) > l.left {
		b = b[:l.left]
	}
	n, err := l.Reader.Read(b)
	l.left -= int64(n)
	return n, err
}

func newConn(a *Acceptor, raw net.Conn) *conn {
	limit := &limitedReader{Reader: raw}
	return &conn{
		a: a, raw: raw, limit: limit, reader: bufio.NewReaderSize(limit, readBuffer),
		writer: bufio.NewWriterSize(raw, writeBuffer), slots: make(chan struct{}, maxPipelined),
		work: make(chan task),
	}
}

// serve reads requests until the connection ends. The end of what the caller
// sends counts as its leaving: calls that are in flight are cancelled.
func (c *conn) serve() {
	ctx, leave := context.WithCancel(context.Background())
	defer c.a.forget(c)
	defer close(c.work)
	previous := make(chan struct{})
	close(previous)
	for {
		request, body, err := c.next()
		if err != nil {
			c.finish(err, previous)
			leave()
			return
		}
		received := time.Now()
		if c.ended.Load() {
			c.finish(net.ErrClosed, previous)
			leave()
			return
		}
		call := c.a.dialect.DecodeCall(request, body)
		c.slots <- struct{}{}
		written := make(chan struct{})
		c.open.Add(1)
		c.a.inFlight.Add(1)
		c.begin(ctx, task{call: call, received: received, last: request.Close, previous: previous, written: written})
		previous = written
		if request.Close {
			c.awaitEnd()
			leave()
			return
		}
	}
}

// next reads one request with its body.
func (c *conn) next() (*http.Request, []byte, error) {
	limits := c.a.handler.Limits()
	c.limit.left = int64(limits.MaxHeaderBytes) + readBuffer
	c.deadline(limits.IdleTimeout)
	for {
		if _, err := c.reader.Peek(1); err != nil {
			if c.open.Load() > 0 && isTimeout(err) {
				// The caller waits for answers; that is no idleness.
				c.deadline(limits.IdleTimeout)
				continue
			}
			return nil, nil, err
		}
		break
	}
	c.deadline(limits.HeaderTimeout)
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, nil, c.classify(err)
	}
	if headBytes(request) > limits.MaxHeaderBytes {
		return nil, nil, &rejection{http.StatusRequestHeaderFieldsTooLarge, "headerTooLarge"}
	}
	body, err := c.body(request, limits.MaxBodyBytes)
	c.deadline(0)
	return request, body, err
}

func (c *conn) body(request *http.Request, limit int64) ([]byte, error) {
	if request.ContentLength > limit {
		return nil, &rejection{http.StatusRequestEntityTooLarge, string(carrier.BodyTooLarge)}
	}
	c.limit.left = limit + readBuffer
	if request.ContentLength == 0 {
		return nil, nil
	}
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	c.deadline(bodyTimeout)
	body, err := io.ReadAll(request.Body)
	if errors.Is(err, errHeaderTooLarge) {
		return nil, &rejection{http.StatusRequestEntityTooLarge, string(carrier.BodyTooLarge)}
	}
	return body, err
}

// bodyTimeout bounds the reading of one request's body.
const bodyTimeout = 30 * time.Second

func (c *conn) deadline(d time.Duration) {
	at := time.Time{}
	if d > 0 {
		at = time.Now().Add(d)
	}
	_ = c.raw.SetReadDeadline(at)
}

// rejection is a request that is answered without being read whole.
type rejection struct {
	status int
	reason string
}

func (r *rejection) Error() string { return r.reason }

func (c *conn) classify(err error) error {
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return &rejection{http.StatusRequestHeaderFieldsTooLarge, "headerTooLarge"}
	case isTimeout(err):
		return &rejection{http.StatusRequestTimeout, "headerTimeout"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return err
	}
	var broken net.Error
	if errors.As(err, &broken) {
		return err
	}
	return &rejection{http.StatusBadRequest, "malformedRequest"}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// headBytes is the size of a request's head, as it was sent.
func headBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// begin hands a call to the goroutine that waits for one, or to a new one.
func (c *conn) begin(ctx context.Context, t task) {
	select {
	case c.work <- t:
	default:
		go func() {
			c.answer(ctx, t)
			c.wait(ctx)
		}()
	}
}

// wait answers calls until the connection ends, or hands over to another
// goroutine that does so already.
func (c *conn) wait(ctx context.Context) {
	if !c.waiting.CompareAndSwap(false, true) {
		return
	}
	for t := range c.work {
		c.answer(ctx, t)
	}
}

// answer handles one call and writes its answer in turn.
func (c *conn) answer(ctx context.Context, t task) {
	response := stoppingResponse
	if !c.a.stopping.Load() || c.a.handler.Nested(t.call) {
		response = c.a.handler.Handle(ctx, t.call, t.received)
	}
	<-t.previous
	// A connection ends only behind the last call that was read from it.
	last := t.last || (c.a.stopping.Load() && c.open.Load() == 1)
	if !c.ended.Load() {
		c.write(t.call, response, last)
	}
	c.open.Add(-1)
	c.a.inFlight.Add(-1)
	<-c.slots
	close(t.written)
}

// stoppingPause is when the caller of a stopping node may come back.
const stoppingPause = 300 * time.Millisecond

var stoppingResponse = Response{
	Own: true, Status: http.StatusServiceUnavailable, Reason: string(carrier.Stopping), Pause: stoppingPause,
}

func (c *conn) write(call carrier.Call, r Response, last bool) {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	var err error
	if r.Own {
		err = c.a.dialect.EncodeFailure(c.writer, call, r.Status, r.Reason, r.Pause, last)
	} else {
		err = c.a.dialect.EncodeAnswer(c.writer, call, r.Answer, last)
	}
	if err != nil {
		c.ended.Store(true)
		_ = c.raw.Close()
		return
	}
	if last {
		c.ended.Store(true)
		c.closeAfterAnswer()
	}
}

// closeAfterAnswer ends our side; the reading side goes on for a moment.
func (c *conn) closeAfterAnswer() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	c.deadline(lingerTime)
}

// finish ends the connection after its answers. A rejected request is answered.
func (c *conn) finish(err error, previous chan struct{}) {
	var r *rejection
	if !errors.As(err, &r) || c.ended.Load() {
		_ = c.raw.Close()
		return
	}
	<-previous
	if !c.ended.Load() {
		c.write(carrier.Call{Method: http.MethodGet}, Response{Own: true, Status: r.status, Reason: r.reason}, true)
		c.drain()
	}
	_ = c.raw.Close()
}

// awaitEnd reads until the caller leaves after its last request.
func (c *conn) awaitEnd() {
	c.limit.left = 1 << 20
	c.drain()
	_ = c.raw.Close()
}

func (c *conn) drain() {
	buffer := make([]byte, 512)
	for {
		if _, err := c.reader.Read(buffer); err != nil {
			return
		}
	}
}
