package rationer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkMessages replays ten seconds of usual load at several sizes and reports the messages that it
// takes. The calls are 25 a second and node at 71 and 300 nodes and 63 at 710.
func BenchmarkMessages(b *testing.B) {
	const length = 10 * time.Second
	for _, size := range []struct {
		nodes, accounts int
		calls           float64
	}{{71, 78, 1775}, {300, 1000, 7500}, {710, 10_000, 45_000}} {
		b.Run(fmt.Sprintf("%d nodes, %d accounts", size.nodes, size.accounts), func(b *testing.B) {
			for b.Loop() {
				r := newReplayOf(1, size.nodes, size.accounts, 1)
				total := 0.0
				for _, a := range r.accounts {
					total += a.usual
				}
				r = newReplayOf(1, size.nodes, size.accounts, size.calls/total)
				r.run(length)
				busiest, ran, lost, ideal := 0, 0, 0, 0
				for _, n := range r.nodes {
					busiest = max(busiest, n.asked)
				}
				for _, a := range r.accounts {
					ran += len(a.admitted)
					lost += a.lost()
					ideal += a.idealCount
				}
				b.ReportMetric(float64(r.messages)/length.Seconds(), "messages/s")
				b.ReportMetric(float64(r.messages)/float64(ran), "messages/call")
				b.ReportMetric(float64(busiest)/length.Seconds(), "messages/s-busiest-owner")
				b.ReportMetric(float64(lost)/float64(ideal), "lost")
			}
		})
	}
}
