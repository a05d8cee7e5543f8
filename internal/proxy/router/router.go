// Package router holds the routing table of one configuration version and selects
// the route and the service of a call. The routes of a Table are immutable; only the
// state of its traffic splitters changes.
package router

import (
	"fmt"
	"hash/fnv"
	"sort"
	"strings"
	"sync"
	"time"
)

// Configuration is one version of the configuration that operators publish.
type Configuration struct {
	// Version increases from one configuration to the next, not necessarily by one.
	Version int64
	Limits  Limits
	Routes  []Route
	// Services lists every service that a route may refer to.
	Services []Service
	// UnknownKinds lists the routes of a kind that this release does not know. They are not
	// Idempotent, since a call of an unknown kind must not be repeated.
	UnknownKinds []UnknownKind
	// Accounts are the clients of the deployment; nil if calls need no key.
	Accounts []Account
}

// UnknownKind names a route and its kind, which a later release may know.
type UnknownKind struct {
	Route string
	Kind  string
}

// Limits bounds what a caller may send on one connection.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to read the header of one request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time that a connection may stay open between requests.
	IdleTimeout time.Duration
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConnections bounds the connections to each upstream of the service.
	MaxConnections int
}

// Route configures the calls to one host whose path begins with one prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Backends has at least one entry. Calls are split in proportion to the weights.
	Backends []Backend
	// Idempotent means that a call may run more than once, so that it may be
	// retried and hedged.
	Idempotent bool
	// Timeout bounds the duration of a call; zero means that the route sets no limit.
	Timeout time.Duration
	// Objective is the latency target: an answer within it has its full value.
	Objective time.Duration
	// MaxAttempts bounds the number of upstreams that receive one call.
	MaxAttempts int
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// Public means that calls need no key, if the configuration has accounts.
	Public bool
}

// Backend is one weighted destination of a route.
type Backend struct {
	Service string
	Weight  int
}

// Table looks up routes. It is safe for concurrent use.
type Table struct {
	Configuration

	// hosts holds the entries of each host in lower case, the longest prefix first.
	hosts    map[string][]*entry
	services map[string]Service
	// lowestRank is the rank of the most urgent routes.
	lowestRank int
	// accounts is nil if the configuration has none.
	accounts *accounts
}

// entry is a route with the state of its traffic split.
type entry struct {
	route *Route
	// ranked holds the route with each rank; nil if the configuration has no accounts.
	ranked []Route
	// mu guards splitter.
	mu       sync.Mutex
	splitter splitter
}

// Match is the route of a call with the service selected for it.
type Match struct {
	*Route
	Service string
	// entry is that of the route.
	entry *entry
}

// New builds the table of a configuration. Routes whose backends did not change keep
// the splitter state of the previous table, which may be nil. Traffic splits of other routes
// begin at positions that the seed determines.
func New(c Configuration, previous *Table, seed uint64) *Table {
	t := &Table{
		Configuration: c, hosts: map[string][]*entry{}, services: map[string]Service{}, lowestRank: lowestRank(c.Routes),
	}
	for _, service := range c.Services {
		t.services[service.Name] = service
	}
	if previous != nil {
		t.accounts = newAccounts(&c, previous.accounts)
	} else {
		t.accounts = newAccounts(&c, nil)
	}
	// The keys are not kept.
	t.Accounts = nil
	for i := range t.Routes {
		route := &t.Routes[i]
		host := strings.ToLower(route.Host)
		e := &entry{route: route, splitter: newSplitter(route.Backends, phase(seed, route))}
		if t.accounts != nil {
			e.ranked = rankedRoutes(route)
		}
		t.hosts[host] = append(t.hosts[host], e)
	}
	for _, entries := range t.hosts {
		sort.SliceStable(entries, func(i, j int) bool {
			return len(entries[i].route.Prefix) > len(entries[j].route.Prefix)
		})
	}
	t.inherit(previous)
	return t
}

// phase returns a hash of a seed and a route.
func phase(seed uint64, r *Route) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%s/%s", seed, r.Host, r.Prefix)
	return h.Sum64()
}

// inherit copies the splitter state of routes whose backends did not change, since frequent
// configuration updates would otherwise restart the split each time and skew it. Routes of
// two versions correspond if they have the same host and prefix.
func (t *Table) inherit(previous *Table) {
	if previous == nil {
		return
	}
	for host, entries := range t.hosts {
		for _, e := range entries {
			if old := previous.find(host, e.route.Prefix); old != nil {
				old.mu.Lock()
				e.splitter.inherit(&old.splitter)
				old.mu.Unlock()
			}
		}
	}
}

func (t *Table) find(host, prefix string) *entry {
	for _, e := range t.hosts[host] {
		if e.route.Prefix == prefix {
			return e
		}
	}
	return nil
}

// Service returns the configuration of a service, and whether it is configured.
func (t *Table) Service(name string) (Service, bool) {
	service, found := t.services[name]
	return service, found
}

// Lookup returns the route of the host with the longest prefix that the path of the
// request target begins with, and whether there is one. The host may have a port. Each
// lookup counts as a call that is split among the route's backends, unless the call was split
// before to the given service and that is still one of them.
func (t *Table) Lookup(host, target, before string) (Match, bool) {
	if e := t.match(host, target); e != nil {
		return Match{Route: e.route, Service: e.next(before), entry: e}, true
	}
	return Match{}, false
}

// Route returns the route of a call like Lookup, without counting the call; nil if there is none.
func (t *Table) Route(host, target string) *Route {
	if e := t.match(host, target); e != nil {
		return e.route
	}
	return nil
}

// next returns the service for a call that was split to the service before; empty if it is new.
func (e *entry) next(before string) string {
	if len(e.route.Backends) == 1 {
		return e.route.Backends[0].Service
	}
	for _, b := range e.route.Backends {
		if b.Service == before && b.Weight > 0 {
			return before
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.splitter.next()
}

// hostName returns the host in lower case without its port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
