// Package assigner assigns the calls of a node to the versions of a service by the plan of the rollout
// controller, and counts how they end. The current time is an argument.
//
// It is built for nodes that may lose the controller at any moment: a plan that has expired counts as
// none, and a call without a plan goes to the established version. A node that sees the new version
// answer badly sends it fewer calls at once, before the controller can know.
package assigner

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/release/judger"
	"github.com/tamarackscale/tamarackscale/internal/release/stepper"
)

const (
	// maxValidity bounds how long a plan may hold after its receipt, and maxServices and maxRows what
	// a node keeps of plans and answers.
	maxValidity = 10 * time.Second
	maxServices = 64
	maxRows     = 1000
	// recentAnswers is the number of latest answers that a node judges the target by, and minRecentBad
	// the number of bad ones among them that make it hold back. At a rate of bad answers of 8 % for
	// another reason, 1 of 100 windows has as many.
	recentAnswers = 6
	minRecentBad  = 3
	// heldMargin is by how much the fraction of bad answers must exceed the established version's,
	// and heldShare what is left of the share then.
	heldMargin = 0.4
	heldShare  = 0.3
	// slowFactor is how many times the mean time of the established version an answer takes that
	// counts as slow at the node.
	slowFactor = 4
	// smoothing is the weight of the newest answer in means.
	smoothing = 0.05
	// coldFactor divides the times of an upstream that has just started, which is expected to be
	// that much slower.
	coldFactor = 2
)

// Assigner assigns calls to versions. It is safe for concurrent use.
type Assigner struct {
	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*service
	// done holds the version that a rollout has made the established one, by service.
	done map[string]string
	// inFlight counts the attempts in flight by service and version.
	inFlight map[string]map[string]int
}

// service is the state of the rollout of one service.
type service struct {
	plan  Plan
	until time.Time
	// ordered is the time of the order, as far as known.
	ordered time.Time
	shares  map[string]float64
	nodes   []string
	// credits holds the fraction of a call to the target that is due, by route.
	credits     map[string]float64
	calls       int
	targetCalls int
	rows        map[rowKey]*judger.Tally
	// means is the mean time of the other versions' answers by route, badRate their fraction of bad
	// ones.
	means   map[string]time.Duration
	badRate float64
	// recent holds whether the latest answers of the target were bad.
	recent []bool
}

// rowKey names a row of a report.
type rowKey struct{ route, upstream string }

// New returns an assigner without plans. The seed differs between processes, so that their calls to a
// new version do not coincide.
func New(seed uint64) *Assigner {
	return &Assigner{
		random: rand.New(rand.NewPCG(seed, 0)), services: map[string]*service{}, done: map[string]string{},
		inFlight: map[string]map[string]int{},
	}
}

