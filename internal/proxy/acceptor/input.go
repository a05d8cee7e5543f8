package acceptor

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

const (
	// LineBytes is what one line of a head costs beyond its bytes: its strings, its place in the map of
	// net/http and among the fields of the call. 16 KB of distinct short lines take 200 to 250 bytes a line.
	LineBytes = 256
	// headStep is the least memory that is reserved at a time for a head. It suffices for a usual head, with
	// the goroutine and the contexts of its call.
	headStep = 16 << 10
	// maxKeptHead is the largest buffer for heads that a connection keeps.
	maxKeptHead = 4 << 10
	// maxTrailerBytes bounds the trailer of a chunked body.
	maxTrailerBytes = 4 << 10
	// progressTime is the time within which a body must make progress by progressBytes or end.
	progressTime  = 5 * time.Second
	progressBytes = 4 << 10
)

// parser parses the bytes of a head.
type parser struct {
	source bytes.Reader
	reader *bufio.Reader
}

var parsers = sync.Pool{New: func() any { return &parser{reader: bufio.NewReaderSize(nil, readBufferBytes)} }}

// parseHead parses a complete head. The body of the request is not usable.
func parseHead(head []byte) (*http.Request, error) {
	p := parsers.Get().(*parser)
	defer parsers.Put(p)
	p.source.Reset(head)
	p.reader.Reset(&p.source)
	return http.ReadRequest(p.reader)
}

// readHead reads the head of a request and parses it, once its memory is reserved.
func (c *conn) readHead(limit int) (*http.Request, error) {
	c.head = c.head[:0]
	reserved, cost := int64(0), int64(0)
	for begin := 0; ; {
		piece, err := c.reader.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		cost += int64(len(piece))
		if err == nil {
			cost += LineBytes
		}
		if cost > reserved {
			step := max(cost-reserved, headStep)
			if !c.growHead(reserved, step) {
				return nil, accountant.ErrFull
			}
			reserved += step
		}
		c.head = append(c.head, piece...)
		if err != nil {
			continue
		}
		line := bytes.TrimRight(c.head[begin:], "\r\n")
		if len(line) == 0 {
			return c.parse(limit)
		}
		if !plausible(line, begin == 0) {
			return nil, headRejections.malformed
		}
		begin = len(c.head)
	}
}

// growHead reserves memory for a head. Its first step has a share of its own.
func (c *conn) growHead(reserved, step int64) bool {
	if reserved > 0 {
		return c.memory.Grow(accountant.Heads, step)
	}
	_, ok := c.memory.GrowFrom(accountant.SmallHeads, accountant.Heads, step)
	return ok
}

// Classifier is implemented by handlers for whose urgent calls a part of the memory is kept.
type Classifier interface {
	// IsUrgent reports whether a request is among the most urgent ones and not idempotent.
	IsUrgent(host, target string) bool
}

// IsUrgent reports whether the request whose body is being read is urgent.
func (c *conn) IsUrgent() bool {
	classifier, ok := c.acceptor.handler.(Classifier)
	return ok && classifier.IsUrgent(c.request.Host, c.request.RequestURI)
}

// plausible reports whether a line may be one of a head, so that other input is refused before its end.
func plausible(line []byte, first bool) bool {
	if first {
		return bytes.Count(line, []byte(" ")) >= 2
	}
	return line[0] == ' ' || line[0] == '\t' || bytes.IndexByte(line, ':') >= 0
}

// parse parses the head that was read.
func (c *conn) parse(limit int) (*http.Request, error) {
	request, err := parseHead(c.head)
	length := len(c.head)
	if cap(c.head) > maxKeptHead {
		c.head = nil
	}
	switch {
	case err != nil:
		return nil, headRejections.malformed
	case length > limit && headBytes(request) > limit:
		return nil, headRejections.tooLarge
	}
	return request, nil
}

// fieldBytes is what one field of a call holds, beyond what the parsing of its line takes.
const fieldBytes = 96

