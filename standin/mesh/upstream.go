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

// Upstream is a stand-in for the upstream on a proxy's VM.
type Upstream struct {
	Instance string
	Service  string
	Slots    int
	// Version is the version that the heartbeats state.
	Version string
	// Work is the service time of a call.
	Work time.Duration
	// Behave, if not nil, is called first for each call. If it returns true, it has answered
	// the call; otherwise the call runs as usual.
	Behave func(w http.ResponseWriter, r *http.Request) bool

	node *Node
	// startedAt is the start time in milliseconds since the Unix epoch.
	startedAt int64

	mu sync.Mutex
	// seq is the sequence number of the last heartbeat.
	seq      int64
	draining bool
	// noHeartbeats stops the periodic heartbeats.
	noHeartbeats bool
	running      int
	// maxRunning is the maximum of running so far.
	maxRunning int
	// runs counts the runs of each call by request ID.
	runs map[string]int
	// cancelled counts the calls whose request was cancelled while they ran.
	cancelled int
	// headers holds the request header of each run.
	headers []http.Header
}

// ServeHTTP runs a call. It answers with status 421 and runs nothing if the call expects
// another instance. The body of the usual answer consists of the instance and
// the request's method, URI and body.
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
	u.maxRunning = max(u.maxRunning, u.running)
	u.headers = append(u.headers, r.Header.Clone())
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
		u.cancelled++
		u.mu.Unlock()
		return
	}
	w.Header().Set("X-Server-Stamp", "stamp-"+instance)
	_, _ = fmt.Fprintf(w, "%s %s %s %s", instance, r.Method, r.URL.RequestURI(), body)
}

// SetBehaviour replaces Work and Behave.
func (u *Upstream) SetBehaviour(work time.Duration, behave func(w http.ResponseWriter, r *http.Request) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Work, u.Behave = work, behave
}

// Runs returns how often the call with a request ID was run.
func (u *Upstream) Runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// Total returns the number of runs of all calls.
func (u *Upstream) Total() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	total := 0
	for _, n := range u.runs {
		total += n
	}
	return total
}

// MaxRunning returns the maximum number of calls that ran at the same time.
func (u *Upstream) MaxRunning() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxRunning
}

// Cancelled returns how many calls were cancelled while they ran.
func (u *Upstream) Cancelled() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cancelled
}

// Headers returns the request header of every run, in the order of their start.
func (u *Upstream) Headers() []http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]http.Header(nil), u.headers...)
}

// Drain makes the next heartbeats state that the upstream is draining.
func (u *Upstream) Drain() {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
}

// ReplaceInstance makes another instance serve at the address and stops the periodic heartbeats,
// so that the proxy is not notified of the change.
func (u *Upstream) ReplaceInstance(instance string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Instance, u.noHeartbeats = instance, true
}

// StopHeartbeats stops the periodic heartbeats.
func (u *Upstream) StopHeartbeats() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.noHeartbeats = true
}

func (u *Upstream) heartbeatsStopped() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.noHeartbeats
}

// Heartbeat sends one heartbeat to the proxy on the VM. It returns the status code of the
// response, or 0 if there was none.
func (u *Upstream) Heartbeat(ctx context.Context) int {
	u.mu.Lock()
	u.seq++
	state := "ready"
	if u.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"addr": u.node.UpstreamAddress(), "born": u.startedAt,
		"info":   map[string]any{"service": u.Service, "version": u.Version, "zone": u.node.Zone, "slots": u.Slots},
		"status": map[string]any{"state": state, "seq": u.seq, "cold_left_s": 0},
	})
	instance := u.Instance
	u.mu.Unlock()
	if err != nil {
		return 0
	}
	return u.node.Control(ctx, "instances.heartbeat", instance, body)
}

// Deregister deregisters the upstream at the proxy on the VM. It returns the status code of
// the response, or 0 if there was none.
func (u *Upstream) Deregister(ctx context.Context) int {
	return u.node.Control(ctx, "instances.deregister", u.Instance, nil)
}

// DeregisterIncarnation does the same and states when the upstream started.
func (u *Upstream) DeregisterIncarnation(ctx context.Context) int {
	return u.node.Control(ctx, "instances.deregister", u.Instance, fmt.Appendf(nil, `{"born":%d}`, u.startedAt))
}

// Control makes a control call for an upstream's instance at the proxy's control address.
// It returns the status code of the response, or 0 if there was none.
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
