// Package publisher creates, signs and rolls out versions on behalf of operators.
// Version numbers, sign-offs and the rollout record are written by compare-and-swap on
// the platform: if several operators write one of them at the same time, exactly one of
// the writes succeeds.
package publisher

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/bundle/differ"
	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
	"github.com/tamarackscale/tamarackscale/internal/bundle/signer"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/platform/resolver"
	"github.com/tamarackscale/tamarackscale/internal/rollout/decider"
)

// Keys and key prefixes on the platform.
const (
	// CounterKey holds the last version number assigned.
	CounterKey = "counter"
	// RolloutPrefix is the prefix that relays watch.
	RolloutPrefix = "rollout/"
	// RecordKey holds the decider.Record.
	RecordKey = RolloutPrefix + "record"
	// ReportPrefix is followed by the name of a zone.
	ReportPrefix = RolloutPrefix + "reports/"
	// IndexPrefix is followed by a version. The values are small, so that versions
	// are listed without their content.
	IndexPrefix = "index/"
)

// BundleKey returns the key of the envelope of a version.
func BundleKey(version int64) string { return fmt.Sprintf("bundles/%012d", version) }

// DeltaKey returns the key of the delta of a version to its base.
func DeltaKey(version int64) string { return fmt.Sprintf("deltas/%012d", version) }

// SignOffKey returns the key of the sign-off of a version.
func SignOffKey(version int64) string { return fmt.Sprintf("signoffs/%012d", version) }

func indexKey(version int64) string { return fmt.Sprintf("%s%012d", IndexPrefix, version) }

// maxVersionTries limits how often Create tries to get a version number against
// concurrent operators.
const maxVersionTries = 20

// AlreadySignedError is returned if another sign-off of a version is stored; Operator
// is its signer.
type AlreadySignedError struct {
	Version  int64
	Operator string
}

func (e *AlreadySignedError) Error() string {
	return fmt.Sprintf("version %d is already signed off by %s", e.Version, e.Operator)
}

// NotSignedError is returned if a version has no sign-off.
type NotSignedError struct{ Version int64 }

func (e *NotSignedError) Error() string {
	return fmt.Sprintf("version %d is not signed off; run bundle sign first", e.Version)
}

// HomeMovedError is returned if a version would move idempotency records to
// another zone. Difference is the change between the bundles that causes it.
type HomeMovedError struct{ Difference string }

func (e *HomeMovedError) Error() string {
	return "the version would move idempotency records between zones, which could run a retried call twice: " + e.Difference +
		"; see --moved-homes"
}

// IndexEntry is an entry of the list of versions.
type IndexEntry struct {
	parser.Pointer
	CreatedBy string    `json:"createdBy"`
	CreatedAt time.Time `json:"createdAt"`
	// Bytes is the size of the canonical content in bytes.
	Bytes int `json:"bytes"`
}

// Publisher creates, signs and rolls out versions.
type Publisher struct {
	store keeper.Store
	now   func() time.Time
}

// New returns a publisher that stores versions on the given platform.
func New(store keeper.Store, now func() time.Time) *Publisher {
	return &Publisher{store: store, now: now}
}

// counter is the value of CounterKey. The nonce makes it unique to one write.
type counter struct {
	Last  int64  `json:"last"`
	Nonce string `json:"nonce"`
}

// Create stores a bundle under the next version number, with its delta to the
// accepted version and its index entry. It does not validate the bundle.
func (p *Publisher) Create(ctx context.Context, bundle *parser.Bundle, operator string) (parser.Pointer, error) {
	content, err := parser.Canonical(bundle)
	if err != nil {
		return parser.Pointer{}, err
	}
	version, err := p.nextVersion(ctx)
	if err != nil {
		return parser.Pointer{}, err
	}
	pointer := parser.Pointer{Version: version, Digest: parser.Digest(content)}
	envelope := parser.Envelope{Pointer: pointer, Content: content, CreatedBy: operator}
	if err := p.create(ctx, BundleKey(version), envelope); err != nil {
		return parser.Pointer{}, err
	}
	if err := p.createDelta(ctx, pointer, content); err != nil {
		return parser.Pointer{}, err
	}
	entry := IndexEntry{Pointer: pointer, CreatedBy: operator, CreatedAt: p.now(), Bytes: len(content)}
	return pointer, p.create(ctx, indexKey(version), entry)
}

// nextVersion assigns a version number, in at most maxVersionTries tries. The number
// stays unused if its bundle is not stored afterwards.
func (p *Publisher) nextVersion(ctx context.Context) (int64, error) {
	for range maxVersionTries {
		var current counter
		revision, err := p.read(ctx, CounterKey, &current)
		if err != nil {
			return 0, err
		}
		next := counter{Last: current.Last + 1, Nonce: resolver.Nonce()}
		err = p.put(ctx, CounterKey, next, revision)
		var conflict *keeper.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		return next.Last, err
	}
	return 0, errors.Newf("no version number assigned after %d tries: concurrent writes by other operators", maxVersionTries)
}

