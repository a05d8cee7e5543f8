package commander

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/operator/follower"
	"github.com/tamarackscale/tamarackscale/internal/operator/printer"
	"github.com/tamarackscale/tamarackscale/internal/rollout/decider"
)

type rolloutCommands struct {
	Start   rolloutStart   `cmd:"" help:"Roll a signed version out."`
	Abort   rolloutAbort   `cmd:"" help:"End a rollout before its version is in force."`
	Status  rolloutStatus  `cmd:"" help:"Show the version in force and the rollout in progress, by zone."`
	Watch   rolloutWatch   `cmd:"" help:"Follow a rollout until every reachable node runs its version."`
	History rolloutHistory `cmd:"" help:"Show how the latest rollouts ended."`
}

type rolloutStart struct {
	Version     int64          `arg:"" help:"Signed version."`
	Unreachable decider.Policy `default:"wait" enum:"wait,proceed" help:"What to do when a zone cannot be reached: ${enum}. Recorded."`
	Grace       time.Duration  `default:"10s" help:"With proceed: how long to wait for a zone's first report."`
	Deadline    time.Duration  `default:"1m" help:"Abort if the version is not in force by then."`
	MovedHomes  bool           `help:"Allow idempotency records to change zones. Only if the zones that held them have served no keyed work for longer than the window; else a repeat could run twice. Recorded."`
	NoWait      bool           `help:"Return once the rollout is recorded."`
}

// Run starts a rollout and, unless --no-wait is given, waits for it to end.
func (c *rolloutStart) Run(s *session) error {
	operator, err := s.operator()
	if err != nil {
		return err
	}
	if c.Deadline <= 0 || c.Grace < 0 {
		return &UsageError{"--deadline must be above 0s and --grace must not be negative"}
	}
	record, err := s.publisher.Start(s.context, c.Version, decider.Stage{
		Operator: operator, Timeout: c.Deadline, Policy: c.Unreachable, Grace: c.Grace, HomesMoved: c.MovedHomes,
	})
	if err != nil {
		return err
	}
	if c.NoWait {
		return s.printer.Print(statusResult(record, nil))
	}
	// The rollout itself ends at the deadline; the margin lets follow observe that end, and the
	// nodes switch to a version that was accepted just before.
	return s.follow(c.Version, c.Deadline+30*time.Second)
}

type rolloutAbort struct {
	Version int64 `arg:"" help:"Version that is being rolled out."`
}

// Run aborts a rollout in progress and prints the resulting record.
func (c *rolloutAbort) Run(s *session) error {
	operator, err := s.operator()
	if err != nil {
		return err
	}
	record, err := s.publisher.Abort(s.context, c.Version, operator)
	if err != nil {
		return err
	}
	return s.printer.Print(statusResult(record, nil))
}

type rolloutStatus struct{}

// Run prints the rollout record and the zones' reports.
func (c *rolloutStatus) Run(s *session) error {
	record, err := s.publisher.Record(s.context)
	if err != nil {
		return err
	}
	reports, err := s.publisher.Reports(s.context)
	if err != nil {
		return err
	}
	return s.printer.Print(statusResult(record, reports))
}

// statusResult returns one row for each zone that has reported, or one that states that
// none has.
func statusResult(record decider.Stamped, reports map[string]decider.Report) printer.Result {
	result := printer.Result{
		Columns: []string{"zone", "accepted", "staged", "nodes", "prepared", "running", "remark"},
		Value:   map[string]any{"record": record, "reports": reports},
	}
	staged := "-"
	if record.Staged != nil {
		staged = strconv.FormatInt(record.Staged.Version, 10)
	}
	accepted := strconv.FormatInt(record.Accepted.Version, 10)
	if len(reports) == 0 {
		result.Rows = [][]string{{"-", accepted, staged, "-", "-", "-", "no zone has reported"}}
	}
	for _, zone := range slices.Sorted(maps.Keys(reports)) {
		report := reports[zone]
		result.Rows = append(result.Rows, []string{
			zone, accepted, staged, strconv.Itoa(report.Members), strconv.Itoa(report.Prepared),
			strconv.Itoa(report.Running), remark(record, report),
		})
	}
	return result
}

// remark explains the counts of a zone; it is empty if there is nothing to explain.
func remark(record decider.Stamped, report decider.Report) string {
	var remarks []string
	if report.Revision != record.Revision {
		remarks = append(remarks, "report refers to another revision of the record")
	}
	if slices.Contains(record.Absent, report.Zone) {
		remarks = append(remarks, "excluded from the rollout")
	}
	for _, refusal := range report.Refusals {
		remarks = append(remarks, refusal.Node+" refused: "+refusal.Reason)
	}
	if len(report.Waiting) > 0 {
		remarks = append(remarks, "waiting for "+strings.Join(report.Waiting, ", "))
	}
	return strings.Join(remarks, "; ")
}

type rolloutWatch struct {
	Version int64         `arg:"" help:"Version to follow."`
	For     time.Duration `default:"2m" help:"Longest wait."`
}

// Run waits for a rollout to end.
func (c *rolloutWatch) Run(s *session) error { return s.follow(c.Version, c.For) }

// follow waits for a rollout to end, prints its progress and then its status. The
// errors are those of follower.Follow.
func (s *session) follow(version int64, timeout time.Duration) error {
	record, reports, err := follower.New(s.store, s.printer.Progress).Follow(s.context, version, timeout)
	if err != nil {
		return err
	}
	return s.printer.Print(statusResult(record, reports))
}

type rolloutHistory struct{}

// Run prints the outcomes of the latest rollouts, newest first.
func (c *rolloutHistory) Run(s *session) error {
	record, err := s.publisher.Record(s.context)
	if err != nil {
		return err
	}
	result := printer.Result{Columns: []string{"version", "ended", "operator", "accepted", "reason"}, Value: record.History}
	for _, outcome := range record.History {
		result.Rows = append(result.Rows, []string{
			strconv.FormatInt(outcome.Version, 10), outcome.At.Format(time.RFC3339), outcome.Operator,
			strconv.FormatBool(outcome.Accepted), outcome.Reason,
		})
	}
	return s.printer.Print(result)
}
