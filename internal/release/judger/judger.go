// Package judger decides whether a version of a service is bad, from the answers of its upstreams and
// of those of the established version. It has no state and no clock.
//
// It is built for versions that fail part of their calls or are several times slower, from the start
// or later, on all routes or on one, while some upstreams of either version are slow or fail for
// another reason. The versions are compared route by route, and evidence must come from several
// upstreams: the worst of them do not count.
package judger

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// slowBuckets is how many classes above the median of the established version an answer counts
	// as slow: four times the median. Service times vary by a factor of two to three.
	slowBuckets = 2 * bucketsPerDoubling
	// minBaseline is the number of answers of the established version on a route from which its
	// times can be compared.
	minBaseline = 20
	// minBad is the number of bad answers below which there is no evidence.
	minBad = 3
	// baselineFactor and baselineMargin widen the established version's rate of bad answers, since
	// its upstreams are others.
	baselineFactor = 1.2
	baselineMargin = 0.05
	maxBaseline    = 0.9
	// minDeviations is by how many standard deviations, and minExcess by how many answers, the bad
	// answers must exceed what the established version's rate explains. The verdict is repeated some
	// hundred times in a rollout.
	minDeviations = 3.0
	minExcess     = 1.0
	// upstreamsPerOutlier is the number of upstreams per one whose bad answers do not count, beyond
	// the first: 16 % of them are slow or fail for reasons of their own.
	upstreamsPerOutlier = 6
	// minShowing is the number of upstreams that must answer badly, as far as there are as many, and
	// minShowingRate the fraction of bad answers from which one does. From tellingAnswers on, an
	// upstream that does not speaks for the version. If any has as many, a single bad answer, which may
	// be the slowest of many, does not count among the minShowing.
	minShowing     = 3
	minShowingRate = 0.15
	tellingAnswers = 6
	// enoughAnswers is the number of answers on a route that a step waits for, and rareRoute the
	// fraction of the calls below which no step waits for a route.
	enoughAnswers = 12
	rareRoute     = 0.01
	// enoughUpstreams is the number of upstreams that must have answered before a step.
	enoughUpstreams = 3
)

// Answers holds the answers to the calls of one service since the order.
type Answers struct {
	// Established holds those of the established version by route.
	Established map[string]*Tally
	// Target holds those of the version that is rolled out by route and node of the upstream.
	Target map[string]map[string]*Tally
	// Others holds the answers of the established version by node of the upstream, of which the bad
	// ones, as the nodes judge them, are Failures.
	Others map[string]*Tally
	// Upstreams is the number of upstreams of the version that is rolled out.
	Upstreams int
}

// Since returns the answers without those of an earlier time. The established version keeps all of them
// on a route on which it has too few since.
func (a Answers) Since(earlier Answers) Answers {
	since := Answers{Established: without(a.Established, earlier.Established), Target: map[string]map[string]*Tally{}, Others: a.Others, Upstreams: a.Upstreams}
	for route, tally := range a.Established {
		// Once most calls go to the target, what came before is still the best comparison.
		if recent := since.Established[route]; recent == nil || recent.Answers() < minBaseline {
			since.Established[route] = tally
		}
	}
	for route, tallies := range a.Target {
		since.Target[route] = without(tallies, earlier.Target[route])
	}
	return since
}

// without returns tallies less those of an earlier time. Without answers since, there is none.
func without(tallies, earlier map[string]*Tally) map[string]*Tally {
	since := map[string]*Tally{}
	for key, t := range tallies {
		difference := *t
		if before := earlier[key]; before != nil {
			difference.subtract(*before)
		}
		if difference.Answers() > 0 {
			since[key] = &difference
		}
	}
	return since
}

// AllRoutes is the route of evidence that is drawn from all routes together.
const AllRoutes = "*"

// Evidence is what a verdict is based on.
type Evidence struct {
	// Route is the route, or AllRoutes.
	Route string
	// Upstreams is the number of upstreams that the answers come from, those that do not count left
	// out, and Answers and Bad the numbers of their answers.
	Upstreams int
	Answers   int
	Bad       int
	// Expected is the number of bad answers that the rate of the established version explains.
	Expected float64
}

// Verdict is the result of Judge.
type Verdict struct {
	// Bad means that the version is bad, by Evidence.
	Bad      bool
	Evidence Evidence
	// Suspects are the nodes whose upstreams answer badly, whether or not the version is bad.
	Suspects []string
	// Enough means that there are enough answers on each route, and Lacking is otherwise a route
	// that lacks them, or empty if upstreams have not answered yet.
	Enough  bool
	Lacking string
}

// sample is the answers of one upstream, on one route or on all, with the number of bad ones, the
// number that the baseline explains and its variance.
type sample struct {
	upstream string
	answers  int
	bad      int
	expected float64
	variance float64
}

func (s sample) plus(other sample) sample {
	s.answers += other.answers
	s.bad += other.bad
	s.expected += other.expected
	s.variance += other.variance
	return s
}

// excess is the number of bad answers that the baseline does not explain.
func (s sample) excess() float64 { return float64(s.bad) - s.expected }

// isBad reports whether the bad answers exceed by far what the baseline explains.
func (s sample) isBad() bool {
	return s.bad >= minBad && s.excess() > minDeviations*math.Sqrt(s.variance)+minExcess
}

