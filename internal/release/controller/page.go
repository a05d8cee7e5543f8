package controller

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/release/assigner"
	"github.com/tamarackscale/tamarackscale/internal/release/judger"
	"github.com/tamarackscale/tamarackscale/internal/release/stepper"
)

// Page is what a node shows operators of rollouts, as JSON.
type Page struct {
	// Followed are the plans that the node has received last.
	Followed []Followed `json:"followed"`
	// Controlled are the rollouts of which the node is the controller.
	Controlled []Controlled `json:"controlled"`
}

// Followed is a plan at a node.
type Followed struct {
	Service string  `json:"service"`
	Target  string  `json:"target"`
	Phase   string  `json:"phase"`
	Share   float64 `json:"share"`
	// Why is why the next phase has not begun.
	Why string `json:"why"`
	// InForce means that the plan has not expired. Without a plan in force, the node sends no call to
	// the target, unless the rollout is done.
	InForce bool `json:"inForce"`
}

// Controlled is a rollout at its controller. Times are in seconds.
type Controlled struct {
	Service     string  `json:"service"`
	Target      string  `json:"target"`
	Phase       string  `json:"phase"`
	Share       float64 `json:"share"`
	Elapsed     float64 `json:"elapsedSeconds"`
	Limit       float64 `json:"limitSeconds"`
	Why         string  `json:"why"`
	Calls       int     `json:"calls"`
	TargetCalls int     `json:"targetCalls"`
	// Suspects are the nodes whose upstreams answer badly.
	Suspects []string `json:"suspects,omitempty"`
	// Evidence is nil unless the version was found bad.
	Evidence *judger.Evidence `json:"evidence,omitempty"`
}

// Handler serves the page of a node that has the given plans.
func (c *Controller) Handler(plans func() []assigner.Plan) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// The client may have left.
		_ = json.NewEncoder(w).Encode(c.page(plans(), time.Now()))
	})
}

// page returns the page.
func (c *Controller) page(plans []assigner.Plan, now time.Time) Page {
	page := Page{Followed: []Followed{}, Controlled: []Controlled{}}
	for _, p := range plans {
		_, inForce := c.config.Heard(p.Service, now)
		page.Followed = append(page.Followed, Followed{
			Service: p.Service, Target: p.Target, Phase: stepper.Phase(p.Phase).String(), Share: p.Share, Why: p.Why, InForce: inForce,
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(c.rollouts)) {
		r := c.rollouts[service]
		calls, target := r.calls()
		controlled := Controlled{
			Service: service, Target: r.order.Target, Phase: r.phase().String(), Share: r.step.Share, Elapsed: r.elapsed(now).Seconds(),
			Limit: r.order.Limit.Seconds(), Why: r.step.Why, Calls: calls, TargetCalls: target, Suspects: r.verdict.Suspects,
		}
		if r.verdict.Bad {
			evidence := r.verdict.Evidence
			controlled.Evidence = &evidence
		}
		page.Controlled = append(page.Controlled, controlled)
	}
	return page
}
