package assembler

import (
	"time"
)

const (
	// announceTime is when a stopping node tells the others, placeTime when it
	// refuses their calls. Until then its upstream is of full use.
	announceTime = 1600 * time.Millisecond
	placeTime    = 2100 * time.Millisecond
	// noticeTime is how long a stopping node goes on taking calls: by then it
	// was asked twice whether it is ready.
	noticeTime = 2300 * time.Millisecond
	// graceMargin is left of the grace for the end of the process itself.
	graceMargin = 150 * time.Millisecond
	// quietTime is how long nothing may be in flight before a node ends.
	quietTime = 200 * time.Millisecond
	// pollTime is the pause between looks at what is in flight.
	pollTime = 20 * time.Millisecond
)

// Stop drains the node. It is not ready any more, but goes on as before for a
// while. Then other nodes place no calls here, calls that still come from them
// are refused, and at last those of callers. Calls of the upstream, which it makes
// for calls that still run, are served to the end.
func (p *Proxy) Stop(why string) {
	began := time.Now()
	p.report.Stopping(why)
	p.stopping.Store(true)
	time.Sleep(announceTime)
	p.leaving.Store(true)
	p.upstreamChanged()
	time.Sleep(placeTime - announceTime)
	p.executor.Stop()
	time.Sleep(noticeTime - placeTime)
	p.acceptor.Stop()
	p.acceptor.CloseIdle()
	p.awaitQuiet(began.Add(p.bounds.Grace.Std() - graceMargin))
	p.report.Stopped(p.acceptor.InFlight())
	p.Close()
}

// awaitQuiet waits until nothing is in flight, but not beyond end.
func (p *Proxy) awaitQuiet(end time.Time) {
	quietSince := time.Now()
	for now := time.Now(); now.Before(end); now = time.Now() {
		if p.acceptor.InFlight() > 0 || p.executor.Busy() {
			quietSince = now
		}
		if now.Sub(quietSince) >= quietTime {
			return
		}
		time.Sleep(pollTime)
	}
}
