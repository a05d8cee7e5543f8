package accountant

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stallTime is how long a connection must have made no progress before it is closed for others.
	stallTime = 300 * time.Millisecond
	// slowTime is how long a connection may go on at less than slowBytes in progressWindow.
	slowTime       = time.Second
	slowBytes      = 1 << 10
	progressWindow = time.Second
	// reliefPause is the least time between two searches for a connection to close.
	reliefPause = time.Millisecond
	// writePieceBytes is written at a time, so that the progress of a long write shows.
	writePieceBytes = 64 << 10
)

// Progress measures what a connection has transferred lately. The current time is an argument.
type Progress struct {
	// last is the time of the last transfer, or of the begin of the current one.
	last time.Time
	// began is when the current phase has begun: an idle time, a request or a response.
	began time.Time
	// window is the begin of the current window, bytes what was transferred in it and former what was
	// transferred in the one before.
	window        time.Time
	bytes, former int64
}

// Begin begins a phase.
func (p *Progress) Begin(now time.Time) { *p = Progress{last: now, began: now, window: now} }

// Add counts a transfer.
func (p *Progress) Add(n int64, now time.Time) {
	if elapsed := now.Sub(p.window); elapsed >= progressWindow {
		p.former = 0
		if elapsed < 2*progressWindow {
			p.former = p.bytes
		}
		p.window, p.bytes = now, 0
	}
	p.bytes += n
	p.last = now
}

// Stalled reports whether there was no progress for stallTime, or hardly any for slowTime, and when the
// last progress was. A slow transfer counts from its begin.
func (p *Progress) Stalled(now time.Time) (time.Time, bool) {
	if now.Sub(p.last) >= stallTime {
		return p.last, true
	}
	if now.Sub(p.began) >= slowTime && p.bytes+p.former < slowBytes {
		return p.began, true
	}
	return time.Time{}, false
}

// Conn is a connection whose progress is measured.
type Conn struct {
	net.Conn
	account  *Account
	listener *Listener
	// held is the memory that is held on behalf of the connection, by purpose.
	held [purposes]atomic.Int64

	mu       sync.Mutex
	progress Progress
	// busy is the number of calls of the connection that are being handled, writing is set while data is
	// written. A connection that waits for the node is not closed for lack of progress.
	busy    int
	writing bool
	closed  bool
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.progress.Add(int64(n), time.Now())
		c.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (written int, err error) {
	c.mu.Lock()
	c.writing = true
	c.progress.Begin(time.Now())
	c.mu.Unlock()
	for {
		var n int
		n, err = c.Conn.Write(b[written:min(written+writePieceBytes, len(b))])
		written += n
		c.mu.Lock()
		c.progress.Add(int64(n), time.Now())
		done := err != nil || written == len(b)
		c.writing = !done
		c.mu.Unlock()
		if done {
			return written, err
		}
	}
}

// Begin begins a phase whose progress counts anew, such as a request.
func (c *Conn) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.Begin(time.Now())
}

// AddBusy adds to the number of calls that are being handled.
func (c *Conn) AddBusy(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy += n
}

// CloseWrite closes the write side if the network supports that.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	again := c.closed
	c.closed = true
	c.mu.Unlock()
	if !again {
		c.listener.remove(c)
	}
	return err
}

// stalled reports whether the connection may be closed for others, and since when it makes no progress.
func (c *Conn) stalled(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy > 0 && !c.writing {
		return time.Time{}, false
	}
	return c.progress.Stalled(now)
}

// relieve closes the connection that holds memory of the purpose and has made no progress for the longest
// time. It reports whether it has, or did lately, so that memory is about to be released.
func (a *Account) relieve(p Purpose, now time.Time) bool {
	a.mu.Lock()
	var victim *Conn
	if now.Sub(a.lastRelief) >= reliefPause {
		a.lastRelief = now
		victim = longestStalled(a.conns, now, func(c *Conn) bool { return a.competes(c, p) })
	}
	if victim != nil {
		a.lastClosed[p] = now
	}
	closing := now.Sub(a.lastClosed[p]) < reliefTime
	a.mu.Unlock()
	a.abort(victim)
	return closing
}

func (a *Account) abort(victim *Conn) {
	if victim != nil {
		a.closed.Add(1)
		_ = victim.Close()
	}
}

// longestStalled returns the connection without progress for the longest time; nil if all make some.
func longestStalled(conns map[*Conn]struct{}, now time.Time, eligible func(*Conn) bool) (victim *Conn) {
	var oldest time.Time
	for c := range conns {
		if !eligible(c) {
			continue
		}
		if since, stalled := c.stalled(now); stalled && (victim == nil || since.Before(oldest)) {
			victim, oldest = c, since
		}
	}
	return victim
}

// Closed returns the number of connections that were closed for lack of progress.
func (a *Account) Closed() int64 { return a.closed.Load() }
