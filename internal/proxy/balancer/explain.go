package balancer

import (
	"sort"
	"time"
)

// View is a candidate for a call as Pick judges it.
type View struct {
	Member
	Load
	// Chosen reports whether Pick would return the candidate.
	Chosen bool
	// Ejected, Full and Cold report the state for the call's class. Draining counts what the member
	// and its load state.
	Ejected     bool
	Full        bool
	Draining    bool
	Cold        bool
	Utility     float64
	Expected    time.Duration
	ServiceTime time.Duration
	Wait        time.Duration
	FailureRate float64
	InFlight    int
	// LoadAt is when the load was received, MeasuredAt when a service time was measured last; zero
	// if never.
	LoadAt     time.Time
	MeasuredAt time.Time
}

// Explain returns all candidates for a call in the order of their utility, the one that Pick would
// return first. It changes nothing.
func (b *Balancer) Explain(info PickInfo, now time.Time) []View {
	chosen := b.best(info, now)
	views := make([]View, 0, len(b.services[info.Service]))
	for _, c := range b.services[info.Service] {
		expected := b.expectedTime(c, info, now)
		views = append(views, View{
			Member: c.Member, Load: c.load, Chosen: c == chosen,
			Ejected: now.Before(c.ejectedUntil), Full: c.full(info.Class, now), Draining: c.Draining || c.load.Draining,
			Cold:    now.UnixMilli() < c.ColdUntil,
			Utility: b.utility(c, info, expected, now), Expected: expected, ServiceTime: b.serviceTime(c, info.Kind, now),
			Wait: c.load.Waits[info.Class], FailureRate: c.currentFailureRate(now), InFlight: c.inFlight,
			LoadAt: c.loadAt, MeasuredAt: c.serviceTimes[info.Kind].sampledAt,
		})
	}
	sort.SliceStable(views, func(i, j int) bool {
		if views[i].Chosen != views[j].Chosen {
			return views[i].Chosen
		}
		return views[i].Utility > views[j].Utility
	})
	return views
}
