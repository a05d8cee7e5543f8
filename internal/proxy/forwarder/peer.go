package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/tamarackscale/tamarackscale/internal/proxy/coder"
)

const (
	// dialTimeout bounds the opening of a connection to another node.
	dialTimeout = 700 * time.Millisecond
	// connectTimeout is how long a call waits for a connection to be opened. It is shorter
	// than dialTimeout, so that the call can still be sent to another node.
	connectTimeout = 200 * time.Millisecond
	// probeAfter is how long a connection with pending calls may receive no data before
	// it is probed, and probeTimeout how much longer before it is closed as unresponsive.
	probeAfter   = 200 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// lookInterval is the interval between looks for data on a silent connection.
	lookInterval = probeTimeout / 4
	// maxSilentLooks is the number of looks in probeTimeout, and maxSilentLooksLarge that on the
	// connection for large bodies. On that one, a probe and its reply wait for the bodies that
	// are on the way already, so it may be silent for two seconds.
	maxSilentLooks      = int(probeTimeout / lookInterval)
	maxSilentLooksLarge = int(2 * time.Second / lookInterval)
	// largeBufferBytes is the size of the kernel's send buffer on the connection for large bodies.
	// What it holds can't be withdrawn when its caller leaves.
	largeBufferBytes = 64 << 10
	// abandonBytes is the rest of a message above which its connection is closed when its context
	// ends while it is being written. A shorter rest is written, since the other attempts on the
	// connection would have to be sent again.
	abandonBytes = 1 << 20
)

var (
	// errUnresponsive reports that a connection received no data, not even a reply to a
	// probe.
	errUnresponsive = errors.New("connection is unresponsive")
	// errNotSent reports that no byte of a call was written.
	errNotSent = errors.New("call was not sent")
	// errClosed is the errNotSent of a connection that was closed before.
	errClosed = fmt.Errorf("%w: connection was closed before", errNotSent)
	// errTooLate is the errNotSent of a call whose deadline had passed before its turn.
	errTooLate = fmt.Errorf("%w: deadline has passed", errNotSent)
	// errNoConnection reports that no connection was opened within connectTimeout.
	errNoConnection = errors.New("timed out waiting for a connection")
)

// monitoredConn is a connection that records when it last received data and counts the
// writes. It measures times from opened, so that a jump of the time of day is no silence.
type monitoredConn struct {
	boundedConn
	opened time.Time
	// lastRead is the time of the last read that returned data, in nanoseconds after opened.
	lastRead atomic.Int64
	// writes counts the calls of Write. It shows whether a call was written at all.
	writes atomic.Int64
	// written is the number of bytes that the calls of Write have written.
	written atomic.Int64
}

// Write implements net.Conn.
func (m *monitoredConn) Write(b []byte) (int, error) {
	m.writes.Add(1)
	return m.boundedConn.write(b, &m.written)
}

// Read implements net.Conn.
func (m *monitoredConn) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	if n > 0 {
		m.received(time.Now())
	}
	return n, err
}

// received records that data was received.
func (m *monitoredConn) received(now time.Time) { m.lastRead.Store(int64(now.Sub(m.opened))) }

// idleTime returns how long the connection has received no data, counted from since if
// that is later than the last read.
func (m *monitoredConn) idleTime(since, now time.Time) time.Duration {
	last := m.opened.Add(time.Duration(m.lastRead.Load()))
	if last.Before(since) {
		last = since
	}
	return now.Sub(last)
}

// connection is an open connection to a peer with its RPC client.
type connection struct {
	*rpc.Client
	conn *monitoredConn
	// lastProbe is the time of the last probe, in nanoseconds after conn was opened.
	lastProbe atomic.Int64
	// writing is a semaphore that is held while a message is being written. net/rpc would make the
	// others wait for a mutex, which ignores the end of their contexts.
	writing chan struct{}
	// identifying holds an element while the first exchange is under way. Once identified is set,
	// process is the start time of the receiver's process, unless earlier is set: the receiver is
	// of an earlier release, which does not state its clock.
	identifying chan struct{}
	identified  atomic.Bool
	process     int64
	earlier     bool
}

