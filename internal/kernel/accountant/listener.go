package accountant

import (
	"errors"
	"math"
	"net"
	"sync"
	"time"
)

const (
	// connectionBytes is the memory of a connection: two buffers of 4 KB and the stacks of two goroutines.
	connectionBytes = 24 << 10
	// minBackoff and maxBackoff bound the pause after an error of Accept, which may be that the process has
	// no descriptors left.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// refusalTime bounds the writing of a refusal.
	refusalTime = 100 * time.Millisecond
)

// Listener bounds the open connections of a listener and survives errors of Accept.
type Listener struct {
	net.Listener
	// Name is the name in metrics.
	Name    string
	account *Account
	// limit is the number of connections.
	limit int
	// refusal is written to a connection that is refused; empty for none.
	refusal []byte
	// exempt means that connections are admitted beyond the share.
	exempt bool

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// done is closed by Close.
	done      chan struct{}
	closeOnce sync.Once
}

// Listen bounds the connections of a listener to limit. Refusal is written to a connection that is refused.
func (a *Account) Listen(l net.Listener, name string, limit int, refusal string) *Listener {
	bounded := &Listener{
		Listener: l, Name: name, account: a, limit: limit, refusal: []byte(refusal), conns: map[*Conn]struct{}{},
		done: make(chan struct{}),
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listeners = append(a.listeners, bounded)
	return bounded
}

// Exempt makes the listener admit connections up to its limit although the share is in use, and returns
// it. It is for the few connections without which the process can't work.
func (l *Listener) Exempt() *Listener {
	l.exempt = true
	return l
}

// MaxConnections returns the number of connections that a fraction of the share holds.
func (a *Account) MaxConnections(fraction float64) int {
	return int(min(math.MaxInt32, fraction*float64(a.shares[Connections].limit)/connectionBytes))
}

// Listeners returns the listeners whose connections are bounded.
func (a *Account) Listeners() []*Listener {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*Listener(nil), a.listeners...)
}

// Accept implements net.Listener as AcceptConn does.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.AcceptConn()
	if err != nil {
		return nil, err
	}
	return c, nil
}

// AcceptConn accepts a connection. It returns an error only once the listener is closed. If there are as
// many connections as allowed, it closes the one that has made no progress for the longest time, and
// refuses the new one if all make progress.
func (l *Listener) AcceptConn() (*Conn, error) {
	for backoff := minBackoff; ; {
		raw, err := l.Listener.Accept()
		switch {
		case err == nil:
			backoff = minBackoff
			if c := l.admit(raw); c != nil {
				return c, nil
			}
			l.refuse(raw)
		case l.isClosed() || errors.Is(err, net.ErrClosed):
			return nil, err
		default:
			if !l.pause(backoff) {
				return nil, err
			}
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// pause waits after an error and reports whether the listener is still open.
func (l *Listener) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-l.done:
		return false
	case <-timer.C:
		return true
	}
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// admit returns the connection, or nil if there is no place for it.
func (l *Listener) admit(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, account: l.account, listener: l}
	c.progress.Begin(time.Now())
	if l.add(c) {
		return c
	}
	l.mu.Lock()
	victim := longestStalled(l.conns, time.Now(), func(*Conn) bool { return true })
	l.mu.Unlock()
	if victim == nil {
		return nil
	}
	l.account.abort(victim)
	if l.add(c) {
		return c
	}
	return nil
}

// add records a connection if the limit and the share allow it.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case len(l.conns) >= l.limit:
		return false
	case l.exempt:
		l.account.Take(Connections, connectionBytes)
	case !l.account.Reserve(Connections, connectionBytes):
		return false
	}
	l.conns[c] = struct{}{}
	l.account.mu.Lock()
	l.account.conns[c] = struct{}{}
	l.account.mu.Unlock()
	return true
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	_, known := l.conns[c]
	delete(l.conns, c)
	l.mu.Unlock()
	if !known {
		return
	}
	l.account.mu.Lock()
	delete(l.account.conns, c)
	l.account.mu.Unlock()
	l.account.Release(Connections, connectionBytes)
}

// refuse closes a connection that was not read from.
func (l *Listener) refuse(raw net.Conn) {
	l.account.Refuse(Connections)
	if len(l.refusal) > 0 {
		_ = raw.SetWriteDeadline(time.Now().Add(refusalTime))
		_, _ = raw.Write(l.refusal)
	}
	_ = raw.Close()
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Limit returns the number of connections that may be open.
func (l *Listener) Limit() int { return l.limit }

// Close implements net.Listener. Connections that are open stay open.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}
