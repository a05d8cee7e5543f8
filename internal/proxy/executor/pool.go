package executor

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection to the upstream, which is
	// on the same VM.
	dialTimeout = 500 * time.Millisecond
	// idleShare is the part of the upstream's idle timeout for which a
	// connection is used again.
	idleShare = 0.6
	// defaultIdle stands for an idle timeout that the upstream does not tell.
	defaultIdle = 2 * time.Second
	// bufferBytes is the size of a connection's buffers.
	bufferBytes = 4 << 10
)

// connection is one connection to the upstream. One call uses it at a time.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	idle    time.Duration
	lastUse time.Time
	// fresh says that no call was answered on it yet.
	fresh bool
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// pool keeps idle connections to one address, the latest used on top.
type pool struct {
	connect Dial

	mu      sync.Mutex
	address string
	idle    []*connection
}

func newPool(connect Dial) *pool { return &pool{connect: connect} }

// get returns an idle connection that is sound as far as can be seen, or a new one.
func (p *pool) get(ctx context.Context, address string, now time.Time) (*connection, error) {
	for {
		c := p.pop(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if now.Sub(c.lastUse) < c.idle && quiet(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *pool) pop(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != address {
		p.dropLocked()
		p.address = address
	}
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *pool) dial(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return &connection{
		Conn: conn, reader: bufio.NewReaderSize(conn, bufferBytes), writer: bufio.NewWriterSize(conn, bufferBytes),
		idle: defaultIdle, fresh: true,
	}, nil
}

// put keeps a connection for the next call.
func (p *pool) put(c *connection, address string, idle time.Duration, now time.Time) {
	if idle > 0 {
		c.idle = time.Duration(idleShare * float64(idle))
	}
	c.lastUse, c.fresh = now, false
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != address || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// drop closes every idle connection.
func (p *pool) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLocked()
}

func (p *pool) dropLocked() {
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// quiet says whether a connection that nobody uses is open and has sent nothing:
// bytes that come unasked belong to no call.
func quiet(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = access.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		open = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
