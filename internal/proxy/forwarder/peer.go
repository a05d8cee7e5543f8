package forwarder

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"os"
	"sync"
	"sync/atomic"
	"time"

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
)

var (
	// errUnresponsive reports that a connection received no data, not even a reply to a
	// probe.
	errUnresponsive = errors.New("connection is unresponsive")
	// errNotSent reports that no byte of a call was written.
	errNotSent = errors.New("connection was closed before the call was sent")
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
}

// Write implements net.Conn.
func (m *monitoredConn) Write(b []byte) (int, error) {
	m.writes.Add(1)
	return m.boundedConn.Write(b)
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
}

// Dial opens a connection to an address of the form host:port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// peer holds the connection to one node, which is opened on demand.
type peer struct {
	address  string
	dialFunc Dial
	// onUnresponsive is called when a connection was closed as unresponsive.
	onUnresponsive func(address string)

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
	p.connection = newConnection(conn, time.Now())
}

// newConnection starts an RPC client on a connection that was opened just now.
func newConnection(conn net.Conn, now time.Time) *connection {
	m := &monitoredConn{boundedConn: boundedConn{Conn: conn, timeout: callWriteTimeout}, opened: now}
	l := &connection{Client: rpc.NewClientWithCodec(coder.NewClientCodec(m)), conn: m}
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

// call makes one call on a connection, which it probes while no data arrives. After an
// error other than that of the context or one that the peer replied, the connection is
// closed.
func (p *peer) call(ctx context.Context, l *connection, method string, args, reply any) error {
	writesBefore := l.conn.writes.Load()
	pending := l.Go(qualified(method), args, reply, make(chan *rpc.Call, 1))
	if l.conn.writes.Load() == writesBefore {
		// Go writes the request before it returns, so a connection without a write since
		// then was already closed.
		p.drop(l)
		return errNotSent
	}
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
			if silentLooks++; silentLooks > int(probeTimeout/lookInterval) {
				p.drop(l)
				p.onUnresponsive(p.address)
				return errUnresponsive
			}
			if l.probeDue(now) {
				l.Go(serviceName+".Ping", &Empty{}, &Empty{}, make(chan *rpc.Call, 1))
			}
			timer.Reset(lookInterval)
		}
	}
}

// probeDue reports whether the peer is to be pinged now, at most once per probeTimeout. Any
// received data shows that the connection is alive.
func (l *connection) probeDue(now time.Time) bool {
	at := int64(now.Sub(l.conn.opened))
	last := l.lastProbe.Load()
	return at-last >= int64(probeTimeout) && l.lastProbe.CompareAndSwap(last, at)
}
