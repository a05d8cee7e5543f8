package forwarder

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// callWriteTimeout and replyWriteTimeout bound the writing of writeChunkBytes of a message.
	// A longer one may take as long as it needs while the peer takes data. A call can be sent
	// elsewhere, a reply can't.
	callWriteTimeout  = probeAfter + probeTimeout
	replyWriteTimeout = 3 * time.Second
	writeChunkBytes   = 16 << 10
)

// boundedConn is a connection to another node on which no write blocks for longer than timeout.
// Its writes must not be concurrent.
type boundedConn struct {
	net.Conn
	timeout time.Duration
	// armed is when the write deadline was set last.
	armed time.Time
}

// Write implements net.Conn. If the peer takes no data for the timeout, the connection is
// closed, since nothing may follow a part of a message.
func (c *boundedConn) Write(b []byte) (int, error) { return c.write(b, nil) }

// write does the same and adds the number of bytes to a total as they are written, unless that is
// nil.
func (c *boundedConn) write(b []byte, total *atomic.Int64) (int, error) {
	for written := 0; ; {
		c.arm(time.Now())
		n, err := c.Conn.Write(b[written:min(written+writeChunkBytes, len(b))])
		written += n
		if total != nil {
			total.Add(int64(n))
		}
		if err != nil {
			_ = c.Close()
		}
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// arm sets the write deadline, unless that was done just before: most messages are short and
// follow each other quickly, and each deadline costs processor time. A write has at least three
// quarters of the timeout.
func (c *boundedConn) arm(now time.Time) {
	if now.Sub(c.armed) < c.timeout/4 {
		return
	}
	c.armed = now
	_ = c.SetWriteDeadline(now.Add(c.timeout))
}
