package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

const (
	// hedgeDeviations is how many mean deviations beyond its mean time a call may
	// take before it is sent to a second upstream.
	hedgeDeviations = 4.0
	// noHedge is the delay of a call that is not hedged; it is longer than any
	// practical timeout.
	noHedge = time.Hour
)

// errOvertaken is the cause of the end of an attempt that another one, which began later, has
// overtaken.
var errOvertaken = errors.New("a hedge has answered first")

// hedgeDelay returns how long an idempotent call waits for its first upstream before it
// is sent to a second one. That an upstream hangs or that its answer is lost can only
// be detected by the missing answer. The result is noHedge if the call must not reach a
// second upstream, or if no service time is known yet.
func (p *placement) hedgeDelay() time.Duration {
	if !p.match.Idempotent || p.match.MaxAttempts < 2 {
		return noHedge
	}
	mean, deviation := p.d.meanServiceTime(p.match.Service, p.match.Name)
	if mean == 0 {
		return noHedge
	}
	return time.Duration((1 + hedgeDeviations*deviation) * float64(mean))
}

// runHedged makes the attempt and, if it has no result after the delay, a second one at
// another node. The first final result cancels the other attempt.
func (p *placement) runHedged(ctx context.Context, a pendingAttempt, delay time.Duration) carrier.Result {
	firstCtx, cancelFirst := context.WithCancelCause(ctx)
	defer cancelFirst(nil)
	secondCtx, cancelSecond := context.WithCancel(ctx)
	defer cancelSecond()
	var second carrier.Result
	hedged := false
	done := make(chan struct{})
	timer := time.AfterFunc(delay, func() {
		defer close(done)
		if second, hedged = p.hedge(secondCtx); hedged && p.isFinal(second) {
			cancelFirst(errOvertaken)
		}
	})
	first := p.run(firstCtx, a)
	if timer.Stop() {
		return first
	}
	if p.isFinal(first) {
		cancelSecond()
	}
	<-done
	if !hedged {
		return first
	}
	return combine(first, second, false)
}

// hedge makes an attempt at a second node if the upstream there has capacity, and reports
// whether it did.
func (p *placement) hedge(ctx context.Context) (carrier.Result, bool) {
	p.mu.Lock()
	pickInfo := p.pickInfo()
	p.mu.Unlock()
	if !p.mayAttemptAgain() || !p.d.hasCapacity(pickInfo) {
		return carrier.Result{}, false
	}
	a, found := p.nextAttempt()
	if !found {
		return carrier.Result{}, false
	}
	return p.run(ctx, a), true
}
