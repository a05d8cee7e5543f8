package assembler_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

const (
	// limitWindow is the time over which arrivals at a limited upstream are counted, and
	// limitSettleTime how long after the first statement of a limit the count begins.
	limitWindow     = 4 * time.Second
	limitSettleTime = 3 * time.Second
)

// arrivalLog makes an upstream state a rate limit, or that it leaves, and records when calls
// arrive.
type arrivalLog struct {
	mu       sync.Mutex
	limit    string
	leaving  bool
	arrivals []time.Time
}

// watch records the arrivals at an upstream whose calls take the given time.
func (l *arrivalLog) watch(u *mesh.Upstream, work time.Duration) {
	u.SetBehaviour(work, func(w http.ResponseWriter, _ *http.Request) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.arrivals = append(l.arrivals, time.Now())
		if l.limit != "" {
			w.Header().Set("Server-Limit", l.limit)
		}
		if l.leaving {
			w.Header().Set("Server-Leaving", "1")
		}
		return false
	})
}

// state replaces the limit; empty means none.
func (l *arrivalLog) state(limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// leave makes all answers state that the upstream leaves.
func (l *arrivalLog) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// last returns when the last call arrived; zero if none did.
func (l *arrivalLog) last() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.arrivals) == 0 {
		return time.Time{}
	}
	return l.arrivals[len(l.arrivals)-1]
}

// most returns the largest number of arrivals in any limitWindow that begins after from.
func (l *arrivalLog) most(from time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, first := 0, 0
	for i, t := range l.arrivals {
		for t.Sub(l.arrivals[first]) >= limitWindow || l.arrivals[first].Before(from) && first < i {
			first++
		}
		if !t.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// total returns the number of arrivals.
func (l *arrivalLog) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.arrivals)
}

// callEvery makes a call at every node each interval for some time. It returns the calls that were
// refused and how long the slowest refusal took, when all calls have ended.
func callEvery(m *mesh.Mesh, interval, timeout, during time.Duration) (ids []string, slowest time.Duration, withoutDelay int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < during; i++ {
		for _, n := range m.Nodes {
			id := fmt.Sprintf("%d-%s-%d", start.UnixNano(), n.Name, i)
			calls.Go(func() {
				began := time.Now()
				response := n.Call(http.MethodGet, host, readPrefix, id, timeout)
				if response.Status != http.StatusServiceUnavailable {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				ids, slowest = append(ids, id), max(slowest, time.Since(began))
				if response.Header.Get("Retry-After") == "" {
					withoutDelay++
				}
			})
		}
		time.Sleep(interval)
	}
	calls.Wait()
	return ids, slowest, withoutDelay
}

// An upstream in need names the rate of calls that it takes. All nodes together must keep to it,
// whatever the limit is, and the calls that don't fit must be refused at once and truthfully.
func TestUpstreamGetsNoMoreCallsThanItsLimit(t *testing.T) {
	for _, limit := range []float64{50, 7.5, 0.3, 0} {
		inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
			limited := &arrivalLog{limit: strconv.FormatFloat(limit, 'f', -1, 64)}
			first := nodesOf(m, "a")[0]
			limited.watch(first.Upstream, 10*time.Millisecond)
			nodesOf(m, "a")[1].Upstream.SetBehaviour(20*time.Millisecond, nil)
			begin := time.Now()
			refused, slowest, withoutDelay := callEvery(m, 10*time.Millisecond, 2*time.Second, 12*time.Second)
			So(limited.most(begin.Add(limitSettleTime)), ShouldBeLessThanOrEqualTo, int(1.5*limit*limitWindow.Seconds())+5)
			So(limited.total(), ShouldBeGreaterThanOrEqualTo, int(0.9*limit*12))
			So(len(refused), ShouldBeGreaterThan, 0)
			// The target latency of the route.
			So(slowest, ShouldBeLessThan, 500*time.Millisecond)
			So(withoutDelay, ShouldEqual, 0)
			for _, id := range refused {
				So(runCount(m, id), ShouldEqual, 0)
			}
			Convey(fmt.Sprintf("and as many again once it names none any more (%v)", limit), func() {
				limited.state("")
				callEvery(m, 10*time.Millisecond, 500*time.Millisecond, 6*time.Second)
				So(limited.most(begin), ShouldBeGreaterThan, 300)
			})
		})
	}
}

// The node beside a limited upstream restarts. Its new process does not know the limit until the
// first answer, and the other nodes still send what they sent before.
func TestRestartOfNodeKeepsLimitOfItsUpstream(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		const limit = 1.0
		n, err := m.Add("x", "a", 18)
		So(err, ShouldBeNil)
		limited := &arrivalLog{limit: "1"}
		limited.watch(n.Upstream, 100*time.Millisecond)
		for _, other := range nodesOf(m, "a")[:2] {
			other.Upstream.SetBehaviour(300*time.Millisecond, nil)
		}
		time.Sleep(8 * time.Second)
		begin := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			callEvery(m, 10*time.Millisecond, 500*time.Millisecond, 12*time.Second)
		}()
		time.Sleep(6 * time.Second)
		n.Kill()
		So(n.Start(), ShouldBeNil)
		<-done
		So(limited.most(begin.Add(limitSettleTime)), ShouldBeLessThanOrEqualTo, int(1.5*limit*limitWindow.Seconds())+5)
	})
}
