package assembler_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

// resetSome runs every call, and closes the connection of half without an answer.
func resetSome(w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	if !strings.HasPrefix(id, "reset") || id[len(id)-1] > '4' {
		return false
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
	return true
}

// Guards against upstreams that run calls and reset the connections getting them again more often
// than the retry budget allows, from the callers' nodes and from their own node together.
func TestRepeatsOnResetConnectionsStayWithinRetryBudget(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		for _, zone := range []string{"x", "y"} {
			_, err := m.Add(zone, "a", 18)
			So(err, ShouldBeNil)
		}
		time.Sleep(8 * time.Second)
		for _, n := range m.Nodes {
			n.Upstream.SetBehaviour(5*time.Millisecond, resetSome)
		}
		// All calls are in one window of the budget.
		const rounds = 450
		var calls sync.WaitGroup
		for i := range rounds {
			for j, n := range m.Nodes {
				id := fmt.Sprintf("reset-%d-%d-%d", i, j, (7*i+3*j)%10)
				calls.Go(func() { n.Call(http.MethodGet, host, readPrefix, id, time.Second) })
			}
			time.Sleep(20 * time.Millisecond)
		}
		calls.Wait()
		total := rounds * len(m.Nodes)
		arrivals := 0
		for _, n := range nodesOf(m, "a") {
			arrivals += n.Upstream.Total()
		}
		So(arrivals, ShouldBeGreaterThan, total)
		So(arrivals, ShouldBeLessThanOrEqualTo, total+total/5+56)
	})
}
