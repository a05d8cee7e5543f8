package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/shaper"
)

// advanceInterval is the interval at which waiting offers are decided again, since the expected waits for
// slots change.
const advanceInterval = 20 * time.Millisecond

// offer is the receiver's state of one offer until its body arrives or its deadline passes.
type offer struct {
	*shaper.Offer
	job executor.Job
	// reserved is the memory that is reserved for body.
	reserved int64
	// body holds the pieces that were received.
	body []byte
	// withdrawn ends when the offer is void: its caller has left, another offer of the attempt has
	// replaced it, or the upstream takes no more calls. Its cause is a *withdrawal.
	withdrawn context.Context
	withdraw  context.CancelCauseFunc
	expiry    *time.Timer
}

// withdrawal is why an offer became void. The reason is empty if another offer of the same attempt has
// replaced it.
type withdrawal struct{ reason carrier.Reason }

func (w *withdrawal) Error() string { return string(w.reason) }

// offers holds the offers of the bodies that other nodes want to send. It is safe for concurrent
// use.
type offers struct {
	executor *executor.Executor
	// account is nil if the memory of pieces is not accounted.
	account *accountant.Account

	mu     sync.Mutex
	shaper *shaper.Shaper
	open   map[fencer.AttemptID]*offer
	// scheduled is set while a call of advance is due.
	scheduled bool
	// forecasts holds those of the time forecastAt. A call of advance needs them for each offer.
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if former := s.open[id]; former != nil {
		s.removeLocked(id, former, "")
	}
	s.open[id] = o
	o.expiry = time.AfterFunc(latest.Sub(now), func() { s.expire(id, o) })
	s.shaper.Offer(o.Offer, now)
	s.scheduleAdvance()
	return o
}

// addPiece adds a piece to the body of an offer and offers the rest. It reports whether the offer is
// open and the piece is the next one.
func (s *offers) addPiece(args *PieceArgs, now time.Time) (*offer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.open[args.AttemptID]
	if o == nil || len(o.body) != args.Offset || len(args.Bytes) != o.Granted {
		return nil, false
	}
	if size := growth * int64(len(args.Bytes)); s.account != nil {
		if !s.account.Reserve(accountant.Messages, size) {
			s.removeLocked(args.AttemptID, o, carrier.MemoryFull)
			return nil, false
		}
		o.reserved += size
	}
	o.body = append(o.body, args.Bytes...)
	s.shaper.Continue(o.Offer, now)
	s.scheduleAdvance()
	return o, true
}

// take makes the offer of an attempt void, whose last message has arrived, and returns the body that
// came before with the memory reserved for it, which the caller must release. It reports whether the
// body has the given length.
func (s *offers) take(id fencer.AttemptID, length int) (body []byte, reserved int64, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.open[id]
	if o == nil {
		return nil, 0, false
	}
	reserved, o.reserved = o.reserved, 0
	s.removeLocked(id, o, carrier.CallerGone)
	return o.body, reserved, len(o.body) == length
}

// release releases the memory of a body that take has returned.
func (s *offers) release(reserved int64) {
	if s.account != nil {
		s.account.Release(accountant.Messages, reserved)
	}
}

// await waits until the offer is settled and returns the number of granted bytes, or the refusal. The
// refusal has no reason if another offer has replaced this one.
func (s *offers) await(o *offer) (carrier.Result, int) {
	select {
	case refusal := <-o.Settled:
		if refusal == nil {
			// A later piece of the body may change the grant.
			s.mu.Lock()
			defer s.mu.Unlock()
			return carrier.Result{}, o.Granted
		}
		reason := carrier.WaitTooLong
		if refusal.Link {
			reason = carrier.LinkBusy
		}
		return carrier.Result{Outcome: carrier.NotRun, Reason: reason, Wait: refusal.Wait}, 0
	case <-o.withdrawn.Done():
		reason := carrier.CallerGone
		if w, known := context.Cause(o.withdrawn).(*withdrawal); known {
			reason = w.reason
		}
		return carrier.Refuse(reason), 0
	}
}

// remove makes the offer of an attempt void, if there is one: its body has arrived or is no longer sent.
func (s *offers) remove(id fencer.AttemptID, reason carrier.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.open[id]; o != nil {
		s.removeLocked(id, o, reason)
	}
}

