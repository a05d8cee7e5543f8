package dispatcher

import (
	"context"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

const (
	// hedgeDeviations is how many mean deviations beyond its mean time a call may
	// take before it is sent to a second upstream.
	hedgeDeviations = 4.0
	// never stands for the delay of a call that is not hedged.
	never = time.Hour
)

// hedgeDelay is how long an idempotent call waits for its first upstream before
// it is sent to a second one. An upstream that never answers, or loses its
// answer, shows only by its silence.
func (p *placement) hedgeDelay() time.Duration {
	if !p.match.Idempotent || p.match.MaxAttempts < 2 {
		return never
	}
	mean, deviation := p.d.expected(p.match.Service, p.match.Name)
	if mean == 0 {
		return never
	}
	return time.Duration((1 + hedgeDeviations*deviation) * float64(mean))
}

// runHedged hands the call over and, once it has been silent for the delay, to a
// second node as well. The first final result ends the other hand-over.
func (p *placement) runHedged(ctx context.Context, h handOver, delay time.Duration) carrier.Result {
	firstCtx, endFirst := context.WithCancel(ctx)
	defer endFirst()
	secondCtx, endSecond := context.WithCancel(ctx)
	defer endSecond()
	var second carrier.Result
	hedged := false
	done := make(chan struct{})
	timer := time.AfterFunc(delay, func() {
		defer close(done)
		if second, hedged = p.hedge(secondCtx); hedged && p.isFinal(second) {
			endFirst()
		}
	})
	first := p.run(firstCtx, h)
	if timer.Stop() {
		return first
	}
	if p.isFinal(first) {
		endSecond()
	}
	<-done
	if !hedged {
		return first
	}
	return combine(first, second, false)
}

// hedge sends the call to a second node whose upstream has room, and says
// whether it did.
func (p *placement) hedge(ctx context.Context) (carrier.Result, bool) {
	p.mu.Lock()
	need := p.need()
	p.mu.Unlock()
	if !p.mayArriveAgain() || !p.d.hasRoom(need) {
		return carrier.Result{}, false
	}
	h, found := p.next()
	if !found {
		return carrier.Result{}, false
	}
	return p.run(ctx, h), true
}
