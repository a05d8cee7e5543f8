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

const publicPrefix = "/public/"

var (
	gold   = accountSpec{Name: "gold", Keys: []string{"k-gold-1", "k-gold-2"}}
	silver = accountSpec{Name: "silver", Keys: []string{"k-silver-1"}, Priority: 1}
)

// accountRoutes returns the routes of the tests of accounts.
func accountRoutes() []routeSpec {
	public := idempotent(publicPrefix, "a")
	public.Public = true
	return []routeSpec{idempotent(readPrefix, "a"), nonIdempotent(orderPrefix, "b"), public}
}

// withFields adds header fields to the text of a request.
func withFields(request string, fields ...string) string {
	return strings.Replace(request, "\r\n\r\n", "\r\n"+strings.Join(append(fields, ""), "\r\n")+"\r\n", 1)
}

func bearing(key string) string { return "Authorization: Token " + key }

// callWith makes a call with additional header fields.
func callWith(n *mesh.Node, path, id string, fields ...string) mesh.Response {
	conn, err := n.Connect()
	if err != nil {
		return mesh.Response{Err: err}
	}
	defer func() { _ = conn.Close() }()
	if err := conn.Send(withFields(mesh.Request(http.MethodGet, host, path, id, time.Second), fields...)); err != nil {
		return mesh.Response{Err: err}
	}
	return conn.Receive(http.MethodGet)
}

// headerOfRun returns the header with which an upstream got a call.
func headerOfRun(m *mesh.Mesh, id string) http.Header {
	for _, n := range m.Nodes {
		for _, header := range n.Upstream.Headers() {
			if header.Get("X-Request-Id") == id {
				return header
			}
		}
	}
	return nil
}

// allLogs returns the log output of all nodes.
func allLogs(m *mesh.Mesh) string {
	var b strings.Builder
	for _, n := range m.Nodes {
		b.WriteString(n.Log.String())
	}
	return b.String()
}

// Guards against calls served without a key, as an account that the client named itself, and against
// keys that reach an upstream.
func TestKeyDecidesAccountOfCall(t *testing.T) {
	cases := []struct {
		path, account string
		fields        []string
		status        int
		reason        string
	}{
		{readPrefix, "gold", []string{bearing("k-gold-1")}, 200, ""},
		{readPrefix, "gold", []string{bearing("k-gold-2"), "X-Tenant-Id: silver", "x_tenant_id: silver"}, 200, ""},
		{orderPrefix, "silver", []string{"authorization: token  k-silver-1"}, 200, ""},
		{readPrefix, "", nil, 401, "keyMissing"},
		{readPrefix, "", []string{"X-Tenant-Id: gold"}, 401, "keyMissing"},
		{readPrefix, "", []string{bearing("k-gold-3")}, 401, "keyUnknown"},
		{readPrefix, "", []string{bearing("k-gold-1 ") + "x"}, 401, "keyUnknown"},
		{readPrefix, "", []string{"Authorization: Basic k-gold-1"}, 401, "keyMissing"},
		{readPrefix, "", []string{bearing("k-gold-1"), bearing("k-silver-1")}, 401, "keyMissing"},
		{publicPrefix, "", []string{"X-Tenant-Id: gold"}, 200, ""},
		{publicPrefix, "", []string{bearing("k-none")}, 200, ""},
		{publicPrefix, "silver", []string{bearing("k-silver-1")}, 200, ""},
		{"/none/", "", nil, 404, "noRoute"},
	}
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		configureAccounts(m, 2, []accountSpec{gold, silver}, accountRoutes()...)
		time.Sleep(3 * time.Second)
		for i, c := range cases {
			id := fmt.Sprintf("key-%d", i)
			response := callWith(m.Nodes[i%len(m.Nodes)], c.path, id, c.fields...)
			So(response.Status, ShouldEqual, c.status)
			if c.status != http.StatusOK {
				So(response.Body, ShouldEqual, c.reason+"\n")
				So(response.Header.Get("WWW-Authenticate") == "Token", ShouldEqual, c.status == http.StatusUnauthorized)
				So(runCount(m, id), ShouldEqual, 0)
				continue
			}
			header := headerOfRun(m, id)
			So(header.Get("X-Tenant-Id"), ShouldEqual, c.account)
			So(header, ShouldNotContainKey, "Authorization")
			So(header, ShouldNotContainKey, "X_tenant_id")
		}
		So(allLogs(m), ShouldNotContainSubstring, "k-gold")
		So(allLogs(m), ShouldNotContainSubstring, "k-silver")
	})
}

