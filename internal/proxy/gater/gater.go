// Package gater holds back calls that would make nested calls to a service which is
// short of room for more urgent work of its own. Nested calls go first in a queue, as
// turning one away wastes the work of its parent; so the parents are held back before
// they begin. The package is pure: the clock is passed in.
//
// The load it answers: a service of urgent calls that lost most of its upstreams, and
// is called by a less urgent service that has all of its own.
package gater

import (
	"math"
	"time"
)

const (
	// interval is the time between changes of a share.
	interval = 100 * time.Millisecond
	// waitShare is the part of the urgent calls' objective that they may wait before
	// calls are held back.
	waitShare = 0.2
	// decrease is the factor of a share in an interval with longer waits, increase
	// what is added to it in any other.
	decrease = 0.8
	increase = 0.04
	// leastShare of the calls is admitted in any case.
	leastShare = 0.25
	// demandMemory is the time constant in which calls of callers are forgotten, and
	// demandShare the part of a service's calls from which on a rank counts.
	demandMemory = 10 * time.Second
	demandShare  = 0.1
)

// Gate is one node's knowledge of nested calls and the shares that it admits. It is
// used under its owner's lock.
type Gate struct {
	// called holds for each kind of call the services of its nested calls.
	called map[string]map[string]bool
	// demand holds for each service what callers ask of it.
	demand map[string]*demand
	shares map[string]*share
}

// demand is the recent calls of callers to a service, by rank.
type demand struct {
	ranks map[int]*rankDemand
	at    time.Time
}

// rankDemand is a decaying count of calls and the objective of the newest.
type rankDemand struct {
	calls     float64
	objective time.Duration
}

// share is the part of the calls to be admitted on behalf of one service.
type share struct {
	part    float64
	changed time.Time
	// credit grows by part with each call and pays for those that are admitted.
	credit float64
}

// New returns a gate that holds nothing back.
func New() *Gate {
	return &Gate{called: map[string]map[string]bool{}, demand: map[string]*demand{}, shares: map[string]*share{}}
}

// Learn takes in that a call of a kind has made a nested call to a service.
func (g *Gate) Learn(kind, service string) {
	services := g.called[kind]
	if services == nil {
		services = map[string]bool{}
		g.called[kind] = services
	}
	services[service] = true
}

// Called takes in that a caller asks a service.
func (g *Gate) Called(service string, rank int, objective time.Duration, now time.Time) {
	d := g.demand[service]
	if d == nil {
		d = &demand{ranks: map[int]*rankDemand{}, at: now}
		g.demand[service] = d
	}
	decay := math.Exp(-now.Sub(d.at).Seconds() / demandMemory.Seconds())
	for _, r := range d.ranks {
		r.calls *= decay
	}
	d.at = now
	if d.ranks[rank] == nil {
		d.ranks[rank] = &rankDemand{}
	}
	d.ranks[rank].calls++
	d.ranks[rank].objective = objective
}

// urgent returns the most urgent rank of which a service gets more than single calls,
// with its objective.
func (g *Gate) urgent(service string) (int, time.Duration, bool) {
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
		if r.calls >= demandShare*total && (!found || rank < best) {
			best, found = rank, true
		}
	}
	if !found {
		return 0, 0, false
	}
	return best, d.ranks[best].objective, true
}

// Waits returns how long a call of a rank would wait at a service now.
type Waits func(service string, rank int) time.Duration

// Admit says whether a call of a kind and rank may begin, and if not, how long the
// urgent work of the service that is short of room waits.
func (g *Gate) Admit(kind string, rank int, waits Waits, now time.Time) (time.Duration, bool) {
	for service := range g.called[kind] {
		urgentRank, objective, known := g.urgent(service)
		if !known || urgentRank >= rank {
			continue
		}
		wait := waits(service, urgentRank)
		if !g.share(service, now).admit(wait, objective, now) {
			return wait, false
		}
	}
	return 0, true
}

func (g *Gate) share(service string, now time.Time) *share {
	s := g.shares[service]
	if s == nil {
		s = &share{part: 1, changed: now}
		g.shares[service] = s
	}
	return s
}

func (s *share) admit(wait, objective time.Duration, now time.Time) bool {
	if steps := int(now.Sub(s.changed) / interval); steps > 0 {
		s.changed = now
		if float64(wait) > waitShare*float64(objective) {
			s.part = max(leastShare, decrease*s.part)
		} else {
			s.part = min(1, s.part+float64(steps)*increase)
		}
	}
	s.credit += s.part
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}
