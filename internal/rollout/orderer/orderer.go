// Package orderer determines, without I/O, which versions a node fetches, prepares
// and puts into force. It ensures that a node never moves to an older version.
package orderer

import (
	"github.com/tamarackscale/tamarackscale/internal/bundle/compiler"
	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
	"github.com/tamarackscale/tamarackscale/internal/rollout/decider"
)

// Orderer is the version state of one node. It is not safe for concurrent use.
type Orderer struct {
	// record is the newest record known; its revision and its accepted version
	// never decrease.
	record decider.Stamped
	// inForce is nil until the first version is in force. Its version never
	// decreases, and it was accepted by some record.
	inForce *compiler.Table
	// tables maps versions to prepared tables. It holds no other versions than
	// those in force, accepted and staged.
	tables map[int64]*compiler.Table
	// rejected maps versions to the reasons why this node cannot prepare them.
	rejected map[int64]string
}

// New returns the state of a node that has neither a record nor a version.
func New() *Orderer {
	return &Orderer{tables: map[int64]*compiler.Table{}, rejected: map[int64]string{}}
}

// UpdateRecord stores a record from the platform or a peer and reports whether it
// was newer. A record is ignored, whatever its source, if its revision is not
// higher or if its accepted version is lower.
func (o *Orderer) UpdateRecord(r decider.Stamped) bool {
	if r.Revision <= o.record.Revision || r.Accepted.Version < o.record.Accepted.Version {
		return false
	}
	o.record = r
	o.prune()
	return true
}

// Record returns the newest record known; its revision is zero if there is none.
func (o *Orderer) Record() decider.Stamped { return o.record }

// InForce returns the table in force, or nil.
func (o *Orderer) InForce() *compiler.Table { return o.inForce }

// PreparedTable returns the prepared table of a version, or nil.
func (o *Orderer) PreparedTable(version int64) *compiler.Table { return o.tables[version] }

// Wanted lists the versions to fetch, the accepted one first.
func (o *Orderer) Wanted() []parser.Pointer {
	var wanted []parser.Pointer
	if o.needsFetch(o.record.Accepted) {
		wanted = append(wanted, o.record.Accepted)
	}
	if stage := o.record.Staged; stage != nil && o.needsFetch(stage.Pointer) {
		wanted = append(wanted, stage.Pointer)
	}
	return wanted
}

func (o *Orderer) needsFetch(p parser.Pointer) bool {
	if p.Version == 0 || o.rejected[p.Version] != "" {
		return false
	}
	return o.tables[p.Version] == nil || o.tables[p.Version].Digest != p.Digest
}

// Prepare stores a compiled table if its version and digest are those of the
// accepted or the staged version, and reports whether it did.
func (o *Orderer) Prepare(t *compiler.Table) bool {
	if !o.asksFor(t.Pointer) {
		return false
	}
	o.tables[t.Version] = t
	return true
}

// Reject records that the node cannot prepare a version that the record asks for.
func (o *Orderer) Reject(p parser.Pointer, reason string) {
	if o.asksFor(p) {
		o.rejected[p.Version] = reason
	}
}

// Refusal returns why the node rejected the staged version, or the empty string.
func (o *Orderer) Refusal() string {
	if o.record.Staged == nil {
		return ""
	}
	return o.rejected[o.record.Staged.Version]
}

// Prepared reports whether the staged version is prepared.
func (o *Orderer) Prepared() bool {
	return o.record.Staged != nil && o.tables[o.record.Staged.Version] != nil
}

// Advance puts the accepted version into force if it is prepared and newer than
// the one in force. It returns the table in force and whether it changed.
func (o *Orderer) Advance() (*compiler.Table, bool) {
	accepted := o.record.Accepted
	table := o.tables[accepted.Version]
	if table == nil || table.Digest != accepted.Digest {
		return o.inForce, false
	}
	if o.inForce != nil && table.Version <= o.inForce.Version {
		return o.inForce, false
	}
	o.inForce = table
	o.prune()
	return table, true
}

// asksFor reports whether p is the accepted or the staged version.
func (o *Orderer) asksFor(p parser.Pointer) bool {
	if p.Version == 0 {
		return false
	}
	return p == o.record.Accepted || (o.record.Staged != nil && p == o.record.Staged.Pointer)
}

// prune drops the tables and rejections of versions that the record no longer asks
// for. It keeps the table in force.
func (o *Orderer) prune() {
	for version, table := range o.tables {
		if table != o.inForce && !o.asksFor(table.Pointer) {
			delete(o.tables, version)
		}
	}
	for version := range o.rejected {
		staged := o.record.Staged
		if version != o.record.Accepted.Version && (staged == nil || staged.Version != version) {
			delete(o.rejected, version)
		}
	}
}
