package router

import (
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/bundle/compiler"
	"github.com/tamarackscale/tamarackscale/internal/serving/limiter"
)

// otherTenants is the metrics label of all tenants that the bundle does not list.
// It bounds the number of label values, since callers choose the tenant header.
const otherTenants = "other"

type limitKey struct{ tenant, rank string }

// tenantLimits holds the token buckets for one version of the bundle.
type tenantLimits struct {
	mu      sync.Mutex
	version int64
	buckets map[limitKey]*limiter.Bucket
}

// allow reports whether the rate limit of the tenant for the rank admits the call,
// and takes a token if so. A tenant or rank without a limit is always admitted.
func (l *tenantLimits) allow(table *compiler.Table, tenant, rank string, now time.Time) bool {
	if len(table.Tenants) == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version != table.Version {
		l.rebuild(table, now)
	}
	bucket := l.buckets[limitKey{tenant, rank}]
	return bucket == nil || bucket.Take(now)
}

// rebuild replaces the buckets by those of the table. A bucket whose limit did not
// change keeps its tokens. l.mu must be held.
func (l *tenantLimits) rebuild(table *compiler.Table, now time.Time) {
	next := map[limitKey]*limiter.Bucket{}
	for name, tenant := range table.Tenants {
		for _, limit := range tenant.Limits {
			key := limitKey{name, limit.Rank}
			bucket := limiter.NewBucket(limit.CallsPerSecond, float64(limit.Burst), now)
			if old := l.buckets[key]; old != nil && old.Rate == bucket.Rate && old.Size == bucket.Size {
				bucket = old
			}
			next[key] = bucket
		}
	}
	l.buckets, l.version = next, table.Version
}

// label returns the metrics label of a tenant. The table may be nil.
func (l *tenantLimits) label(table *compiler.Table, tenant string) string {
	if table != nil && table.Tenants[tenant] != nil {
		return tenant
	}
	return otherTenants
}
