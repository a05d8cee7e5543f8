package acceptor

import (
	"net"
	"sync"
	"time"
)

// state records what a connection owes its caller, which decides when it may be closed. It
// is safe for concurrent use.
type state struct {
	mu sync.Mutex
	// reading is set from the first byte of a request until the request is pending.
	reading bool
	// pending is the number of calls whose response is not written yet.
	pending int
	// lastResponse is when the last response was written, or when the connection was accepted.
	lastResponse time.Time
	// retired is set when the connection is to be closed as soon as it is idle, lastLook when the
	// reading goroutine waits for the last time before that.
	retired  bool
	lastLook bool
	// ended is set when the last response is being written or the writing of one has failed.
	// No call is accepted and no response written after that.
	ended bool
}

// retireDelay is how long a retired connection is still read. A read that begins after its
// deadline fails although a request has arrived that the process had no time to read.
const retireDelay = 100 * time.Millisecond

// deadline returns the end of a timeout that begins at start; the zero time, which is no
// deadline, if the timeout is not positive.
func deadline(start time.Time, timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return start.Add(timeout)
}

// retire makes the wait for the next request time out once the connection is idle. A read that
// has received data returns it, whatever the deadline.
func (s *state) retire(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	if s.pending == 0 && !s.reading {
		s.armEndLocked(conn)
	}
}

// arm sets the read deadline for the wait for the next request. A caller that waits for a
// response is not idle. The reading goroutine calls it before each wait.
func (s *state) arm(conn net.Conn, idleTimeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.pending > 0:
		_ = conn.SetReadDeadline(deadline(time.Now(), idleTimeout))
	case s.ended || s.retired:
		s.armEndLocked(conn)
		s.lastLook = true
	default:
		_ = conn.SetReadDeadline(deadline(s.lastResponse, idleTimeout))
	}
}

// armEndLocked sets the read deadline of a connection that is to be closed: lingerTime after its
// last response, or retireDelay from now if it is only retired. The caller holds s.mu.
func (s *state) armEndLocked(conn net.Conn) {
	if s.ended {
		_ = conn.SetReadDeadline(s.lastResponse.Add(lingerTime))
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(retireDelay))
}

// expired reports whether a wait that has timed out was the last one. A retired connection and
// one that was idle for too long are read once more: the process may have been stalled until the
// deadline had passed, and not have looked at a request that has arrived.
func (s *state) expired(idleTimeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending > 0 {
		return false
	}
	if s.ended {
		return true
	}
	s.retired = s.retired || time.Since(s.lastResponse) >= idleTimeout
	return s.retired && s.lastLook
}

// beginRead records that the first byte of a request was read.
func (s *state) beginRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = true
}

// abandon records that reading a request has failed. It reports whether one was being read.
func (s *state) abandon() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	reading := s.reading
	s.reading = false
	return reading
}

// accept records that the request that was read is pending. It returns false if the last
// response is being written, after which no call may run.
func (s *state) accept() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	s.reading = false
	s.pending++
	return true
}

// beginResponse reports whether a response may be written, and whether it is the last one: if
// the connection is to be closed anyway, or if the node is stopping and no other call is pending
// or being read.
func (s *state) beginResponse(closes, stopping bool) (last, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false, false
	}
	s.ended = closes || (stopping && s.pending == 1 && !s.reading)
	return s.ended, true
}

// settle records that the response to a call was written or can't be.
func (s *state) settle(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
	s.lastResponse = time.Now()
	if s.ended || (s.retired && s.pending == 0 && !s.reading) {
		s.armEndLocked(conn)
	}
}

// end records that no response can be written any more.
func (s *state) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// linger sets the read deadline after the caller's last request. There is none while its
// response is pending; settle sets it then.
func (s *state) linger(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	timeout := lingerTime
	if s.pending > 0 {
		timeout = 0
	}
	_ = conn.SetReadDeadline(deadline(time.Now(), timeout))
}
