package forwarder

import (
	"net"
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
type boundedConn struct {
	net.Conn
	timeout time.Duration
}

// Write implements net.Conn. If the peer takes no data for the timeout, the connection is
// closed, since nothing may follow a part of a message.
func (c boundedConn) Write(b []byte) (int, error) {
	for written := 0; ; {
		_ = c.SetWriteDeadline(time.Now().Add(c.timeout))
		n, err := c.Conn.Write(b[written:min(written+writeChunkBytes, len(b))])
		written += n
		if err != nil {
			_ = c.Close()
		}
		if err != nil || written == len(b) {
			return written, err
		}
	}
}
