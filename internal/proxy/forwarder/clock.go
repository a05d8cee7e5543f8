package forwarder

import (
	"sync"
	"time"
)

const (
	// maxClockDrift is by how much the steady clocks of two VMs may drift apart, as a fraction of
	// the time. The kernel slews a clock by up to 500 ppm.
	maxClockDrift = 1e-3
	// readingLifetime is how long an attempt may rely on a reading of the receiver's clock. An
	// older one is replaced by another exchange first, since its allowance for drift has become
	// too large.
	readingLifetime = 30 * time.Second
)

// clockEstimate is a lower bound of the steady clock of a receiver process, by the steady clock of
// the sender. The readings of both count from the start of their processes. It does no I/O.
type clockEstimate struct {
	// offset is at most the difference between the receiver's clock and the sender's at the
	// sender's time takenAt.
	offset  time.Duration
	takenAt time.Duration
	// lastAt is when the last reading was received.
	lastAt time.Duration
	known  bool
}

// observe adds a reading of the receiver's clock that was taken between two times of the sender:
// when the request was sent and when the reply was received.
func (c *clockEstimate) observe(reading, sent, received time.Duration) {
	lowest, highest := reading-received, reading-sent
	// An estimate above the highest possible offset shows that the receiver's clock has lost
	// time, as one does while its VM is suspended.
	if current := c.offsetAt(received); !c.known || current > highest || lowest > current {
		c.offset, c.takenAt = lowest, received
	}
	c.known, c.lastAt = true, received
}

// offsetAt returns the offset after allowing for drift since it was taken.
func (c *clockEstimate) offsetAt(now time.Duration) time.Duration {
	return c.offset - time.Duration(maxClockDrift*float64(now-c.takenAt))
}

// isCurrent reports whether the estimate can be relied on now.
func (c *clockEstimate) isCurrent(now time.Duration) bool {
	return c.known && now-c.lastAt <= readingLifetime
}

// remoteClock is the clock of the receiver process at one address. It is safe for concurrent use.
type remoteClock struct {
	mu sync.Mutex
	// process is the start time of the process, in Unix nanoseconds.
	process  int64
	estimate clockEstimate
}

// observe adds a reading of the clock of a process. The estimate begins anew with each process.
func (c *remoteClock) observe(process int64, reading, sent, received time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if process != c.process {
		c.process, c.estimate = process, clockEstimate{}
	}
	c.estimate.observe(reading, sent, received)
}

// isCurrent reports whether the estimate for a process can be relied on now.
func (c *remoteClock) isCurrent(process int64, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return process == c.process && c.estimate.isCurrent(now)
}

// convert returns a time of the sender by the clock of a process. It reports false if another
// process has replaced that one.
func (c *remoteClock) convert(process int64, t, now time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if process != c.process || !c.estimate.known {
		return 0, false
	}
	return t + c.estimate.offsetAt(now), true
}
