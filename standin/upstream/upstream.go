// Package upstream is a stand-in for an upstream of a service. It has slots, a warm-up
// time, draining and shedding, and its faults can be switched on and off.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/serving/admitter"
	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/standin/history"
)

// EchoHeader carries the text that the answer's body begins with.
const EchoHeader = "X-Echo"

// Faults selects the faults that the upstream shows.
type Faults struct {
	// CutBodies is n if the body of every n-th answer is cut short; zero means none.
	CutBodies int `json:"cutBodies"`
	// CrossAnswers is n if every n-th answer carries the request ID and echo of another
	// request; zero means none.
	CrossAnswers int `json:"crossAnswers"`
	// ShedAbove replaces the number of slots in heartbeats as the limit above which calls
	// are shed; zero keeps it.
	ShedAbove int `json:"shedAbove"`
	// SlowBy is added to the service time.
	SlowBy time.Duration `json:"slowBy"`
	// Misreport makes /-/load report that no slot is in use.
	Misreport bool `json:"misreport"`
}

// Config describes an upstream.
type Config struct {
	// Address is IP:port.
	Address string
	Service string
	// Slots is the number of calls that the upstream runs at once; it sheds further calls.
	Slots int
	// Connections is sent in heartbeats, but not enforced.
	Connections int
	// Work is the mean service time; that of a call is uniformly distributed from 0.5 to
	// 1.5 times Work.
	Work time.Duration
	// Warm is how long after the start the state in heartbeats is warming.
	Warm time.Duration
	// BodyBytes is the minimum length of an answer's body.
	BodyBytes int
}

// Upstream implements http.Handler. It is safe for concurrent use.
type Upstream struct {
	config  Config
	started time.Time
	// Effects records the calls that were run, which includes cancelled ones.
	Effects *history.Effects

	mu       sync.Mutex
	faults   Faults
	draining bool
	// inUse is the number of occupied slots.
	inUse int
	// admitted is the number of calls that were given a slot.
	admitted int
}

// New returns an upstream that has just started.
func New(config Config) *Upstream {
	return &Upstream{config: config, started: time.Now(), Effects: history.NewEffects()}
}

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Drain sets the state in later heartbeats to draining. The upstream still runs calls.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

// Heartbeat returns the heartbeat for the current state of the upstream.
func (u *Upstream) Heartbeat() admitter.Heartbeat {
	u.mu.Lock()
	defer u.mu.Unlock()
	state := "ready"
	if time.Since(u.started) < u.config.Warm {
		state = "warming"
	}
	if u.draining {
		state = "draining"
	}
	return admitter.Heartbeat{
		Address: u.config.Address, Service: u.config.Service,
		Slots: u.config.Slots, Connections: u.config.Connections, State: state,
	}
}

// SendHeartbeats sends a heartbeat to a node's admin address every 500 ms until the
// context ends. Errors are ignored.
func (u *Upstream) SendHeartbeats(ctx context.Context, client *http.Client, admin string) {
	for {
		body, _ := json.Marshal(u.Heartbeat())
		request, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+admin+"/v1/upstream", bytes.NewReader(body))
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// ServeHTTP runs a call, or serves one of the control paths under /-/. A call that is shed
// gets status 503 and is marked as not run.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/effects":
		_ = json.NewEncoder(w).Encode(u.Effects.All())
	case "/-/faults":
		var faults Faults
		_ = json.NewDecoder(r.Body).Decode(&faults)
		u.SetFaults(faults)
	case "/-/drain":
		u.Drain()
	case "/-/load":
		_ = json.NewEncoder(w).Encode(map[string]int{"inUse": u.reportedLoad()})
	default:
		u.serve(w, r)
	}
}

// reportedLoad returns the number of occupied slots, or 0 under Faults.Misreport.
func (u *Upstream) reportedLoad() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.Misreport {
		return 0
	}
	return u.inUse
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	faults, number, admitted := u.acquireSlot()
	if !admitted {
		w.Header().Set(framer.OutcomeHeader, string(framer.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.releaseSlot()
	echo := r.Header.Get(EchoHeader)
	u.Effects.Add(history.Effect{
		Echo: echo, RequestID: r.Header.Get(framer.RequestHeader), Key: r.Header.Get(framer.KeyHeader), Upstream: u.config.Address,
	})
	work := time.Duration((0.5+rand.Float64())*float64(u.config.Work)) + faults.SlowBy
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	u.writeAnswer(w, r, faults, number, echo)
}

func (u *Upstream) writeAnswer(w http.ResponseWriter, r *http.Request, faults Faults, number int, echo string) {
	id := r.Header.Get(framer.RequestHeader)
	if faults.CrossAnswers > 0 && number%faults.CrossAnswers == 0 {
		id, echo = "crossed-"+id, "crossed-"+echo
	}
	body := Body(echo, u.config.BodyBytes)
	w.Header().Set(framer.RequestHeader, id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if faults.CutBodies > 0 && number%faults.CutBodies == 0 {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// Body returns the body of the answer to a request with the given echo: a line with the
// echo, padded to a length.
func Body(echo string, length int) []byte {
	body := []byte(echo + "\n")
	if padding := length - len(body); padding > 0 {
		body = append(body, bytes.Repeat([]byte{'.'}, padding)...)
	}
	return body
}

// acquireSlot returns the faults, the number of the call and whether it got a slot; the
// number is zero if not.
func (u *Upstream) acquireSlot() (Faults, int, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	limit := u.config.Slots
	if u.faults.ShedAbove > 0 {
		limit = u.faults.ShedAbove
	}
	if u.inUse >= limit {
		return u.faults, 0, false
	}
	u.inUse++
	u.admitted++
	return u.faults, u.admitted, true
}

func (u *Upstream) releaseSlot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inUse--
}
