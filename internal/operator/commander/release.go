package commander

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/operator/printer"
	"github.com/tamarackscale/tamarackscale/internal/release/controller"
)

type releaseCommands struct {
	Status releaseStatus `cmd:"" help:"Show how far rollouts of services' versions are and what they wait for."`
}

type releaseStatus struct {
	Addresses []string `arg:"" name:"address" help:"Metrics addresses of proxies, IP:port. Any proxy knows the plan; the controller knows the counts as well."`
}

// Run reads the pages of proxies and prints a row for each rollout at each of them.
func (c *releaseStatus) Run(s *session) error {
	result := printer.Result{Columns: []string{"proxy", "service", "target", "phase", "share", "elapsed", "calls", "at target", "waits for"}}
	pages := map[string]controller.Page{}
	for _, address := range c.Addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return &UsageError{fmt.Sprintf("%q is not an address of the form IP:port", address)}
		}
		page, err := s.rolloutPage(address)
		if err != nil {
			return err
		}
		pages[address] = page
		result.Rows = append(result.Rows, releaseRows(address, page)...)
	}
	result.Value = pages
	return s.printer.Print(result)
}

// rolloutPage reads the page of a proxy.
func (s *session) rolloutPage(address string) (controller.Page, error) {
	var page controller.Page
	status, body, err := s.get(address, controller.Path)
	if err != nil {
		return page, errors.Wrap(err, "release status")
	}
	if status != http.StatusOK {
		return page, errors.Newf("release status: %s has no page about rollouts (HTTP status %d)", address, status)
	}
	return page, errors.Wrap(json.Unmarshal(body, &page), "release status: decode response")
}

// releaseRows returns the rows of a proxy: the rollouts that it controls, and the plans for others.
func releaseRows(address string, page controller.Page) [][]string {
	var rows [][]string
	controlled := map[string]bool{}
	for _, r := range page.Controlled {
		controlled[r.Service] = true
		why := r.Why
		if e := r.Evidence; e != nil {
			why = fmt.Sprintf("%s (route %s: %d of %d answers of %d upstreams are bad, %.1f expected)", why, e.Route, e.Bad, e.Answers, e.Upstreams, e.Expected)
		}
		rows = append(rows, []string{
			address + " (controller)", r.Service, r.Target, r.Phase, fmt.Sprintf("%.2f", r.Share),
			fmt.Sprintf("%.1f of %.1f s", r.Elapsed, r.Limit), fmt.Sprint(r.Calls), fmt.Sprint(r.TargetCalls), why,
		})
	}
	for _, f := range page.Followed {
		if controlled[f.Service] {
			continue
		}
		why := f.Why
		if !f.InForce {
			why = "plan has expired"
		}
		rows = append(rows, []string{address, f.Service, f.Target, f.Phase, fmt.Sprintf("%.2f", f.Share), "-", "-", "-", why})
	}
	return rows
}
