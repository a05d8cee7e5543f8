package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/hedger"
	"github.com/tamarackscale/tamarackscale/internal/proxy/retrier"
)

const (
	// hedgeDeviations is how many mean deviations beyond its mean time a call may
	// take before it is sent to a second upstream, if no quantile is known.
	hedgeDeviations = 4.0
	// noHedge is the delay of a call that is not hedged; it is longer than any
	// practical timeout.
	noHedge = time.Hour
)

// errOvertaken is the cause of the end of an attempt that another one, which began later, has
// overtaken.
var errOvertaken = errors.New("a hedge has answered first")

// HedgeResult is how the hedge of a call ended. The empty text means that the call had none.
type HedgeResult string

// The results of a hedge.
const (
	// HedgeWon: the hedge has the answer that the caller got.
	HedgeWon HedgeResult = "won"
	// HedgeLost: the first attempt has it.
	HedgeLost HedgeResult = "lost"
	// HedgeFailed: neither has a final answer.
	HedgeFailed HedgeResult = "failed"
)

// Hedge describes the hedge of a call that has ended.
type Hedge struct {
	// After is the delay after which the call was to be hedged.
	After time.Duration
	// Denied is why it was not hedged then.
	Denied hedger.Denial
	Result HedgeResult
	// Cancelled reports whether the attempt that did not win was withdrawn before its answer.
	Cancelled bool
}

// hedgeDelay returns how long an idempotent call waits for its first upstream before it
// is sent to a second one. That an upstream hangs or that its answer is lost can only
// be detected by the missing answer. The result is noHedge if the call must not reach a
// second upstream, or if no service time is known yet.
func (p *placement) hedgeDelay() time.Duration {
	if !p.match.Idempotent || p.match.MaxAttempts < 2 {
		return noHedge
	}
	if delay := p.d.hedgeQuantile(p.kind()); delay > 0 {
		return delay
	}
	mean, deviation := p.d.meanServiceTime(p.match.Service, p.match.Name)
	if mean == 0 {
		return noHedge
	}
	return time.Duration((1 + hedgeDeviations*deviation) * float64(mean))
}

func (p *placement) kind() hedger.Kind {
	return hedger.Kind{Service: p.match.Service, Name: p.match.Name}
}

// hedgeQuantile returns the duration after which a call of the kind is hedged; 0 without the limit of
// extra work or with too few samples.
func (d *Dispatcher) hedgeQuantile(kind hedger.Kind) time.Duration {
	if d.hedger == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hedger.Delay(kind, time.Now())
}

// runHedged makes the attempt and, if it has no result after the delay, a second one at
// another node. The first final result cancels the other attempt.
func (p *placement) runHedged(ctx context.Context, a pendingAttempt, delay time.Duration) carrier.Result {
	firstCtx, cancelFirst := context.WithCancelCause(ctx)
	defer cancelFirst(nil)
	secondCtx, cancelSecond := context.WithCancel(ctx)
	defer cancelSecond()
	var second carrier.Result
	denied := hedger.Denial("")
	done := make(chan struct{})
	timer := time.AfterFunc(delay, func() {
		defer close(done)
		if second, denied = p.hedge(secondCtx); denied == "" && p.isFinal(second) {
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
	p.event.Hedge = &Hedge{After: delay, Denied: denied}
	if denied != "" {
		return first
	}
	best := combine(first, second, false)
	p.event.Hedge.Result, p.event.Hedge.Cancelled = p.resultOfHedge(first, second)
	return best
}

// resultOfHedge returns how a hedge ended, and whether the attempt that did not win was withdrawn
// before its answer.
func (p *placement) resultOfHedge(first, second carrier.Result) (HedgeResult, bool) {
	switch {
	case p.isFinal(second) && gradeOf(second) > gradeOf(first):
		return HedgeWon, first.Reason == carrier.CallerGone
	case p.isFinal(first):
		return HedgeLost, second.Reason == carrier.CallerGone
	default:
		return HedgeFailed, false
	}
}

// hedge makes an attempt at a second node, or returns why it does not.
func (p *placement) hedge(ctx context.Context) (carrier.Result, hedger.Denial) {
	a, denied := p.nextHedge()
	if denied != "" {
		return carrier.Result{}, denied
	}
	return p.run(ctx, a), ""
}

// nextHedge chooses the node for a hedge, or returns why the call is not hedged.
func (p *placement) nextHedge() (pendingAttempt, hedger.Denial) {
	if p.remaining() <= minRemaining {
		return pendingAttempt{}, hedger.Deadline
	}
	if !p.mayAttemptAgain() {
		return pendingAttempt{}, hedger.Attempts
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a, denied := p.d.chooseHedge(p.pickInfo())
	if denied != "" {
		return pendingAttempt{}, denied
	}
	return p.begin(a), ""
}

// cost is what an attempt has taken from the budgets. The zero value is nothing.
type cost struct {
	retry retrier.Charge
	hedge hedger.Charge
}

// chooseHedge picks the node for a hedge if there is one that has capacity and is likely to answer
// before the deadline, and if all budgets allow it. Otherwise it returns why not.
func (d *Dispatcher) chooseHedge(info balancer.PickInfo) (pendingAttempt, hedger.Denial) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	info.Versions = d.versions(info, now)
	if d.hedger != nil {
		info = d.Balancer.ForHedge(info, now)
	}
	if mean, _ := d.Balancer.MeanServiceTime(info.Service, info.Kind); mean >= info.Remaining {
		return pendingAttempt{}, hedger.Deadline
	}
	if !d.Balancer.HasCapacity(info, now) {
		return pendingAttempt{}, hedger.NoUpstream
	}
	a := pendingAttempt{hedge: true}
	if d.hedger != nil {
		charge, denied := d.hedger.Take(info.Service, d.Balancer.Utilisation(info.Service, now), now)
		if denied != "" {
			return pendingAttempt{}, denied
		}
		a.cost.hedge = charge
	}
	charge, allowed := d.retrier.Take(info.Service, d.Balancer.Size(), now)
	if !allowed {
		d.returnHedge(a.cost)
		return pendingAttempt{}, hedger.RetryBudget
	}
	a.cost.retry = charge
	a.candidate = d.Balancer.Pick(info, now)
	a.member = a.candidate.Member
	if d.Versions != nil {
		d.Versions.Began(a.member)
	}
	return a, ""
}

// returnCost returns what an attempt that reached no upstream has taken from the budgets.
func (d *Dispatcher) returnCost(c cost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retrier.Return(c.retry, time.Now())
	d.returnHedge(c)
}

// returnHedge returns the charge of a hedge. The caller holds the lock.
func (d *Dispatcher) returnHedge(c cost) {
	if d.hedger != nil {
		d.hedger.Return(c.hedge)
	}
}

// recordDuration passes the duration of an attempt that was answered, or that a hedge has overtaken,
// to the hedger.
func (p *placement) recordDuration(a pendingAttempt, o balancer.Outcome) {
	if p.d.hedger == nil || !(o.Answered || o.Overtaken) {
		return
	}
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	now := time.Now()
	p.d.hedger.RecordDuration(p.kind(), a.member.Node, now.Sub(a.began), now)
}
