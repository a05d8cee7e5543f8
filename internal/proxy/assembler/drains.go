package assembler

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
)

const (
	// witnesses is how many other nodes are told of a leaving before it is
	// acknowledged, and asked for one by a process that began after it.
	witnesses = 3
	// witnessTime bounds the time in which they answer.
	witnessTime = 150 * time.Millisecond
	// leavingMemory is how long a leaving is remembered for other nodes.
	leavingMemory = time.Minute
)

// leavings holds when upstreams of other nodes have left: a node that starts anew
// knows nothing of what its former process acknowledged, and a report from before may
// still arrive.
type leavings struct {
	mu sync.Mutex
	at map[tracker.Start]int64
}

func newLeavings() *leavings { return &leavings{at: map[tracker.Start]int64{}} }

// note takes in a leaving, in Unix milliseconds; the first word of it holds.
func (l *leavings) note(s tracker.Start, at int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := time.Now().Add(-leavingMemory).UnixMilli()
	for other, known := range l.at {
		if known < oldest {
			delete(l.at, other)
		}
	}
	if _, known := l.at[s]; !known {
		l.at[s] = at
	}
}

func (l *leavings) find(s tracker.Start) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at[s]
}

// LeftAt implements forwarder.Neighbour.
func (p *Proxy) LeftAt(instance string, born int64) int64 {
	return p.leavings.find(tracker.Start{Instance: instance, Born: born})
}

// recallLeaving asks other nodes whether the former process of this one acknowledged
// the leaving of an upstream.
func (p *Proxy) recallLeaving(s tracker.Start) {
	args := forwarder.LeftArgs{Instance: s.Instance, Born: s.Born}
	for _, at := range askWitnesses(p, func(ctx context.Context, address string) (int64, error) {
		return p.forwarder.Left(ctx, address, args)
	}) {
		if at != 0 {
			p.executor.Left(s, time.UnixMilli(at), time.Now())
			return
		}
	}
}

// entrustLeaving tells other nodes of the upstream's leaving, which is acknowledged
// after that.
func (p *Proxy) entrustLeaving() {
	own := p.Own()
	askWitnesses(p, func(ctx context.Context, address string) (struct{}, error) {
		_, err := p.forwarder.Tell(ctx, address, own)
		return struct{}{}, err
	})
}

// askWitnesses asks some other nodes at once and returns the answers that came in time.
func askWitnesses[T any](p *Proxy, ask func(ctx context.Context, address string) (T, error)) []T {
	ctx, cancel := context.WithTimeout(context.Background(), witnessTime)
	defer cancel()
	peers := p.peers()
	peers = peers[:min(len(peers), witnesses)]
	answers := make(chan *T, len(peers))
	for _, address := range peers {
		go func() {
			answer, err := ask(ctx, address)
			if err != nil {
				// A node that does not answer knows nothing for now.
				answers <- nil
				return
			}
			answers <- &answer
		}()
	}
	var all []T
	for range peers {
		if answer := <-answers; answer != nil {
			all = append(all, *answer)
		}
	}
	return all
}