// Judge returns the verdict on the version that is rolled out.
func Judge(a Answers) Verdict {
	var verdict Verdict
	all := map[string]sample{}
	soundFraction := a.soundFraction()
	for _, route := range slices.Sorted(maps.Keys(a.Target)) {
		samples := a.samples(route, soundFraction)
		for _, s := range samples {
			all[s.upstream] = all[s.upstream].plus(s)
		}
		verdict.apply(route, samples, a.Upstreams)
	}
	var samples []sample
	for _, upstream := range slices.Sorted(maps.Keys(all)) {
		s := all[upstream]
		s.upstream = upstream
		samples = append(samples, s)
	}
	verdict.apply(AllRoutes, samples, a.Upstreams)
	slices.Sort(verdict.Suspects)
	verdict.Suspects = slices.Compact(verdict.Suspects)
	verdict.Lacking, verdict.Enough = a.lacking(len(samples))
	return verdict
}

// outliers is the number of upstreams, of so many, whose bad answers may have another reason.
func outliers(upstreams int) int { return 1 + upstreams/upstreamsPerOutlier }

// soundFraction returns the rate of bad answers of the established version's sound upstreams, as a
// fraction of its rate. The worst upstreams are left out, like those of the version that is rolled out.
func (a Answers) soundFraction() float64 {
	tallies := make([]*Tally, 0, len(a.Others))
	for _, upstream := range slices.Sorted(maps.Keys(a.Others)) {
		tallies = append(tallies, a.Others[upstream])
	}
	slices.SortStableFunc(tallies, func(t, other *Tally) int { return cmp.Compare(other.failureRate(), t.failureRate()) })
	if len(tallies) <= outliers(len(tallies)) {
		return 1
	}
	var all, sound Tally
	for i, t := range tallies {
		all.Add(*t)
		if i >= outliers(len(tallies)) {
			sound.Add(*t)
		}
	}
	if all.Failures == 0 {
		return 1
	}
	return min(1, sound.failureRate()/all.failureRate())
}

// samples returns the answers of each upstream on a route.
func (a Answers) samples(route string, soundFraction float64) []sample {
	var established Tally
	if known := a.Established[route]; known != nil {
		established = *known
	}
	slow := established.slowBucket()
	rate := float64(established.bad(slow)) / float64(max(1, established.Answers()))
	rate = min(maxBaseline, baselineFactor*soundFraction*rate+baselineMargin)
	var samples []sample
	for _, upstream := range slices.Sorted(maps.Keys(a.Target[route])) {
		tally := a.Target[route][upstream]
		n := float64(tally.Answers())
		samples = append(samples, sample{
			upstream: upstream, answers: tally.Answers(), bad: tally.bad(slow),
			expected: n * rate, variance: n * rate * (1 - rate),
		})
	}
	return samples
}

// apply adds what samples of a route show. The version is bad if the samples without the outliers are,
// and if most upstreams show bad answers. The worst upstream is an outlier in any case, others only if
// they alone are bad: where each has few answers, the worst are so by chance.
func (v *Verdict) apply(route string, samples []sample, upstreams int) {
	slices.SortStableFunc(samples, func(a, b sample) int { return cmp.Compare(b.excess(), a.excess()) })
	for _, s := range samples {
		if s.isBad() {
			v.Suspects = append(v.Suspects, s.upstream)
		}
	}
	if len(samples) == 0 || v.Bad {
		return
	}
	dropped := 0
	if upstreams > 1 {
		dropped = 1
		for dropped < min(outliers(len(samples)), len(samples)) && samples[dropped].isBad() {
			dropped++
		}
	}
	var rest sample
	for _, s := range samples[dropped:] {
		rest = rest.plus(s)
	}
	if rest.isBad() && mostShow(samples, upstreams) {
		v.Bad = true
		v.Evidence = Evidence{
			Route: route, Upstreams: len(samples) - dropped, Answers: rest.answers, Bad: rest.bad, Expected: rest.expected,
		}
	}
}

// mostShow reports whether several upstreams answer badly, and more than half of those with enough
// answers to tell. A bad version is bad at all of them. Without this, two faulty upstreams that the canary
// reaches one after the other would make a good version bad.
func mostShow(samples []sample, upstreams int) bool {
	showing, repeatedly, telling, tellingShow := 0, 0, 0, 0
	for _, s := range samples {
		shows := s.bad > 0 && float64(s.bad) >= minShowingRate*float64(s.answers)
		if shows {
			showing++
		}
		if shows && s.bad > 1 {
			repeatedly++
		}
		if s.answers >= tellingAnswers {
			telling++
			if shows {
				tellingShow++
			}
		}
	}
	if telling == 0 {
		return showing >= min(minShowing, upstreams)
	}
	return repeatedly >= min(minShowing, upstreams) && 2*tellingShow > telling
}

// lacking returns a route with too few answers of the version, and whether there is neither such a
// route nor a lack of upstreams that have answered.
func (a Answers) lacking(answered int) (string, bool) {
	calls := 0
	for _, tally := range a.Established {
		calls += tally.Answers()
	}
	for _, route := range slices.Sorted(maps.Keys(a.Established)) {
		if float64(a.Established[route].Answers()) < rareRoute*float64(calls) {
			continue
		}
		if a.answersOn(route) < enoughAnswers {
			return route, false
		}
	}
	return "", answered > 0 && answered >= min(enoughUpstreams, a.Upstreams)
}

// answersOn returns the number of answers of the version on a route.
func (a Answers) answersOn(route string) int {
	sum := 0
	for _, tally := range a.Target[route] {
		sum += tally.Answers()
	}
	return sum
}
