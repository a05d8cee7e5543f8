package router

import "strings"

// IsUrgent reports whether a request matches a route that is not idempotent and of the most urgent rank in
// the table. Unlike Lookup, it does not count as a call.
func (t *Table) IsUrgent(host, target string) bool {
	path, _, _ := strings.Cut(target, "?")
	for _, e := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, e.route.Prefix) {
			return !e.route.Idempotent && e.route.Rank <= t.lowestRank()
		}
	}
	return false
}

// lowestRank returns the rank of the most urgent routes.
func (t *Table) lowestRank() int {
	lowest, found := 0, false
	for _, entries := range t.hosts {
		for _, e := range entries {
			if !found || e.route.Rank < lowest {
				lowest, found = e.route.Rank, true
			}
		}
	}
	return lowest
}
