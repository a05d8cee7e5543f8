package forwarder

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/coder"
)

const (
	// dialTimeout bounds the opening of a connection to another node.
	dialTimeout = 700 * time.Millisecond
	// connectWait is how long a call waits for a connection to be opened. It can
	// still go to another node then.
	connectWait = 200 * time.Millisecond
	// probeAfter is the silence on a connection with open calls after which it
	// is probed, and probeTimeout the further silence after which it is dead.
	probeAfter   = 200 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
)

var (
	// errSilent says that a connection carries nothing any more.
	errSilent = errors.New("the connection has gone silent")
	// errNotSent says that nothing of a call was written.
	errNotSent = errors.New("the connection had ended before the call was sent")
	// errNoConnection says that a connection was not opened in time.
	errNoConnection = errors.New("no connection was opened in time")
)

// monitored is a connection that knows when it was last heard of.
type monitored struct {
	net.Conn
	heard atomic.Int64
	// writes counts the attempts to write.
	writes atomic.Int64
}

// Write implements net.Conn.
func (m *monitored) Write(b []byte) (int, error) {
	m.writes.Add(1)
	return m.Conn.Write(b)
}

// Read implements net.Conn.
func (m *monitored) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	if n > 0 {
		m.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

func (m *monitored) silence(since time.Time) time.Duration {
	last := time.Unix(0, m.heard.Load())
	if last.Before(since) {
		last = since
	}
	return time.Since(last)
}

// link is one connection to a peer.
type link struct {
	*rpc.Client
	conn   *monitored
	probed atomic.Int64
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// peer is the way to one node. Its link is opened when it is needed.
type peer struct {
	address   string
	connectTo Dial
	// silent is called when a link was given up for its silence.
	silent func(address string)

	mu   sync.Mutex
	link *link
	// dialing is closed when the attempt that is under way has ended.
	dialing chan struct{}
	// hung says that attempts get no answer. Calls do not wait for such a node; they
	// have it tried again beside them.
	hung bool
	err  error
}

// connect returns the open link or opens one. Concurrent calls share one attempt.
func (p *peer) connect(ctx context.Context) (*link, error) {
	p.mu.Lock()
	if p.link != nil {
		defer p.mu.Unlock()
		return p.link, nil
	}
	if p.dialing == nil {
		p.dialing = make(chan struct{})
		go p.dial(p.dialing)
	}
	wait, hung := p.dialing, p.hung
	p.mu.Unlock()
	if hung {
		return nil, errNoConnection
	}
	timer := time.NewTimer(connectWait)
	defer timer.Stop()
	select {
	case <-wait:
	case <-timer.C:
		p.setHung(wait)
		return nil, errNoConnection
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil {
		return nil, p.err
	}
	return p.link, nil
}

// setHung notes that an attempt which still is under way gets no answer.
func (p *peer) setHung(attempt chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialing == attempt {
		p.hung = true
	}
}

func (p *peer) dial(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.connectTo(ctx, p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(done)
	p.dialing, p.err = nil, err
	p.hung = ctx.Err() != nil
	if err != nil {
		return
	}
	m := &monitored{Conn: conn}
	m.heard.Store(time.Now().UnixNano())
	p.link = &link{Client: rpc.NewClientWithCodec(coder.NewClientCodec(m)), conn: m}
}

// drop closes a link that failed.
func (p *peer) drop(l *link) {
	p.mu.Lock()
	if p.link == l {
		p.link = nil
	}
	p.mu.Unlock()
	_ = l.Close()
}

func (p *peer) close() {
	p.mu.Lock()
	l := p.link
	p.mu.Unlock()
	if l != nil {
		p.drop(l)
	}
}

// call makes one call on a link and watches over its silence. An error other
// than that of the context means that the link is of no use any more.
func (p *peer) call(ctx context.Context, l *link, method string, args, reply any) error {
	began := time.Now()
	written := l.conn.writes.Load()
	pending := l.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	if l.conn.writes.Load() == written {
		// Go writes before it returns, so a link without a write since has ended.
		p.drop(l)
		return errNotSent
	}
	timer := time.NewTimer(probeAfter)
	defer timer.Stop()
	for {
		select {
		case <-pending.Done:
			if pending.Error != nil {
				p.drop(l)
			}
			return pending.Error
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			silence := l.conn.silence(began)
			if silence >= probeAfter+probeTimeout {
				p.drop(l)
				p.silent(p.address)
				return errSilent
			}
			if silence >= probeAfter {
				l.probe()
			}
			timer.Reset(max(probeAfter-silence, probeTimeout/4))
		}
	}
}

// probe asks for a sign of life, at most once a probeTimeout.
func (l *link) probe() {
	now := time.Now().UnixNano()
	last := l.probed.Load()
	if now-last < int64(probeTimeout) || !l.probed.CompareAndSwap(last, now) {
		return
	}
	l.Go(serviceName+".Ping", &Empty{}, &Empty{}, make(chan *rpc.Call, 1))
}
