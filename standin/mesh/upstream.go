package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Upstream plays the endpoint beside a proxy.
type Upstream struct {
	Instance string
	Service  string
	Slots    int
	// Work is how long a call takes.
	Work time.Duration
	// Behave answers in the upstream's place if it is set and returns true.
	Behave func(w http.ResponseWriter, r *http.Request) bool

	node *Node
	born int64

	mu       sync.Mutex
	seq      int64
	draining bool
	// silent upstreams report nothing.
	silent  bool
	running int
	// Most is the largest number of calls that ran at once.
	most int
	runs map[string]int
	cuts int
	seen []http.Header
}

// ServeHTTP runs a call.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	u.mu.Lock()
	instance := u.Instance
	u.mu.Unlock()
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != instance {
		w.Header().Set("X-Instance-Id", instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	u.runs[id]++
	u.running++
	u.most = max(u.most, u.running)
	u.seen = append(u.seen, r.Header.Clone())
	work, behave := u.Work, u.Behave
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	if behave != nil && behave(w, r) {
		return
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		u.mu.Lock()
		u.cuts++
		u.mu.Unlock()
		return
	}
	w.Header().Set("X-Server-Stamp", "stamp-"+instance)
	_, _ = fmt.Fprintf(w, "%s %s %s %s", instance, r.Method, r.URL.RequestURI(), body)
}

// Set changes the upstream's work and behaviour.
func (u *Upstream) Set(work time.Duration, behave func(w http.ResponseWriter, r *http.Request) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Work, u.Behave = work, behave
}

// Runs returns how often the call with an ID was run.
func (u *Upstream) Runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// Total returns how many calls were run.
func (u *Upstream) Total() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	total := 0
	for _, n := range u.runs {
		total += n
	}
	return total
}

// Most returns the largest number of calls that ran at once.
func (u *Upstream) Most() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.most
}

// Cuts returns how many calls were given up while they ran.
func (u *Upstream) Cuts() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cuts
}

// Seen returns the header of every call that was run.
func (u *Upstream) Seen() []http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]http.Header(nil), u.seen...)
}

// Drain makes the next report say that the upstream leaves.
func (u *Upstream) Drain() {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
}

// Become makes another instance answer at the address, of which the proxy hears
// nothing.
func (u *Upstream) Become(instance string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Instance, u.silent = instance, true
}

func (u *Upstream) isSilent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.silent
}

// Beat reports once to the proxy beside the upstream and returns the status.
func (u *Upstream) Beat(ctx context.Context) int {
	u.mu.Lock()
	u.seq++
	state := "ready"
	if u.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"addr": u.node.UpstreamAddress(), "born": u.born,
		"info":   map[string]any{"service": u.Service, "version": "v1", "zone": u.node.Zone, "slots": u.Slots},
		"status": map[string]any{"state": state, "seq": u.seq, "cold_left_s": 0},
	})
	instance := u.Instance
	u.mu.Unlock()
	if err != nil {
		return 0
	}
	return u.node.Control(ctx, "instances.heartbeat", instance, body)
}

// SignOff tells the proxy beside the upstream that it ends.
func (u *Upstream) SignOff(ctx context.Context) int {
	return u.node.Control(ctx, "instances.deregister", u.Instance, nil)
}

// Control makes a call to the proxy's control address and returns the status.
func (n *Node) Control(ctx context.Context, call, instance string, body []byte) int {
	url := fmt.Sprintf("http://%s/api/rpc?call=%s&of=%s", n.settings.Listen.Control, call, instance)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := n.client().Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}
