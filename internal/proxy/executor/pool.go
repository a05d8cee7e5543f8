package executor

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/limiter"
)

const (
	// dialTimeout is the timeout for opening a connection to the upstream, which runs
	// on the same VM.
	dialTimeout = 500 * time.Millisecond
	// idleTimeoutFraction is the fraction of the upstream's idle timeout during which
	// an idle connection is reused, so that no request is sent while the upstream closes
	// the connection.
	idleTimeoutFraction = 0.6
	// defaultIdleTimeout is how long an idle connection is reused if the upstream does
	// not specify its idle timeout.
	defaultIdleTimeout = 2 * time.Second
	// maxRefusals is the number of refused calls that a connection remembers. It is closed
	// instead of being reused after more.
	maxRefusals = 256
	// bufferBytes is the size of a connection's read buffer and of its write buffer.
	bufferBytes = 4 << 10
)

// connection is one connection to the upstream. One call uses it at a time.
type connection struct {
	net.Conn
	// reader reads from wire.
	reader *bufio.Reader
	wire   *limiter.Reader
	// writer writes to written.
	writer  *bufio.Writer
	written *countingWriter
	// idle is how long the connection may be idle and still be reused.
	idle    time.Duration
	lastUse time.Time
	// refused holds the IDs of the calls that were refused on the connection. A faulty upstream
	// may write a refusal once more, which would count for another send of the same ID.
	refused map[string]struct{}
	// fresh reports whether no call has been answered on the connection yet.
	fresh bool
	// generation is that of the pool when the connection was requested.
	generation int
}

// countingWriter counts the bytes that were written to a connection.
type countingWriter struct {
	net.Conn
	count atomic.Int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.Conn.Write(b)
	w.count.Add(int64(n))
	return n, err
}

// Dial opens a connection to a network address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// pool holds idle connections to one address. The most recently used is reused first.
type pool struct {
	connect Dial

	mu      sync.Mutex
	address string
	idle    []*connection
	// generation counts the drops. A connection of an earlier generation may lead to a
	// former incarnation of the upstream, which can outlive its listener.
	generation int
}

func newPool(connect Dial) *pool { return &pool{connect: connect} }

// recordRefusal records that the call with an ID was refused on the connection.
func (c *connection) recordRefusal(id string) {
	if c.refused == nil {
		c.refused = map[string]struct{}{}
	}
	c.refused[id] = struct{}{}
}

// hasRefused reports whether the call with an ID was refused on the connection.
func (c *connection) hasRefused(id string) bool {
	_, refused := c.refused[id]
	return refused
}

// get returns an idle connection that is not known to be broken, or opens a new one. No call with
// the ID was refused on it.
func (p *pool) get(ctx context.Context, address, id string, now time.Time) (*connection, error) {
	for {
		c, generation := p.pop(address)
		if c == nil {
			return p.dial(ctx, address, generation)
		}
		if now.Sub(c.lastUse) < c.idle && !c.hasRefused(id) && isReusable(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
}

// open opens a new connection. Its parameters are those of get.
func (p *pool) open(ctx context.Context, address, _ string, _ time.Time) (*connection, error) {
	p.mu.Lock()
	generation := p.generation
	p.mu.Unlock()
	return p.dial(ctx, address, generation)
}

// pop removes and returns the most recently used connection to the address; nil if
// there is none. It also returns the generation of the pool. Connections to another address
// are closed.
func (p *pool) pop(address string) (*connection, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != address {
		p.dropLocked()
		p.address = address
	}
	if len(p.idle) == 0 {
		return nil, p.generation
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c, p.generation
}

func (p *pool) dial(ctx context.Context, address string, generation int) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	written := &countingWriter{Conn: conn}
	wire := &limiter.Reader{Reader: conn, Exceeded: errAnswerTooLarge}
	return &connection{
		Conn: conn, reader: bufio.NewReaderSize(wire, bufferBytes), wire: wire,
		writer: bufio.NewWriterSize(written, bufferBytes), written: written,
		idle: defaultIdleTimeout, fresh: true, generation: generation,
	}, nil
}

// put keeps a connection for the next call. idle is the upstream's idle timeout; 0 if it is
// not specified. A connection to an outdated address, of an earlier generation, with unread input
// or with too many refusals is closed.
func (p *pool) put(c *connection, address string, idle time.Duration, now time.Time) {
	if idle > 0 {
		c.idle = time.Duration(idleTimeoutFraction * float64(idle))
	}
	c.lastUse, c.fresh = now, false
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != address || c.generation != p.generation || c.reader.Buffered() > 0 || len(c.refused) > maxRefusals {
		_ = c.Close()
		return
	}
	p.closeExpired(now)
	p.idle = append(p.idle, c)
}

// closeExpired closes the connections that have been idle for too long to be reused. They
// are the first ones, since the most recently used are at the end. The caller holds the lock.
func (p *pool) closeExpired(now time.Time) {
	expired := 0
	for expired < len(p.idle) && now.Sub(p.idle[expired].lastUse) >= p.idle[expired].idle {
		_ = p.idle[expired].Close()
		expired++
	}
	p.idle = append(p.idle[:0], p.idle[expired:]...)
}

// drop closes all idle connections, and those in use after their call.
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
	p.generation++
}

// isReusable reports whether an idle connection is open and has no unread input, which
// would belong to no call. It reads from the non-blocking socket: if there is nothing to
// read, the connection is still open.
func isReusable(conn net.Conn) bool {
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
