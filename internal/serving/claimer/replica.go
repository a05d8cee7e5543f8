package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/cluster/messenger"
	"github.com/tamarackscale/tamarackscale/internal/serving/recorder"
	"github.com/tamarackscale/tamarackscale/internal/serving/seater"
)

// partitionMargin is added to the time for which records are kept, because the minority
// of a partitioned zone may still record claims until it has detected that it is the
// minority.
const partitionMargin = time.Minute

// completeInterval is the delay before the records of incomplete seats are requested
// again.
const completeInterval = 250 * time.Millisecond

// CopyRequest asks a present or former holder for the records of a shard, for a new
// holder.
type CopyRequest struct {
	Shard int
	// Column is the column of the seat that the called node holds or held.
	Column int
	// Row is the caller's view of the shard's row.
	Row seater.Row
	// Former reports that the called node held the seat before the caller.
	Former bool
}

// CopyReply is the reply to a CopyRequest.
type CopyReply struct {
	// Complete reports that the holder has the same view of the row and all records.
	Complete bool
	Records  []recorder.Record
}

type seatKey struct{ shard, column int }

// seatState is the state of a seat that this node holds.
type seatState struct {
	term int64
	// since is when this node received the assignment of the seat.
	since time.Time
	// complete reports that the node has all records of the shard that a holder of
	// the seat must have.
	complete bool
}

// replica keeps the records for the seats that this node holds.
type replica struct {
	claimer *Claimer
	window  time.Duration
	// wake wakes completeSeats after a change of the seats.
	wake chan struct{}

	mu     sync.Mutex
	ledger *recorder.Ledger
	// views holds the seats of each zone as known to this node.
	views map[string]seater.Seats
	// seats holds the seats of this node.
	seats map[seatKey]*seatState
	// former maps the seats that this node no longer holds, and for which it had all
	// records, to their terms.
	former map[seatKey]int64
	// inMinorityAt is when this node was last found not to be in the majority of its
	// zone.
	inMinorityAt time.Time
}

func newReplica(c *Claimer, window time.Duration) *replica {
	return &replica{
		claimer: c, window: window, wake: make(chan struct{}, 1), ledger: recorder.New(window),
		views: map[string]seater.Seats{}, seats: map[seatKey]*seatState{},
		former: map[seatKey]int64{},
	}
}

// EntriesChanged implements gossiper.Listener.
func (r *replica) EntriesChanged([]merger.Entry) {}

// DocumentsChanged implements gossiper.Listener.
func (r *replica) DocumentsChanged(documents []merger.Document, _ string) {
	for _, document := range documents {
		zone, isSeats := seater.ZoneOf(document.Key)
		if !isSeats {
			continue
		}
		seats, valid := seater.Decode(document)
		if !valid {
			r.claimer.log.WithField("key", document.Key).Error("cannot decode seats; ignoring them")
			continue
		}
		r.updateView(zone, seats)
	}
}

// updateView replaces the view of a zone. For this node's own zone it also updates
// which seats the node holds.
func (r *replica) updateView(zone string, seats seater.Seats) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.views[zone] = seats
	if zone != r.claimer.zone {
		return
	}
	self := r.claimer.gossiper.Self()
	held := map[seatKey]*seatState{}
	for shard, row := range seats.Rows {
		for column, seat := range row {
			if seat.Node != self.ID || seat.Started != self.Started {
				continue
			}
			key := seatKey{shard, column}
			state := r.seats[key]
			if state == nil || state.term != seat.Term {
				state = &seatState{term: seat.Term, since: time.Now()}
			}
			state.complete = state.complete || seat.Founding
			held[key] = state
		}
	}
	for key, state := range r.seats {
		if held[key] == nil && state.complete {
			r.former[key] = state.term
		}
	}
	r.seats = held
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// view returns the seats of a zone as known to this node.
func (r *replica) view(zone string) seater.Seats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.views[zone]
}

// claim records a claim if this node has the same view as the claimant, has all
// records for the seat and is in the majority of its zone.
func (r *replica) claim(q ClaimRequest) ClaimReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.viewMatches(q.Shard, q.Row) {
		return ClaimReply{Status: ViewMismatch}
	}
	state := r.seats[seatKey{q.Shard, q.Column}]
	if state == nil || !state.complete || !r.inMajority() {
		return ClaimReply{Status: Incomplete}
	}
	if prior := r.ledger.Claim(q.Shard, q.Record, time.Now()); prior != nil {
		return ClaimReply{Status: Conflict, Prior: *prior}
	}
	return ClaimReply{Status: Recorded}
}

// viewMatches reports whether the row has the same holders as in the view of this
// node. r.mu must be held.
func (r *replica) viewMatches(shard int, row seater.Row) bool {
	if shard < 0 || shard >= seater.Shards {
		return false
	}
	return r.views[r.claimer.zone].Rows[shard].SameHolders(row)
}

// inMajority reports whether this node is in the majority of its zone, counted over
// the members of the last hours. In a partitioned zone the minority must not record
// claims, since the majority may have reassigned its seats. r.mu must be held.
func (r *replica) inMajority() bool {
	if r.claimer.gossiper.Majority() {
		return true
	}
	r.inMinorityAt = time.Now()
	return false
}

// settle records the end of a claim.
func (r *replica) settle(q SettleRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Settle(q.Shard, q.Record)
}

