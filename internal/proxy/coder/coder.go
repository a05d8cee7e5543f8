// Package coder is the form in which nodes talk: net/rpc over MessagePack. The types
// of messages know their own form, by generated code, so that a new connection needs
// no exchange of types, and a call little processor time.
package coder

import (
	"fmt"
	"io"
	"net/rpc"

	"github.com/tinylib/msgp/msgp"
)

// bufferBytes is the size of each of a connection's two buffers. Longer messages are
// written in parts.
const bufferBytes = 2 << 10

// TypeError says that a value has no form on the wire.
type TypeError struct{ Value any }

func (e *TypeError) Error() string {
	return fmt.Sprintf("values of type %T have no form on the wire", e.Value)
}

// stream is one connection.
type stream struct {
	conn   io.ReadWriteCloser
	reader *msgp.Reader
	writer *msgp.Writer
}

func newStream(conn io.ReadWriteCloser) stream {
	return stream{
		conn: conn, reader: msgp.NewReaderSize(conn, bufferBytes), writer: msgp.NewWriterSize(conn, bufferBytes),
	}
}

// Close implements rpc.ClientCodec and rpc.ServerCodec.
func (s stream) Close() error { return s.conn.Close() }

// write writes a head of three parts and a body; nil stands for no body. Nothing of
// a message that has no form is written.
func (s stream) write(text string, sequence uint64, failure string, body any) error {
	encodable, ok := body.(msgp.Encodable)
	if !ok && body != nil {
		return &TypeError{body}
	}
	if err := s.writer.WriteString(text); err != nil {
		return err
	}
	if err := s.writer.WriteUint64(sequence); err != nil {
		return err
	}
	if err := s.writer.WriteString(failure); err != nil {
		return err
	}
	if err := s.writeBody(encodable); err != nil {
		return err
	}
	return s.writer.Flush()
}

func (s stream) writeBody(body msgp.Encodable) error {
	if body == nil {
		return s.writer.WriteNil()
	}
	return body.EncodeMsg(s.writer)
}

func (s stream) readHead() (text string, sequence uint64, failure string, err error) {
	if text, err = s.reader.ReadString(); err != nil {
		return "", 0, "", err
	}
	if sequence, err = s.reader.ReadUint64(); err != nil {
		return "", 0, "", err
	}
	failure, err = s.reader.ReadString()
	return text, sequence, failure, err
}

// readBody reads a body, or away if it is nil.
func (s stream) readBody(body any) error {
	if body == nil {
		return s.reader.Skip()
	}
	decodable, ok := body.(msgp.Decodable)
	if !ok {
		return &TypeError{body}
	}
	return decodable.DecodeMsg(s.reader)
}

// Client is the form of the calling side.
type Client struct{ stream }

// NewClient returns the codec of a connection's calling side.
func NewClient(conn io.ReadWriteCloser) *Client { return &Client{newStream(conn)} }

// WriteRequest implements rpc.ClientCodec.
func (c *Client) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r.ServiceMethod, r.Seq, "", body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *Client) ReadResponseHeader(r *rpc.Response) (err error) {
	r.ServiceMethod, r.Seq, r.Error, err = c.readHead()
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *Client) ReadResponseBody(body any) error { return c.readBody(body) }

// Server is the form of the answering side.
type Server struct{ stream }

// NewServer returns the codec of a connection's answering side.
func NewServer(conn io.ReadWriteCloser) *Server { return &Server{newStream(conn)} }

// ReadRequestHeader implements rpc.ServerCodec.
func (s *Server) ReadRequestHeader(r *rpc.Request) (err error) {
	r.ServiceMethod, r.Seq, _, err = s.readHead()
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (s *Server) ReadRequestBody(body any) error { return s.readBody(body) }

// WriteResponse implements rpc.ServerCodec.
func (s *Server) WriteResponse(r *rpc.Response, body any) error {
	if r.Error != "" {
		body = nil
	}
	return s.write("", r.Seq, r.Error, body)
}