// expire makes an offer void whose deadline has passed, unless another has replaced it.
func (s *offers) expire(id fencer.AttemptID, o *offer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[id] == o {
		s.removeLocked(id, o, carrier.DeadlineExceeded)
	}
}

// removeLocked makes an offer void for a reason and releases its memory. The caller holds the lock.
func (s *offers) removeLocked(id fencer.AttemptID, o *offer, reason carrier.Reason) {
	delete(s.open, id)
	o.expiry.Stop()
	o.withdraw(&withdrawal{reason})
	s.release(o.reserved)
	s.shaper.Withdraw(o.Offer, time.Now())
}

// scheduleAdvance schedules the next call of advance while offers wait. The caller holds the lock.
func (s *offers) scheduleAdvance() {
	if s.scheduled || s.shaper.Waiting() == 0 {
		return
	}
	s.scheduled = true
	time.AfterFunc(advanceInterval, s.advance)
}

// advance withdraws the offers whose calls the upstream no longer takes, and advances the shaper.
func (s *offers) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduled = false
	now := time.Now()
	for id, o := range s.open {
		if reason := s.forecast(o.job, now).Refusal; reason != "" {
			s.removeLocked(id, o, reason)
		}
	}
	s.shaper.Advance(now)
	s.scheduleAdvance()
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
	if known {
		r.reportTo(entry, &reply.Attempt.Run)
		reply.Attempt.Expired = entry.Expired
	} else {
		r.settle(args, latest, now, reply)
	}
	reply.Attempt.Reading = r.reading(time.Now())
	return nil
}

// settle grants or refuses an offer.
func (r *Receiver) settle(args *OfferArgs, latest, now time.Time, reply *OfferReply) {
	job := args.Attempt.Job.At(latest.Sub(now))
	id := args.Attempt.AttemptID
	if reason := r.executor.Forecast(job, now).Refusal; reason != "" {
		r.conclude(id, latest, carrier.Refuse(reason), &reply.Attempt)
		return
	}
	r.awaitGrant(id, latest, r.offers.begin(id, job, args.Bytes, latest, now), reply)
}

// awaitGrant waits until an offer is settled and sets the reply.
func (r *Receiver) awaitGrant(id fencer.AttemptID, latest time.Time, o *offer, reply *OfferReply) {
	var refusal carrier.Result
	if refusal, reply.Granted = r.offers.await(o); reply.Granted > 0 {
		return
	}
	if refusal.Reason == "" {
		// The sender waits for the settlement of the later offer instead.
		reply.Attempt.Run.Result = carrier.Fail(carrier.PeerLost)
		return
	}
	r.offers.expire(id, o)
	r.conclude(id, latest, refusal, &reply.Attempt)
}

// conclude ends an attempt with a refusal, unless another message of it has begun already, and sets
// the reply to its result. A copy that arrives later is not executed: the refusal promises that.
func (r *Receiver) conclude(id fencer.AttemptID, latest time.Time, refusal carrier.Result, reply *AttemptReply) {
	r.mu.Lock()
	entry, isNew := r.fencer.Begin(id, latest, nil, time.Now())
	if isNew {
		r.fencer.Finish(entry, refusal, time.Now())
	}
	r.mu.Unlock()
	r.reportTo(entry, &reply.Run)
	reply.Expired = entry.Expired
}

// Piece takes a piece of a body and grants or refuses the next one, like Offer. The pieces of an
// offer that is void are of no use: the call has not run and goes elsewhere.
func (m *methods) Piece(args *PieceArgs, reply *OfferReply) error {
	r := m.r
	if args.Start != r.start {
		reply.Attempt.Run.OtherProcess = true
		return nil
	}
	latest := r.opened.Add(args.LatestStart)
	if o, open := r.offers.addPiece(args, time.Now()); open {
		r.awaitGrant(args.AttemptID, latest, o, reply)
	} else {
		r.conclude(args.AttemptID, latest, carrier.Refuse(carrier.LinkBusy), &reply.Attempt)
	}
	reply.Attempt.Reading = r.reading(time.Now())
	return nil
}
