// Package decider defines the rollout record, which alone determines the version
// in force, and the state transitions of the record as pure functions.
package decider

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
)

// Policy determines what happens if a zone is unreachable during a rollout.
type Policy string

// Policies for unreachable zones.
const (
	// Wait keeps the version staged until every zone has prepared it, and
	// aborts at the timeout.
	Wait Policy = "wait"
	// Proceed excludes zones that have not reported by the end of the grace
	// period; they catch up once they are reachable again.
	Proceed Policy = "proceed"
)

// Record is the state of the rollout as stored under one key of the platform.
// It is changed by compare-and-swap only.
type Record struct {
	// Accepted is the version in force. It never decreases.
	Accepted parser.Pointer `json:"accepted"`
	// AcceptedAt is when the swap to Accepted was decided.
	AcceptedAt time.Time `json:"acceptedAt"`
	// AcceptedBy is the operator who started the rollout of Accepted.
	AcceptedBy string `json:"acceptedBy,omitempty"`
	// Absent lists the zones that policy Proceed excluded.
	Absent []string `json:"absent,omitempty"`
	// Staged is the version that nodes prepare, or nil if no rollout is in
	// progress. Its version is higher than that of Accepted.
	Staged *Stage `json:"staged,omitempty"`
	// History holds the last MaxHistory outcomes, newest first.
	History []Outcome `json:"history,omitempty"`
	// Nonces identify the last MaxNonces writes that led to this record, newest
	// first. A writer that did not get the platform's reply finds its nonce here if
	// its write took effect, even if others have written since.
	Nonces []string `json:"nonces"`
}

// MaxNonces is the maximum length of Record.Nonces.
const MaxNonces = 32

// WithNonce returns the record with the nonce of another write added.
func (r Record) WithNonce(nonce string) Record {
	nonces := append([]string{nonce}, r.Nonces...)
	r.Nonces = nonces[:min(len(nonces), MaxNonces)]
	return r
}

// MaxHistory is the maximum length of Record.History.
const MaxHistory = 8

// Stage is a rollout in progress.
type Stage struct {
	parser.Pointer
	Operator  string    `json:"operator"`
	StartedAt time.Time `json:"startedAt"`
	// Timeout is the time after StartedAt at which the rollout is aborted.
	Timeout time.Duration `json:"timeout"`
	Policy  Policy        `json:"policy"`
	// Grace is how long after StartedAt policy Proceed waits for a zone's report.
	Grace time.Duration `json:"grace"`
	// HomesMoved is the operator's confirmation that the version may move
	// idempotency records between zones, because the zones that held them have
	// served no calls with an idempotency key for longer than the window.
	HomesMoved bool `json:"homesMoved,omitempty"`
}

// Outcome is the result of a rollout that has ended.
type Outcome struct {
	parser.Pointer
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Accepted bool      `json:"accepted"`
	// Reason is empty for an accepted version.
	Reason string `json:"reason,omitempty"`
}

// Stamped is a record and its revision on the platform.
type Stamped struct {
	Record
	Revision keeper.Revision `json:"revision"`
}

// Report is the progress of the nodes of one zone, as written by the zone's relay.
type Report struct {
	Zone string `json:"zone"`
	// Revision is the revision of the record that the report refers to.
	Revision keeper.Revision `json:"revision"`
	// Members is the number of live nodes; no other count exceeds it.
	Members int `json:"members"`
	// Prepared is the number of members that have prepared the staged version.
	Prepared int `json:"prepared"`
	// Running is the number of members that have the accepted version in force.
	Running int `json:"running"`
	// Waiting lists some of the members that have neither prepared nor rejected
	// the staged version.
	Waiting []string `json:"waiting,omitempty"`
	// Refusals lists some of the members that rejected the staged version, with the
	// reasons.
	Refusals []Refusal `json:"refusals,omitempty"`
	Nonce    string    `json:"nonce"`
}

// Refusal states why a node rejected a version.
type Refusal struct {
	Node   string `json:"node"`
	Reason string `json:"reason"`
}

// Action is the kind of a decision.
type Action int

// Actions of a decision.
const (
	// Hold leaves the record unchanged.
	Hold Action = iota
	// Activate accepts the staged version.
	Activate
	// Abort ends the rollout without accepting the version.
	Abort
)

// Decision is the next step of a rollout.
type Decision struct {
	Action Action
	// Reason explains the decision to operators.
	Reason string
	// Absent lists the excluded zones; set only with Activate.
	Absent []string
}

