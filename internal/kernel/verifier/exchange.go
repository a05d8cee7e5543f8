package verifier

import (
	"net"
	"sync"
)

// exchange is the state of one request. The base may send it anew on another connection.
type exchange struct {
	mu   sync.Mutex
	conn *conn
}

// begin records that the request is about to be written on a connection.
func (e *exchange) begin(on net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// A connection that is not of New's dial has no *conn.
	e.conn, _ = on.(*conn)
	if e.conn != nil {
		e.conn.expectAnswer()
	}
}

func (e *exchange) current() *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn
}

// headError returns the *HeadError of the answer; nil if there is none.
func (e *exchange) headError() error {
	if c := e.current(); c != nil {
		return c.headError()
	}
	return nil
}