// createDelta stores the delta to the accepted version, if there is one.
func (p *Publisher) createDelta(ctx context.Context, pointer parser.Pointer, content []byte) error {
	record, err := p.Record(ctx)
	if err != nil || record.Accepted.Version == 0 {
		return err
	}
	base, err := p.Bundle(ctx, record.Accepted.Version)
	if err != nil {
		return err
	}
	return p.create(ctx, DeltaKey(pointer.Version), differ.Diff(base.Content, content))
}

// Bundle reads the envelope of a version. It is an error if there is none.
func (p *Publisher) Bundle(ctx context.Context, version int64) (parser.Envelope, error) {
	var envelope parser.Envelope
	revision, err := p.read(ctx, BundleKey(version), &envelope)
	if err == nil && revision == 0 {
		err = errors.Newf("version %d does not exist", version)
	}
	return envelope, err
}

// SignOff reads the sign-off of a version. Its error is a *NotSignedError if there
// is none.
func (p *Publisher) SignOff(ctx context.Context, version int64) (parser.SignOff, error) {
	var signOff parser.SignOff
	revision, err := p.read(ctx, SignOffKey(version), &signOff)
	if err == nil && revision == 0 {
		err = &NotSignedError{Version: version}
	}
	return signOff, err
}

// Sign stores the operator's sign-off of a version. It recomputes the digest of the
// stored content first, so that altered content is not signed. If the version is
// signed off already, it returns that sign-off and an *AlreadySignedError.
func (p *Publisher) Sign(
	ctx context.Context, version int64, operator string, key ed25519.PrivateKey,
) (parser.SignOff, error) {
	envelope, err := p.Bundle(ctx, version)
	if err != nil {
		return parser.SignOff{}, err
	}
	if parser.Digest(envelope.Content) != envelope.Digest || envelope.Version != version {
		return parser.SignOff{}, errors.Newf("stored content of version %d does not match its digest or version number; it cannot be signed", version)
	}
	signOff := signer.Sign(operator, key, envelope.Pointer)
	err = p.create(ctx, SignOffKey(version), signOff)
	var conflict *keeper.ConflictError
	if !errors.As(err, &conflict) {
		return signOff, err
	}
	winner, err := p.SignOff(ctx, version)
	if err != nil {
		return parser.SignOff{}, err
	}
	return winner, &AlreadySignedError{Version: version, Operator: winner.Operator}
}

// Record reads the rollout record. Its revision is zero if there is none.
func (p *Publisher) Record(ctx context.Context) (decider.Stamped, error) {
	var record decider.Stamped
	revision, err := p.read(ctx, RecordKey, &record.Record)
	record.Revision = revision
	return record, err
}

// Start stages a signed version. It sets the pointer and the start time of stage; the
// caller sets the rest. Its error is a *decider.ActiveError, a
// *decider.OldVersionError, a *NotSignedError or a *HomeMovedError if a condition
// of the rollout is not met.
func (p *Publisher) Start(ctx context.Context, version int64, stage decider.Stage) (decider.Stamped, error) {
	signOff, err := p.SignOff(ctx, version)
	if err != nil {
		return decider.Stamped{}, err
	}
	stage.Pointer, stage.StartedAt = signOff.Pointer, p.now()
	return p.updateRecord(ctx, func(r decider.Record) (decider.Record, error) {
		if !stage.HomesMoved {
			if err := p.checkHomes(ctx, r.Accepted.Version, version); err != nil {
				return r, err
			}
		}
		return decider.Begin(r, stage)
	})
}

// Abort ends the rollout of the staged version. It is an error if version is not
// staged.
func (p *Publisher) Abort(ctx context.Context, version int64, operator string) (decider.Stamped, error) {
	return p.updateRecord(ctx, func(r decider.Record) (decider.Record, error) {
		if r.Staged == nil || r.Staged.Version != version {
			return r, errors.Newf("version %d is not being rolled out", version)
		}
		decision := decider.Decision{Action: decider.Abort, Reason: "aborted by " + operator}
		return decider.Apply(r, decision, p.now()), nil
	})
}

// updateRecord applies one step to the record. After a conflict with another writer
// it applies the step to the record that the other wrote, where the step may fail.
func (p *Publisher) updateRecord(
	ctx context.Context, step func(decider.Record) (decider.Record, error),
) (decider.Stamped, error) {
	for {
		current, err := p.Record(ctx)
		if err != nil {
			return current, err
		}
		next, err := step(current.Record)
		if err != nil {
			return current, err
		}
		written, err := PutRecord(ctx, p.store, next, current.Revision)
		var conflict *keeper.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		return written, err
	}
}

