// Package baseline measures the cost of distributing configuration versions without
// relays, for comparison: every node watches the platform itself and holds its own lease.
package baseline

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
	"github.com/tamarackscale/tamarackscale/internal/platform/connector"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/standin/platform"
)

const (
	// idleDuration is how long the calls of idle nodes are counted.
	idleDuration = 5 * time.Second
	// changeCount is the number of changes that are published and averaged over.
	changeCount = 3
	// leaseTTL is the TTL of a node's lease. The node renews it three times per TTL.
	leaseTTL = 6 * time.Second
)

// Result is the cost of the baseline, over all its nodes.
type Result struct {
	// Idle is in platform calls per second, Change in platform calls per change.
	Idle   float64
	Change float64
	// Worst is the longest time from the publication of a change until the last node
	// received it.
	Worst time.Duration
	// Bytes is the number of bytes of values that the platform sent per change.
	Bytes float64
	// Refused is the fraction of calls that the platform refused because they exceeded
	// its rate limits.
	Refused float64
}

// directNode is a node of the baseline: it watches one key, reads the whole bundle on
// each change and renews its own lease.
type directNode struct {
	client *connector.Client
	// receivedBytes counts the bytes of values that all nodes together received.
	receivedBytes *atomic.Int64
	// updates receives the time at which each change arrived.
	updates chan<- time.Time
}

// Measure runs size baseline nodes against a separate stand-in of the platform with the
// required rate limits of 400 writes and 2000 reads per second. The function bundleFor
// returns the bundle of a change. Measure returns an error if the stand-in can't listen, a
// bundle can't be created or written, or a node does not receive a change in time.
func Measure(ctx context.Context, size int, bundleFor func(number int) ([]byte, error)) (Result, error) {
	engine := platform.New(platform.Limits{WritesPerSecond: 400, ReadsPerSecond: 2000})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Result{}, err
	}
	server := &http.Server{Handler: engine.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	ctx, cancel := context.WithCancel(ctx)
	updates := make(chan time.Time, size*changeCount)
	transport := &http.Transport{MaxIdleConnsPerHost: 2 * size}
	defer transport.CloseIdleConnections()
	var received atomic.Int64
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for range size {
		n := &directNode{
			client:        connector.New(connector.Config{Address: listener.Addr().String(), Timeout: 2 * time.Second}, transport),
			receivedBytes: &received, updates: updates,
		}
		group.Go(func() { n.renew(ctx) })
		group.Go(func() { n.watch(ctx) })
	}
	// By then the nodes have obtained their leases and started to watch.
	time.Sleep(2 * time.Second)
	return measureCost(ctx, engine, size, bundleFor, updates, &received)
}

// measureCost counts the platform's calls while the nodes are idle and during
// changeCount changes. It subtracts the idle calls from those of the changes, which include
// the two calls that publish each change.
func measureCost(
	ctx context.Context, engine *platform.Engine, size int, bundleFor func(number int) ([]byte, error),
	updates <-chan time.Time, received *atomic.Int64,
) (Result, error) {
	var result Result
	before := engine.Calls().Total()
	time.Sleep(idleDuration)
	result.Idle = float64(engine.Calls().Total()-before) / idleDuration.Seconds()
	before = engine.Calls().Total()
	began := time.Now()
	for number := range changeCount {
		bundle, err := bundleFor(number)
		if err != nil {
			return result, err
		}
		worst, err := publish(ctx, engine, bundle, size, updates)
		if err != nil {
			return result, err
		}
		result.Worst = max(result.Worst, worst.Round(time.Millisecond))
	}
	after := engine.Calls()
	idle := result.Idle * time.Since(began).Seconds()
	result.Change = (float64(after.Total()-before) - idle) / changeCount
	result.Bytes = float64(received.Load()) / changeCount
	result.Refused = float64(after.Refused) / float64(after.Total())
	return result, nil
}

// publish writes a bundle, waits until all nodes have received it and returns the
// longest time that a node took. It returns an error if 30 seconds pass without a receipt.
func publish(
	ctx context.Context, engine *platform.Engine, content []byte, size int, updates <-chan time.Time,
) (time.Duration, error) {
	// The error is ignored: before the first change the key does not exist, which Put expects
	// as revision 0.
	item, _ := engine.Get(ctx, "naive/bundle")
	value, err := json.Marshal(parser.Envelope{Content: content})
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if _, err := engine.Put(ctx, keeper.PutRequest{Key: "naive/bundle", Value: value, Expected: item.Revision}); err != nil {
		return 0, err
	}
	worst := time.Duration(0)
	for range size {
		select {
		case at := <-updates:
			worst = max(worst, at.Sub(start))
		case <-time.After(30 * time.Second):
			return worst, fmt.Errorf("baseline: not all of %d nodes received the change", size)
		}
	}
	return worst, nil
}

// watch receives changes until the context ends.
func (n *directNode) watch(ctx context.Context) {
	after := keeper.Revision(0)
	for ctx.Err() == nil {
		change, err := n.client.Watch(ctx, "naive/", after, 30*time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		after = change.Revision
		for _, item := range change.Items {
			n.receivedBytes.Add(int64(len(item.Value)))
			n.updates <- time.Now()
		}
	}
}

// renew keeps a lease alive until the context ends, and obtains a new one if a renewal
// fails.
func (n *directNode) renew(ctx context.Context) {
	lease, err := n.client.Grant(ctx, leaseTTL)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(leaseTTL / 3):
		}
		if err == nil {
			err = n.client.Renew(ctx, lease)
		}
		if err != nil {
			lease, err = n.client.Grant(ctx, leaseTTL)
		}
	}
}
