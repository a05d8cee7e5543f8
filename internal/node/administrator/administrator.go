// Package administrator serves the admin interface of a node: its metrics, health and
// status, and the heartbeats of the upstream on its VM.
package administrator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tamarackscale/tamarackscale/internal/bundle/compiler"
	"github.com/tamarackscale/tamarackscale/internal/cluster/gossiper"
	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/observe/meter"
	"github.com/tamarackscale/tamarackscale/internal/rollout/decider"
	"github.com/tamarackscale/tamarackscale/internal/serving/admitter"
)

const (
	// HeartbeatInterval is the interval at which an upstream is expected to send
	// heartbeats, and at which the node checks whether they have stopped.
	HeartbeatInterval = time.Second
	// heartbeatTimeout is how long a heartbeat is valid. An upstream that has not sent
	// another one by then is absent.
	heartbeatTimeout = 3 * time.Second
	// maxHeartbeatBytes limits the size of a heartbeat in bytes.
	maxHeartbeatBytes = 4096
)

// Config holds the dependencies of an administrator. All fields are required.
type Config struct {
	Gossiper *gossiper.Gossiper
	Admitter *admitter.Admitter
	Meter    *meter.Meter
	Log      *logrus.Entry
	// Table returns the routing table of the version in force, or nil if there is none.
	Table func() *compiler.Table
	// Record returns the newest rollout record that the node has received.
	Record func() decider.Stamped
	// Ready reports whether the node may serve.
	Ready func() bool
}

// Administrator is the admin interface of a node. It implements registrar.Service and
// http.Handler.
type Administrator struct {
	Config
	mux *http.ServeMux

	mu sync.Mutex
	// lastHeartbeat is when the last valid heartbeat arrived; zero if none has.
	lastHeartbeat time.Time
	draining      bool
}

// New returns an administrator. It monitors the upstream once Start is called.
func New(config Config) *Administrator {
	a := &Administrator{Config: config, mux: http.NewServeMux()}
	a.mux.Handle("GET /metrics", config.Meter.Handler())
	a.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	a.mux.HandleFunc("GET /readyz", a.serveReady)
	a.mux.HandleFunc("GET /v1/status", a.serveStatus)
	a.mux.HandleFunc("PUT /v1/upstream", a.serveHeartbeat)
	return a
}

// Name implements registrar.Service.
func (a *Administrator) Name() string { return "administrator" }

// Needs implements registrar.Service.
func (a *Administrator) Needs() []string { return []string{"distributor"} }

// Start begins to monitor the upstream, until ctx ends.
func (a *Administrator) Start(ctx context.Context) error {
	go a.monitorUpstream(ctx)
	return nil
}

// Stop implements registrar.Service. It does nothing, as the monitoring ends with the
// context passed to Start.
func (a *Administrator) Stop(context.Context) error { return nil }

// ServeHTTP implements http.Handler.
func (a *Administrator) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// Drain makes the node not ready, drains its endpoint and publishes both to the members.
// It cannot be undone.
func (a *Administrator) Drain() {
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	a.Admitter.Drain()
	a.Gossiper.Update(func(e *merger.Entry) {
		e.Leaving = true
		if e.State != merger.Absent {
			e.State = merger.Draining
		}
	})
}

func (a *Administrator) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

func (a *Administrator) serveReady(w http.ResponseWriter, _ *http.Request) {
	if a.isDraining() || !a.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Member is a member of the cluster in Status. Service and State are those of its upstream.
type Member struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Service string `json:"service,omitempty"`
	State   string `json:"state"`
	// Relay reports whether the member is the relay of its zone.
	Relay bool `json:"relay"`
}

// Status is the response body of GET /v1/status: the state of the node and the live
// members in its view.
type Status struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Version and Digest identify the version in force; before the first one they are
	// zero and empty.
	Version  int64           `json:"version"`
	Digest   string          `json:"digest"`
	Ready    bool            `json:"ready"`
	Draining bool            `json:"draining"`
	Record   decider.Stamped `json:"record"`
	Members  []Member        `json:"members"`
}

func (a *Administrator) serveStatus(w http.ResponseWriter, _ *http.Request) {
	self := a.Gossiper.Self()
	status := Status{
		ID: self.ID, Zone: self.Zone, Ready: a.Ready() && !a.isDraining(), Draining: a.isDraining(), Record: a.Record(),
	}
	if table := a.Table(); table != nil {
		status.Version, status.Digest = table.Version, table.Digest
	}
	for _, member := range a.Gossiper.Members("") {
		status.Members = append(status.Members, Member{
			ID: member.ID, Zone: member.Zone, Service: member.Service,
			State: member.State.String(), Relay: member.RelayTerm > 0,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

// endpointStates maps the states in heartbeats to those of member records.
var endpointStates = map[string]merger.EndpointState{
	"warming": merger.Warming, "ready": merger.Ready, "draining": merger.Draining,
}

func (a *Administrator) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	var heartbeat admitter.Heartbeat
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&heartbeat); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if reason := rejectionReason(heartbeat); reason != "" {
		http.Error(w, "announcement: "+reason, http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	a.lastHeartbeat = time.Now()
	a.mu.Unlock()
	a.applyHeartbeat(heartbeat, endpointStates[heartbeat.State])
	w.WriteHeader(http.StatusNoContent)
}

// rejectionReason returns why a heartbeat is invalid, or an empty string if it is
// valid.
func rejectionReason(heartbeat admitter.Heartbeat) string {
	if _, err := netip.ParseAddrPort(heartbeat.Address); err != nil {
		return "address is not IP:port"
	}
	if heartbeat.Service == "" {
		return "service is empty"
	}
	if heartbeat.Slots < 1 {
		return "slots is below 1"
	}
	if _, known := endpointStates[heartbeat.State]; !known {
		return "state is not warming, ready or draining"
	}
	return ""
}

// applyHeartbeat updates the upstream in the admitter and publishes the endpoint to
// the members. The published state is that of the admitter, which stays draining after
// Drain.
func (a *Administrator) applyHeartbeat(heartbeat admitter.Heartbeat, state merger.EndpointState) {
	previous, _ := a.Admitter.State()
	a.Admitter.SetUpstream(heartbeat, state, a.Table())
	if current, _ := a.Admitter.State(); current != previous {
		a.Log.WithFields(logrus.Fields{"service": heartbeat.Service, "state": current.String()}).Info("upstream changed")
	}
	state, readyAt := a.Admitter.State()
	a.Gossiper.Update(func(e *merger.Entry) {
		e.Service, e.State, e.Slots = heartbeat.Service, state, heartbeat.Slots
		e.ReadyAt = readyAt.UnixMilli()
	})
}

// monitorUpstream marks the upstream as absent when its heartbeats stop. It returns
// when ctx ends.
func (a *Administrator) monitorUpstream(ctx context.Context) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		unresponsive := !a.lastHeartbeat.IsZero() && time.Since(a.lastHeartbeat) > heartbeatTimeout
		a.mu.Unlock()
		if state, _ := a.Admitter.State(); unresponsive && state != merger.Absent {
			a.applyHeartbeat(a.Admitter.Upstream(), merger.Absent)
		}
	}
}
