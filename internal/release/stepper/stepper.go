// Package stepper decides which share of a service's calls goes to the version that is rolled out. It
// has no clock: the time since the order is an argument.
//
// It is built for versions that may turn bad late, or under load only. The version gets a small share
// until late in the time limit, concentrated on one or two of its upstreams in turn, so that these see
// the load that they will have. The large steps follow one another quickly, since each second at the
// whole share costs as much exposure as all of the canary. What is left of the limit is for a store
// that does not respond for some seconds, or for the end of the controller.
package stepper

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/release/judger"
)

// Phase is a step of a rollout. A later one gives the version more calls, except RollingBack.
type Phase int

// The phases.
const (
	// Waiting: no upstream of the version is known.
	Waiting Phase = iota
	// Canary: a small share.
	Canary
	// Ramp: a larger share, at all upstreams of the version.
	Ramp
	// Whole: every first attempt, unless the node has seen bad answers itself.
	Whole
	// Settling: every attempt. The rollout is done once all nodes have confirmed this.
	Settling
	Done
	// RollingBack: no call. The rollout has failed once all nodes have confirmed this.
	RollingBack
	RolledBack
)

var phaseNames = map[Phase]string{
	Waiting: "waiting", Canary: "canary", Ramp: "ramp", Whole: "whole", Settling: "settling", Done: "done",
	RollingBack: "rollingBack", RolledBack: "rolledBack",
}

// String returns the phase as logs and metrics name it.
func (p Phase) String() string { return phaseNames[p] }

// Final reports whether the rollout has ended.
func (p Phase) Final() bool { return p == Done || p == RolledBack }

const (
	// canaryFraction and rampFraction are the shares of the first phases as fractions of the bound
	// of exposure. The whole share adds more than ten times that bound per time, so the canary must
	// leave two fifths of the bound for the time until a fault is found in the last phases.
	canaryFraction = 0.55
	rampFraction   = 2
	// canaryEnd is when the canary ends, and latestRamp when it ends even if a route lacks answers,
	// as fractions of the limit.
	canaryEnd  = 0.56
	latestRamp = 0.6
	// rampTime and wholeTime are how long these phases last at least. In each all nodes report answers
	// of the phase. The whole share is the shorter: with 800 ms, one replay in twelve of a version that
	// turns bad in that phase exceeded the bound.
	rampTime  = 800 * time.Millisecond
	wholeTime = 600 * time.Millisecond
	// minCanaryTime is how long the version is observed at least: many faults show after 3 s.
	minCanaryTime = 4 * time.Second
	// minTurn and maxTurn bound how long the canary stays at the same upstreams.
	minTurn = 600 * time.Millisecond
	maxTurn = 2 * time.Second
	// maxRouteShare bounds the share of a rare route, which gets more than others so that it has
	// enough answers.
	maxRouteShare = 0.25
	// maxCanaryUpstreams is the number of upstreams that the canary is concentrated on at most.
	maxCanaryUpstreams = 2
	// settleMargin is how long before the limit a rollout that is not settling is rolled back, and
	// doneMargin one that is not done. Both leave time for the write of the status. The latter is
	// short: a store that was down for 4.5 s at the end of a rollout leaves a second.
	settleMargin = 1500 * time.Millisecond
	doneMargin   = 400 * time.Millisecond
	// confirmTimeout is how long a rollback waits for the nodes' confirmation. Plans expire by then.
	confirmTimeout = 2 * time.Second
)

// Input is what a step is decided on.
type Input struct {
	// Elapsed is the time since the order, Limit that within which the rollout has to end.
	Elapsed time.Duration
	Limit   time.Duration
	// Upstreams are the nodes of the version's upstreams that take calls, in the order of their start.
	Upstreams []string
	// Established is the number of upstreams of the established version.
	Established int
	Verdict     judger.Verdict
	// RouteCalls is the number of calls by route since the order.
	RouteCalls map[string]int
	// Confirmed means that every node in contact follows the last plan; Quiet that it has, besides,
	// no call in flight at another version, if that is settling.
	Confirmed bool
	Quiet     bool
	// StoreResponds means that the store has responded within the last seconds. Without it the share
	// does not rise.
	StoreResponds bool
}

