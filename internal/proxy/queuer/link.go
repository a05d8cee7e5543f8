package queuer

import "time"

const (
	// largeAnswerBytes is the mean size from which the answers of a kind of call are planned on the
	// VM's link. Smaller ones take too little of it to matter.
	largeAnswerBytes = 16 << 10
	// linkShare is the fraction of the link's rate that large answers may use. The rest is for small
	// messages and for the overhead of the network.
	linkShare = 0.85
	// linkBacklog bounds how long the answers of calls that have ended may take to leave. Small
	// answers wait behind them.
	linkBacklog = 100 * time.Millisecond
	// sizeSmoothing is the weight of the newest sample in a mean answer size.
	sizeSmoothing = 0.1
)

// link plans the use of the VM's network link by the large answers of the calls that run. A call whose
// answer the link can't take soon keeps its slot no longer than others need it: it waits in the queue,
// where it can still be refused at once.
//
// It is built for answers of 90 kB in the mean from upstreams whose links carry 10 Mbit/s. There the
// slots would admit six times what the link carries, and every answer of the VM, small ones included,
// would wait for seconds.
type link struct {
	// rate is in bytes per second; 0 if it is unknown, and then nothing is planned.
	rate float64
	// sizes holds the mean size of the answers of each kind of call, in bytes.
	sizes map[string]float64
	// due is when the answers of all calls that have started will have left, if each leaves at once.
	due time.Time
}

// setRate sets the rate of the link in bytes per second.
func (l *link) setRate(rate float64) {
	l.rate = rate
	if l.sizes == nil {
		l.sizes = map[string]float64{}
	}
}

// timeOf returns the time that the link needs for the answer of a ticket; 0 if that is not planned.
func (l *link) timeOf(t *Ticket) time.Duration {
	if l.rate <= 0 || t.Local || l.sizes[t.Kind] < largeAnswerBytes {
		return 0
	}
	return l.duration(l.sizes[t.Kind])
}

func (l *link) duration(bytes float64) time.Duration {
	return time.Duration(bytes / (linkShare * l.rate) * float64(time.Second))
}

// wait returns the time until a call with the given service time may start, so that its answer leaves
// soon after it is ready.
func (l *link) wait(service time.Duration, now time.Time) time.Duration {
	return max(0, l.due.Add(-service-linkBacklog).Sub(now))
}

// start records that a call starts whose answer takes the given time on the link.
func (l *link) start(needed time.Duration, at time.Time) {
	if needed == 0 {
		return
	}
	if l.due.Before(at) {
		l.due = at
	}
	l.due = l.due.Add(needed)
}

// recordAnswer corrects the plan with the size of the answer of a ticket that has started; 0 if
// there is none.
func (l *link) recordAnswer(t *Ticket, bytes int) {
	if l.rate <= 0 || t.Local {
		return
	}
	if t.linkTime > 0 {
		l.due = l.due.Add(l.duration(float64(bytes)) - t.linkTime)
		t.linkTime = 0
	}
	if bytes > 0 {
		mean, known := l.sizes[t.Kind]
		if !known {
			mean = float64(bytes)
		}
		l.sizes[t.Kind] = mean + sizeSmoothing*(float64(bytes)-mean)
	}
}

// LimitLink sets the rate of the VM's link in bytes per second. Calls with large answers then start
// only when the link can take them; 0 plans nothing.
func (q *Queue) LimitLink(rate float64) { q.link.setRate(rate) }

// RecordAnswer records the size of the answer of a call that has a slot; 0 if there is none. It must be
// called before Release; without it, the call counts as one whose answer has the mean size.
func (q *Queue) RecordAnswer(t *Ticket, bytes int) { q.link.recordAnswer(t, bytes) }
