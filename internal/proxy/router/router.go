// Package router holds the routes of one configuration version and finds the
// route of a call. A table never changes once it is built.
package router

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// Configuration is one version of what operators want in force.
type Configuration struct {
	// Version grows from one configuration to the next, in uneven steps.
	Version int64
	Limits  Limits
	Routes  []Route
	// Services lists every service that routes may name.
	Services []Service
}

// Limits bound what a caller may send on one connection.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the reading of one request head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}

// Service is a group of upstreams that are interchangeable.
type Service struct {
	Name string
	// MaxConnections bounds the connections to each of its upstreams.
	MaxConnections int
}

// Route says what happens to the calls of one host below one path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Backends has one entry at least; shares are in proportion to weights.
	Backends []Backend
	// Idempotent calls may run more than once.
	Idempotent bool
	// Timeout is the longest that a call is kept waiting; zero is unlimited.
	Timeout time.Duration
	// Objective is the latency within which an answer is of full use.
	Objective time.Duration
	// MaxAttempts bounds the upstreams to which one call is sent.
	MaxAttempts int
	// Rank is the urgency; 0 is the most urgent.
	Rank int
}

// Backend is one part of a route.
type Backend struct {
	Service string
	Weight  int
}

// Table finds routes. It may be used by many goroutines.
type Table struct {
	Configuration

	hosts    map[string][]*entry
	services map[string]Service
}

type entry struct {
	route    *Route
	mu       sync.Mutex
	splitter splitter
}

// Match is a route with the service that this call goes to.
type Match struct {
	*Route
	Service string
}

// New builds the table of a configuration. The shares of weighted backends go
// on where the previous table, which may be nil, left them.
func New(c Configuration, previous *Table) *Table {
	t := &Table{Configuration: c, hosts: map[string][]*entry{}, services: map[string]Service{}}
	for _, service := range c.Services {
		t.services[service.Name] = service
	}
	for i := range t.Routes {
		route := &t.Routes[i]
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], &entry{route: route, splitter: newSplitter(route.Backends)})
	}
	for _, entries := range t.hosts {
		sort.SliceStable(entries, func(i, j int) bool {
			return len(entries[i].route.Prefix) > len(entries[j].route.Prefix)
		})
	}
	t.inherit(previous)
	return t
}

// inherit keeps the running shares of routes whose backends did not change, so
// that a stream of versions does not begin each proportion anew.
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

// Service returns what the configuration says of a service.
func (t *Table) Service(name string) (Service, bool) {
	service, found := t.services[name]
	return service, found
}

// Lookup returns the route with the longest prefix that begins the path.
func (t *Table) Lookup(host, target string) (Match, bool) {
	path := target
	if end := strings.IndexAny(path, "?#"); end >= 0 {
		path = path[:end]
	}
	for _, e := range t.hosts[hostName(host)] {
		if !strings.HasPrefix(path, e.route.Prefix) {
			continue
		}
		return Match{Route: e.route, Service: e.next()}, true
	}
	return Match{}, false
}

func (e *entry) next() string {
	if len(e.route.Backends) == 1 {
		return e.route.Backends[0].Service
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.splitter.next()
}

// hostName returns the host in lower case and without its port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
