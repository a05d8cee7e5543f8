// Package accountant keeps one account of the memory that clients can make a process use. Memory is
// reserved from the share of its purpose before it is used and released on every way out. What does not
// fit is refused, or the connection with the least progress is closed. The load that it is for: clients
// that send legal requests of the largest size, stop short of their end and stay connected.
package accountant

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Purpose is what memory is used for.
type Purpose int

// The purposes. Each has a share of the account.
const (
	// Connections is buffers and goroutines of open connections.
	Connections Purpose = iota
	// Heads is parsed heads of requests.
	Heads
	// SmallHeads is their first kilobytes. Large heads can't take this share.
	SmallHeads
	// Bodies is bodies of requests beyond SmallBytes, until their response is written.
	Bodies
	// SmallBodies is bodies of requests up to SmallBytes. Large bodies can't take this share.
	SmallBodies
	// Messages is messages of other nodes beyond SmallBytes, until the reply is written.
	Messages
	// Answers is answers beyond SmallBytes that are read from the upstream or wait for their caller.
	Answers
	// SmallAnswers is answers up to SmallBytes. Large answers can't take this share.
	SmallAnswers
	// Urgent is bodies of the most urgent non-idempotent calls for which the other shares have no memory.
	Urgent
	purposes
)

// String returns the purpose as it is written to metrics.
func (p Purpose) String() string {
	switch p {
	case Connections:
		return "connections"
	case Heads:
		return "heads"
	case SmallHeads:
		return "smallHeads"
	case Urgent:
		return "urgent"
	case Bodies:
		return "bodies"
	case SmallBodies:
		return "smallBodies"
	case Messages:
		return "messages"
	case Answers:
		return "answers"
	case SmallAnswers:
		return "smallAnswers"
	default:
		return fmt.Sprintf("purpose%d", int(p))
	}
}

// SmallBytes is the size up to which bodies and answers have shares of their own.
const SmallBytes = 16 << 10

// BaseBytes is the memory of an idle process: the pages of its program, which count as resident memory,
// and its own state.
const BaseBytes = 28 << 20

// fractions of the memory beyond BaseBytes. Their sum leaves a sixth for garbage that is not collected
// yet, for stacks and for the fragmentation of the heap. At 184 MB, the memory of the smallest VM, bodies,
// messages and answers each hold one of 16 MiB.
var fractions = [purposes]float64{
	Connections: 0.14, Heads: 0.10, SmallHeads: 0.02, Urgent: 0.03, Bodies: 0.17, SmallBodies: 0.05, Messages: 0.12, Answers: 0.165, SmallAnswers: 0.04,
}

// unlimited is the limit of each share if the memory of the process is unknown.
const unlimited = math.MaxInt64 / 2

// share is the memory of one purpose in bytes. The padding keeps shares in cache lines of their own.
type share struct {
	limit   int64
	used    atomic.Int64
	refused atomic.Int64
	_       [40]byte
}

// Account holds the shares. It is safe for concurrent use; its zero value is not usable.
type Account struct {
	shares [purposes]share

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// lastRelief is when the connections were last searched for one to close, lastClosed when one was found
	// last, by purpose.
	lastRelief time.Time
	lastClosed [purposes]time.Time
	// released receives a value when memory is released while somebody waits for it.
	released chan struct{}
	waiting  atomic.Int64
	closed   atomic.Int64
	// listeners are those of which Listen has bounded the connections.
	listeners []*Listener
}

// New returns the account of a process that may use the given memory in bytes; 0 if that is unknown, which
// limits no share.
func New(memory int64) *Account {
	a := &Account{conns: map[*Conn]struct{}{}, released: make(chan struct{}, 1)}
	for p := range a.shares {
		a.shares[p].limit = unlimited
		if memory > 0 {
			a.shares[p].limit = int64(fractions[p] * float64(max(memory-BaseBytes, 0)))
		}
	}
	return a
}

// Reserve reserves n bytes for a purpose, or none if they do not fit into its share.
func (a *Account) Reserve(p Purpose, n int64) bool {
	s := &a.shares[p]
	if s.used.Add(n) <= s.limit {
		return true
	}
	s.used.Add(-n)
	return false
}

// Take reserves n bytes of memory that is in use already, even beyond the share.
func (a *Account) Take(p Purpose, n int64) { a.shares[p].used.Add(n) }

// Release releases n bytes that were reserved or taken.
func (a *Account) Release(p Purpose, n int64) {
	if n == 0 {
		return
	}
	a.shares[p].used.Add(-n)
	if a.waiting.Load() > 0 {
		select {
		case a.released <- struct{}{}:
		default:
		}
	}
}

