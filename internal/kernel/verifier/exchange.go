package verifier

import (
	"net"
	"sync"
)

// exchange is the state of one request. The base may send it anew on another connection.
type exchange struct {
	mu   sync.Mutex
	conn *conn
	// written gets the result of writing the request on the connection.
	written chan error
}

// begin records that the request is about to be written on a connection.
func (e *exchange) begin(on net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// A connection that is not of New's dial has no *conn.
	e.conn, _ = on.(*conn)
	e.written = make(chan error, 1)
	if e.conn != nil {
		e.conn.expectAnswer()
	}
}

// wrote records the result of writing the request.
func (e *exchange) wrote(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case e.written <- err:
	default:
		// The write on a former connection has ended late. The request failed there too.
	}
}

func (e *exchange) current() (*conn, <-chan error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn, e.written
}

// headError returns the *HeadError of the answer; nil if there is none.
func (e *exchange) headError() error {
	if c, _ := e.current(); c != nil {
		return c.headError()
	}
	return nil
}

// wroteWhole reports whether the request was written whole and no write has failed. The base has closed
// the connection when a body reaches its end, so that pending writes end.
func (e *exchange) wroteWhole() bool {
	c, written := e.current()
	return <-written == nil && (c == nil || c.writeError() == nil)
}
