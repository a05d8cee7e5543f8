package dispatcher

import (
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/explainer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/router"
)

// Notes of an explanation.
const (
	noteAccount = "accounts are not considered: no quota, key or priority of an account has entered"
	noteVersion = "a rollout may restrict the call to upstreams of one version"
	noteKind    = "the request matches another route than the expected kind"
	noteUrgent  = "the node beside the upstream may give precedence to more urgent calls (urgentFirst)"
)

// Explain states what would happen to a new, not nested call now. It sends nothing and moves no
// traffic split.
func (d *Dispatcher) Explain(q explainer.Question, now time.Time) explainer.Explanation {
	e := explainer.Explanation{
		Node: d.Node, Method: q.Method, Host: q.Host, Path: q.Path, Account: q.Account, Candidates: []explainer.Candidate{},
	}
	if q.Account != "" {
		e.Notes = append(e.Notes, noteAccount)
	}
	table := d.Table()
	if table == nil {
		e.Refusal = refusalOf(carrier.NoConfiguration)
		return e
	}
	e.Version = table.Version
	match, found := table.Peek(q.Host, q.Path)
	if !found {
		e.Refusal = refusalOf(carrier.NoRoute)
		return e
	}
	if q.Kind != "" && q.Kind != match.Name {
		e.Notes = append(e.Notes, noteKind)
	}
	e.Route, e.Service, e.Rank = match.Name, match.Service, match.Rank
	e.Idempotent, e.MaxAttempts = match.Idempotent, match.MaxAttempts
	timeout := d.untilEnd(timeoutOf(carrier.Call{}, match), now)
	if timeout <= 0 {
		e.Refusal = refusalOf(carrier.Stopping)
		return e
	}
	d.explainPlacement(&e, match, timeout, now)
	return e
}

// refusalOf returns the refusal that the node itself gives.
func refusalOf(reason carrier.Reason) *explainer.Refusal {
	return &explainer.Refusal{Status: statusOf(carrier.Refuse(reason)), Reason: reason}
}

// explainPlacement adds the candidates, what becomes of the first attempt, and the hedge.
func (d *Dispatcher) explainPlacement(e *explainer.Explanation, match router.Match, timeout time.Duration, now time.Time) {
	info := balancer.PickInfo{
		Service: match.Service, Kind: match.Name, Rank: match.Rank, Class: queuer.ClassOf(match.Rank, false),
		Objective: match.Objective, Remaining: timeout,
	}
	d.mu.Lock()
	views := d.Balancer.Explain(info, now)
	utilisation := d.Balancer.Utilisation(info.Service, now)
	d.mu.Unlock()
	for _, v := range views {
		e.Candidates = append(e.Candidates, candidateOf(v, now))
	}
	if len(views) == 0 {
		e.Refusal = refusalOf(carrier.NoEndpoint)
		return
	}
	if allRefuse(views, timeout) {
		e.Refusal = refusalOf(carrier.WaitTooLong)
		e.Refusal.Expected = true
	}
	e.Notes = append(e.Notes, noteUrgent)
	if d.Versions != nil {
		e.Notes = append(e.Notes, noteVersion)
	}
	p := &placement{d: d, match: match}
	if after := p.hedgeDelay(); after < timeout {
		e.Hedge = &explainer.Hedge{AfterMs: explainer.Milliseconds(after), Utilisation: float64(utilisation) / 1000}
	}
}

// allRefuse reports whether the loads that the candidates stated last leave no time for the call
// at any of them.
func allRefuse(views []balancer.View, timeout time.Duration) bool {
	for _, v := range views {
		needed := time.Duration(queuer.MinRemainingFactor * float64(v.ServiceTime))
		if !v.Draining && !v.Ejected && v.Wait+needed < timeout {
			return false
		}
	}
	return true
}

func candidateOf(v balancer.View, now time.Time) explainer.Candidate {
	return explainer.Candidate{
		Node: v.Node, Instance: v.Instance, Zone: v.Zone, Chosen: v.Chosen, RuledOut: ruledOut(v), Cold: v.Cold,
		Utility: v.Utility, ExpectedMs: explainer.Milliseconds(v.Expected), ServiceMs: explainer.Milliseconds(v.ServiceTime),
		MeasuredAgeMs: ageOf(v.MeasuredAt, now), FailureRate: v.FailureRate, InUse: v.InUse, Waiting: v.Waiting,
		Slots: v.Member.Slots, WaitMs: explainer.Milliseconds(v.Wait), LoadAgeMs: ageOf(v.LoadAt, now), InFlight: v.InFlight,
	}
}

// ruledOut returns why a candidate is not chosen; empty if it is.
func ruledOut(v balancer.View) string {
	switch {
	case v.Chosen:
		return ""
	case v.Stopping:
		return "stopping"
	case v.Draining:
		return "draining"
	case v.Ejected:
		return "ejected"
	case v.Full:
		return "full"
	default:
		return "lessUseful"
	}
}

// ageOf returns the age of a measurement in milliseconds.
func ageOf(at, now time.Time) float64 {
	if at.IsZero() {
		return explainer.Never
	}
	return explainer.Milliseconds(now.Sub(at))
}
