package router

// IsUrgent reports whether a request matches a route that is not idempotent and of the most urgent rank in
// the table. Unlike Lookup, it does not count as a call.
func (t *Table) IsUrgent(host, target string) bool {
	route := t.Route(host, target)
	return route != nil && !route.Idempotent && route.Rank <= t.lowestRank
}

// lowestRank returns the rank of the most urgent routes; 0 if there are none.
func lowestRank(routes []Route) int {
	if len(routes) == 0 {
		return 0
	}
	lowest := routes[0].Rank
	for i := range routes {
		lowest = min(lowest, routes[i].Rank)
	}
	return lowest
}
