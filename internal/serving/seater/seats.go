// Package seater assigns the replicas of idempotency records to the nodes of a zone.
//
// The idempotency keys of a zone are divided into shards, and each shard has one
// seat per replica. A seat is held by the process of one node. The zone's relay
// keeps the seats assigned and stores the assignment on the platform.
package seater

import (
	"hash/fnv"
	"sort"

	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
)

const (
	// Shards is the number of shards that the keys of a zone are divided into.
	Shards = 32
	// Columns is the number of replicas, and so of seats, per shard.
	Columns = 3
	// Quorum is the number of replicas that must record a claim before the work runs.
	Quorum = Columns/2 + 1
)

// Seat assigns one replica of one shard to a node.
type Seat struct {
	// Node is the ID of the holder; empty until the seat is first assigned.
	Node string `json:"node,omitempty"`
	// Started is the start of the node's process in Unix milliseconds. A restarted
	// process has lost its records, so it is a different holder.
	Started int64 `json:"started,omitempty"`
	// Term is the number of holders that the seat has had. A node that is assigned
	// the seat again has missed the records in between, so it is a different holder.
	Term int64 `json:"term,omitempty"`
	// Founding reports that no call was served anywhere before the seat was assigned
	// to its holder, so the holder lacks no record.
	Founding bool `json:"founding,omitempty"`
	// From is the ID of the previous holder; the new holder copies its records if it
	// is alive.
	From string `json:"from,omitempty"`
	// FromStarted is the start of that holder's process in Unix milliseconds.
	FromStarted int64 `json:"fromStarted,omitempty"`
}

// Holder returns a seat with only the fields that identify the holder, for
// comparisons.
func (s Seat) Holder() Seat { return Seat{Node: s.Node, Started: s.Started, Term: s.Term} }

// Row holds the seats of one shard, one in each column. A node holds seats of one
// column only, so the loss of a node costs each shard at most one replica.
type Row [Columns]Seat

// SameHolders reports whether all seats of the two rows have the same holders.
func (r Row) SameHolders(other Row) bool {
	for column := range r {
		if r[column].Holder() != other[column].Holder() {
			return false
		}
	}
	return true
}

// Seats is the assignment of all seats of one zone, as stored on the platform.
type Seats struct {
	// Rows is indexed by shard.
	Rows [Shards]Row `json:"rows"`
	// Nonce is unique to each write.
	Nonce string `json:"nonce"`
}

// ShardOf returns the shard of a tenant's idempotency key.
func ShardOf(tenant, key string) int {
	return int(hashKey(tenant, key) % Shards)
}

// HomeZone returns the zone that keeps the records of a tenant's idempotency key. It
// is chosen among the zones by rendezvous hashing; it is empty if there are none.
func HomeZone(tenant, key string, zones []string) string {
	best, highest := "", uint64(0)
	for _, zone := range zones {
		weight := hashKey(zone+"\x00"+tenant, key)
		if best == "" || weight > highest {
			best, highest = zone, weight
		}
	}
	return best
}

func hashKey(tenant, key string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(tenant + "\x00" + key))
	sum := digest.Sum64()
	// The low bits of FNV-1a are poorly distributed for short keys, so mix them by a
	// step of the MurmurHash3 finalizer.
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}

// plan is the working state of Assign.
type plan struct {
	next Seats
	// eligible maps the IDs of the members that may hold seats, which are alive and not
	// leaving, to their entries.
	eligible map[string]merger.Entry
	// columns holds the IDs of the members of each column.
	columns [Columns][]string
	// load is the number of seats that each member holds.
	load map[string]int
	// changed holds the shards in which a seat was reassigned.
	changed map[int]bool
}

// Assign returns the assignment of seats to the living members of a zone, with as
// few changes as possible. A seat is reassigned if its holder's process has ended or
// is leaving, or to balance the load. Balancing leaves out the rows that have changed
// already, so it changes at most one seat of a row. A seat whose column has no member
// stays with its last holder.
func Assign(previous Seats, members []merger.Entry) Seats {
	p := &plan{next: previous, eligible: map[string]merger.Entry{}, load: map[string]int{}, changed: map[int]bool{}}
	var remaining []merger.Entry
	for _, member := range members {
		if !member.Leaving {
			p.eligible[member.ID] = member
			remaining = append(remaining, member)
		}
	}
	p.assignColumns(remaining)
	for column := range Columns {
		p.reassign(column)
		p.balance(column)
	}
	return p.next
}

// holderValid reports whether the holder of a seat is an eligible member and has not
// restarted.
func (p *plan) holderValid(s Seat) bool {
	member, found := p.eligible[s.Node]
	return found && member.Started == s.Started
}