// Guards a deployment whose configuration has no accounts: its callers' header fields are its own.
func TestWithoutAccountsHeadersAreForwarded(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		So(callWith(m.Nodes[0], readPrefix, "free", bearing("k"), "X-Tenant-Id: t").Status, ShouldEqual, http.StatusOK)
		header := headerOfRun(m, "free")
		So(header.Get("X-Tenant-Id"), ShouldEqual, "t")
		So(header.Get("Authorization"), ShouldEqual, "Token k")
	})
}

// Guards against a removed key that still works because a connection was opened, or a request was
// pipelined behind others, before; and against queued calls that are lost when their key is removed.
func TestRemovedKeyIsRefusedOnOpenConnections(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		configureAccounts(m, 2, []accountSpec{gold, silver}, accountRoutes()...)
		time.Sleep(3 * time.Second)
		n := nodesOf(m, "b")[0]
		nodesOf(m, "a")[0].Upstream.SetBehaviour(1500*time.Millisecond, nil)
		conn, err := n.Connect()
		So(err, ShouldBeNil)
		request := func(id string) string {
			return withFields(mesh.Request(http.MethodGet, host, readPrefix, id, 5*time.Second), bearing("k-gold-2"))
		}
		// Two calls have a slot, two wait for one.
		for i := range 4 {
			So(conn.Send(request(fmt.Sprintf("before-%d", i))), ShouldBeNil)
		}
		time.Sleep(50 * time.Millisecond)
		changed := gold
		changed.Keys = gold.Keys[:1]
		configureAccounts(m, 3, []accountSpec{changed, silver}, accountRoutes()...)
		time.Sleep(2500 * time.Millisecond)
		So(conn.Send(request("after")), ShouldBeNil)
		for range 4 {
			So(conn.Receive(http.MethodGet).Status, ShouldEqual, http.StatusOK)
		}
		So(conn.Receive(http.MethodGet).Status, ShouldEqual, http.StatusUnauthorized)
		So(runCount(m, "after"), ShouldEqual, 0)
		So(callWith(n, readPrefix, "other-key", bearing("k-gold-1")).Status, ShouldNotEqual, http.StatusUnauthorized)
		So(conn.Close(), ShouldBeNil)
	})
}

