// Package gater limits the admission of calls whose nested calls go to a service that
// lacks capacity for more urgent calls of its own. Queues serve nested calls first,
// since shedding one wastes the work of its parent, so the parents are limited before
// they start. The package has no clock of its own: the current time is an argument.
//
// It matters when a service of urgent calls has lost most of its upstreams and is
// called by a less urgent service that has all of its own.
package gater

import (
	"math"
	"time"
)

const (
	// adjustInterval is the minimum time between changes of an admitted fraction.
	adjustInterval = 100 * time.Millisecond
	// maxWaitFraction is the fraction of the urgent calls' objective that they may
	// wait before less urgent calls are limited.
	maxWaitFraction = 0.2
	// decreaseFactor multiplies the admitted fraction if the urgent calls wait longer
	// than maxWaitFraction allows; otherwise increaseStep is added to it for each
	// adjustInterval that has passed.
	decreaseFactor = 0.8
	increaseStep   = 0.04
	// minFraction is the minimum of the admitted fraction of the calls that lead to a
	// service.
	minFraction = 0.25
	// demandDecayTime is the time constant of the exponential decay of call counts.
	demandDecayTime = 10 * time.Second
	// minDemandFraction is the fraction of a service's calls that a rank must have
	// to count as urgent demand.
	minDemandFraction = 0.1
)

// Gate decides on the admission of calls at one node by the nested calls and the
// demand that the node has observed. It is not safe for concurrent use: its owner must
// hold a lock.
type Gate struct {
	// nested holds for each kind of call the services of its nested calls.
	nested map[string]map[string]bool
	// demand holds for each service the recent calls of callers to it.
	demand map[string]*demand
	// throttles holds for each service the limit on calls that lead to it.
	throttles map[string]*throttle
}

// demand is the recent calls of callers to a service, by rank.
type demand struct {
	ranks map[int]*rankDemand
	// decayedAt is the time to which the counts have decayed.
	decayedAt time.Time
}

// rankDemand is a decaying count of calls and the objective of the newest call.
type rankDemand struct {
	calls     float64
	objective time.Duration
}

// throttle limits the calls that lead to one service to a fraction of them.
type throttle struct {
	fraction float64
	// adjustedAt is when the fraction was last adjusted.
	adjustedAt time.Time
	// credit grows by fraction with each call; an admitted call takes one.
	credit float64
}

// New returns a Gate that admits every call.
func New() *Gate {
	return &Gate{nested: map[string]map[string]bool{}, demand: map[string]*demand{}, throttles: map[string]*throttle{}}
}

// RecordNested records that a call of the kind has made a nested call to the service.
func (g *Gate) RecordNested(kind, service string) {
	services := g.nested[kind]
	if services == nil {
		services = map[string]bool{}
		g.nested[kind] = services
	}
	services[service] = true
}

// RecordCall records a call of a caller to the service.
func (g *Gate) RecordCall(service string, rank int, objective time.Duration, now time.Time) {
	d := g.demand[service]
	if d == nil {
		d = &demand{ranks: map[int]*rankDemand{}, decayedAt: now}
		g.demand[service] = d
	}
	decay := math.Exp(-now.Sub(d.decayedAt).Seconds() / demandDecayTime.Seconds())
	for _, r := range d.ranks {
		r.calls *= decay
	}
	d.decayedAt = now
	if d.ranks[rank] == nil {
		d.ranks[rank] = &rankDemand{}
	}
	d.ranks[rank].calls++
	d.ranks[rank].objective = objective
}

// mostUrgent returns the most urgent rank with at least minDemandFraction of the recent
// calls to the service, the objective of its newest call, and whether there is one. Ranks
// with fewer calls do not count, so that stray calls have no effect.
func (g *Gate) mostUrgent(service string) (int, time.Duration, bool) {
	d := g.demand[service]
	if d == nil {
		return 0, 0, false
	}
	total := 0.0
	for _, r := range d.ranks {
		total += r.calls
	}
	best, found := 0, false
	for rank, r := range d.ranks {
		if r.calls >= minDemandFraction*total && (!found || rank < best) {
			best, found = rank, true
		}
	}
	if !found {
		return 0, 0, false
	}
	return best, d.ranks[best].objective, true
}

// WaitFunc returns how long a call of the rank would wait at the service now.
type WaitFunc func(service string, rank int) time.Duration

// Admit reports whether a call of the kind and rank may start. If not, it returns how
// long the urgent calls wait at the service that lacks most capacity. Of several such
// services only that one limits the call: each limit on its own leaves its service enough.
func (g *Gate) Admit(kind string, rank int, waitFor WaitFunc, now time.Time) (time.Duration, bool) {
	var strictest *throttle
	longest := time.Duration(0)
	for service := range g.nested[kind] {
		urgentRank, objective, known := g.mostUrgent(service)
		if !known || urgentRank >= rank {
			continue
		}
		wait := waitFor(service, urgentRank)
		t := g.throttle(service, now)
		t.adjust(wait, objective, now)
		if strictest == nil || t.fraction < strictest.fraction {
			strictest, longest = t, wait
		}
	}
	if strictest == nil || strictest.admit() {
		return 0, true
	}
	return longest, false
}

// throttle returns the throttle of a service. A new one admits every call.
func (g *Gate) throttle(service string, now time.Time) *throttle {
	t := g.throttles[service]
	if t == nil {
		t = &throttle{fraction: 1, adjustedAt: now}
		g.throttles[service] = t
	}
	return t
}

// adjust adapts the fraction to the wait of the urgent calls.
func (t *throttle) adjust(wait, objective time.Duration, now time.Time) {
	steps := int(now.Sub(t.adjustedAt) / adjustInterval)
	if steps <= 0 {
		return
	}
	t.adjustedAt = now
	if float64(wait) > maxWaitFraction*float64(objective) {
		t.fraction = max(minFraction, decreaseFactor*t.fraction)
		return
	}
	t.fraction = min(1, t.fraction+float64(steps)*increaseStep)
}

// admit reports whether one more call fits the fraction.
func (t *throttle) admit() bool {
	t.credit += t.fraction
	if t.credit < 1 {
		return false
	}
	t.credit--
	return true
}
