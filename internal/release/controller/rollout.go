package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/release/assigner"
	"github.com/tamarackscale/tamarackscale/internal/release/judger"
	"github.com/tamarackscale/tamarackscale/internal/release/stepper"
)

const (
	// validity is how long a node follows a plan that is not renewed. It is four exchanges, and less
	// than the time within which calls to a bad version have to end.
	validity = 2 * time.Second
	// contactTime is how long a node that does not reply is waited for. Its plan expires by then.
	contactTime = validity
)

// order is an order with what identifies it.
type order struct {
	stepper.Order
	id int64
	// withdrawn means that the operator has deleted the order.
	withdrawn bool
}

// rollout is the rollout of one order at the controller. It does no I/O. It is not safe for concurrent
// use.
type rollout struct {
	order    order
	epoch    int64
	sequence int64
	// ordered is the time of the order, as far as the nodes know.
	ordered time.Time
	// stepper is nil until the nodes have been asked what they follow.
	stepper *stepper.Stepper
	// asked is when they were asked first.
	asked time.Time
	// reported is the latest phase that a node has reported of a former controller's plan.
	reported stepper.Phase
	peers    map[peer]*peerState
	step     stepper.Step
	verdict  judger.Verdict
	// history holds the sums of the last seconds, oldest first.
	history []sums
}

// sums are the answers of all nodes as known at a time.
type sums struct {
	at      time.Time
	answers judger.Answers
}

// windows are the times over which the answers are judged, besides all since the order: those from
// before a version turned bad would hide its failures. The short ones are for the large
// steps, in which each tenth of a second counts.
var windows = []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second}

// peer identifies a process of a node.
type peer struct {
	node  string
	start int64
}

func peerOf(m balancer.Member) peer { return peer{node: m.Node, start: m.Start} }

// peerState is what the controller knows of a node.
type peerState struct {
	report assigner.Report
	// seen is when the node was known first or replied last.
	seen    time.Time
	replied bool
	// unable means that the node does not roll versions out, as one of an earlier release.
	unable bool
}

// newRollout returns the rollout of an order that was first seen at a time.
func newRollout(o order, epoch int64, seen, now time.Time) *rollout {
	return &rollout{order: o, epoch: epoch, ordered: seen, asked: now, peers: map[peer]*peerState{}}
}

// inquiryTime is how long a new controller waits at most for the reports of all nodes, before it makes a
// plan.
const inquiryTime = 400 * time.Millisecond

// addPeers adds the members that are not known yet.
func (r *rollout) addPeers(members []balancer.Member, now time.Time) {
	for _, m := range members {
		if r.peers[peerOf(m)] == nil {
			r.peers[peerOf(m)] = &peerState{seen: now}
		}
	}
}

// receive takes in the reply of a node.
func (r *rollout) receive(from peer, report assigner.Report, now time.Time) {
	p := r.peers[from]
	if p == nil {
		p = &peerState{}
		r.peers[from] = p
	}
	p.seen, p.replied = now, true
	if report.Order != r.order.id {
		return
	}
	p.report = report
	if ordered := now.Add(-report.Elapsed); ordered.Before(r.ordered) {
		r.ordered = ordered
	}
	if r.stepper == nil {
		r.reported = max(r.reported, stepper.Phase(report.Phase))
	}
}

// refuse notes that a node does not roll versions out.
func (r *rollout) refuse(from peer) {
	if p := r.peers[from]; p != nil {
		p.unable = true
	}
}

// phase returns the phase of the plan.
func (r *rollout) phase() stepper.Phase {
	if r.stepper == nil {
		return stepper.Waiting
	}
	return r.stepper.Phase()
}

// elapsed returns the time since the order.
func (r *rollout) elapsed(now time.Time) time.Duration { return now.Sub(r.ordered) }

// decide moves the rollout on. It returns the final phase that is to be recorded, and whether there is
// one. No plan is made before the nodes have been asked.
func (r *rollout) decide(members []balancer.Member, exposure float64, storeResponds bool, now time.Time) (stepper.Phase, bool) {
	r.addPeers(members, now)
	if r.stepper == nil {
		if !r.allReplied(members) && now.Sub(r.asked) < inquiryTime {
			return stepper.Waiting, false
		}
		r.stepper = stepper.New(exposure, r.reported, r.elapsed(now))
	}
	if r.order.withdrawn {
		r.stepper.RollBack(r.elapsed(now), "the order was withdrawn")
	}
	in := r.input(members, now)
	in.StoreResponds = storeResponds
	before := r.stepper.Phase()
	r.step, r.verdict = r.stepper.Next(in), in.Verdict
	if r.step.Phase != before {
		// No node can have confirmed the new phase.
		in.Confirmed = false
	}
	return r.stepper.Ended(in)
}

// allReplied reports whether every member has replied.
func (r *rollout) allReplied(members []balancer.Member) bool {
	return !slices.ContainsFunc(members, func(m balancer.Member) bool {
		p := r.peers[peerOf(m)]
		return p == nil || (!p.replied && !p.unable)
	})
}

