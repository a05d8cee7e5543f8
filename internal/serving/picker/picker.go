// Package picker selects the endpoint for a call. It balances by what this node has
// observed itself: its own calls in flight, their service times and failures, and the
// load that endpoints report with their answers.
package picker

import (
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
)

const (
	// crossZoneDelay is the assumed round-trip time to another availability zone. It
	// is added to the expected wait at an endpoint there.
	crossZoneDelay = 8 * time.Millisecond
	// initialServiceTime is the assumed service time of an endpoint that has not
	// been used yet.
	initialServiceTime = 5 * time.Millisecond
	// smoothing is the weight of a new sample in the moving average of the service time.
	smoothing = 0.1
	// minEjection and maxEjection bound the time for which a failing endpoint gets
	// no calls; it doubles with each consecutive failure.
	minEjection = 500 * time.Millisecond
	maxEjection = 10 * time.Second
	// shedMaxAge is the time for which an endpoint that reported a full queue is
	// assumed to shed calls.
	shedMaxAge = 100 * time.Millisecond
	// loadMaxAge is the time for which a reported load is used.
	loadMaxAge = 500 * time.Millisecond
)

// Policy is a load-balancing policy.
type Policy int

// The policies. Random is the baseline for measurements.
const (
	PowerOfTwo Policy = iota
	Random
)

// Endpoint is a member with what this node has observed of it.
type Endpoint struct {
	merger.Entry
	// Local reports whether the endpoint is in this node's availability zone.
	Local bool

	// inFlight is the number of this node's calls in flight to the endpoint.
	inFlight int
	// load is the load that the endpoint last reported, and loadAt is when it did.
	load   framer.Load
	loadAt time.Time
	// serviceTime is the mean time that the upstream takes for a call.
	serviceTime time.Duration
	// failures is the number of consecutive failures.
	failures int
	// ejectedUntil is when the endpoint gets calls again after a failure or after it
	// reported that it drains.
	ejectedUntil time.Time
	// shedAt is when the endpoint last reported its load; shedFrom is the index of the
	// most urgent rank whose calls it shed then, or -1.
	shedAt   time.Time
	shedFrom int
}

// Choice is the endpoint selected for one call. Its Entry is a copy, since Replace
// changes the entry of the endpoint while calls use it.
type Choice struct {
	merger.Entry
	endpoint *Endpoint
}

// Picker holds the endpoints of all services. It is safe for concurrent use.
type Picker struct {
	zone   string
	policy Policy

	mu       sync.Mutex
	byID     map[string]*Endpoint
	services map[string][]*Endpoint
}

// New returns a picker without endpoints for a node in the given availability zone.
func New(zone string, policy Policy) *Picker {
	return &Picker{zone: zone, policy: policy, byID: map[string]*Endpoint{}, services: map[string][]*Endpoint{}}
}

// Replace sets the live members. What was observed of a member is kept as long as its
// incarnation is the same; failures are reset when the member changes its entry.
func (p *Picker) Replace(members []merger.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byID := make(map[string]*Endpoint, len(members))
	services := map[string][]*Endpoint{}
	for _, member := range members {
		endpoint := p.byID[member.ID]
		if endpoint == nil || endpoint.Incarnation != member.Incarnation {
			endpoint = &Endpoint{serviceTime: initialServiceTime, shedFrom: -1}
		}
		if endpoint.State != member.State || endpoint.Sequence != member.Sequence {
			// The member has updated its entry since, so earlier failures are outdated.
			endpoint.failures, endpoint.ejectedUntil = 0, time.Time{}
		}
		endpoint.Entry, endpoint.Local = member, member.Zone == p.zone
		byID[member.ID] = endpoint
		if member.Service != "" {
			services[member.Service] = append(services[member.Service], endpoint)
		}
	}
	p.byID, p.services = byID, services
}

// Pick selects an endpoint of a service and counts a call in flight to it until Done
// is called. Endpoints whose ID is in tried are excluded. The function random returns a
// number from 0 to n-1. If there is no endpoint, the refusal has code Saturated or
// NoEndpoint.
func (p *Picker) Pick(
	service string, rank int, tried map[string]bool, now time.Time, random func(n int) int,
) (*Choice, *framer.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	local, remote, shedding := p.candidates(service, rank, tried, now)
	if len(local)+len(remote) == 0 {
		if shedding > 0 {
			return nil, framer.Refuse(framer.Saturated, "all endpoints of %s shed this rank", service)
		}
		return nil, framer.Refuse(framer.NoEndpoint, "no endpoint of %s accepts calls", service)
	}
	chosen := p.choose(local, remote, now, random)
	chosen.inFlight++
	return &Choice{Entry: chosen.Entry, endpoint: chosen}, nil
}

