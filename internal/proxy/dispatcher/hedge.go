package dispatcher

import (
	"context"
	"time"
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

// hedge sends the call to a second upstream that has room, if that can still
// answer in time.
func (p *placement) hedge(ctx context.Context) {
	if p.hedged || p.open != 1 || !p.mayArriveAgain() || !p.d.hasRoom(p.need()) {
		return
	}
	p.hedged = true
	p.next(ctx)
}
