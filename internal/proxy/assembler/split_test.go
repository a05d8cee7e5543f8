package assembler_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

// splitWindow is the number of calls over which the shares of a split are counted, and maxSplitError
// how far a share may be from its weight.
const (
	splitWindow   = 200
	maxSplitError = 0.2
)

// restartInTurn stops and starts the nodes of a mesh one after the other until all are done or the
// channel is closed.
func restartInTurn(m *mesh.Mesh, ended <-chan struct{}) {
	for _, n := range m.Nodes {
		select {
		case <-ended:
			return
		case <-time.After(200 * time.Millisecond):
		}
		n.Proxy.Stop("test")
		restart(n)
	}
}

// sharesOf returns the least and the greatest share of one service over all windows of calls.
func sharesOf(ran []string, service string) (least, greatest float64) {
	least = 1
	for i := 0; i+splitWindow <= len(ran); i++ {
		count := 0
		for _, s := range ran[i : i+splitWindow] {
			if s == service {
				count++
			}
		}
		share := float64(count) / splitWindow
		least, greatest = min(least, share), max(greatest, share)
	}
	return least, greatest
}

// All nodes restart in turn while versions come into force that leave a split as it is. Starting nodes
// that began at the same place, or a version that began the split anew, would shift its shares.
func TestSplitIsKeptWhileNodesRestartAndVersionsChange(t *testing.T) {
	inMesh(t, []string{"x", "x", "y", "y", "z", "z"}, func(m *mesh.Mesh) {
		split := nonIdempotent(orderPrefix, "")
		split.Split = map[string]int{"a": 50, "b": 50}
		for _, n := range m.Nodes {
			n.Upstream.SetBehaviour(50*time.Millisecond, nil)
		}
		configure(m, 5, split)
		time.Sleep(propagationTime)
		ended := make(chan struct{})
		go restartInTurn(m, ended)
		const calls, spacing, callsPerVersion = 1400, 28 * time.Millisecond, 36
		var mu sync.Mutex
		var ran []string
		var pending sync.WaitGroup
		for i := range calls {
			if i%callsPerVersion == 0 {
				configure(m, 6+i, split)
			}
			if n := m.Nodes[i%len(m.Nodes)]; n.Ready() {
				id := fmt.Sprintf("call-%d", i)
				pending.Go(func() {
					if n.Call(http.MethodPost, host, orderPrefix, id, time.Second).Status != http.StatusOK {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					ran = append(ran, nodeThatRan(m, id).Upstream.Service)
				})
			}
			time.Sleep(spacing)
		}
		pending.Wait()
		close(ended)
		So(len(ran), ShouldBeGreaterThan, calls/2)
		least, greatest := sharesOf(ran, "a")
		So(least, ShouldBeGreaterThan, 0.5-maxSplitError)
		So(greatest, ShouldBeLessThan, 0.5+maxSplitError)
	})
}

// The upstreams of one service of a split refuse most calls, and callers send them again. The calls
// must stay with that service: what does not fit there may be refused, but not move to the other.
func TestRefusedCallsOfSplitDoNotMoveToOtherService(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		split := nonIdempotent(orderPrefix, "")
		split.Split = map[string]int{"a": 50, "b": 50}
		configure(m, 5, split)
		time.Sleep(propagationTime)
		for _, n := range nodesOf(m, "a") {
			n.Upstream.SetBehaviour(0, func(w http.ResponseWriter, _ *http.Request) bool {
				w.Header().Set("X-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			})
		}
		const calls = 400
		served := 0
		for i := range calls {
			n := m.Nodes[i%len(m.Nodes)]
			for attempt := range 2 {
				id := fmt.Sprintf("call-%d-%d", i, attempt)
				if n.Call(http.MethodPost, host, fmt.Sprintf("%s%d", orderPrefix, i), id, time.Second).Status == http.StatusOK {
					served++
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
		So(served, ShouldBeBetweenOrEqual, calls/2-len(m.Nodes), calls/2+len(m.Nodes))
	})
}
