// Package recorder holds the idempotency records of one node. It does no I/O; the
// caller passes the time.
package recorder

import (
	"time"
)

// End is how the call that claimed a key ended.
type End uint8

// The ends. For a retry of the request, Open counts as Unknown.
const (
	// Open means that the call may be running.
	Open End = iota
	// Released means that the call was certainly not run; its claim is removed.
	Released
	// Ran means that the call was run and answered.
	Ran
	// Unknown means that the call may have been run.
	Unknown
)

// MaxKeyBytes is the maximum length of an idempotency key, in bytes.
const MaxKeyBytes = 128

// MaxStoredBytes is the maximum size of an answer body that is stored for retries, in
// bytes.
const MaxStoredBytes = 1024

// StoredAnswer is the answer of a call that ran, stored for retries with the same key.
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Record is a replica's record of one idempotency key.
type Record struct {
	Tenant string
	Key    string
	// Fingerprint identifies the content of the request.
	Fingerprint string
	// Token is unique to the claim.
	Token string
	End   End
	// Stored is set only if End is Ran and the answer is small enough.
	Stored *StoredAnswer
	// Age is the time since the claim was recorded; set only by Export.
	Age time.Duration
}

// recordKey identifies a record.
type recordKey struct {
	shard       int
	tenant, key string
}

// timedRecord is a record with the time of its claim.
type timedRecord struct {
	Record
	claimedAt time.Time
}

// Ledger holds one node's records. It is not safe for concurrent use.
type Ledger struct {
	window  time.Duration
	records map[recordKey]*timedRecord
	// order holds the keys in the order in which their records were added, including
	// those of released records until they are expired.
	order []recordKey
}

// New returns an empty ledger that keeps each record for the window, counted from its
// claim.
func New(window time.Duration) *Ledger {
	return &Ledger{window: window, records: map[recordKey]*timedRecord{}}
}

// Claim records a claim and returns nil, or returns a copy of the record of another
// claim of the key. It returns nil for the same claim, recognised by its token.
func (l *Ledger) Claim(shard int, r Record, now time.Time) (prior *Record) {
	l.expire(now)
	key := recordKey{shard, r.Tenant, r.Key}
	if found := l.records[key]; found != nil {
		if found.Token == r.Token {
			return nil
		}
		copied := found.Record
		return &copied
	}
	l.records[key] = &timedRecord{Record: r, claimedAt: now}
	l.order = append(l.order, key)
	return nil
}

// Settle records the end of a claim; Released removes its record. It does nothing if the
// claim has an end already or the token is that of another claim.
func (l *Ledger) Settle(shard int, r Record) {
	key := recordKey{shard, r.Tenant, r.Key}
	found := l.records[key]
	if found == nil || found.Token != r.Token || found.End != Open {
		return
	}
	if r.End == Released {
		delete(l.records, key)
		return
	}
	found.End, found.Stored = r.End, r.Stored
}

// Export returns copies of the records of a shard, with their ages, in no order.
func (l *Ledger) Export(shard int, now time.Time) []Record {
	l.expire(now)
	var records []Record
	for key, held := range l.records {
		if key.shard == shard {
			record := held.Record
			record.Age = now.Sub(held.claimedAt)
			records = append(records, record)
		}
	}
	return records
}

// Import merges records that another ledger exported. For a key that has a record already,
// only the end is updated, and only if that record is open and of the same claim.
func (l *Ledger) Import(shard int, records []Record, now time.Time) {
	for _, record := range records {
		key := recordKey{shard, record.Tenant, record.Key}
		found := l.records[key]
		claimedAt := now.Add(-record.Age)
		switch {
		case found == nil:
			l.records[key] = &timedRecord{Record: record, claimedAt: claimedAt}
			l.order = append(l.order, key)
		case found.End == Open && found.Token == record.Token:
			found.End, found.Stored = record.End, record.Stored
		}
	}
}

// expire removes records older than the window. A record may be kept for longer if a
// younger one is ahead of it in the order, which happens for an imported record or after
// a released key was claimed again.
func (l *Ledger) expire(now time.Time) {
	for len(l.order) > 0 {
		key := l.order[0]
		held := l.records[key]
		if held != nil && now.Sub(held.claimedAt) <= l.window {
			return
		}
		delete(l.records, key)
		l.order = l.order[1:]
	}
}