// Decide returns the next step of the rollout. It aborts if any node rejected the
// version, and activates once every node of every zone that is not excluded has
// prepared it. If neither has happened by the timeout, it aborts. A zone is excluded
// only under policy Proceed. Reports that refer to another revision of the record are
// ignored.
func Decide(r Stamped, zones []string, reports map[string]Report, now time.Time) Decision {
	stage := r.Staged
	if stage == nil {
		return Decision{Action: Hold, Reason: "nothing is staged"}
	}
	if refusal, refused := firstRefusal(r, reports); refused {
		return Decision{Action: Abort, Reason: fmt.Sprintf("%s refused: %s", refusal.Node, refusal.Reason)}
	}
	elapsed := now.Sub(stage.StartedAt)
	var absent, waiting []string
	for _, zone := range zones {
		report, reported := reports[zone]
		reported = reported && report.Revision == r.Revision && report.Members > 0
		switch {
		case reported && report.Prepared >= report.Members:
		case !reported && stage.Policy == Proceed && elapsed >= stage.Grace:
			absent = append(absent, zone)
		default:
			waiting = append(waiting, describeZone(zone, report, reported))
		}
	}
	return conclude(stage, zones, absent, waiting, elapsed)
}

// firstRefusal returns the first refusal that refers to the current revision of the
// record, from the first zone by name that has one.
func firstRefusal(r Stamped, reports map[string]Report) (Refusal, bool) {
	for _, zone := range slices.Sorted(maps.Keys(reports)) {
		report := reports[zone]
		if report.Revision == r.Revision && len(report.Refusals) > 0 {
			return report.Refusals[0], true
		}
	}
	return Refusal{}, false
}

// conclude activates if no zone is waited for and at least one is included, aborts
// after the timeout, and holds otherwise.
func conclude(stage *Stage, zones, absent, waiting []string, elapsed time.Duration) Decision {
	if len(waiting) == 0 && len(absent) < len(zones) {
		return Decision{Action: Activate, Reason: "every reachable node has prepared the version", Absent: absent}
	}
	if elapsed >= stage.Timeout {
		return Decision{Action: Abort, Reason: fmt.Sprintf("timeout of %s; still waiting for %v", stage.Timeout, waiting)}
	}
	return Decision{Action: Hold, Reason: fmt.Sprintf("waiting for %v", waiting)}
}

func describeZone(zone string, report Report, reported bool) string {
	if !reported {
		return zone + " (no report)"
	}
	return fmt.Sprintf("%s (%d of %d prepared, waiting for %v)", zone, report.Prepared, report.Members, report.Waiting)
}

// Apply returns the record after an activation or abort of the staged version, which
// must not be nil. The caller adds a nonce and writes the record by compare-and-swap.
func Apply(r Record, d Decision, now time.Time) Record {
	next := r
	stage := r.Staged
	outcome := Outcome{Pointer: stage.Pointer, Operator: stage.Operator, At: now, Reason: d.Reason}
	if d.Action == Activate {
		outcome.Accepted, outcome.Reason = true, ""
		next.Accepted, next.AcceptedAt, next.AcceptedBy = stage.Pointer, now, stage.Operator
		next.Absent = slices.Clone(d.Absent)
	}
	next.Staged = nil
	next.History = append([]Outcome{outcome}, r.History...)
	if len(next.History) > MaxHistory {
		next.History = next.History[:MaxHistory]
	}
	return next
}

// ActiveError is returned if another rollout is in progress.
type ActiveError struct{ Stage Stage }

func (e *ActiveError) Error() string {
	return fmt.Sprintf("%s is rolling out version %d since %s; wait for it or abort it",
		e.Stage.Operator, e.Stage.Version, e.Stage.StartedAt.Format(time.RFC3339))
}

// OldVersionError is returned if a version is not higher than the accepted one.
type OldVersionError struct {
	Version  int64
	Accepted int64
	// By is the operator who started the rollout of Accepted.
	By string
}

func (e *OldVersionError) Error() string {
	return fmt.Sprintf("version %d is not higher than the accepted version %d, rolled out by %s; to roll back, create a new version from the old one",
		e.Version, e.Accepted, e.By)
}

// Begin returns the record with stage as its rollout in progress. Its error is an
// *ActiveError or an *OldVersionError.
func Begin(r Record, stage Stage) (Record, error) {
	if r.Staged != nil {
		return r, &ActiveError{Stage: *r.Staged}
	}
	if stage.Version <= r.Accepted.Version {
		return r, &OldVersionError{Version: stage.Version, Accepted: r.Accepted.Version, By: r.AcceptedBy}
	}
	next := r
	next.Staged = &stage
	return next, nil
}
