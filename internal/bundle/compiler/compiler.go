// Package compiler verifies the sign-off of a bundle, checks the bundle and compiles it
// into the immutable table that a node serves from. A table holds every service and rank
// that its routes refer to. A node replaces its table as a whole and never modifies it.
package compiler

import (
	"net/http"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/bundle/checker"
	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
	"github.com/tamarackscale/tamarackscale/internal/bundle/signer"
)

// Table is the compiled form of one bundle version. It is immutable.
type Table struct {
	parser.Pointer
	Bundle *parser.Bundle
	// Ranks maps the name of a rank to its index in Bundle.Ranks; 0 is the most urgent.
	Ranks map[string]int
	// Services maps the name of a service to its definition.
	Services map[string]*parser.Service
	// Tenants maps the name of a tenant to its definition.
	Tenants map[string]*parser.Tenant

	// routes is ordered with the most specific first.
	routes []*Route
}

// Route is a route of the bundle with its references resolved.
type Route struct {
	parser.Route
	// Service is never nil.
	Service *parser.Service
	// RankIndex is a valid index into Bundle.Ranks.
	RankIndex int
}

// Compile verifies the signature and digest of an envelope, checks its bundle and
// builds the table. If any step fails, the table is nil and the error is a
// *signer.VerifyError or wraps the decoding error or the findings.
func Compile(e parser.Envelope, s parser.SignOff, keys signer.PublicKeys) (*Table, error) {
	if err := keys.Verify(e.Pointer, s, e.Content); err != nil {
		return nil, err
	}
	bundle, err := parser.FromCanonical(e.Content)
	if err != nil {
		return nil, errors.Wrapf(err, "version %d", e.Version)
	}
	if err := checker.CheckAll(bundle); err != nil {
		return nil, errors.Wrapf(err, "version %d", e.Version)
	}
	return buildTable(e.Pointer, bundle), nil
}

func buildTable(p parser.Pointer, bundle *parser.Bundle) *Table {
	t := &Table{
		Pointer:  p,
		Bundle:   bundle,
		Ranks:    map[string]int{},
		Services: map[string]*parser.Service{},
		Tenants:  map[string]*parser.Tenant{},
	}
	for i, rank := range bundle.Ranks {
		t.Ranks[rank.Name] = i
	}
	for i := range bundle.Services {
		t.Services[bundle.Services[i].Name] = &bundle.Services[i]
	}
	for i := range bundle.Tenants {
		t.Tenants[bundle.Tenants[i].Name] = &bundle.Tenants[i]
	}
	for _, route := range bundle.Routes {
		t.routes = append(t.routes, &Route{
			Route: route, Service: t.Services[route.Service], RankIndex: t.Ranks[route.Rank],
		})
	}
	sort.SliceStable(t.routes, func(i, j int) bool { return moreSpecific(t.routes[i], t.routes[j]) })
	return t
}

// moreSpecific orders routes by descending prefix length. Among equal lengths, a
// route for one method precedes one for any method.
func moreSpecific(a, b *Route) bool {
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(a.PathPrefix) > len(b.PathPrefix)
	}
	return a.Method != "*" && b.Method == "*"
}

// Match returns the most specific route for the call, or nil if none matches.
func (t *Table) Match(r *http.Request) *Route {
	for _, route := range t.routes {
		if route.Method != "*" && route.Method != r.Method {
			continue
		}
		if hasPathPrefix(r.URL.Path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// hasPathPrefix reports whether prefix matches whole segments of path: "/gifts"
// matches "/gifts/1" but not "/giftshop".
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// HomeZone returns the zone that stores the tenant's idempotency records, or the
// empty string if a hash of the key selects the zone.
func (t *Table) HomeZone(tenant string) string {
	if definition, found := t.Tenants[tenant]; found {
		return definition.HomeZone
	}
	return ""
}