// PutRecord replaces the record at the expected revision. Its error is a
// *keeper.ConflictError only if the write had no effect. It returns the latest
// record it read, which may be a successor that others wrote.
func PutRecord(
	ctx context.Context, store keeper.Store, record decider.Record, expected keeper.Revision,
) (decider.Stamped, error) {
	nonce := resolver.Nonce()
	record = record.WithNonce(nonce)
	value, err := json.Marshal(record)
	if err != nil {
		return decider.Stamped{}, err
	}
	follows := func(current []byte) bool {
		later, err := DecodeRecord(keeper.Item{Value: current})
		return err == nil && slices.Contains(later.Nonces, nonce)
	}
	request := keeper.PutRequest{Key: RecordKey, Value: value, Expected: expected}
	item, err := resolver.PutShared(ctx, store, request, follows)
	if err != nil {
		return decider.Stamped{}, err
	}
	return DecodeRecord(item)
}

// checkHomes returns a *HomeMovedError if a version would look up idempotency
// records of a tenant in another zone than the accepted version does.
func (p *Publisher) checkHomes(ctx context.Context, accepted, version int64) error {
	if accepted == 0 {
		return nil
	}
	before, err := p.readBundle(ctx, accepted)
	if err != nil {
		return err
	}
	after, err := p.readBundle(ctx, version)
	if err != nil {
		return err
	}
	return CompareHomes(before, after)
}

// readBundle reads and decodes the bundle of a version.
func (p *Publisher) readBundle(ctx context.Context, version int64) (*parser.Bundle, error) {
	envelope, err := p.Bundle(ctx, version)
	if err != nil {
		return nil, err
	}
	return parser.FromCanonical(envelope.Content)
}

// CompareHomes returns a *HomeMovedError if the idempotency records of any tenant
// would move from one bundle to the other.
func CompareHomes(before, after *parser.Bundle) error {
	if fmt.Sprint(before.AvailabilityZones) != fmt.Sprint(after.AvailabilityZones) {
		return &HomeMovedError{Difference: "availabilityZones differ"}
	}
	homes := map[string]string{}
	for _, tenant := range before.Tenants {
		homes[tenant.Name] = tenant.HomeZone
	}
	for _, tenant := range after.Tenants {
		if homes[tenant.Name] != tenant.HomeZone {
			return &HomeMovedError{Difference: "homeZone of tenant " + tenant.Name + " differs"}
		}
		delete(homes, tenant.Name)
	}
	for name, home := range homes {
		if home != "" {
			return &HomeMovedError{Difference: "tenant " + name + " with a homeZone was removed"}
		}
	}
	return nil
}

// Index lists the versions in ascending order.
func (p *Publisher) Index(ctx context.Context) ([]IndexEntry, error) {
	items, err := p.store.List(ctx, IndexPrefix)
	if err != nil {
		return nil, err
	}
	entries := make([]IndexEntry, len(items))
	for i, item := range items {
		if err := json.Unmarshal(item.Value, &entries[i]); err != nil {
			return nil, errors.Wrapf(err, "key %s", item.Key)
		}
	}
	return entries, nil
}

// Reports reads the reports of all zones, by zone.
func (p *Publisher) Reports(ctx context.Context) (map[string]decider.Report, error) {
	items, err := p.store.List(ctx, ReportPrefix)
	if err != nil {
		return nil, err
	}
	return DecodeReports(items), nil
}

// DecodeRecord decodes the rollout record from an item of the platform.
func DecodeRecord(item keeper.Item) (decider.Stamped, error) {
	record := decider.Stamped{Revision: item.Revision}
	err := json.Unmarshal(item.Value, &record.Record)
	return record, errors.Wrapf(err, "key %s", item.Key)
}

// DecodeReports decodes the zone reports among items of the platform. It skips
// values that are not valid reports, so their zones count as not having reported.
func DecodeReports(items []keeper.Item) map[string]decider.Report {
	reports := map[string]decider.Report{}
	for _, item := range items {
		var report decider.Report
		if json.Unmarshal(item.Value, &report) == nil && ReportPrefix+report.Zone == item.Key {
			reports[report.Zone] = report
		}
	}
	return reports
}

// read decodes the JSON value of a key and returns its revision. If the key is missing,
// it leaves target unchanged and returns zero.
func (p *Publisher) read(ctx context.Context, key string, target any) (keeper.Revision, error) {
	item, err := p.store.Get(ctx, key)
	var missing *keeper.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(item.Value, target); err != nil {
		return 0, errors.Wrapf(err, "key %s", key)
	}
	return item.Revision, nil
}

// create writes a key that does not exist yet. Its error is a *keeper.ConflictError if
// the key exists.
func (p *Publisher) create(ctx context.Context, key string, value any) error {
	return p.put(ctx, key, value, 0)
}

// put writes a value as JSON to a key that has the expected revision.
func (p *Publisher) put(ctx context.Context, key string, value any, expected keeper.Revision) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = resolver.Put(ctx, p.store, keeper.PutRequest{Key: key, Value: encoded, Expected: expected})
	return err
}
