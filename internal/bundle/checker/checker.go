// Package checker validates a bundle and reports all of its defects. A bundle is
// checked before it is signed and again on each node that prepares it.
package checker

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
	"github.com/tamarackscale/tamarackscale/internal/input/collector"
)

// Upper limits of the values in a bundle.
const (
	// maxFloorSum is a fraction of the slots granted at an endpoint. The others go to the
	// most urgent rank first.
	maxFloorSum = 0.5
	// maxRetryBudget is in retries per call.
	maxRetryBudget = 0.5
	// maxAttempts is in attempts per call.
	maxAttempts = 5
	// maxDeadline limits the deadline of a route and the warm-up of an endpoint.
	maxDeadline = 10 * time.Minute
	// maxSlots is in concurrent calls at one endpoint.
	maxSlots = 10_000
	// maxQueuePerRank is in queued calls of one rank at one endpoint.
	maxQueuePerRank = 100_000
)

// namePattern excludes spaces, which separate the fields of a canonical line.
var namePattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9-]{0,62}$`)

var methods = []string{
	"*", http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

type check struct {
	*collector.Collector
	bundle *parser.Bundle
}

// Check adds a finding for each defect of the bundle. Line numbers are those of
// the document that the collector was created for.
func Check(b *parser.Bundle, findings *collector.Collector) {
	c := check{Collector: findings, bundle: b}
	c.checkHeader()
	c.checkRanks()
	c.checkTenants()
	c.checkServices()
	c.checkCycles()
	c.checkRoutes()
	c.checkSize()
}

// CheckAll runs Check on a bundle that was not read from a file. Its error is a
// collector.Findings without line numbers.
func CheckAll(b *parser.Bundle) error {
	findings := collector.New("", nil)
	Check(b, findings)
	return findings.Err()
}

func (c *check) checkHeader() {
	if c.bundle.FormatVersion != parser.FormatVersion {
		c.Add("formatVersion", "is %d; this build reads %d", c.bundle.FormatVersion, parser.FormatVersion)
	}
	c.checkName("name", c.bundle.Name)
	if len(c.bundle.AvailabilityZones) == 0 {
		c.Add("availabilityZones", "at least one is needed")
	}
	c.checkNames("availabilityZones", "", c.bundle.AvailabilityZones)
}

// checkName reports a name that namePattern does not match.
func (c *check) checkName(key, name string) {
	if !namePattern.MatchString(name) {
		c.Add(key, "%q is not a name: a letter, then up to 62 letters, digits or hyphens", name)
	}
}

// checkNames reports names of a list that are malformed or occur twice.
func (c *check) checkNames(list, field string, names []string) {
	first := map[string]int{}
	for i, name := range names {
		key := fmt.Sprintf("%s[%d]%s", list, i, field)
		c.checkName(key, name)
		if earlier, seen := first[name]; seen {
			c.Add(key, "%q is defined already at %s[%d]", name, list, earlier)
			continue
		}
		first[name] = i
	}
}

func (c *check) checkRanks() {
	if len(c.bundle.Ranks) == 0 {
		c.Add("ranks", "at least one is needed")
	}
	c.checkNames("ranks", ".name", namesOf(c.bundle.Ranks, func(r parser.Rank) string { return r.Name }))
	sum := 0.0
	for i, rank := range c.bundle.Ranks {
		key := fmt.Sprintf("ranks[%d]", i)
		if !(rank.Floor >= 0 && rank.Floor <= maxFloorSum) {
			c.Add(key+".floor", "is %g; expected 0 to %g", rank.Floor, maxFloorSum)
		}
		if rank.MaxQueue < 1 || rank.MaxQueue > maxQueuePerRank {
			c.Add(key+".maxQueue", "is %d; expected 1 to %d", rank.MaxQueue, maxQueuePerRank)
		}
		sum += rank.Floor
	}
	if sum > maxFloorSum {
		c.Add("ranks", "floors add up to %g; at most %g can be kept while the most urgent rank goes first", sum, maxFloorSum)
	}
}

func (c *check) checkTenants() {
	c.checkNames("tenants", ".name", namesOf(c.bundle.Tenants, func(t parser.Tenant) string { return t.Name }))
	for i, tenant := range c.bundle.Tenants {
		key := fmt.Sprintf("tenants[%d]", i)
		if tenant.HomeZone != "" && !slices.Contains(c.bundle.AvailabilityZones, tenant.HomeZone) {
			c.Add(key+".homeZone", "%q is not in availabilityZones", tenant.HomeZone)
		}
		seen := map[string]bool{}
		for j, limit := range tenant.Limits {
			c.checkLimit(fmt.Sprintf("%s.limits[%d]", key, j), limit, seen)
		}
	}
}

func (c *check) checkLimit(key string, limit parser.Limit, seen map[string]bool) {
	if !c.hasRank(limit.Rank) {
		c.Add(key+".rank", "rank %q does not exist", limit.Rank)
	}
	if seen[limit.Rank] {
		c.Add(key+".rank", "rank %q has a limit already", limit.Rank)
	}
	seen[limit.Rank] = true
	if !(limit.CallsPerSecond > 0) {
		c.Add(key+".callsPerSecond", "is %g; a limit that lets nothing through cannot hold", limit.CallsPerSecond)
	}
	if limit.Burst < 1 {
		c.Add(key+".burst", "is %d; a bucket below one call lets nothing through", limit.Burst)
	}
}

func (c *check) checkServices() {
	c.checkNames("services", ".name", namesOf(c.bundle.Services, func(s parser.Service) string { return s.Name }))
	for i, service := range c.bundle.Services {
		key := fmt.Sprintf("services[%d]", i)
		for j, name := range service.DependsOn {
			if !c.hasService(name) {
				c.Add(fmt.Sprintf("%s.dependsOn[%d]", key, j), "service %q does not exist", name)
			}
		}
		policy := service.EndpointPolicy
		if policy.MaxSlots < 1 || policy.MaxSlots > maxSlots {
			c.Add(key+".endpointPolicy.maxSlots", "is %d; expected 1 to %d", policy.MaxSlots, maxSlots)
		}
		if policy.MaxConnections < policy.MaxSlots {
			c.Add(key+".endpointPolicy.maxConnections", "is %d, below maxSlots %d: slots without a connection cannot be used",
				policy.MaxConnections, policy.MaxSlots)
		}
		if policy.WarmUp < 0 || policy.WarmUp.Std() > maxDeadline {
			c.Add(key+".endpointPolicy.warmUp", "is %s; expected 0s to %s", policy.WarmUp.Std(), maxDeadline)
		}
	}
}

// checkCycles reports each dependency cycle once, at the service at which a
// depth-first search returns to its current path.
func (c *check) checkCycles() {
	const visiting, done = 1, 2
	state := map[string]int{}
	var visit func(name string, path []string)
	visit = func(name string, path []string) {
		i := c.serviceIndex(name)
		if i < 0 || state[name] == done {
			return
		}
		if state[name] == visiting {
			start := slices.Index(path, name)
			c.Add(fmt.Sprintf("services[%d].dependsOn", i), "cycle: %s", strings.Join(append(path[start:], name), " -> "))
			return
		}
		state[name] = visiting
		for _, next := range c.bundle.Services[i].DependsOn {
			visit(next, append(slices.Clone(path), name))
		}
		state[name] = done
	}
	for _, service := range c.bundle.Services {
		visit(service.Name, nil)
	}
}

func (c *check) checkRoutes() {
	c.checkNames("routes", ".name", namesOf(c.bundle.Routes, func(r parser.Route) string { return r.Name }))
	routed := map[string]bool{}
	for i, route := range c.bundle.Routes {
		c.checkRoute(fmt.Sprintf("routes[%d]", i), route)
		c.checkReachable(i)
		routed[route.Service] = true
	}
	for i, service := range c.bundle.Services {
		if !routed[service.Name] {
			c.Add(fmt.Sprintf("services[%d].name", i), "service %q is unreachable: no route leads to it", service.Name)
		}
	}
}

func (c *check) checkRoute(key string, route parser.Route) {
	if !slices.Contains(methods, route.Method) {
		c.Add(key+".method", "%q is not one of %s", route.Method, strings.Join(methods, " "))
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		c.Add(key+".pathPrefix", "%q does not begin with a slash", route.PathPrefix)
	}
	if !c.hasService(route.Service) {
		c.Add(key+".service", "service %q does not exist", route.Service)
	}
	if !c.hasRank(route.Rank) {
		c.Add(key+".rank", "rank %q does not exist", route.Rank)
	}
	if route.Idempotent && route.RequireKey {
		c.Add(key+".requireKey", "an idempotent route needs no key")
	}
	if route.Deadline <= 0 || route.Deadline.Std() > maxDeadline {
		c.Add(key+".deadline", "is %s; expected above 0s and at most %s", route.Deadline.Std(), maxDeadline)
	}
	if route.Retry.MaxAttempts < 1 || route.Retry.MaxAttempts > maxAttempts {
		c.Add(key+".retry.maxAttempts", "is %d; expected 1 to %d", route.Retry.MaxAttempts, maxAttempts)
	}
	if !(route.Retry.Budget >= 0 && route.Retry.Budget <= maxRetryBudget) {
		c.Add(key+".retry.budget", "is %g; expected 0 to %g", route.Retry.Budget, maxRetryBudget)
	}
}

// checkReachable reports a route that is never chosen because an earlier one has
// the same method and path prefix.
func (c *check) checkReachable(i int) {
	route := c.bundle.Routes[i]
	for j, earlier := range c.bundle.Routes[:i] {
		if earlier.PathPrefix == route.PathPrefix && earlier.Method == route.Method {
			c.Add(fmt.Sprintf("routes[%d]", i), "unreachable: routes[%d] (%s) matches the same method and prefix", j, earlier.Name)
		}
	}
}

func (c *check) checkSize() {
	content, err := parser.Canonical(c.bundle)
	if err != nil {
		c.Add("", "cannot be encoded: %s", err)
		return
	}
	if len(content) > parser.MaxContentBytes {
		c.Add("", "canonical form has %d bytes, which exceeds the limit of %d", len(content), parser.MaxContentBytes)
	}
}

func (c *check) hasRank(name string) bool {
	return slices.ContainsFunc(c.bundle.Ranks, func(r parser.Rank) bool { return r.Name == name })
}

func (c *check) hasService(name string) bool { return c.serviceIndex(name) >= 0 }

func (c *check) serviceIndex(name string) int {
	return slices.IndexFunc(c.bundle.Services, func(s parser.Service) bool { return s.Name == name })
}

func namesOf[T any](items []T, name func(T) string) []string {
	names := make([]string, 0, len(items))
	for _, item := range items {
		names = append(names, name(item))
	}
	return names
}
