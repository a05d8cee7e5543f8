package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/shaper"
)

// offerInterval is the interval between looks at offers that wait, since the waits for slots change.
const offerInterval = 20 * time.Millisecond

// offer is the receiver's state of one offer until its body arrives or its deadline passes.
type offer struct {
	*shaper.Offer
	job executor.Job
	// withdrawn ends when the offer is void: its caller has left, another offer of the attempt has
	// replaced it, or the upstream takes no more calls. Its cause is a *withdrawal.
	withdrawn context.Context
	withdraw  context.CancelCauseFunc
	expiry    *time.Timer
}

// withdrawal is why an offer became void.
type withdrawal struct{ reason carrier.Reason }

func (w *withdrawal) Error() string { return string(w.reason) }

// offers holds the offers of the bodies that other nodes want to send. It is safe for concurrent
// use.
type offers struct {
	executor *executor.Executor

	mu     sync.Mutex
	shaper *shaper.Shaper
	open   map[fencer.AttemptID]*offer
	// looking is set while a look at the waiting offers is due.
	looking bool
	// forecasts holds those of the time forecastAt. One look needs them once for each offer.
	forecasts  map[forecastKey]executor.Forecast
	forecastAt time.Time
}

// forecastKey is what the forecast of a job depends on.
type forecastKey struct {
	service, kind string
	class         queuer.Class
}

// forecast returns what a job may expect of the upstream. The caller holds the lock.
func (s *offers) forecast(job executor.Job, now time.Time) executor.Forecast {
	if !now.Equal(s.forecastAt) {
		s.forecastAt = now
		clear(s.forecasts)
	}
	key := forecastKey{job.Service, job.Kind, queuer.ClassOf(job.Rank, job.Nested)}
	f, known := s.forecasts[key]
	if !known {
		f = s.executor.Forecast(job, now)
		s.forecasts[key] = f
	}
	return f
}

func newOffers(e *executor.Executor) *offers {
	return &offers{
		executor: e, shaper: shaper.New(0), open: map[fencer.AttemptID]*offer{},
		forecasts: map[forecastKey]executor.Forecast{},
	}
}

// begin adds an offer, which replaces an earlier one of the same attempt.
func (s *offers) begin(id fencer.AttemptID, job executor.Job, bytes int, latest, now time.Time) *offer {
	o := &offer{job: job}
	o.withdrawn, o.withdraw = context.WithCancelCause(context.Background())
	o.Offer = shaper.NewOffer(bytes, int(queuer.ClassOf(job.Rank, job.Nested)), now.Add(job.Objective), latest,
		func(now time.Time) shaper.Slots {
			f := s.forecast(job, now)
			return shaper.Slots{Wait: f.Wait, Service: f.Service, Count: f.Slots}
		})
	s.remove(id, carrier.CallerGone)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[id] = o
	o.expiry = time.AfterFunc(latest.Sub(now), func() { s.expire(id, o) })
	s.shaper.Offer(o.Offer, now)
	s.lookLater()
	return o
}

// await waits until the offer is settled and returns whether it is granted, or else the refusal.
func (s *offers) await(o *offer) (carrier.Result, bool) {
	select {
	case refusal := <-o.Settled:
		if refusal == nil {
			return carrier.Result{}, true
		}
		reason := carrier.WaitTooLong
		if refusal.Link {
			reason = carrier.LinkBusy
		}
		return carrier.Result{Outcome: carrier.NotRun, Reason: reason, Wait: refusal.Wait}, false
	case <-o.withdrawn.Done():
		reason := carrier.CallerGone
		if w, known := context.Cause(o.withdrawn).(*withdrawal); known {
			reason = w.reason
		}
		return carrier.Refuse(reason), false
	}
}

// remove makes the offer of an attempt void, since its body has arrived or is not sent any more.
func (s *offers) remove(id fencer.AttemptID, reason carrier.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.open[id]; o != nil {
		s.removeLocked(id, o, reason)
	}
}

// expire does the same for an offer whose deadline has passed, unless another has replaced it.
func (s *offers) expire(id fencer.AttemptID, o *offer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[id] == o {
		s.removeLocked(id, o, carrier.DeadlineExceeded)
	}
}

func (s *offers) removeLocked(id fencer.AttemptID, o *offer, reason carrier.Reason) {
	delete(s.open, id)
	o.expiry.Stop()
	o.withdraw(&withdrawal{reason})
	s.shaper.Withdraw(o.Offer, time.Now())
}

// lookLater schedules the next look while offers wait. The caller holds the lock.
func (s *offers) lookLater() {
	if s.looking || s.shaper.Waiting() == 0 {
		return
	}
	s.looking = true
	time.AfterFunc(offerInterval, s.look)
}

// look advances the shaper and makes the offers void that the upstream takes no more.
func (s *offers) look() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.looking = false
	now := time.Now()
	for id, o := range s.open {
		if reason := s.forecast(o.job, now).Refusal; reason != "" {
			s.removeLocked(id, o, reason)
		}
	}
	s.shaper.Advance(now)
	s.lookLater()
}

// close makes all offers void.
func (s *offers) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range s.open {
		s.removeLocked(id, o, carrier.Stopping)
	}
}

// ShapeLink makes the receiver grant offers of large bodies as a link with a rate in Mbit/s takes
// them. It must be called before Serve. Without it, and with a rate of 0, all are granted at once.
func (r *Receiver) ShapeLink(rate float64) { r.offers.shaper = shaper.New(rate) }

// Offer grants or refuses an attempt with a large body before the body is sent. It waits until one
// or the other is decided. If the attempt has begun already, it waits for its result.
func (m *methods) Offer(args *OfferArgs, reply *OfferReply) error {
	r, a := m.r, &args.Attempt
	if a.Start != r.start {
		reply.Attempt.Run.OtherProcess = true
		return nil
	}
	latest, now := r.opened.Add(a.LatestStart), time.Now()
	r.mu.Lock()
	entry, known := r.fencer.Find(a.AttemptID, latest, now)
	r.mu.Unlock()
	switch {
	case known:
		r.reportTo(entry, &reply.Attempt.Run)
		reply.Attempt.Expired = entry.Expired
	default:
		r.settle(args, latest, now, reply)
	}
	reply.Attempt.Reading = r.reading(time.Now())
	return nil
}

// settle grants or refuses an offer.
func (r *Receiver) settle(args *OfferArgs, latest, now time.Time, reply *OfferReply) {
	job := args.Attempt.Job.At(latest.Sub(now))
	run := &reply.Attempt.Run
	if reason := r.executor.Forecast(job, now).Refusal; reason != "" {
		run.Result = carrier.Refuse(reason)
	} else {
		id := args.Attempt.AttemptID
		o := r.offers.begin(id, job, args.Bytes, latest, now)
		if run.Result, reply.Granted = r.offers.await(o); !reply.Granted {
			r.offers.expire(id, o)
		}
	}
	run.Load, run.Version = r.node.Load(), r.node.Version()
}