// Step is what the nodes are told.
type Step struct {
	Phase Phase
	// Share is the fraction of the calls that goes to the version, Routes the fraction of those
	// routes that have another one.
	Share  float64
	Routes map[string]float64
	// Nodes restricts the version's calls to its upstreams beside these nodes; nil does not.
	Nodes []string
	// Why is the reason for the phase, or why the next one has not begun.
	Why string
}

// Stepper holds the progress of one rollout. It is not safe for concurrent use.
type Stepper struct {
	exposure float64
	phase    Phase
	// since is when the phase began, and seen when the first upstream of the version was known, both
	// from the order on.
	since time.Duration
	seen  time.Duration
	// turn counts the moves of the canary; turned is when it was moved last.
	turn   int
	turned time.Duration
	why    string
}

// New returns the stepper of a rollout whose bound of exposure is a fraction of the calls. It continues
// in the phase that the nodes report of a former controller, Waiting if there was none, and never in a
// later one.
func New(exposure float64, reported Phase, elapsed time.Duration) *Stepper {
	s := &Stepper{exposure: exposure, since: elapsed, turned: elapsed, seen: -1}
	if reported >= Canary && reported <= RollingBack && reported != Done {
		s.phase, s.seen = reported, 0
	}
	return s
}

// Phase returns the current phase.
func (s *Stepper) Phase() Phase { return s.phase }

// Close ends the rollout in a final phase, once that is recorded.
func (s *Stepper) Close(phase Phase, elapsed time.Duration) { s.enter(phase, elapsed, s.why) }

// RollBack begins the rollback for a reason of the caller.
func (s *Stepper) RollBack(elapsed time.Duration, why string) {
	if s.phase != RollingBack && !s.phase.Final() {
		s.enter(RollingBack, elapsed, why)
	}
}

func (s *Stepper) enter(phase Phase, elapsed time.Duration, why string) {
	s.phase, s.since, s.why = phase, elapsed, why
}

// Ended returns the final phase that is to be recorded now, and whether there is one. A rollout whose
// version has lost its upstreams is not done: the platform would then stop the established ones too.
func (s *Stepper) Ended(in Input) (Phase, bool) {
	switch {
	case s.phase == Settling && in.Confirmed && in.Quiet && len(in.Upstreams) > 0:
		return Done, true
	case s.phase == RollingBack && (in.Confirmed || in.Elapsed-s.since > confirmTimeout || in.Limit-in.Elapsed < doneMargin):
		return RolledBack, true
	}
	return s.phase, false
}

// Next moves the rollout on and returns the step that is in force now.
func (s *Stepper) Next(in Input) Step {
	if s.seen < 0 && len(in.Upstreams) > 0 {
		s.seen = in.Elapsed
	}
	s.advance(in)
	step := Step{Phase: s.phase, Why: s.why}
	switch s.phase {
	case Canary:
		step.Share = canaryFraction * s.exposure
		step.Routes = routeShares(step.Share, in.RouteCalls)
		step.Nodes = s.focus(in, step.Share)
	case Ramp:
		step.Share = min(1, rampFraction*s.exposure)
	case Whole, Settling, Done:
		step.Share = 1
	}
	return step
}

// advance enters the next phase if it is due.
func (s *Stepper) advance(in Input) {
	left := in.Limit - in.Elapsed
	switch {
	case s.phase.Final() || s.phase == RollingBack:
		return
	case in.Verdict.Bad:
		s.enter(RollingBack, in.Elapsed, "the version answers badly")
		return
	case s.phase < Settling && left < settleMargin:
		s.enter(RollingBack, in.Elapsed, "the time limit is near: "+s.why)
		return
	case left < doneMargin:
		s.enter(RollingBack, in.Elapsed, "not all nodes have confirmed the whole share in time")
		return
	case len(in.Upstreams) == 0 && s.phase < Settling:
		s.enter(Waiting, in.Elapsed, "no upstream of the version takes calls")
		return
	case !in.StoreResponds:
		s.why = "the store does not respond"
		return
	}
	s.rise(in)
}

