// Package claimer replicates claims of idempotency keys, so that any node recognises
// a retried request, even if the nodes that handled the first one have failed.
//
// A key belongs to a shard of its home zone, and three nodes of that zone hold the
// seats of the shard as its replicas. A claim must be recorded by two of them before
// the work runs, so any two claims of one key have a replica in common. The platform
// stores who holds the seats. A replica accepts only claims of nodes with the same
// view of the row, that is, of the holders of the shard. A new holder accepts claims
// only once it has copied the records of the former holder or of both other holders,
// which by then reject claims made with the older view. A claim that too few replicas
// accept is refused as not run.
//
// Recording a claim at a standby before the work runs is the hot standby of Mahadev,
// "A Fault Tolerant Semaphore Mechanism for Mutual Exclusion in Distributed
// Systems", 1996, section 3, with a majority instead of one standby.
package claimer

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tamarackscale/tamarackscale/internal/cluster/gossiper"
	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/cluster/messenger"
	"github.com/tamarackscale/tamarackscale/internal/kernel/pauser"
	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/internal/serving/recorder"
	"github.com/tamarackscale/tamarackscale/internal/serving/seater"
)

const (
	// callTimeout bounds the calls to the replicas for one claim, settlement or copy.
	callTimeout = 500 * time.Millisecond
	// maxClaimRounds is the maximum number of times that a claim is sent to the
	// replicas, and claimBackoff the delay between them, while a change of the seats is
	// still propagating.
	maxClaimRounds = 4
	claimBackoff   = 50 * time.Millisecond
)

// Request is a request to run work under an idempotency key.
type Request struct {
	Tenant string
	Key    string
	// Fingerprint identifies the content of the request.
	Fingerprint string
	// HomeZone is the home zone of the tenant; if it is empty, the zone is chosen by
	// hashing tenant and key.
	HomeZone string
	// Zones holds all availability zones of the bundle.
	Zones []string
}

// Grant is the right to run the work of a claim once.
type Grant struct {
	zone   string
	shard  int
	row    seater.Row
	record recorder.Record
}

// Status is the result of a claim at one replica.
type Status uint8

// The statuses.
const (
	// Recorded means that the replica has recorded the claim.
	Recorded Status = iota
	// Conflict means that the replica has a record of another claim of the key.
	Conflict
	// ViewMismatch means that the replica has a different view of the row.
	ViewMismatch
	// Incomplete means that the replica may lack records of the shard, is not in the
	// majority of its zone, or did not reply.
	Incomplete
)

// ClaimRequest asks a replica to record a claim.
type ClaimRequest struct {
	Shard int
	// Column is the column of the seat that the called replica holds.
	Column int
	// Row is the claimant's view of the shard's row.
	Row    seater.Row
	Record recorder.Record
}

// ClaimReply is the replica's reply to a ClaimRequest.
type ClaimReply struct {
	Status Status
	// Prior is the conflicting record; it is set only with Conflict.
	Prior recorder.Record
}

// SettleRequest asks a replica to record the end of a claim.
type SettleRequest struct {
	Shard  int
	Record recorder.Record
}

// Claimer claims idempotency keys at the replicas and is itself the replica for the
// seats of this node. It implements router.Claims and registrar.Service.
type Claimer struct {
	zone      string
	gossiper  *gossiper.Gossiper
	messenger *messenger.Messenger
	log       *logrus.Entry
	replica   *replica
	observe   func(result string)
}

// Config configures a claimer.
type Config struct {
	// Zone is the availability zone of this node.
	Zone string
	// Window is how long records are kept.
	Window time.Duration
	// Observe is called with the result of each claim: granted, unavailable, reused,
	// inProgress or repeated.
	Observe func(result string)
}

// New returns a claimer and registers its RPC receiver with the messenger. The error
// is that of the registration.
func New(config Config, g *gossiper.Gossiper, m *messenger.Messenger, log *logrus.Entry) (*Claimer, error) {
	c := &Claimer{zone: config.Zone, gossiper: g, messenger: m, log: log, observe: config.Observe}
	c.replica = newReplica(c, config.Window)
	g.AddListener(c.replica)
	return c, m.Handle(messenger.ClaimsName, &receiver{c.replica})
}

// Name implements registrar.Service.
func (c *Claimer) Name() string { return "claimer" }

// Needs implements registrar.Service.
func (c *Claimer) Needs() []string { return []string{"gossiper"} }

// Start starts the loop that copies the records for the seats of this node.
func (c *Claimer) Start(ctx context.Context) error {
	go c.replica.completeSeats(ctx)
	return nil
}

// Stop implements registrar.Service. It does nothing; the loop ends with the context
// that Start got.
func (c *Claimer) Stop(context.Context) error { return nil }

// Begin claims a key. It returns a grant to run the work, or the stored answer of an
// earlier request with the key, or a refusal. A claim that is not granted is released
// at the replicas in the background.
func (c *Claimer) Begin(ctx context.Context, q Request) (*Grant, *recorder.StoredAnswer, *framer.Refusal) {
	homeZone := q.HomeZone
	if homeZone == "" {
		homeZone = seater.HomeZone(q.Tenant, q.Key, q.Zones)
	}
	grant := &Grant{
		zone: homeZone, shard: seater.ShardOf(q.Tenant, q.Key),
		record: recorder.Record{Tenant: q.Tenant, Key: q.Key, Fingerprint: q.Fingerprint, Token: rand.Text()},
	}
	for range maxClaimRounds {
		votes := c.claim(ctx, grant)
		if votes.prior != nil {
			go c.Settle(context.WithoutCancel(ctx), grant, recorder.Released, nil)
			stored, refusal := c.resolvePrior(q, votes.prior)
			return nil, stored, refusal
		}
		if votes.recorded >= seater.Quorum {
			c.observe("granted")
			return grant, nil, nil
		}
		go c.Settle(context.WithoutCancel(ctx), grant, recorder.Released, nil)
		if votes.mismatch == "" {
			break
		}
		// One of the two views is stale; the gossip exchange with the replica updates it.
		c.gossiper.ReconcileAsync(votes.mismatch)
		if !pauser.Pause(ctx, claimBackoff) {
			break
		}
		grant = &Grant{zone: grant.zone, shard: grant.shard, record: grant.record}
		grant.record.Token = rand.Text()
	}
	c.observe("unavailable")
	return nil, nil, framer.Refuse(framer.KeyUnavailable,
		"fewer than %d replicas of this key in zone %s could record the claim", seater.Quorum, homeZone)
}

