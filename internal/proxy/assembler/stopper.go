package assembler

import (
	"time"
)

const (
	// placeTime is how long a stopping node takes calls of other nodes, which by
	// then know that it stops.
	placeTime = 800 * time.Millisecond
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

// Stop drains the node. It is not ready any more and other nodes place no calls
// here. After a while it takes no calls of other nodes; after another, none of
// callers. Calls of the upstream, which it makes for calls that still run, are
// served to the end.
func (p *Proxy) Stop(why string) {
	began := time.Now()
	p.report.Stopping(why)
	p.leaving.Store(true)
	p.upstreamChanged()
	time.Sleep(placeTime)
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