// decode returns the call of a request. What its head took beyond the fields and the handling of the call
// is released.
func (c *conn) decode(request *http.Request, body []byte) carrier.Call {
	call := c.acceptor.dialect.DecodeCall(request, body)
	c.memory.Keep(accountant.Heads, int64(len(call.Fields))*fieldBytes+headStep)
	return call
}

// readBody reads a body that is not empty into memory that is reserved as it arrives.
func (c *conn) readBody(request *http.Request, limit int64) ([]byte, error) {
	c.limit.Remaining = maxChunkOverhead*limit + readBufferBytes
	c.raw.Begin()
	input := &progressing{conn: c, source: c.reader, end: time.Now().Add(bodyTimeout)}
	sizes := accountant.BodySizes
	sizes.Urgency, c.request = c, request
	defer func() { c.request = nil }()
	if request.ContentLength > 0 {
		return c.memory.ReadAll(input, sizes, request.ContentLength, limit)
	}
	input.source = httputil.NewChunkedReader(c.reader)
	body, err := c.memory.ReadAll(input, sizes, -1, limit)
	if err != nil {
		return nil, err
	}
	return body, skipTrailer(c.reader)
}

// skipTrailer reads the lines behind the last chunk, up to the empty one. It takes no line that net/http
// would not: another reader of the same bytes may take it for the begin of the next request.
func skipTrailer(r *bufio.Reader) error {
	var trailer []byte
	for len(trailer) <= maxTrailerBytes {
		line, err := r.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return bodyRejections.malformed
		case err != nil:
			return err
		case !bytes.HasSuffix(line, []byte("\r\n")):
			return bodyRejections.malformed
		}
		trailer = append(trailer, line...)
		if len(line) == len("\r\n") {
			return checkTrailer(trailer)
		}
	}
	return bodyRejections.malformed
}

// checkTrailer reports a trailer that is not a list of fields.
func checkTrailer(trailer []byte) error {
	if len(trailer) == len("\r\n") {
		return nil
	}
	if _, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(trailer))).ReadMIMEHeader(); err != nil {
		return bodyRejections.malformed
	}
	return nil
}

// progressing reads a body. A read times out if the body has made no progress of progressBytes within
// progressTime, or at its end.
type progressing struct {
	conn   *conn
	source io.Reader
	// end is when the body must have ended, checked when its progress is looked at next.
	end     time.Time
	checked time.Time
	// read is what was read since the last look.
	read int
}

// Read implements io.Reader.
func (p *progressing) Read(b []byte) (int, error) {
	// Each deadline costs processor time, so it is moved only when half of it has passed.
	if now := time.Now(); p.checked.IsZero() || p.read >= progressBytes && p.checked.Sub(now) < progressTime/2 {
		p.read, p.checked = 0, now.Add(progressTime)
		if p.checked.After(p.end) {
			p.checked = p.end
		}
		_ = p.conn.raw.SetReadDeadline(p.checked)
	}
	n, err := p.source.Read(b)
	p.read += n
	return n, err
}

// handle returns the response to a call, which is a refusal while there is no memory for answers.
func (c *conn) handle(ctx context.Context, t task) Response {
	if c.acceptor.stopping.Load() && !c.acceptor.handler.Nested(t.call) {
		return stoppingResponse
	}
	account := c.acceptor.account
	if !account.Obtain(accountant.SmallAnswers, 0) || !account.Obtain(accountant.Answers, 0) {
		return memoryResponse
	}
	return c.acceptor.handler.Handle(ctx, t.call, t.received)
}

var memoryResponse = Response{
	Refused: true, Status: memoryRejection.status, Reason: memoryRejection.reason, RetryAfter: memoryRejection.retryAfter,
}

// answerCost returns the memory of an answer.
func answerCost(a carrier.Answer) int64 { return int64(cap(a.Body)) + int64(len(a.Fields))*LineBytes }
