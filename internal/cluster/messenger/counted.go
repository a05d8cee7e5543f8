package messenger

import "net"

// countedConn counts the bytes read from and written to a connection, and bounds the messages that are read.
type countedConn struct {
	net.Conn
	counter Counter
	scope   Scope
	frames  frames
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.CountBytes(c.scope, false, n)
	if frameErr := c.frames.follow(p[:n]); frameErr != nil {
		return 0, frameErr
	}
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.CountBytes(c.scope, true, n)
	return n, err
}
