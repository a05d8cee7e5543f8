// Package coder implements net/rpc codecs that encode messages between nodes as
// MessagePack. Message types encode themselves with generated code. Unlike with the gob
// codec of net/rpc, a new connection exchanges no type descriptions, and a call costs
// little processor time.
package coder

import (
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"sync/atomic"

	"github.com/tinylib/msgp/msgp"

	"github.com/tamarackscale/tamarackscale/internal/kernel/limiter"
)

// bufferBytes is the size of each of a connection's two buffers. A longer message is
// written in several chunks.
const bufferBytes = 2 << 10

// Limits of what one value of a message may declare. A value beyond them fails the
// connection before its memory is allocated. Arrays need none: package unpacker
// allocates them as their elements arrive.
const (
	// maxValueBytes bounds a byte string. It exceeds the limits of bodies of requests and
	// answers, and the size of an encoded configuration.
	maxValueBytes = 17 << 20
	// maxStringBytes bounds a text, such as the value of a header field.
	maxStringBytes = 1 << 20
	// maxMessageBytes bounds a whole message: one value of the maximum size and as much of all others.
	maxMessageBytes = 2 * maxValueBytes
)

// errMessageTooLong reports a message of more than maxMessageBytes.
var errMessageTooLong = errors.New("message exceeds its size limit")

// TypeError reports a value whose type has no MessagePack encoding.
type TypeError struct{ Value any }

func (e *TypeError) Error() string {
	return fmt.Sprintf("type %T has no MessagePack encoding", e.Value)
}

// codec reads and writes the messages of one connection for both sides.
type codec struct {
	conn   io.ReadWriteCloser
	wire   *limiter.Reader
	reader *msgp.Reader
	writer *msgp.Writer
}

func newCodec(conn io.ReadWriteCloser) codec {
	wire := &limiter.Reader{Reader: conn, Remaining: maxMessageBytes, Exceeded: errMessageTooLong}
	reader := msgp.NewReaderSize(wire, bufferBytes)
	reader.SetMaxElements(maxValueBytes)
	reader.SetMaxStringLength(maxStringBytes)
	return codec{conn: conn, wire: wire, reader: reader, writer: msgp.NewWriterSize(conn, bufferBytes)}
}

// Close implements rpc.ClientCodec and rpc.ServerCodec.
func (c codec) Close() error { return c.conn.Close() }

// write writes a header, which consists of the method, the sequence number and the error
// text, and a body; a nil body is written as nil. If the body has no encoding, write
// returns a TypeError and writes nothing, so that the connection stays usable.
func (c codec) write(method string, sequence uint64, errorText string, body any) error {
	encodable, ok := body.(msgp.Encodable)
	if !ok && body != nil {
		return &TypeError{body}
	}
	if err := c.writer.WriteString(method); err != nil {
		return err
	}
	if err := c.writer.WriteUint64(sequence); err != nil {
		return err
	}
	if err := c.writer.WriteString(errorText); err != nil {
		return err
	}
	if err := c.writeBody(encodable); err != nil {
		return err
	}
	return c.writer.Flush()
}

func (c codec) writeBody(body msgp.Encodable) error {
	if body == nil {
		return c.writer.WriteNil()
	}
	return body.EncodeMsg(c.writer)
}

// readHeader reads the header that write has written.
func (c codec) readHeader() (method string, sequence uint64, errorText string, err error) {
	c.wire.Remaining = maxMessageBytes
	if method, err = c.reader.ReadString(); err != nil {
		return "", 0, "", err
	}
	if sequence, err = c.reader.ReadUint64(); err != nil {
		return "", 0, "", err
	}
	errorText, err = c.reader.ReadString()
	return method, sequence, errorText, err
}

// readBody decodes the next body into body, or skips it if body is nil.
func (c codec) readBody(body any) error {
	if body == nil {
		return c.reader.Skip()
	}
	decodable, ok := body.(msgp.Decodable)
	if !ok {
		return &TypeError{body}
	}
	return decodable.DecodeMsg(c.reader)
}

// ClientCodec implements rpc.ClientCodec.
type ClientCodec struct{ codec }

// NewClientCodec returns the codec of a connection's client side.
func NewClientCodec(conn io.ReadWriteCloser) *ClientCodec { return &ClientCodec{newCodec(conn)} }

// WriteRequest implements rpc.ClientCodec.
func (c *ClientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r.ServiceMethod, r.Seq, "", body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *ClientCodec) ReadResponseHeader(r *rpc.Response) (err error) {
	r.ServiceMethod, r.Seq, r.Error, err = c.readHeader()
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *ClientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// ServerCodec implements rpc.ServerCodec.
type ServerCodec struct {
	codec
	// pending is the number of requests, over all connections that share it, of which a
	// byte has arrived and whose response is not written yet.
	pending *atomic.Int64
	// broken is the error of the last body, if it could not be decoded.
	broken error
}

// NewServerCodec returns the codec of a connection's server side. It counts in pending the
// requests from their first byte until their response is written.
func NewServerCodec(conn io.ReadWriteCloser, pending *atomic.Int64) *ServerCodec {
	return &ServerCodec{codec: newCodec(conn), pending: pending}
}

// ReadRequestHeader implements rpc.ServerCodec. After a body that could not be decoded it
// fails, which makes net/rpc end the connection: the rest of that body must not be taken for
// a message.
func (s *ServerCodec) ReadRequestHeader(r *rpc.Request) (err error) {
	if s.broken != nil {
		return s.broken
	}
	s.wire.Remaining = maxMessageBytes
	if _, err := s.reader.R.Peek(1); err != nil {
		return err
	}
	s.pending.Add(1)
	if r.ServiceMethod, r.Seq, _, err = s.readHeader(); err != nil {
		// net/rpc writes no response.
		s.pending.Add(-1)
	}
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (s *ServerCodec) ReadRequestBody(body any) error {
	s.broken = s.readBody(body)
	return s.broken
}

// WriteResponse implements rpc.ServerCodec. net/rpc calls it once for each header that was
// read.
func (s *ServerCodec) WriteResponse(r *rpc.Response, body any) error {
	defer s.pending.Add(-1)
	if r.Error != "" {
		// The body is then a placeholder of net/rpc that has no encoding.
		body = nil
	}
	return s.write("", r.Seq, r.Error, body)
}
