package commander

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/operator/printer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/explainer"
)

type explainCommand struct {
	Node    string `arg:"" help:"Metrics address of the node, IP:port."`
	Host    string `arg:"" help:"Host of the request."`
	Path    string `arg:"" help:"Path of the request, without a query."`
	Method  string `default:"GET" help:"Method of the request."`
	Account string `help:"Name of the client account. Never a key."`
	Kind    string `help:"Name of the route that is expected to match."`
}

// RefusedError is returned if a node would refuse the request.
type RefusedError struct {
	Node   string
	Status int
	Reason carrier.Reason
	// Expected reports that another node decides.
	Expected bool
}

func (e *RefusedError) Error() string {
	certainty := "would refuse the request"
	if e.Expected {
		certainty = "expects the request to be refused"
	}
	return fmt.Sprintf("%s %s: status %d, %s", e.Node, certainty, e.Status, e.Reason)
}

// Run asks a node where a request would go, and prints the candidates. Its error is a *RefusedError if
// the request would be refused.
func (c *explainCommand) Run(s *session) error {
	q := explainer.Question{Method: c.Method, Host: c.Host, Path: c.Path, Account: c.Account, Kind: c.Kind}
	status, body, err := s.get(c.Node, explainer.Path+"?"+q.Values().Encode())
	switch {
	case err != nil:
		return errors.Wrap(err, "explain")
	case status == http.StatusBadRequest:
		return &UsageError{strings.TrimSpace(string(body))}
	case status != http.StatusOK:
		return errors.Newf("explain: status %d", status)
	}
	var e explainer.Explanation
	if err := json.Unmarshal(body, &e); err != nil {
		return errors.Wrap(err, "explain: decode response")
	}
	return s.printExplanation(e)
}

// printExplanation prints the route, the candidates and the notes.
func (s *session) printExplanation(e explainer.Explanation) error {
	if e.Route != "" {
		s.printer.Progress(fmt.Sprintf("route %s of version %d to service %s, rank %d", e.Route, e.Version, e.Service, e.Rank))
	}
	if e.Hedge != nil {
		s.printer.Progress(fmt.Sprintf("hedged after %.0f ms, utilisation of the service %.2f", e.Hedge.AfterMs, e.Hedge.Utilisation))
	}
	for _, note := range e.Notes {
		s.printer.Progress("note: " + note)
	}
	result := printer.Result{
		Columns: []string{
			"node", "instance", "zone", "decision", "utility", "expected ms", "service ms", "measured ago ms", "failures",
			"in use", "waiting", "slots", "wait ms", "load ago ms",
		},
		Value: e,
	}
	for _, candidate := range e.Candidates {
		result.Rows = append(result.Rows, rowOf(candidate))
	}
	if err := s.printer.Print(result); err != nil {
		return err
	}
	if e.Refusal != nil {
		return &RefusedError{Node: e.Node, Status: e.Refusal.Status, Reason: e.Refusal.Reason, Expected: e.Refusal.Expected}
	}
	return nil
}

func rowOf(c explainer.Candidate) []string {
	decision := c.RuledOut
	if c.Chosen {
		decision = "chosen"
	}
	if c.Cold {
		decision += " (cold)"
	}
	number := func(x float64, decimals int) string { return strconv.FormatFloat(x, 'f', decimals, 64) }
	age := func(x float64) string {
		if x < 0 {
			return "never"
		}
		return number(x, 0)
	}
	return []string{
		c.Node, c.Instance, c.Zone, decision, number(c.Utility, 2), number(c.ExpectedMs, 1), number(c.ServiceMs, 1),
		age(c.MeasuredAgeMs), number(c.FailureRate, 2), strconv.Itoa(c.InUse), strconv.Itoa(c.Waiting), strconv.Itoa(c.Slots),
		number(c.WaitMs, 0), age(c.LoadAgeMs),
	}
}
