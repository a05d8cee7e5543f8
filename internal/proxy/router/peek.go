package router

import (
	"slices"
	"strings"
)

// Peek returns the match of a new call as Lookup would, without counting a call.
func (t *Table) Peek(host, target string) (Match, bool) {
	e := t.match(host, target)
	if e == nil {
		return Match{}, false
	}
	if len(e.route.Backends) == 1 {
		return Match{Route: e.route, Service: e.route.Backends[0].Service, entry: e}, true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := e.splitter
	copied.currentWeights = slices.Clone(e.splitter.currentWeights)
	return Match{Route: e.route, Service: copied.next(), entry: e}, true
}

// match returns the entry of the host with the longest prefix that the path of the request target
// begins with; nil if there is none.
func (t *Table) match(host, target string) *entry {
	path := target
	if end := strings.IndexAny(path, "?#"); end >= 0 {
		path = path[:end]
	}
	for _, e := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, e.route.Prefix) {
			return e
		}
	}
	return nil
}
