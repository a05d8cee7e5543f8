package assembler

import (
	"time"
)

const (
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

// Stop drains the node: it is not ready any more and other nodes place no calls
// here, but it serves what comes until nobody sends more, and what is in flight
// until it is answered or the grace is over.
func (p *Proxy) Stop(why string) {
	began := time.Now()
	p.report.Stopping(why)
	p.leaving.Store(true)
	p.upstreamChanged()
	time.Sleep(noticeTime)
	p.acceptor.Stop()
	p.acceptor.CloseIdle()
	end := began.Add(p.bounds.Grace.Std() - graceMargin)
	quietSince := time.Now()
	for now := time.Now(); now.Before(end); now = time.Now() {
		if p.acceptor.InFlight() > 0 || p.executor.Busy() {
			quietSince = now
		}
		if now.Sub(quietSince) >= quietTime {
			break
		}
		time.Sleep(pollTime)
	}
	for _, l := range p.listeners {
		_ = l.Close()
	}
	p.receiver.Close()
	p.executor.Close()
	p.report.Stopped(p.acceptor.InFlight())
}