// acquireWrite waits until no other message is being written. It returns an errNotSent if the context
// ends or the time until has passed before; a zero time never does. Otherwise releaseWrite must be
// called.
func (l *connection) acquireWrite(ctx context.Context, until time.Time) error {
	select {
	case l.writing <- struct{}{}:
	case <-ctx.Done():
		return withdrawn(ctx)
	}
	switch {
	case ctx.Err() != nil:
		l.releaseWrite()
		return withdrawn(ctx)
	case !until.IsZero() && time.Now().After(until):
		l.releaseWrite()
		return errTooLate
	}
	return nil
}

func (l *connection) releaseWrite() { <-l.writing }

// withdrawn returns the errNotSent of a call whose context has ended.
func withdrawn(ctx context.Context) error { return fmt.Errorf("%w: %w", errNotSent, ctx.Err()) }

// Dial opens a connection to an address of the form host:port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// peer holds the connection to one node, which is opened on demand.
type peer struct {
	address  string
	dialFunc Dial
	// onUnresponsive is called when a connection was closed as unresponsive.
	onUnresponsive func(address string)
	// large marks the connection for large bodies.
	large bool

	mu         sync.Mutex
	connection *connection
	// dialing is closed when the dial in progress has ended; nil if there is none.
	dialing chan struct{}
	// abandoned is the channel of the last dial that was in progress when the peer was closed.
	abandoned chan struct{}
	// unresponsive reports that dials time out. Calls to such a node do not wait for a
	// connection: they start a dial in the background if none is in progress, and fail at
	// once.
	unresponsive bool
	// err is the error of the last dial.
	err error
}