// tally sums up the replies to a claim.
type tally struct {
	// recorded is the number of replicas that recorded the claim.
	recorded int
	// mismatch is the ID of a replica with a different view; empty if there is none.
	mismatch string
	// prior is the record of another claim of the key, or nil.
	prior *recorder.Record
}

// replicaReply is a reply together with the ID of the replica that sent it.
type replicaReply struct {
	ClaimReply
	from string
}

// claim sends the claim to all replicas in parallel. It returns as soon as a quorum
// has recorded it or a replica reports a conflict, or when all have replied.
func (c *Claimer) claim(ctx context.Context, grant *Grant) tally {
	grant.row = c.replica.view(grant.zone).Rows[grant.shard]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	replies := make(chan replicaReply, seater.Columns)
	for column, seat := range grant.row {
		go func() { replies <- replicaReply{c.claimAt(ctx, grant, column), seat.Node} }()
	}
	var sum tally
	for received := 1; received <= seater.Columns; received++ {
		reply := <-replies
		switch reply.Status {
		case Recorded:
			sum.recorded++
		case Conflict:
			sum.prior = &reply.Prior
		case ViewMismatch:
			sum.mismatch = reply.from
		case Incomplete:
		}
		if sum.prior != nil || sum.recorded >= seater.Quorum {
			// The calls to the other replicas are not cancelled, so they record the
			// claim too.
			go func() {
				for range seater.Columns - received {
					<-replies
				}
				cancel()
			}()
			return sum
		}
	}
	cancel()
	return sum
}

// claimAt sends the claim to the replica in a column. If there is no reply, the
// status is Incomplete.
func (c *Claimer) claimAt(ctx context.Context, grant *Grant, column int) ClaimReply {
	request := ClaimRequest{Shard: grant.shard, Column: column, Row: grant.row, Record: grant.record}
	seat := grant.row[column]
	if seat.Node == c.gossiper.Self().ID {
		return c.replica.claim(request)
	}
	target, known := c.target(seat)
	if !known {
		return ClaimReply{Status: Incomplete}
	}
	reply, err := messenger.Call[ClaimRequest, ClaimReply](ctx, c.messenger, target, messenger.ClaimMethod, request)
	if err != nil {
		return ClaimReply{Status: Incomplete}
	}
	return reply
}

// target returns how to call the holder of a seat. It reports false if the process
// that holds the seat is not known to be alive.
func (c *Claimer) target(seat seater.Seat) (messenger.Target, bool) {
	entry, known := c.gossiper.Get(seat.Node)
	if !known || entry.Liveness != merger.Alive || entry.Started != seat.Started {
		return messenger.Target{}, false
	}
	return c.gossiper.TargetOf(entry), true
}

// resolvePrior returns the stored answer or the refusal for a request whose key was
// claimed before.
func (c *Claimer) resolvePrior(q Request, prior *recorder.Record) (*recorder.StoredAnswer, *framer.Refusal) {
	if prior.Fingerprint != q.Fingerprint {
		c.observe("reused")
		return nil, framer.Refuse(framer.KeyReused, "the key was used for a different request; this request was not run")
	}
	if prior.End != recorder.Ran {
		c.observe("inProgress")
		return nil, framer.RefuseUnknown(framer.KeyInProgress, "an earlier request with this key is running or its outcome is unknown")
	}
	c.observe("repeated")
	if prior.Stored == nil {
		return nil, &framer.Refusal{
			Code: framer.AlreadyRun, Outcome: framer.Run, Detail: "the request was run before, but its answer was not stored",
		}
	}
	return prior.Stored, nil
}

// Settle sends the end of the work under a grant to all replicas and waits for their
// replies, at most for callTimeout. Errors are ignored, since a replica without the end
// only causes later requests with the key to be refused.
func (c *Claimer) Settle(ctx context.Context, grant *Grant, end recorder.End, answer *recorder.StoredAnswer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record := grant.record
	record.End, record.Stored = end, answer
	request := SettleRequest{Shard: grant.shard, Record: record}
	done := make(chan struct{}, seater.Columns)
	for _, seat := range grant.row {
		go func() {
			defer func() { done <- struct{}{} }()
			if seat.Node == c.gossiper.Self().ID {
				c.replica.settle(request)
				return
			}
			if target, known := c.target(seat); known {
				_, _ = messenger.Call[SettleRequest, messenger.Empty](ctx, c.messenger, target, messenger.SettleMethod, request)
			}
		}()
	}
	for range grant.row {
		<-done
	}
}

// SeatsAssigned reports whether this node has received an assignment of the seats of
// its zone.
func (c *Claimer) SeatsAssigned() bool {
	seats := c.replica.view(c.zone)
	return seats.Rows[0][0].Node != ""
}
