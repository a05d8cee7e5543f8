package verifier

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// resettingConn is a connection that is reset while a request is written, after a part of the answer. The
// write takes the report of the reset, so that the reader sees an ordinary end of the stream.
type resettingConn struct {
	net.Conn
	answer io.Reader
	// begun is closed once a part of the request was written, answered once the caller has the head of the
	// answer, taken once the write has failed.
	begun, answered, taken chan struct{}
	writes                 int
	fail                   sync.Once
}

// Write implements net.Conn.
func (c *resettingConn) Write(b []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		close(c.begun)
		return len(b), nil
	}
	<-c.answered
	c.fail.Do(func() { close(c.taken) })
	return 0, syscall.ECONNRESET
}

// Read implements net.Conn.
func (c *resettingConn) Read(b []byte) (int, error) {
	<-c.begun
	n, err := c.answer.Read(b)
	if err == io.EOF {
		<-c.taken
	}
	return n, err
}

// Close implements net.Conn.
func (c *resettingConn) Close() error { return nil }

func TestBodyIsNotWholeIfWriteTookTheReset(t *testing.T) {
	Convey("An upload is answered without a length and reset", t, func() {
		conn := &resettingConn{
			answer: bytes.NewReader([]byte("HTTP/1.1 200 OK\r\n\r\nthe first part")),
			begun:  make(chan struct{}), answered: make(chan struct{}), taken: make(chan struct{}),
		}
		transport := New(&http.Transport{
			DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
		})
		request, err := http.NewRequest(http.MethodPost, "http://10.0.0.1/", bytes.NewReader(make([]byte, 1<<20)))
		So(err, ShouldBeNil)
		response, err := transport.RoundTrip(request)
		So(err, ShouldBeNil)
		close(conn.answered)
		body, err := io.ReadAll(response.Body)
		So(string(body), ShouldEqual, "the first part")
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
		So(response.Body.Close(), ShouldBeNil)
	})
}
