// Package merger implements the replicated table of the fleet: one entry per
// node and a few documents from the platform. Merging is commutative,
// associative and idempotent, so updates may be reordered, duplicated or lost.
package merger

import (
	"encoding/binary"
	"hash/fnv"
	"sort"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
)

// BucketCount is the number of buckets that a table is divided into for reconciliation.
const BucketCount = 64

// Liveness is the state of a node's process as recorded by the members.
type Liveness uint8

// A node is Alive until another member declares it Dead. A node that shuts down
// announces itself as Left.
const (
	Alive Liveness = iota
	Dead
	Left
)

// EndpointState is the state of a node's upstream, as announced by the node itself.
type EndpointState uint8

// The states of an endpoint. Only Warming and Ready endpoints receive new calls.
const (
	Absent EndpointState = iota
	Warming
	Ready
	Draining
)

var stateNames = [...]string{"absent", "warming", "ready", "draining"}

// String returns the state's name.
func (s EndpointState) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Entry describes one node.
type Entry struct {
	ID   string
	Zone string
	// ControlAddress and PeerAddress are IP:port.
	ControlAddress string
	PeerAddress    string
	// Incarnation is set by the node: its start in Unix milliseconds, raised
	// when the node refutes that it is dead.
	Incarnation int64
	// Started is the start of the node's process in Unix milliseconds. Unlike
	// the incarnation it does not change when the node refutes that it is dead.
	Started int64
	// Sequence counts the node's own changes within an incarnation.
	Sequence int64
	Liveness Liveness
	// Service is the service of the node's upstream; empty if there is none.
	Service string
	State   EndpointState
	// ReadyAt is when the upstream became usable, in Unix milliseconds.
	ReadyAt int64
	// Slots is the number of slots in the upstream's heartbeat.
	Slots int
	// Leaving is set when the node drains, as its process is about to stop.
	Leaving bool
	// RelayTerm is the revision of the node's relay lease; zero if it holds none.
	RelayTerm int64
}

// supersedes reports whether e replaces other. It compares the incarnation first,
// then the liveness, in which the end of an incarnation is final, then the sequence.
func (e Entry) supersedes(other Entry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	if e.Liveness != other.Liveness {
		return e.Liveness > other.Liveness
	}
	return e.Sequence > other.Sequence
}

// Document is a value from the platform that members replicate to each other.
type Document struct {
	Key      string
	Revision keeper.Revision
	Value    []byte
}

// Stamp is a document's key and revision.
type Stamp struct {
	Key      string
	Revision keeper.Revision
}

type storedEntry struct {
	Entry
	// endedAt is when this table recorded that the node died or left; zero while it
	// is alive.
	endedAt time.Time
}

// Table is one node's view of the fleet. It is not safe for concurrent use; its owner
// holds a lock.
type Table struct {
	entries   map[string]storedEntry
	documents map[string]Document
	// buckets holds the XOR of the hashes of the entries in each bucket.
	buckets [BucketCount]uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: map[string]storedEntry{}, documents: map[string]Document{}}
}

// Merge stores an entry unless the table holds one at least as new, and reports whether the
// table changed.
func (t *Table) Merge(e Entry, now time.Time) bool {
	current, known := t.entries[e.ID]
	if known && !e.supersedes(current.Entry) {
		return false
	}
	if known {
		t.xorIntoBucket(current.Entry)
	}
	next := storedEntry{Entry: e}
	if e.Liveness != Alive {
		next.endedAt = now
	}
	t.entries[e.ID] = next
	t.xorIntoBucket(e)
	return true
}

// MergeDocument stores a document unless the table holds one at least as new, and reports
// whether the table changed.
func (t *Table) MergeDocument(d Document) bool {
	if d.Revision <= t.documents[d.Key].Revision {
		return false
	}
	t.documents[d.Key] = d
	return true
}

// Document returns the document of a key; its revision is zero if there is none.
func (t *Table) Document(key string) Document { return t.documents[key] }

// Documents returns all documents in no particular order.
func (t *Table) Documents() []Document {
	documents := make([]Document, 0, len(t.documents))
	for _, document := range t.documents {
		documents = append(documents, document)
	}
	return documents
}

// Stamps returns the keys and revisions of all documents, ordered by key.
func (t *Table) Stamps() []Stamp {
	stamps := make([]Stamp, 0, len(t.documents))
	for _, document := range t.documents {
		stamps = append(stamps, Stamp{Key: document.Key, Revision: document.Revision})
	}
	sort.Slice(stamps, func(i, j int) bool { return stamps[i].Key < stamps[j].Key })
	return stamps
}

