// Command proxydemo runs proxies, upstreams and a stand-in of the platform's store
// in one process, sends them calls, and shows what callers get while a version
// changes, a node is killed and another one stops.
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
	// startTime is how long the nodes get to find each other.
	startTime = 6 * time.Second
	// callInterval is the pause between calls of one kind.
	callInterval = 20 * time.Millisecond
	// callTimeout is how long a caller waits.
	callTimeout = 1500 * time.Millisecond
)

// configuration is a version whose route /read/ goes to a service.
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
	kong.Parse(&o, kong.Description("Shows the proxies' path against stand-ins."))
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
			n.Upstream.Set(30*time.Millisecond, nil)
		}
	}
	fmt.Println("4 nodes in two availability zones find each other ...")
	time.Sleep(startTime)
	act(m, "calm", length, func() {})
	act(m, "version 2 moves /read/ to the other service", length, func() {
		m.Store.Put("op/config", fmt.Appendf(nil, configuration, 2, "orders"))
	})
	act(m, "the node "+m.Nodes[2].Name+" is killed", length, m.Nodes[2].Kill)
	act(m, "the node "+m.Nodes[1].Name+" stops as planned", length, func() { go m.Nodes[1].Proxy.Stop("demo") })
	fmt.Println("store calls:", m.Store.Counts())
	return nil
}

// act sends calls through the first node while something happens, and prints how
// they ended.
func act(m *mesh.Mesh, title string, length time.Duration, happen func()) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	counts := map[string]int{}
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		if i == 10 {
			happen()
		}
		for _, kind := range []struct{ method, path string }{{http.MethodGet, "/read/"}, {http.MethodPost, "/order/"}} {
			calls.Add(1)
			go func() {
				defer calls.Done()
				a := m.Nodes[0].Call(kind.method, host, kind.path, fmt.Sprintf("%s-%s-%d", title, kind.method, i), callTimeout)
				mu.Lock()
				defer mu.Unlock()
				counts[fmt.Sprintf("%s%d", kind.path, a.Status)]++
			}()
		}
		time.Sleep(callInterval)
	}
	calls.Wait()
	fmt.Printf("%-45s %v, version %d\n", title+":", counts, m.Nodes[0].Proxy.Version())
}
