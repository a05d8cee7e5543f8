package seater

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/tamarackscale/tamarackscale/internal/cluster/gossiper"
	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/platform/resolver"
)

// Seater runs on the relay of a zone and keeps the zone's seats assigned to living
// members. It writes to the platform only when a seat changes.
type Seater struct {
	zone     string
	gossiper *gossiper.Gossiper
	log      *logrus.Entry
	// noVersionAccepted asks the platform whether no bundle version was ever
	// accepted; known is false if the platform did not respond.
	noVersionAccepted func(ctx context.Context) (noVersionAccepted, known bool)

	// versionAccepted is set once a version is known to be accepted, and never unset.
	versionAccepted bool
	loaded          bool
	seats           Seats
	revision        keeper.Revision
}

// New returns the seater of one zone. The function noVersionAccepted asks the
// platform whether no bundle version was ever accepted; known is false if the
// platform did not respond.
func New(
	zone string, g *gossiper.Gossiper, noVersionAccepted func(ctx context.Context) (noVersionAccepted, known bool), log *logrus.Entry,
) *Seater {
	return &Seater{zone: zone, gossiper: g, noVersionAccepted: noVersionAccepted, log: log}
}

// Reset makes the next Run read the seats from the platform again. It is called at
// the start of each term as relay.
func (s *Seater) Reset() { s.loaded = false }

// Run reassigns the seats whose holders have ended or are leaving. It does nothing
// while this node is not in the majority of its zone. Errors of the platform are not
// returned; the next Run tries again.
func (s *Seater) Run(ctx context.Context, store keeper.Store) {
	if !s.gossiper.Majority() {
		return
	}
	if !s.loaded && !s.load(ctx, store) {
		return
	}
	next := Assign(s.seats, s.gossiper.Members(s.zone))
	if next.Rows != s.seats.Rows && !s.write(ctx, store, next) {
		return
	}
	if !s.versionAccepted && !anyFounding(s.seats) {
		s.markFounding(ctx, store)
	}
}

// markFounding marks all seats as founding if the platform has just confirmed that
// no version was ever accepted. Then no call was served before the seats were
// assigned, so their holders lack no record.
func (s *Seater) markFounding(ctx context.Context, store keeper.Store) {
	noVersionAccepted, known := s.noVersionAccepted(ctx)
	s.versionAccepted = known && !noVersionAccepted
	if known && noVersionAccepted {
		s.write(ctx, store, MarkFounding(s.seats))
	}
}

// anyFounding reports whether any seat is marked as founding.
func anyFounding(seats Seats) bool {
	for _, row := range seats.Rows {
		for _, seat := range row {
			if seat.Founding {
				return true
			}
		}
	}
	return false
}

// load reads the zone's seats from the platform and publishes them to the members.
// It reports whether this succeeded; seats that were never written are empty.
func (s *Seater) load(ctx context.Context, store keeper.Store) bool {
	item, err := store.Get(ctx, Key(s.zone))
	var missing *keeper.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return false
	}
	s.seats, s.revision = Seats{}, item.Revision
	if err == nil {
		document := merger.Document{Key: item.Key, Revision: item.Revision, Value: item.Value}
		seats, valid := Decode(document)
		if !valid {
			s.log.Error("seats on the platform cannot be decoded; not changing them")
			return false
		}
		s.seats = seats
		s.gossiper.PublishDocuments(document)
	}
	s.loaded = true
	return true
}

// write stores the seats on the platform, on condition that they were not changed
// since they were read, and publishes them to the members. It reports whether this
// succeeded. After an error the next Run reads the seats again, since the write may
// have been applied.
func (s *Seater) write(ctx context.Context, store keeper.Store, next Seats) bool {
	next.Nonce = resolver.Nonce()
	value, err := json.Marshal(next)
	if err != nil {
		return false
	}
	revision, err := resolver.Put(ctx, store, keeper.PutRequest{
		Key: Key(s.zone), Value: value, Expected: s.revision,
	})
	if err != nil {
		s.log.WithError(err).Info("seats could not be written; reading them again")
		s.loaded = false
		return false
	}
	s.seats, s.revision = next, revision
	s.gossiper.PublishDocuments(merger.Document{Key: Key(s.zone), Revision: revision, Value: value})
	return true
}

// Key returns the platform key under which the seats of a zone are stored.
func Key(zone string) string { return keyPrefix + zone }

const keyPrefix = "seats/"

// ZoneOf returns the zone of a key returned by Key, and reports whether it is such a
// key.
func ZoneOf(key string) (string, bool) {
	zone, found := strings.CutPrefix(key, keyPrefix)
	return zone, found && zone != ""
}

// Decode decodes the seats of a zone. It reports false if the value is not valid JSON
// of Seats or the document has no revision, that is, was never stored.
func Decode(document merger.Document) (Seats, bool) {
	var seats Seats
	err := json.Unmarshal(document.Value, &seats)
	return seats, err == nil && document.Revision > 0
}
