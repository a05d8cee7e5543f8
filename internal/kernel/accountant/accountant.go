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
	// SmallHeads is their first kilobytes with the handling of the call. Large heads can't take this share.
	SmallHeads
	// Bodies is bodies of requests beyond SmallBytes, until their response is written.
	Bodies
	// SmallBodies is bodies of requests up to SmallBytes. Large bodies can't take this share.
	SmallBodies
	// Messages is messages of other nodes beyond SmallBytes, until the reply is written.
	Messages
	// SmallMessages is the handling of messages of other nodes. Large messages can't take this share.
	SmallMessages
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
	case SmallMessages:
		return "smallMessages"
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

// fractions of the memory beyond BaseBytes that are kept for one purpose each. What is large shares
// poolFraction. The sum leaves a sixth for garbage that is not collected yet, for stacks and for the
// fragmentation of the heap.
var fractions = [purposes]float64{Connections: 0.20, SmallHeads: 0.02, SmallBodies: 0.05, SmallMessages: 0.03, SmallAnswers: 0.04, Urgent: 0.03}

const poolFraction = 0.47

// poolFractions bound what one purpose may take of the pool, so that bodies leave room for the messages and
// answers without which they would not be released. At 184 MB, the memory of the smallest VM, each holds an
// input of 16 MiB.
var poolFractions = [purposes]float64{Heads: 0.3, Bodies: 0.75, Messages: 0.5, Answers: 0.5}

// unlimited is the limit of each share if the memory of the process is unknown.
const unlimited = math.MaxInt64 / 2

// share is the memory of one purpose in bytes. The padding keeps shares in cache lines of their own.
type share struct {
	limit   int64
	used    atomic.Int64
	refused atomic.Int64
	// pool is the share that the memory counts in too; nil if there is none.
	pool *share
	_    [32]byte
}

// Account holds the shares. It is safe for concurrent use; its zero value is not usable.
type Account struct {
	shares [purposes]share
	pool   share

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
	rest := float64(max(memory-BaseBytes, 0))
	a.pool.limit = limitOf(memory, poolFraction*rest)
	for p := range a.shares {
		share := &a.shares[p]
		share.limit = limitOf(memory, (fractions[p]+poolFraction*poolFractions[p])*rest)
		if poolFractions[p] > 0 {
			share.pool = &a.pool
		}
	}
	return a
}

// limitOf returns a limit in bytes; none if the memory of the process is unknown.
func limitOf(memory int64, limit float64) int64 {
	if memory <= 0 {
		return unlimited
	}
	return int64(limit)
}

// Reserve reserves n bytes for a purpose, or none if they do not fit into its share.
func (a *Account) Reserve(p Purpose, n int64) bool {
	s := &a.shares[p]
	if !s.reserve(n) {
		return false
	}
	if s.pool != nil && !s.pool.reserve(n) {
		s.used.Add(-n)
		return false
	}
	return true
}

func (s *share) reserve(n int64) bool {
	if s.used.Add(n) <= s.limit {
		return true
	}
	s.used.Add(-n)
	return false
}

// add counts n bytes that are in use, or are not any more if n is negative.
func (s *share) add(n int64) {
	s.used.Add(n)
	if s.pool != nil {
		s.pool.used.Add(n)
	}
}

// Take reserves n bytes of memory that is in use already, even beyond the share.
func (a *Account) Take(p Purpose, n int64) { a.shares[p].add(n) }

// Release releases n bytes that were reserved or taken.
func (a *Account) Release(p Purpose, n int64) {
	if n == 0 {
		return
	}
	a.shares[p].add(-n)
	if a.waiting.Load() > 0 {
		select {
		case a.released <- struct{}{}:
		default:
		}
	}
}

// competes reports whether a connection holds memory that a reservation for the purpose needs: of that
// purpose, or of any that shares its pool.
func (a *Account) competes(c *Conn, p Purpose) bool {
	if c.held[p].Load() > 0 {
		return true
	}
	if a.shares[p].pool == nil {
		return false
	}
	for other := range a.shares {
		if a.shares[other].pool != nil && c.held[other].Load() > 0 {
			return true
		}
	}
	return false
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
	Name string
	// Used and Limit are in bytes; Limit is 0 if there is none.
	Used, Limit int64
	// Refused is the number of refusals.
	Refused int64
}

// Usage returns the use of a share.
func (a *Account) Usage(p Purpose) Usage { return a.shares[p].usage(p.String()) }

// Pool returns the use of the memory that heads, bodies, messages and answers share.
func (a *Account) Pool() Usage { return a.pool.usage("pool") }

func (s *share) usage(name string) Usage {
	u := Usage{Name: name, Used: s.used.Load(), Limit: s.limit, Refused: s.refused.Load()}
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

// Holds reports whether anything is held for a purpose.
func (r *Reservation) Holds(p Purpose) bool { return r.held[p] > 0 }

// Keep releases what is held for a purpose beyond n bytes.
func (r *Reservation) Keep(p Purpose, n int64) {
	if excess := r.held[p] - n; excess > 0 {
		r.Shrink(p, excess)
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