// NewerThan returns the documents that are newer in the table than in the stamps or
// missing from them.
func (t *Table) NewerThan(stamps []Stamp) []Document {
	theirs := map[string]keeper.Revision{}
	for _, stamp := range stamps {
		theirs[stamp.Key] = stamp.Revision
	}
	var newer []Document
	for _, document := range t.documents {
		if document.Revision > theirs[document.Key] {
			newer = append(newer, document)
		}
	}
	return newer
}

// IsBehind reports whether any of the stamps is newer than the table's document.
func (t *Table) IsBehind(stamps []Stamp) bool {
	for _, stamp := range stamps {
		if stamp.Revision > t.documents[stamp.Key].Revision {
			return true
		}
	}
	return false
}

// Get returns a node's entry and whether there is one.
func (t *Table) Get(id string) (Entry, bool) {
	found, known := t.entries[id]
	return found.Entry, known
}

// Expire removes entries of nodes that this table recorded as left, or as dead,
// longer ago than the given durations.
func (t *Table) Expire(now time.Time, left, dead time.Duration) {
	retention := map[Liveness]time.Duration{Left: left, Dead: dead}
	for id, entry := range t.entries {
		if entry.Liveness != Alive && now.Sub(entry.endedAt) > retention[entry.Liveness] {
			t.xorIntoBucket(entry.Entry)
			delete(t.entries, id)
		}
	}
}

// Majority reports whether the live members of a zone outnumber the dead ones
// that have not expired. When a partition splits a zone in two, at most one side
// has the majority.
func (t *Table) Majority(zone string) bool {
	alive, dead := 0, 0
	for _, entry := range t.entries {
		if entry.Zone != zone {
			continue
		}
		switch entry.Liveness {
		case Alive:
			alive++
		case Dead:
			dead++
		case Left:
		}
	}
	return alive > dead
}

// Entries returns all entries, including those of dead and left nodes, ordered by ID.
func (t *Table) Entries() []Entry {
	return t.filter(func(Entry) bool { return true })
}

// Alive returns the live members of a zone ordered by ID; an empty zone selects
// all zones.
func (t *Table) Alive(zone string) []Entry {
	return t.filter(func(e Entry) bool {
		return e.Liveness == Alive && (zone == "" || e.Zone == zone)
	})
}

// filter returns the entries for which wanted is true, ordered by ID.
func (t *Table) filter(wanted func(Entry) bool) []Entry {
	var entries []Entry
	for _, entry := range t.entries {
		if wanted(entry.Entry) {
			entries = append(entries, entry.Entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	return entries
}

// Buckets returns the digest of each bucket. Two tables with equal digests of a bucket
// hold equal entries in it, except for hash collisions.
func (t *Table) Buckets() []uint64 { return append([]uint64(nil), t.buckets[:]...) }

// Digest returns one digest over all entries.
func (t *Table) Digest() uint64 {
	digest := fnv.New64a()
	for _, bucket := range t.buckets {
		_ = binary.Write(digest, binary.LittleEndian, bucket)
	}
	return digest.Sum64()
}

// InBuckets returns the entries of the given buckets, ordered by ID.
func (t *Table) InBuckets(numbers []int) []Entry {
	wanted := map[int]bool{}
	for _, number := range numbers {
		wanted[number] = true
	}
	return t.filter(func(e Entry) bool { return wanted[bucketOf(e.ID)] })
}

// DifferingBuckets returns the numbers of the buckets whose digests differ from
// those of another table.
func (t *Table) DifferingBuckets(theirs []uint64) []int {
	var numbers []int
	for i, bucket := range t.buckets {
		if i >= len(theirs) || theirs[i] != bucket {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// xorIntoBucket adds an entry to the digest of its bucket, or removes it if it was added
// before, since the digest is the XOR of the hashes of the entries.
func (t *Table) xorIntoBucket(e Entry) {
	t.buckets[bucketOf(e.ID)] ^= hashOf(e)
}

// bucketOf returns the number of the bucket of a node's entry.
func bucketOf(id string) int {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(id))
	return int(digest.Sum32() % BucketCount)
}

// hashOf hashes the ID and the fields that supersedes compares. Entries that are equal in
// these count as the same update.
func hashOf(e Entry) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(e.ID))
	_ = binary.Write(digest, binary.LittleEndian, [3]int64{e.Incarnation, e.Sequence, int64(e.Liveness)})
	return digest.Sum64()
}

// DigestStamps returns one digest over the keys and revisions of documents. It depends on
// their order, which Stamps makes the same for equal documents.
func DigestStamps(stamps []Stamp) uint64 {
	digest := fnv.New64a()
	for _, stamp := range stamps {
		_, _ = digest.Write([]byte(stamp.Key))
		for shift := 0; shift < 64; shift += 8 {
			_, _ = digest.Write([]byte{byte(stamp.Revision >> shift)})
		}
	}
	return digest.Sum64()
}