// input collects what the next step is decided on.
func (r *rollout) input(members []balancer.Member, now time.Time) stepper.Input {
	in := stepper.Input{
		Elapsed: r.elapsed(now), Limit: r.order.Limit, Confirmed: true, Quiet: true, RouteCalls: map[string]int{},
	}
	var upstreams []balancer.Member
	for _, m := range members {
		switch {
		case m.Service != r.order.Service:
		case m.Version != r.order.Target:
			in.Established++
		case !m.Draining:
			upstreams = append(upstreams, m)
		}
		p := r.peers[peerOf(m)]
		if p == nil || p.unable || now.Sub(p.seen) > contactTime {
			continue
		}
		in.Confirmed = in.Confirmed && r.follows(p.report)
		in.Quiet = in.Quiet && p.report.OtherInFlight == 0
	}
	slices.SortFunc(upstreams, func(a, b balancer.Member) int {
		return cmp.Or(cmp.Compare(a.Born, b.Born), cmp.Compare(a.Node, b.Node))
	})
	for _, m := range upstreams {
		in.Upstreams = append(in.Upstreams, m.Node)
	}
	answers := r.answers(len(upstreams))
	for route, tally := range answers.Established {
		in.RouteCalls[route] = tally.Answers()
	}
	in.Verdict = r.judge(answers, now)
	return in
}

// judge returns the verdict on all answers, or the first bad one on those of a window.
func (r *rollout) judge(answers judger.Answers, now time.Time) judger.Verdict {
	longest := slices.Max(windows)
	for len(r.history) > 1 && now.Sub(r.history[1].at) >= longest {
		r.history = r.history[1:]
	}
	verdict := judger.Judge(answers)
	for _, window := range windows {
		i := slices.IndexFunc(r.history, func(s sums) bool { return now.Sub(s.at) < window })
		if i < 1 {
			continue
		}
		recent := judger.Judge(answers.Since(r.history[i-1].answers))
		verdict.Suspects = append(verdict.Suspects, recent.Suspects...)
		if recent.Bad && !verdict.Bad {
			verdict.Bad, verdict.Evidence = true, recent.Evidence
		}
	}
	slices.Sort(verdict.Suspects)
	verdict.Suspects = slices.Compact(verdict.Suspects)
	r.history = append(r.history, sums{at: now, answers: answers})
	return verdict
}

// follows reports whether the report is of a node that follows the present phase.
func (r *rollout) follows(report assigner.Report) bool {
	return report.Order == r.order.id && report.Epoch == r.epoch && stepper.Phase(report.Phase) == r.stepper.Phase()
}

// answers sums what the nodes have counted, those that have ended included.
func (r *rollout) answers(upstreams int) judger.Answers {
	a := judger.Answers{
		Established: map[string]*judger.Tally{}, Target: map[string]map[string]*judger.Tally{},
		Others: map[string]*judger.Tally{}, Upstreams: upstreams,
	}
	for _, p := range r.peers {
		for _, row := range p.report.Rows {
			switch {
			case row.Upstream == "":
				add(a.Established, row.Route, row.Tally)
			case row.Route == "":
				add(a.Others, row.Upstream, row.Tally)
			case a.Target[row.Route] == nil:
				a.Target[row.Route] = map[string]*judger.Tally{}
				fallthrough
			default:
				add(a.Target[row.Route], row.Upstream, row.Tally)
			}
		}
	}
	return a
}

func add(sums map[string]*judger.Tally, key string, t judger.Tally) {
	if sums[key] == nil {
		sums[key] = &judger.Tally{}
	}
	sums[key].Add(t)
}

// calls returns the attempts of all nodes since the order, and those sent to the target.
func (r *rollout) calls() (all, target int) {
	for _, p := range r.peers {
		all += p.report.Calls
		target += p.report.TargetCalls
	}
	return all, target
}

// plan returns what the nodes are told now. Before the first decision it only asks: a plan that does not
// hold replaces none.
func (r *rollout) plan(now time.Time) assigner.Plan {
	p := assigner.Plan{Service: r.order.Service, Target: r.order.Target, Order: r.order.id, Epoch: r.epoch, Elapsed: r.elapsed(now)}
	if r.stepper == nil {
		return p
	}
	r.sequence++
	p.Sequence, p.Phase, p.Share, p.Why, p.Validity = r.sequence, int(r.stepper.Phase()), r.step.Share, r.step.Why, validity
	for _, route := range slices.Sorted(maps.Keys(r.step.Routes)) {
		p.Routes = append(p.Routes, assigner.RouteShare{Route: route, Share: r.step.Routes[route]})
	}
	for _, node := range r.step.Nodes {
		p.Nodes = append(p.Nodes, assigner.Upstream{Node: node})
	}
	return p
}

// close ends the rollout once its final state is recorded.
func (r *rollout) close(phase stepper.Phase, now time.Time) {
	if r.stepper == nil {
		r.stepper = stepper.New(1, stepper.Waiting, r.elapsed(now))
	}
	r.stepper.Close(phase, r.elapsed(now))
	r.step = r.stepper.Next(stepper.Input{})
}