// assignColumns assigns a column to each member: the one in which it holds seats, or
// else the one with the fewest members.
func (p *plan) assignColumns(members []merger.Entry) {
	columnOf := map[string]int{}
	for _, row := range p.next.Rows {
		for c, seat := range row {
			if p.holderValid(seat) {
				columnOf[seat.Node] = c
				p.load[seat.Node]++
			}
		}
	}
	for _, member := range members {
		if c, seated := columnOf[member.ID]; seated {
			p.columns[c] = append(p.columns[c], member.ID)
		}
	}
	for _, member := range members {
		if _, seated := columnOf[member.ID]; !seated {
			c := p.smallestColumn()
			p.columns[c] = append(p.columns[c], member.ID)
		}
	}
	p.fillEmptyColumn()
}

func (p *plan) smallestColumn() int {
	best := 0
	for c := range p.columns {
		if len(p.columns[c]) < len(p.columns[best]) {
			best = c
		}
	}
	return best
}

// fillEmptyColumn moves the member with the fewest seats from the largest column to
// an empty one, and assigns its seats to the other members of the largest column. It
// does nothing if no column is empty or the largest has fewer than two members.
func (p *plan) fillEmptyColumn() {
	empty, largest := p.smallestColumn(), 0
	for c := range p.columns {
		if len(p.columns[c]) > len(p.columns[largest]) {
			largest = c
		}
	}
	if len(p.columns[empty]) > 0 || len(p.columns[largest]) < 2 {
		return
	}
	members := p.columns[largest]
	sort.Slice(members, func(i, j int) bool { return p.load[members[i]] < p.load[members[j]] })
	moved := members[0]
	p.columns[largest] = members[1:]
	p.columns[empty] = []string{moved}
	for shard := range p.next.Rows {
		if p.next.Rows[shard][largest].Node == moved {
			p.load[moved]--
			p.assign(shard, largest, p.leastLoaded(largest))
		}
	}
}

// reassign assigns the seats of a column without a valid holder to the members of the
// column with the fewest seats.
func (p *plan) reassign(column int) {
	for shard := range p.next.Rows {
		seat := p.next.Rows[shard][column]
		if p.holderValid(seat) && p.inColumn(column, seat.Node) {
			continue
		}
		if member := p.leastLoaded(column); member != "" {
			p.assign(shard, column, member)
		}
	}
}

func (p *plan) inColumn(column int, node string) bool {
	for _, member := range p.columns[column] {
		if member == node {
			return true
		}
	}
	return false
}

// balance moves seats of a column from the members with the most seats to those with
// the fewest, until they differ by at most one or all rows that could be used have
// changed already.
func (p *plan) balance(column int) {
	for {
		leastLoaded, mostLoaded := p.leastLoaded(column), p.mostLoaded(column)
		if leastLoaded == "" || p.load[mostLoaded]-p.load[leastLoaded] < 2 {
			return
		}
		shard := p.movableShard(column, mostLoaded)
		if shard < 0 {
			return
		}
		p.load[mostLoaded]--
		p.assign(shard, column, leastLoaded)
	}
}

// movableShard returns a shard whose row has not changed and in which the member holds
// the seat of the column, or -1 if there is none.
func (p *plan) movableShard(column int, member string) int {
	for shard := range p.next.Rows {
		if p.next.Rows[shard][column].Node == member && !p.changed[shard] {
			return shard
		}
	}
	return -1
}

func (p *plan) mostLoaded(column int) string {
	best := ""
	for _, member := range p.columns[column] {
		if best == "" || p.load[member] > p.load[best] {
			best = member
		}
	}
	return best
}

func (p *plan) leastLoaded(column int) string {
	best := ""
	for _, member := range p.columns[column] {
		if best == "" || p.load[member] < p.load[best] {
			best = member
		}
	}
	return best
}

// assign makes a member the holder of a seat.
func (p *plan) assign(shard, column int, member string) {
	seat := &p.next.Rows[shard][column]
	// The first holder of a founding seat lacks no record.
	founding := seat.Node == "" && seat.Founding
	*seat = Seat{
		Node: member, Started: p.eligible[member].Started, Term: seat.Term + 1, Founding: founding,
		From: seat.Node, FromStarted: seat.Started,
	}
	p.load[member]++
	p.changed[shard] = true
}

// MarkFounding returns the seats with all of them marked as founding.
func MarkFounding(seats Seats) Seats {
	for shard := range seats.Rows {
		for column := range seats.Rows[shard] {
			seats.Rows[shard][column].Founding = true
		}
	}
	return seats
}