// connect returns the open connection or opens one. Concurrent calls share one dial. The
// error is that of the dial or the context, or errNoConnection.
func (p *peer) connect(ctx context.Context) (*connection, error) {
	p.mu.Lock()
	if p.connection != nil {
		defer p.mu.Unlock()
		return p.connection, nil
	}
	if p.dialing == nil {
		p.dialing = make(chan struct{})
		go p.dial(p.dialing)
	}
	dialDone, unresponsive := p.dialing, p.unresponsive
	p.mu.Unlock()
	if unresponsive {
		return nil, errNoConnection
	}
	timer := time.NewTimer(connectTimeout)
	defer timer.Stop()
	select {
	case <-dialDone:
	case <-timer.C:
		p.markUnresponsive(dialDone)
		return nil, errNoConnection
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connection != nil {
		return p.connection, nil
	}
	if p.err == nil {
		// The new connection was closed already, by another call or with the peer.
		return nil, errNoConnection
	}
	return nil, p.err
}

// markUnresponsive marks the peer as unresponsive if the dial of done is in progress.
func (p *peer) markUnresponsive(done chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialing == done {
		p.unresponsive = true
	}
}

// dial opens a connection and closes done when it has succeeded or failed.
func (p *peer) dial(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dialFunc(ctx, p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(done)
	p.dialing, p.err = nil, err
	p.unresponsive = ctx.Err() != nil
	if err != nil {
		return
	}
	if p.abandoned == done {
		_ = conn.Close()
		return
	}
	if buffered, ok := conn.(interface{ SetWriteBuffer(bytes int) error }); ok && p.large {
		// Without the smaller buffer the connection works too.
		_ = buffered.SetWriteBuffer(largeBufferBytes)
	}
	p.connection = newConnection(conn, time.Now())
}

// newConnection starts an RPC client on a connection that was opened just now.
func newConnection(conn net.Conn, now time.Time) *connection {
	m := &monitoredConn{boundedConn: boundedConn{Conn: conn, timeout: callWriteTimeout}, opened: now}
	l := &connection{
		Client: rpc.NewClientWithCodec(coder.NewClientCodec(m)), conn: m,
		writing: make(chan struct{}, 1), identifying: make(chan struct{}, 1),
	}
	l.lastProbe.Store(-int64(probeTimeout))
	return l
}

// drop closes a connection, so that the next call opens a new one.
func (p *peer) drop(l *connection) {
	p.mu.Lock()
	if p.connection == l {
		p.connection = nil
	}
	p.mu.Unlock()
	_ = l.Close()
}

// close closes the connection, or the one that is being opened as soon as it is open.
func (p *peer) close() {
	p.mu.Lock()
	l := p.connection
	if p.dialing != nil {
		p.abandoned = p.dialing
	}
	p.mu.Unlock()
	if l != nil {
		p.drop(l)
	}
}

// result returns the error of a call that has ended, and closes the connection if it has
// failed.
func (p *peer) result(l *connection, err error) error {
	if err == nil || isServerError(err) {
		return err
	}
	p.drop(l)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		p.onUnresponsive(p.address)
		return errUnresponsive
	}
	return err
}

// isServerError reports whether an error is the peer's reply to a call. The connection on
// which it arrived is sound, and other calls may be in flight on it.
func isServerError(err error) bool {
	var replied rpc.ServerError
	return errors.As(err, &replied)
}

// call makes one call on a connection, which it probes while no data arrives. The message is not
// written if the context ends or the time until passes before its turn. After an error other than
// that of the context or one that the peer replied, the connection is closed.
func (p *peer) call(ctx context.Context, l *connection, method string, args, reply any, until time.Time) error {
	pending, err := p.write(ctx, l, method, args, reply, until)
	if err != nil {
		return err
	}
	return p.await(ctx, l, pending)
}

// write writes the message of a call when it is its turn. A long message is written on after its
// context has ended, but write then returns.
func (p *peer) write(ctx context.Context, l *connection, method string, args, reply any, until time.Time) (*rpc.Call, error) {
	if err := l.acquireWrite(ctx, until); err != nil {
		return nil, err
	}
	if !p.large {
		defer l.releaseWrite()
		return p.writeNow(l, method, args, reply)
	}
	var pending *rpc.Call
	var err error
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer l.releaseWrite()
		defer p.abandonLong(ctx, l, args)()
		pending, err = p.writeNow(l, method, args, reply)
	}()
	select {
	case <-written:
		return pending, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// abandonLong closes the connection if the context ends while more than abandonBytes of a message are
// left to write. The returned function ends that.
func (p *peer) abandonLong(ctx context.Context, l *connection, args any) func() bool {
	message, ok := args.(msgp.Sizer)
	if !ok {
		return func() bool { return true }
	}
	end := l.conn.written.Load() + int64(message.Msgsize())
	return context.AfterFunc(ctx, func() {
		if end-l.conn.written.Load() > abandonBytes {
			p.drop(l)
		}
	})
}

// writeNow writes the message of a call. The caller holds the semaphore.
func (p *peer) writeNow(l *connection, method string, args, reply any) (*rpc.Call, error) {
	writesBefore := l.conn.writes.Load()
	pending := l.Go(qualified(method), args, reply, make(chan *rpc.Call, 1))
	if l.conn.writes.Load() == writesBefore {
		// Go writes the request before it returns, so a connection without a write since
		// then was already closed.
		p.drop(l)
		return nil, errClosed
	}
	return pending, nil
}

// await waits for the reply to a message that was written.
func (p *peer) await(ctx context.Context, l *connection, pending *rpc.Call) error {
	// A long message may take a while to write. Until then no reply to it can arrive.
	start := time.Now()
	timer := time.NewTimer(probeAfter)
	defer timer.Stop()
	for silentLooks := 0; ; {
		select {
		case <-pending.Done:
			return p.result(l, pending.Error)
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			now := time.Now()
			idleTime := l.conn.idleTime(start, now)
			if idleTime < probeAfter {
				silentLooks = 0
				timer.Reset(max(probeAfter-idleTime, lookInterval))
				continue
			}
			// The first silent look probes. If this process was stalled, the reply to it
			// still has the whole probeTimeout, since the looks count and not the time.
			if silentLooks++; silentLooks > p.maxSilentLooks() {
				p.drop(l)
				p.onUnresponsive(p.address)
				return errUnresponsive
			}
			if !l.probe(now) {
				// A write fails by itself if the peer takes no data.
				silentLooks = 0
			}
			timer.Reset(lookInterval)
		}
	}
}

func (p *peer) maxSilentLooks() int {
	if p.large {
		return maxSilentLooksLarge
	}
	return maxSilentLooks
}

// probe pings the peer if that is due. It returns false if another message is being written.
func (l *connection) probe(now time.Time) bool {
	select {
	case l.writing <- struct{}{}:
	default:
		return false
	}
	defer l.releaseWrite()
	if l.probeDue(now) {
		l.Go(serviceName+".Ping", &Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	}
	return true
}

// probeDue reports whether the peer is to be pinged now, at most once per probeTimeout. Any
// received data shows that the connection is alive.
func (l *connection) probeDue(now time.Time) bool {
	at := int64(now.Sub(l.conn.opened))
	last := l.lastProbe.Load()
	return at-last >= int64(probeTimeout) && l.lastProbe.CompareAndSwap(last, at)
}