// rise enters the next larger phase if it is due, or notes why it is not.
func (s *Stepper) rise(in Input) {
	held := in.Elapsed - s.since
	switch s.phase {
	case Waiting:
		s.enter(Canary, in.Elapsed, "")
	case Canary:
		if s.why = s.canaryLacks(in); s.why == "" {
			s.enter(Ramp, in.Elapsed, "")
		}
	case Ramp:
		if s.why = lacks(in, held, rampTime); s.why == "" {
			s.enter(Whole, in.Elapsed, "")
		}
	case Whole:
		if s.why = lacks(in, held, wholeTime); s.why == "" {
			s.enter(Settling, in.Elapsed, "nodes have to confirm the whole share")
		}
	}
}

// canaryLacks returns what the end of the canary waits for; empty if nothing. Without upstreams of
// another version there is nothing to compare with, and nothing to be moved.
func (s *Stepper) canaryLacks(in Input) string {
	late := in.Elapsed >= fraction(in.Limit, latestRamp)
	switch {
	case in.Established == 0:
		return ""
	case in.Elapsed < fraction(in.Limit, canaryEnd), in.Elapsed-s.seen < minCanaryTime && !late:
		return "the canary lasts until late in the time limit"
	case !in.Confirmed:
		return "nodes have not confirmed the canary"
	case !in.Verdict.Enough && !late && in.Verdict.Lacking != "":
		return "too few answers on route " + in.Verdict.Lacking
	case !in.Verdict.Enough && !late:
		return "too few upstreams of the version have answered"
	}
	return ""
}

// lacks returns what the end of a larger phase waits for.
func lacks(in Input, held, least time.Duration) string {
	switch {
	case !in.Confirmed:
		return "nodes have not confirmed the step"
	case held < least:
		return "the step is observed"
	}
	return ""
}

func fraction(limit time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(limit))
}

// focus returns the upstreams that the canary is concentrated on: as many as give each about the load
// of an upstream of the established version. It moves on in turns, and at once when the present ones
// answer badly: evidence has to come from several upstreams.
func (s *Stepper) focus(in Input, share float64) []string {
	count := len(in.Upstreams)
	if count == 0 {
		return nil
	}
	size := min(count, maxCanaryUpstreams, max(1, int(math.Round(share*float64(in.Established)))))
	turn := min(max(fraction(in.Limit, canaryEnd/2)*time.Duration(size)/time.Duration(count), minTurn), maxTurn)
	present := pick(in.Upstreams, s.turn*size, size)
	suspected := slices.ContainsFunc(present, func(node string) bool { return slices.Contains(in.Verdict.Suspects, node) })
	// Upstreams that are suspected are left early, so that others confirm or refute it.
	if held := in.Elapsed - s.turned; held >= turn || (suspected && held >= minTurn/2) {
		s.turn++
		s.turned = in.Elapsed
		present = pick(in.Upstreams, s.turn*size, size)
	}
	return present
}

// pick returns n elements of a ring from a position on.
func pick(ring []string, from, n int) []string {
	picked := make([]string, 0, n)
	for i := range n {
		picked = append(picked, ring[(from+i)%len(ring)])
	}
	return picked
}

// routeShares divides the calls of a share among the routes so that a rare one gets as many as the
// others, up to maxRouteShare of its own.
func routeShares(share float64, calls map[string]int) map[string]float64 {
	total := 0
	for _, n := range calls {
		total += n
	}
	if total == 0 {
		return nil
	}
	budget, routes := share*float64(total), len(calls)
	shares := map[string]float64{}
	names := slices.SortedFunc(maps.Keys(calls), func(a, b string) int {
		return cmp.Or(cmp.Compare(calls[a], calls[b]), cmp.Compare(a, b))
	})
	// The rarest routes come first and leave what they can't take to the others.
	for i, name := range names {
		each := budget / float64(routes-i)
		shares[name] = min(maxRouteShare, each/float64(max(1, calls[name])))
		budget -= shares[name] * float64(calls[name])
	}
	return shares
}
