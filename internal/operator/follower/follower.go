// Package follower waits for a rollout to complete and reports its progress to an
// operator. It makes one watch call to the platform at a time.
package follower

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/pauser"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/rollout/decider"
	"github.com/tamarackscale/tamarackscale/internal/rollout/publisher"
)

const (
	// watchTimeout is how long one watch waits for a change.
	watchTimeout = 5 * time.Second
	// retryDelay is the delay after a failed watch.
	retryDelay = time.Second
)

// AbortedError is returned if a rollout ended without its version being accepted.
type AbortedError struct{ Outcome decider.Outcome }

func (e *AbortedError) Error() string {
	return fmt.Sprintf("version %d was not accepted: %s", e.Outcome.Version, e.Outcome.Reason)
}

// TimeoutError is returned if a rollout has neither completed nor been aborted when
// the timeout elapses. Progress is the last progress line, or empty if there was none.
type TimeoutError struct{ Progress string }

func (e *TimeoutError) Error() string { return "timed out; the rollout continues: " + e.Progress }

// Follower watches the rollout record and the zones' reports.
type Follower struct {
	store keeper.Store
	// progress is called with a line of text for each change and each failed watch.
	progress func(line string)
}

// New returns a follower that reads from store and passes lines of text to progress.
func New(store keeper.Store, progress func(line string)) *Follower {
	return &Follower{store: store, progress: progress}
}

// Follow waits until the version or a later one runs on every node of every zone that
// reports and is not excluded, and returns the record and the zones' reports. Its
// error is an *AbortedError, a *TimeoutError, or that of the context. A failed watch
// is retried until the timeout elapses.
func (f *Follower) Follow(
	ctx context.Context, version int64, timeout time.Duration,
) (decider.Stamped, map[string]decider.Report, error) {
	deadline := time.Now().Add(timeout)
	after := keeper.Revision(0)
	lastLine := ""
	for time.Now().Before(deadline) {
		change, err := f.store.Watch(ctx, publisher.RolloutPrefix, after, watchTimeout)
		if err != nil {
			f.progress("watching the platform failed; retrying: " + err.Error())
			if !pauser.Pause(ctx, retryDelay) {
				return decider.Stamped{}, nil, ctx.Err()
			}
		}
		after = max(after, change.Revision)
		if change.Items == nil {
			continue
		}
		record, reports := decode(change.Items)
		if outcome, ended := ended(record, version); ended && !outcome.Accepted {
			return record, reports, &AbortedError{Outcome: outcome}
		}
		if record.Accepted.Version >= version && runsEverywhere(record, reports) {
			return record, reports, nil
		}
		if line := progress(record, reports); line != lastLine {
			f.progress(line)
			lastLine = line
		}
	}
	return decider.Stamped{}, nil, &TimeoutError{Progress: lastLine}
}

func decode(items []keeper.Item) (decider.Stamped, map[string]decider.Report) {
	record := decider.Stamped{}
	for _, item := range items {
		if item.Key == publisher.RecordKey {
			record, _ = publisher.DecodeRecord(item)
		}
	}
	return record, publisher.DecodeReports(items)
}

// ended returns the latest outcome of a version and reports whether there is one and
// the version is not staged again.
func ended(record decider.Stamped, version int64) (decider.Outcome, bool) {
	for _, outcome := range record.History {
		if outcome.Version == version {
			return outcome, record.Staged == nil || record.Staged.Version != version
		}
	}
	return decider.Outcome{}, false
}

// runsEverywhere reports whether there are reports and each one, except those of excluded
// zones, is on the current revision of the record and shows that all nodes of its zone run
// the accepted version. A zone without a report is not waited for.
func runsEverywhere(record decider.Stamped, reports map[string]decider.Report) bool {
	for zone, report := range reports {
		if slices.Contains(record.Absent, zone) {
			continue
		}
		if report.Revision != record.Revision || report.Running < report.Members {
			return false
		}
	}
	return len(reports) > 0
}

// progress returns the counts of each zone. Counts of a report on another
// revision of the record are shown as zero.
func progress(record decider.Stamped, reports map[string]decider.Report) string {
	var zones []string
	for _, zone := range slices.Sorted(maps.Keys(reports)) {
		report := reports[zone]
		if report.Revision != record.Revision {
			report.Prepared, report.Running = 0, 0
		}
		zones = append(zones, fmt.Sprintf("%s %d/%d prepared %d/%d running",
			zone, report.Prepared, report.Members, report.Running, report.Members))
	}
	return strings.Join(zones, ", ")
}
