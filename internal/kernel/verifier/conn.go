package verifier

import (
	"net"
	"sync"
)

// conn is a connection on which one request at a time is written and one answer read. It checks the heads
// of the answers as they arrive.
type conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// failed is the error of the first write that failed.
	failed error

	mu sync.Mutex
	// expecting reports whether the head of an answer is due. Head is what has arrived of it; the base bounds it.
	expecting bool
	head      []byte
	scanner   scanner
	broken    error
}

// expectAnswer makes the next bytes that arrive count as the head of an answer.
func (c *conn) expectAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expecting, c.head, c.scanner = true, nil, scanner{}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.failed == nil {
		c.failed = err
	}
	return n, err
}

// writeError waits for a write in progress and returns the error of the first that failed, or nil.
func (c *conn) writeError() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failed
}

// Read implements net.Conn. It closes the connection if a head is broken. The bytes are returned all the
// same, since the transport sends some requests again after a read that fails.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.inspect(b[:n]) != nil {
		_ = c.Close()
	}
	return n, err
}

// headError returns the *HeadError of the answers on the connection; nil if there is none.
func (c *conn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// inspect checks bytes that have arrived, and returns the *HeadError of the connection or nil.
func (c *conn) inspect(arrived []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expecting || c.broken != nil {
		return c.broken
	}
	c.head = append(c.head, arrived...)
	for c.expecting && len(c.head) > 0 {
		done, err := c.scanner.scan(c.head)
		if err != nil {
			c.broken, c.head = err, nil
			return err
		}
		if !done {
			return nil
		}
		c.expecting = IsInterim(c.head)
		c.head, c.scanner = c.head[c.scanner.size:], scanner{}
	}
	if !c.expecting {
		c.head = nil
	}
	return nil
}
