package router

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/tamarackscale/tamarackscale/internal/account/authenticator"
)

// accountsOf returns a configuration with accounts of two keys each. Its texts are new, as if decoded.
func accountsOf(version int64, count int) Configuration {
	c := Configuration{Version: version}
	for i := range count {
		c.Accounts = append(c.Accounts, Account{
			Name: fmt.Sprintf("account-%d", i), Priority: i % 3, Rate: 10, Burst: 5,
			Keys: []authenticator.Key{authenticator.Key(fmt.Sprintf("key-%d-a", i)), authenticator.Key(fmt.Sprintf("key-%d-b", i))},
		})
	}
	return c
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkTableOfAccounts measures what 10,000 accounts with two keys each take, and what each further
// version takes beside the one that it replaces.
func BenchmarkTableOfAccounts(b *testing.B) {
	const count = 10_000
	for b.Loop() {
		before := heapBytes()
		first := New(accountsOf(1, count), nil, 0)
		one := heapBytes()
		second := New(accountsOf(2, count), first, 0)
		two := heapBytes()
		b.ReportMetric((one-before)/1e6, "MB")
		b.ReportMetric((two-one)/1e6, "MB-next-version")
		runtime.KeepAlive(first)
		runtime.KeepAlive(second)
	}
}