// Apply makes a plan the one that the node follows, unless it is invalid or follows a later one.
func (a *Assigner) Apply(p Plan, now time.Time) {
	if p.Service == "" || p.Target == "" || !(p.Share >= 0 && p.Share <= 1) || p.Validity <= 0 || p.Validity > maxValidity {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[p.Service]
	if s == nil && len(a.services) >= maxServices && !a.removeEnded(now) {
		return
	}
	if s != nil && (p.Epoch < s.plan.Epoch || (p.Epoch == s.plan.Epoch && p.Sequence < s.plan.Sequence)) {
		return
	}
	if s == nil || s.plan.Order != p.Order {
		s = &service{ordered: now, credits: map[string]float64{}, rows: map[rowKey]*judger.Tally{}, means: map[string]time.Duration{}}
		a.services[p.Service] = s
	}
	s.apply(p, now)
	switch stepper.Phase(p.Phase) {
	case stepper.Done:
		a.done[p.Service] = p.Target
	case stepper.RolledBack:
		if a.done[p.Service] == p.Target {
			delete(a.done, p.Service)
		}
	}
}

// removeEnded removes a service whose rollout has ended and whose plan has expired. It reports whether
// there was one. The established version stays known.
func (a *Assigner) removeEnded(now time.Time) bool {
	for name, s := range a.services {
		if stepper.Phase(s.plan.Phase).Final() && !now.Before(s.until) {
			delete(a.services, name)
			return true
		}
	}
	return false
}

// apply takes over a plan.
func (s *service) apply(p Plan, now time.Time) {
	if ordered := now.Add(-p.Elapsed); ordered.Before(s.ordered) {
		s.ordered = ordered
	}
	s.plan, s.until = p, now.Add(p.Validity)
	s.shares = make(map[string]float64, len(p.Routes))
	for _, r := range p.Routes {
		s.shares[r.Route] = min(1, max(0, r.Share))
	}
	s.nodes = nil
	for _, u := range p.Nodes {
		s.nodes = append(s.nodes, u.Node)
	}
}

// Plan returns the plan for a service that the node has received last, and whether it still holds.
func (a *Assigner) Plan(name string, now time.Time) (Plan, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if s == nil {
		return Plan{}, false
	}
	return s.plan, now.Before(s.until)
}

// Plans returns the plans that the node has received last, sorted by service.
func (a *Assigner) Plans() []Plan {
	a.mu.Lock()
	defer a.mu.Unlock()
	plans := make([]Plan, 0, len(a.services))
	for _, s := range a.services {
		plans = append(plans, s.plan)
	}
	slices.SortFunc(plans, func(p, other Plan) int { return cmp.Compare(p.Service, other.Service) })
	return plans
}

// Established returns the established version of a service: that of the last rollout that is known to
// be done, if an upstream of it is left that does not drain, otherwise that of the upstream that started first.
func (a *Assigner) Established(b *balancer.Balancer, name string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.established(b, name)
}

func (a *Assigner) established(b *balancer.Balancer, name string) string {
	done := a.done[name]
	if done != "" && b.Knows(name, done, false) {
		return done
	}
	return b.EstablishedVersion(name)
}

// Restrict implements dispatcher.Versions. Only the first attempt of a call goes to the target, until
// the rollout settles: what fails there is tried again at the established version.
func (a *Assigner) Restrict(b *balancer.Balancer, info balancer.PickInfo, now time.Time) balancer.VersionFilter {
	a.mu.Lock()
	defer a.mu.Unlock()
	established := balancer.VersionFilter{Version: a.established(b, info.Service)}
	s := a.services[info.Service]
	if s == nil {
		return established
	}
	target := balancer.VersionFilter{Version: s.plan.Target, Exact: true, Nodes: s.nodes}
	settling := stepper.Phase(s.plan.Phase) == stepper.Settling
	if !now.Before(s.until) {
		info.Versions = established
		if settling && !b.Responsive(info, now) {
			// The controller may have ended when it had recorded that the rollout is done, and the
			// platform has stopped the former upstreams.
			return target
		}
		return established
	}
	if !settling && (len(info.Tried) > 0 || !s.take(info.Kind, a.random)) {
		return established
	}
	info.Versions = target
	if !b.Available(info, now) && (!settling || !b.Knows(info.Service, s.plan.Target, true)) {
		return established
	}
	return target
}

// take reports whether a call on a route goes to the target. The calls in between are evenly spaced.
func (s *service) take(route string, random *rand.Rand) bool {
	share, known := s.shares[route]
	if !known {
		share = s.plan.Share
	}
	if s.holdsBack() {
		share *= heldShare
	}
	if share <= 0 {
		return false
	}
	credit, known := s.credits[route]
	if !known {
		credit = random.Float64()
	}
	credit += share
	if credit < 1 {
		s.credits[route] = credit
		return false
	}
	s.credits[route] = credit - 1
	return true
}

// holdsBack reports whether the target's latest answers to this node were much worse than those of
// other versions.
func (s *service) holdsBack() bool {
	bad := 0
	for _, b := range s.recent {
		if b {
			bad++
		}
	}
	return bad >= minRecentBad && float64(bad)/float64(len(s.recent)) > s.badRate+heldMargin
}

// Began implements dispatcher.Versions.
func (a *Assigner) Began(m balancer.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	versions := a.inFlight[m.Service]
	if versions == nil {
		versions = map[string]int{}
		a.inFlight[m.Service] = versions
	}
	versions[m.Version]++
	if s := a.services[m.Service]; s != nil {
		s.calls++
		if m.Version == s.plan.Target {
			s.targetCalls++
		}
	}
}

// Ended implements dispatcher.Versions. An attempt that was withdrawn counts by the time that it had
// taken, if that was long: the answer of a slow version would otherwise never count where another
// attempt is faster.
func (a *Assigner) Ended(m balancer.Member, o balancer.Outcome, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if versions := a.inFlight[m.Service]; versions[m.Version] > 1 {
		versions[m.Version]--
	} else {
		delete(versions, m.Version)
	}
	s := a.services[m.Service]
	if s == nil {
		return
	}
	took := o.Elapsed
	if o.Answered {
		took = o.UpstreamTime
	}
	if now.UnixMilli() < m.ColdUntil {
		took /= coldFactor
	}
	failed := o.Failed && !o.Full
	if !failed && !o.Answered && (o.Full || o.Unreachable || !s.isSlow(o.Kind, took)) {
		return
	}
	s.record(m, o.Kind, failed, took)
}

// isSlow reports whether an answer on a route takes several times as long as those of other versions.
func (s *service) isSlow(route string, took time.Duration) bool {
	mean := s.means[route]
	return mean > 0 && took > slowFactor*mean
}

// record counts an answer.
func (s *service) record(m balancer.Member, route string, failed bool, took time.Duration) {
	key := rowKey{route: route}
	bad := failed || s.isSlow(route, took)
	if m.Version == s.plan.Target {
		key.upstream = m.Node
		if len(s.recent) == recentAnswers {
			s.recent = append(s.recent[:0], s.recent[1:]...)
		}
		s.recent = append(s.recent, bad)
	} else {
		s.recordOther(route, bad, failed, took)
		s.count(rowKey{upstream: m.Node}, bad, 0)
	}
	s.count(key, failed, took)
}

// count counts an answer in a row.
func (s *service) count(key rowKey, failed bool, took time.Duration) {
	tally := s.rows[key]
	if tally == nil {
		if len(s.rows) >= maxRows {
			return
		}
		tally = &judger.Tally{}
		s.rows[key] = tally
	}
	tally.Record(failed, took)
}

// recordOther updates the means of other versions.
func (s *service) recordOther(route string, bad, failed bool, took time.Duration) {
	value := 0.0
	if bad {
		value = 1
	}
	s.badRate += smoothing * (value - s.badRate)
	mean, known := s.means[route]
	switch {
	case failed:
	case !known:
		s.means[route] = took
	default:
		s.means[route] = mean + time.Duration(smoothing*float64(took-mean))
	}
}

// Report returns what the node has counted since the order of its plan; ok is false without a plan.
func (a *Assigner) Report(name string, now time.Time) (r Report, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if s == nil {
		return Report{}, false
	}
	r = Report{
		Service: name, Order: s.plan.Order, Epoch: s.plan.Epoch, Sequence: s.plan.Sequence, Phase: s.plan.Phase,
		Elapsed: now.Sub(s.ordered), Calls: s.calls, TargetCalls: s.targetCalls,
	}
	for version, n := range a.inFlight[name] {
		if version != s.plan.Target {
			r.OtherInFlight += n
		}
	}
	for key, tally := range s.rows {
		r.Rows = append(r.Rows, Row{Route: key.route, Upstream: key.upstream, Tally: *tally})
	}
	return r, true
}
