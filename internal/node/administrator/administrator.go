// Package administrator serves the admin interface of a node: its metrics, health and
// status, and the announcements of the upstream on its VM.
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
	// AnnounceInterval is the interval at which an upstream must announce itself.
	AnnounceInterval = time.Second
	// announcementTimeout is how long an announcement is valid. An upstream that has not
	// sent another one by then is absent.
	announcementTimeout = 3 * time.Second
	// maxAnnouncementBytes limits the size of an announcement in bytes.
	maxAnnouncementBytes = 4096
)

// Config holds the dependencies of an administrator. All fields are required.
type Config struct {
	Gossiper *gossiper.Gossiper
	Admitter *admitter.Admitter
	Meter    *meter.Meter
	Log      *logrus.Entry
	// Table returns the routing table of the version in force, or nil if there is none.
	Table func() *compiler.Table
	// Record returns the newest rollout record that the node knows.
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
	// lastAnnounced is when the upstream last announced itself; zero if it never has.
	lastAnnounced time.Time
	draining      bool
}

// New returns an administrator. It monitors the upstream once Start is called.
func New(config Config) *Administrator {
	a := &Administrator{Config: config, mux: http.NewServeMux()}
	a.mux.Handle("GET /metrics", config.Meter.Handler())
	a.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	a.mux.HandleFunc("GET /readyz", a.serveReady)
	a.mux.HandleFunc("GET /v1/status", a.serveStatus)
	a.mux.HandleFunc("PUT /v1/upstream", a.serveAnnouncement)
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

// Member is a member of the cluster in Status.
type Member struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Service string `json:"service,omitempty"`
	State   string `json:"state"`
	Relay   bool   `json:"relay"`
}

// Status is the response body of GET /v1/status: the state of the node and the members
// that it considers alive.
type Status struct {
	ID       string          `json:"id"`
	Zone     string          `json:"zone"`
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

// endpointStates maps the states in announcements to those of member records.
var endpointStates = map[string]merger.EndpointState{
	"warming": merger.Warming, "ready": merger.Ready, "draining": merger.Draining,
}

func (a *Administrator) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	var announcement admitter.Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announcement); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if reason := rejectionReason(announcement); reason != "" {
		http.Error(w, "announcement: "+reason, http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	a.lastAnnounced = time.Now()
	a.mu.Unlock()
	a.applyAnnouncement(announcement, endpointStates[announcement.State])
	w.WriteHeader(http.StatusNoContent)
}

// rejectionReason returns why an announcement is invalid, or an empty string if it is
// valid.
func rejectionReason(announcement admitter.Announcement) string {
	if _, err := netip.ParseAddrPort(announcement.Address); err != nil {
		return "address is not IP:port"
	}
	if announcement.Service == "" {
		return "service is empty"
	}
	if announcement.Slots < 1 {
		return "slots is below 1"
	}
	if _, known := endpointStates[announcement.State]; !known {
		return "state is not warming, ready or draining"
	}
	return ""
}

// applyAnnouncement updates the upstream in the admitter and publishes the endpoint to
// the members. The published state is that of the admitter, which stays draining after
// Drain.
func (a *Administrator) applyAnnouncement(announcement admitter.Announcement, state merger.EndpointState) {
	previous, _ := a.Admitter.State()
	a.Admitter.SetUpstream(announcement, state, a.Table())
	if current, _ := a.Admitter.State(); current != previous {
		a.Log.WithFields(logrus.Fields{"service": announcement.Service, "state": current.String()}).Info("upstream changed")
	}
	state, readyAt := a.Admitter.State()
	a.Gossiper.Update(func(e *merger.Entry) {
		e.Service, e.State, e.Slots = announcement.Service, state, announcement.Slots
		e.ReadyAt = readyAt.UnixMilli()
	})
}

// monitorUpstream marks the upstream as absent when its announcements stop. It returns
// when ctx ends.
func (a *Administrator) monitorUpstream(ctx context.Context) {
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		unresponsive := !a.lastAnnounced.IsZero() && time.Since(a.lastAnnounced) > announcementTimeout
		a.mu.Unlock()
		if state, _ := a.Admitter.State(); unresponsive && state != merger.Absent {
			a.applyAnnouncement(a.Admitter.Upstream(), merger.Absent)
		}
	}
}