// candidates returns the endpoints that may get the call, in this zone and in others,
// and the number of those left out because they shed calls of the rank. The caller
// holds the lock.
func (p *Picker) candidates(
	service string, rank int, tried map[string]bool, now time.Time,
) (local, remote []*Endpoint, shedding int) {
	for _, endpoint := range p.services[service] {
		switch {
		case tried[endpoint.ID]:
		case endpoint.State != merger.Ready && endpoint.State != merger.Warming:
		case now.Before(endpoint.ejectedUntil):
		case endpoint.sheds(rank, now):
			shedding++
		case endpoint.Local:
			local = append(local, endpoint)
		default:
			remote = append(remote, endpoint)
		}
	}
	return local, remote, shedding
}

// sheds reports whether the endpoint is assumed to shed calls of the rank. The
// assumption expires after shedMaxAge, so that some calls go to the endpoint and
// refresh it.
func (e *Endpoint) sheds(rank int, now time.Time) bool {
	return e.shedFrom >= 0 && rank >= e.shedFrom && now.Sub(e.shedAt) < shedMaxAge
}

// choose selects the better of two random local endpoints. An endpoint in another zone
// is selected only if its expected wait is shorter by more than crossZoneDelay.
//
// See Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
func (p *Picker) choose(local, remote []*Endpoint, now time.Time, random func(n int) int) *Endpoint {
	if p.policy == Random {
		all := append(append([]*Endpoint(nil), local...), remote...)
		return all[random(len(all))]
	}
	if len(local) == 0 {
		return betterOfTwo(remote, now, random)
	}
	bestLocal := betterOfTwo(local, now, random)
	if len(remote) == 0 || bestLocal.wait(now) <= crossZoneDelay {
		return bestLocal
	}
	bestRemote := betterOfTwo(remote, now, random)
	if bestRemote.wait(now)+crossZoneDelay < bestLocal.wait(now) {
		return bestRemote
	}
	return bestLocal
}

// betterOfTwo draws two candidates at random and returns the one with the lower score.
func betterOfTwo(candidates []*Endpoint, now time.Time, random func(n int) int) *Endpoint {
	first := candidates[random(len(candidates))]
	if len(candidates) == 1 {
		return first
	}
	second := candidates[random(len(candidates))]
	if second.score(now) < first.score(now) {
		return second
	}
	return first
}

// pendingCalls estimates the number of calls that run or are queued at the endpoint from
// the reported load and this node's calls in flight. A load older than loadMaxAge is
// ignored.
func (e *Endpoint) pendingCalls(now time.Time) int {
	if now.Sub(e.loadAt) > loadMaxAge {
		return e.inFlight
	}
	return max(e.load.InUse+e.load.Waiting, e.inFlight)
}

// slots returns the number of slots, as last reported with a load or else as announced.
func (e *Endpoint) slots() int {
	if e.load.Slots > 0 {
		return e.load.Slots
	}
	return max(1, e.Slots)
}

// score returns the expected time to complete a new call and those ahead of it, in
// seconds; lower is better.
func (e *Endpoint) score(now time.Time) float64 {
	return float64(e.pendingCalls(now)+1) / float64(e.slots()) * e.serviceTime.Seconds()
}

// wait returns the expected wait for a slot.
func (e *Endpoint) wait(now time.Time) time.Duration {
	waiting := e.pendingCalls(now) + 1 - e.slots()
	if waiting <= 0 {
		return 0
	}
	return time.Duration(float64(waiting) / float64(e.slots()) * float64(e.serviceTime))
}

// Result is the result of one attempt at an endpoint.
type Result struct {
	// Load is the load that the endpoint reported, or nil.
	Load *framer.Load
	// UpstreamTime is the time that the upstream took; 0 if the call did not run.
	UpstreamTime time.Duration
	// Failed reports whether the endpoint or the connection to it failed.
	Failed bool
	// Refused is the code of the endpoint's refusal; empty if it answered the call.
	Refused framer.Code
}

// Done ends a call that Pick counted as in flight, and records its result.
func (p *Picker) Done(choice *Choice, result Result, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoint := choice.endpoint
	endpoint.inFlight--
	if result.Failed {
		endpoint.eject(now)
		return
	}
	endpoint.failures = 0
	if result.UpstreamTime > 0 {
		delta := float64(result.UpstreamTime - endpoint.serviceTime)
		endpoint.serviceTime += time.Duration(smoothing * delta)
	}
	if result.Load != nil {
		endpoint.load, endpoint.loadAt = *result.Load, now
		endpoint.shedFrom, endpoint.shedAt = result.Load.ShedFrom, now
		if result.Load.Draining {
			endpoint.ejectedUntil = now.Add(maxEjection)
		}
	}
}

// eject excludes the endpoint from selection, for longer with each consecutive failure.
func (e *Endpoint) eject(now time.Time) {
	ejection := min(minEjection<<min(e.failures, 10), maxEjection)
	e.failures++
	e.ejectedUntil = now.Add(ejection)
}