// Guards against nested calls that are refused for want of a key, which no upstream has, and against
// a 401 that an upstream can't act on when the node beside it was restarted in between.
func TestNestedCallsHaveAccountOfParent(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		// Calls of this route run once, so that one node is restarted once.
		configureAccounts(m, 2, []accountSpec{gold, silver}, append(accountRoutes(), nonIdempotent("/once/", "a"))...)
		time.Sleep(3 * time.Second)
		var mu sync.Mutex
		nested := map[string]mesh.Response{}
		restart := func(*mesh.Node) {}
		for _, n := range nodesOf(m, "a") {
			n.Upstream.SetBehaviour(10*time.Millisecond, func(_ http.ResponseWriter, r *http.Request) bool {
				restart(n)
				id := r.Header.Get("X-Request-Id") + ".1"
				response := n.Call(http.MethodGet, host, orderPrefix, id, time.Second)
				mu.Lock()
				defer mu.Unlock()
				nested[id] = response
				return false
			})
		}
		n := m.Nodes[0]
		So(callWith(n, readPrefix, "p1", bearing("k-silver-1")).Status, ShouldEqual, http.StatusOK)
		So(nested["p1.1"].Status, ShouldEqual, http.StatusOK)
		So(headerOfRun(m, "p1.1").Get("X-Tenant-Id"), ShouldEqual, "silver")
		So(callWith(n, publicPrefix, "p2").Status, ShouldEqual, http.StatusOK)
		So(nested["p2.1"].Status, ShouldEqual, http.StatusOK)
		So(headerOfRun(m, "p2.1"), ShouldNotContainKey, "X-Tenant-Id")
		// The call is tried again at the other upstream, whose node keeps running.
		var restarted sync.Once
		restart = func(n *mesh.Node) {
			restarted.Do(func() {
				n.Kill()
				_ = n.Start()
			})
			time.Sleep(3 * time.Second)
		}
		callWith(n, "/once/", "p3", bearing("k-silver-1"))
		time.Sleep(5 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		So(nested["p3.1"].Status, ShouldEqual, http.StatusServiceUnavailable)
		So(nested["p3.1"].Body, ShouldEqual, "parentUnknown\n")
		So(nested["p3.1"].Header.Get("Retry-After"), ShouldNotBeEmpty)
		So(runCount(m, "p3.1"), ShouldEqual, 0)
	})
}

// Guards against keys that an error shows, as those of a configuration that can't be decoded.
func TestInvalidAccountsShowNoKeys(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		configureAccounts(m, 2, []accountSpec{gold}, accountRoutes()...)
		time.Sleep(3 * time.Second)
		for i, tenants := range []string{
			`[{"name":"a","api_keys":["k-leak"]},{"name":"b","api_keys":["k-leak"]}]`,
			`[{"name":"a","api_keys":"k-leak"}]`, `[{"name":"a","api_keys":["k-leak",7.25]}]`,
			`[{"name":"a\r\nX-Evil: 1","api_keys":["k-leak"]}]`, `[{"name":"a","api_keys":["k-leak"],"rate_per_s":"k-leak"}]`,
			`[{"name":"a","api_keys":["k-leak"]`, `{"k-leak":1}`,
		} {
			m.Store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"listeners":[],"tenants":%s}`, 3+i, tenants))
			time.Sleep(3 * time.Second)
			So(m.Nodes[0].Proxy.Version(), ShouldEqual, 2)
		}
		So(allLogs(m), ShouldContainSubstring, `"event":"unusable"`)
		So(allLogs(m), ShouldContainSubstring, "has a key that is in the list already")
		So(allLogs(m), ShouldNotContainSubstring, "k-leak")
		So(allLogs(m), ShouldNotContainSubstring, "7.25")
		So(callWith(m.Nodes[0], readPrefix, "still", bearing("k-gold-1")).Status, ShouldEqual, http.StatusOK)
	})
}

// Guards against an order of calls by the route's priority alone.
func TestAccountPriorityGoesBeforeRoutePriority(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		urgent := idempotent("/urgent/", "a")
		urgent.Priority, urgent.Attempts = 0, 1
		configureAccounts(m, 2, []accountSpec{gold, silver}, append(accountRoutes(), urgent)...)
		time.Sleep(3 * time.Second)
		nodesOf(m, "a")[0].Upstream.SetBehaviour(100*time.Millisecond, nil)
		var mu sync.Mutex
		var ended []string
		var calls sync.WaitGroup
		call := func(path, key, id string) {
			calls.Go(func() {
				response := callWith(m.Nodes[1], path, id, bearing(key))
				mu.Lock()
				defer mu.Unlock()
				ended = append(ended, fmt.Sprint(id, " ", response.Status))
			})
			time.Sleep(time.Millisecond)
		}
		for i := range 6 {
			call("/urgent/", "k-silver-1", fmt.Sprintf("silver-%d", i))
		}
		call(readPrefix, "k-gold-1", "gold")
		calls.Wait()
		// Two calls had a slot already.
		So(ended[2:4], ShouldContain, "gold 200")
	})
}
