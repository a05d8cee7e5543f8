// Command proxydemo runs proxies, upstreams and a stand-in of the platform's store in one
// process, sends them calls, and prints the status codes that callers receive while the
// configuration version changes, a node is killed and another one shuts down.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

const (
	// host is the host of all routes.
	host = "shop.example"
	// joinTime is how long the nodes have to find each other before calls are sent.
	joinTime = 6 * time.Second
	// callInterval is the interval between calls to one route.
	callInterval = 20 * time.Millisecond
	// callTimeout is the callers' timeout.
	callTimeout = 1500 * time.Millisecond
)

// configuration is the format of a configuration. Its arguments are the version and the
// service to which the route /read/ leads.
const configuration = `{"version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,` +
	`"idle_timeout_s":15},"listeners":[{"host":"shop.example","policy":[` +
	`{"name":"read","kind":"idempotent","target_latency_s":0.3,"priority":1,"match":{"prefix":"/read/"},` +
	`"action":{"service":"%s","timeout_s":1,"max_attempts":2}},` +
	`{"name":"order","kind":"non_idempotent","target_latency_s":0.3,"priority":0,"match":{"prefix":"/order/"},` +
	`"action":{"service":"orders","timeout_s":1,"max_attempts":2}}]}],` +
	`"clusters":[{"name":"catalogue","max_conns":50},{"name":"orders","max_conns":50}]}`

type options struct {
	Seconds int `default:"3" help:"Length of each act, in seconds."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Runs proxies against stand-ins and shows the callers' responses."))
	if err := run(time.Duration(o.Seconds) * time.Second); err != nil {
		fmt.Fprintln(os.Stderr, "proxydemo:", err)
		os.Exit(1)
	}
}

func run(length time.Duration) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m, err := mesh.New(ctx)
	if err != nil {
		return err
	}
	defer m.Close()
	m.Store.Put("op/config", fmt.Appendf(nil, configuration, 1, "catalogue"))
	for _, zone := range []string{"x", "y"} {
		for _, service := range []string{"catalogue", "orders"} {
			n, err := m.Add(zone, service, 8)
			if err != nil {
				return err
			}
			n.Upstream.SetBehaviour(30*time.Millisecond, nil)
		}
	}
	fmt.Println("4 nodes in two availability zones are starting ...")
	time.Sleep(joinTime)
	runPhase(m, "calm", length, func() {})
	runPhase(m, "version 2 moves /read/ to another service", length, func() {
		m.Store.Put("op/config", fmt.Appendf(nil, configuration, 2, "orders"))
	})
	runPhase(m, "the node "+m.Nodes[2].Name+" is killed", length, m.Nodes[2].Kill)
	runPhase(m, "the node "+m.Nodes[1].Name+" shuts down gracefully", length, func() { go m.Nodes[1].Proxy.Stop("demo") })
	fmt.Println("store calls:", m.Store.Counts())
	return nil
}

// runPhase sends calls through the first node for the given time and prints the number of
// responses by route and status code. It calls event after the first ten rounds of calls.
func runPhase(m *mesh.Mesh, title string, length time.Duration, event func()) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	counts := map[string]int{}
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		if i == 10 {
			event()
		}
		for _, kind := range []struct{ method, path string }{{http.MethodGet, "/read/"}, {http.MethodPost, "/order/"}} {
			calls.Add(1)
			go func() {
				defer calls.Done()
				response := m.Nodes[0].Call(kind.method, host, kind.path, fmt.Sprintf("%s-%s-%d", title, kind.method, i), callTimeout)
				mu.Lock()
				defer mu.Unlock()
				counts[fmt.Sprintf("%s%d", kind.path, response.Status)]++
			}()
		}
		time.Sleep(callInterval)
	}
	calls.Wait()
	fmt.Printf("%-45s %v, version %d\n", title+":", counts, m.Nodes[0].Proxy.Version())
}