// Fits reports whether n more bytes fit into the share of a purpose.
func (a *Account) Fits(p Purpose, n int64) bool {
	s := &a.shares[p]
	return s.used.Load()+n <= s.limit
}

// CanHold reports whether n bytes fit into the share of a purpose when nothing else does.
func (a *Account) CanHold(p Purpose, n int64) bool { return n <= a.shares[p].limit }

// Refuse counts a refusal for lack of memory.
func (a *Account) Refuse(p Purpose) { a.shares[p].refused.Add(1) }

const (
	// reliefTime is how long a reservation waits for the memory of a connection that is being closed.
	reliefTime = 300 * time.Millisecond
	// reliefInterval is the interval between tries of a reservation that waits.
	reliefInterval = 20 * time.Millisecond
)

// Obtain reserves n bytes like Reserve. If they do not fit, it closes the connection that holds memory of the
// purpose and has made no progress for the longest time, and waits for a short time until that is released.
// If none is being closed, what may still be refused as not run fails at once; an answer waits. It counts a
// refusal if it fails.
func (a *Account) Obtain(p Purpose, n int64) bool {
	if a.Reserve(p, n) {
		return true
	}
	if a.CanHold(p, n) && a.obtainLater(p, n) {
		return true
	}
	a.Refuse(p)
	return false
}

func (a *Account) obtainLater(p Purpose, n int64) bool {
	a.waiting.Add(1)
	defer a.waiting.Add(-1)
	patient := p == Answers || p == SmallAnswers
	for waited := time.Duration(0); waited < reliefTime; waited += reliefInterval {
		if closing := a.relieve(p, time.Now()); !closing && !patient {
			return a.Reserve(p, n)
		}
		timer := time.NewTimer(reliefInterval)
		select {
		case <-a.released:
		case <-timer.C:
		}
		timer.Stop()
		if a.Reserve(p, n) {
			return true
		}
	}
	return false
}

// Usage is the use of one share.
type Usage struct {
	Purpose Purpose
	// Used and Limit are in bytes; Limit is 0 if there is none.
	Used, Limit int64
	// Refused is the number of refusals.
	Refused int64
}

// Usage returns the use of a share.
func (a *Account) Usage(p Purpose) Usage {
	s := &a.shares[p]
	u := Usage{Purpose: p, Used: s.used.Load(), Limit: s.limit, Refused: s.refused.Load()}
	if u.Limit == unlimited {
		u.Limit = 0
	}
	return u
}

// Purposes returns all purposes.
func Purposes() []Purpose {
	all := make([]Purpose, purposes)
	for i := range all {
		all[i] = Purpose(i)
	}
	return all
}

// Reservation is what one request holds. It is not safe for concurrent use.
type Reservation struct {
	account *Account
	// conn is the connection on behalf of which the memory is held; nil if there is none.
	conn *Conn
	held [purposes]int64
}

// Open returns an empty reservation on behalf of a connection, which may be nil.
func (a *Account) Open(conn *Conn) Reservation { return Reservation{account: a, conn: conn} }

// Grow reserves n more bytes. It reports whether they fit, and counts a refusal if not.
func (r *Reservation) Grow(p Purpose, n int64) bool {
	if n > 0 && !r.account.Obtain(p, n) {
		return false
	}
	r.add(p, n)
	return true
}

// GrowFrom reserves n more bytes from the first purpose, or from the second one like Grow. It returns which
// one it was, and whether the bytes fit.
func (r *Reservation) GrowFrom(first, second Purpose, n int64) (Purpose, bool) {
	if r.account.Reserve(first, n) {
		r.add(first, n)
		return first, true
	}
	return second, r.Grow(second, n)
}

// Take adds n bytes that are in use already.
func (r *Reservation) Take(p Purpose, n int64) {
	r.account.Take(p, n)
	r.add(p, n)
}

func (r *Reservation) add(p Purpose, n int64) {
	r.held[p] += n
	if r.conn != nil {
		r.conn.held[p].Add(n)
	}
}

// Shrink releases n bytes of a purpose.
func (r *Reservation) Shrink(p Purpose, n int64) {
	r.add(p, -n)
	r.account.Release(p, n)
}

// Absorb takes over what another reservation of the same connection holds.
func (r *Reservation) Absorb(other *Reservation) {
	for p, n := range other.held {
		r.held[p] += n
		other.held[p] = 0
	}
}

// Release releases everything. It may be called more than once.
func (r *Reservation) Release() {
	for p, n := range r.held {
		if n != 0 {
			r.Shrink(Purpose(p), n)
		}
	}
}