// export returns the records of a shard, if this node has the same view as the caller
// and has all of them.
func (r *replica) export(q CopyRequest) CopyReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.viewMatches(q.Shard, q.Row) || !r.recordsComplete(q) {
		return CopyReply{}
	}
	return CopyReply{Complete: true, Records: r.ledger.Export(q.Shard, time.Now())}
}

// recordsComplete reports whether this node has all records of the shard, as the
// holder of the seat or as the former holder. A former holder with the newer view has
// stopped recording claims, so its records are final. r.mu must be held.
func (r *replica) recordsComplete(q CopyRequest) bool {
	key := seatKey{q.Shard, q.Column}
	if q.Former {
		term, found := r.former[key]
		return found && term == q.Row[q.Column].Term-1
	}
	state := r.seats[key]
	return state != nil && state.complete
}

// completeSeats runs until the context ends and completes the seats that are assigned
// to this node.
func (r *replica) completeSeats(ctx context.Context) {
	for {
		pending := r.incompleteSeats()
		for _, key := range pending {
			r.completeSeat(ctx, key)
		}
		var retry <-chan time.Time
		if len(pending) > 0 {
			retry = time.After(completeInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-retry:
		}
	}
}

// incompleteSeats returns the seats of this node that may lack records.
func (r *replica) incompleteSeats() []seatKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []seatKey
	for key, state := range r.seats {
		if !state.complete {
			keys = append(keys, key)
		}
	}
	return keys
}

// completeSeat copies the records of the former holder of the seat, or else those of
// both other holders of the row. If neither is possible, the seat becomes complete
// once every claim that it could lack is older than the window.
func (r *replica) completeSeat(ctx context.Context, key seatKey) {
	row := r.view(r.claimer.zone).Rows[key.shard]
	if reply := r.copyFromFormer(ctx, row, key); reply.Complete {
		r.mergeCopies(key, row, []CopyReply{reply}, true)
		return
	}
	var copies []CopyReply
	for column := range seater.Columns {
		if column == key.column {
			continue
		}
		if reply := r.copyFromReplica(ctx, row, key.shard, column); reply.Complete {
			copies = append(copies, reply)
		}
	}
	r.mergeCopies(key, row, copies, len(copies) == seater.Columns-1)
}

// mergeCopies merges copies into the ledger. It marks the seat as complete if the
// copies are sufficient, that is, hold every claim, or if heldForWindow is true. It
// does nothing if the row has changed since the copies were requested.
func (r *replica) mergeCopies(key seatKey, row seater.Row, copies []CopyReply, sufficient bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.seats[key]
	if state == nil || !r.viewMatches(key.shard, row) {
		return
	}
	for _, reply := range copies {
		r.ledger.Import(key.shard, reply.Records, time.Now())
	}
	if sufficient || r.heldForWindow(state) {
		state.complete = true
	}
}

// heldForWindow reports whether this node has held the seat, while in the majority of
// the zone, for longer than records are kept. r.mu must be held.
func (r *replica) heldForWindow(state *seatState) bool {
	if !r.inMajority() {
		return false
	}
	since := state.since
	if r.inMinorityAt.After(since) {
		since = r.inMinorityAt
	}
	return time.Since(since) > r.window+partitionMargin
}

// copyFromFormer requests a copy from the former holder of the seat, if it is alive.
func (r *replica) copyFromFormer(ctx context.Context, row seater.Row, key seatKey) CopyReply {
	seat := row[key.column]
	target, known := r.claimer.target(seater.Seat{Node: seat.From, Started: seat.FromStarted})
	if !known {
		return CopyReply{}
	}
	return r.requestCopy(ctx, target, CopyRequest{Shard: key.shard, Column: key.column, Row: row, Former: true})
}

// copyFromReplica requests a copy from the holder of another seat of the row. A
// founding seat that was never assigned counts as a complete copy without records.
func (r *replica) copyFromReplica(ctx context.Context, row seater.Row, shard, column int) CopyReply {
	seat := row[column]
	request := CopyRequest{Shard: shard, Column: column, Row: row}
	if seat.Node == r.claimer.gossiper.Self().ID {
		return r.export(request)
	}
	target, known := r.claimer.target(seat)
	if !known {
		return CopyReply{Complete: seat.Node == "" && seat.Founding}
	}
	return r.requestCopy(ctx, target, request)
}

// requestCopy calls a holder for a copy. If there is no reply, the copy is not
// complete.
func (r *replica) requestCopy(ctx context.Context, target messenger.Target, request CopyRequest) CopyReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := messenger.Call[CopyRequest, CopyReply](ctx, r.claimer.messenger, target, messenger.CopyMethod, request)
	if err != nil {
		return CopyReply{}
	}
	return reply
}

// receiver holds the RPC methods that other nodes call.
type receiver struct{ r *replica }

// Claim records a claim.
func (c *receiver) Claim(request ClaimRequest, reply *ClaimReply) error {
	*reply = c.r.claim(request)
	return nil
}

// Settle records the end of a claim.
func (c *receiver) Settle(request SettleRequest, _ *messenger.Empty) error {
	c.r.settle(request)
	return nil
}

// Copy returns the records of a shard.
func (c *receiver) Copy(request CopyRequest, reply *CopyReply) error {
	*reply = c.r.export(request)
	return nil
}

// HeldSeats returns the number of seats that this node holds by the newest assignments
// it has received.
func (c *Claimer) HeldSeats() int {
	c.replica.mu.Lock()
	defer c.replica.mu.Unlock()
	return len(c.replica.seats)
}
