package commander

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/input/collector"
	"github.com/tamarackscale/tamarackscale/internal/node/administrator"
	"github.com/tamarackscale/tamarackscale/internal/operator/console"
	"github.com/tamarackscale/tamarackscale/internal/operator/documenter"
	"github.com/tamarackscale/tamarackscale/internal/operator/printer"
	"github.com/tamarackscale/tamarackscale/internal/settings/loader"
)

type nodeCommands struct {
	Status nodeStatus `cmd:"" help:"Show what one node knows: its version and the members it sees."`
}

type nodeStatus struct {
	Admin string `arg:"" help:"Admin address of the node, IP:port."`
}

// Run reads the status of a node from its admin address and prints its members.
func (c *nodeStatus) Run(s *session) error {
	code, body, err := s.get(c.Admin, "/v1/status")
	if err != nil {
		return errors.Wrap(err, "node status")
	}
	if code != http.StatusOK {
		return errors.Newf("node status: HTTP status %d", code)
	}
	var status administrator.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return errors.Wrap(err, "node status: decode response")
	}
	result := printer.Result{Columns: []string{"member", "zone", "service", "state", "relay", "version here"}, Value: status}
	for _, member := range status.Members {
		version := ""
		if member.ID == status.ID {
			version = strconv.FormatInt(status.Version, 10)
		}
		result.Rows = append(result.Rows, []string{
			member.ID, member.Zone, member.Service, member.State, strconv.FormatBool(member.Relay), version,
		})
	}
	return s.printer.Print(result)
}

type settingsCommands struct {
	Check settingsCheck `cmd:"" help:"Check settings files and report every finding."`
}

type settingsCheck struct {
	Files []string `arg:"" type:"path" help:"Settings files."`
}

// Run checks settings files. Its error holds the findings of all files.
func (c *settingsCheck) Run(s *session) error {
	var allFindings collector.Findings
	result := printer.Result{Columns: []string{"file", "node", "zone"}}
	for _, file := range c.Files {
		settings, err := loader.Load(file)
		var findings collector.Findings
		switch {
		case errors.As(err, &findings):
			allFindings = append(allFindings, findings...)
		case err != nil:
			allFindings = append(allFindings, collector.Finding{File: file, Message: err.Error()})
		default:
			result.Rows = append(result.Rows, []string{file, settings.Node.ID, settings.Node.AvailabilityZone})
		}
	}
	if len(allFindings) > 0 {
		return allFindings
	}
	result.Value = map[string]int{"files": len(c.Files)}
	return s.printer.Print(result)
}

type consoleCommand struct {
	Listen string `default:"127.0.0.1:18001" help:"Address to serve on, IP:port."`
}

// Run serves the operators' HTTP interface until the session's context ends.
func (c *consoleCommand) Run(s *session) error {
	return console.New(s.publisher).Serve(s.context, c.Listen)
}

type docsCommand struct {
	File string `arg:"" type:"path" help:"Markdown file to write."`
}

// Run writes the command reference, generated from the definitions of the commands.
func (c *docsCommand) Run(app *kong.Kong, _ *session) error {
	return documenter.Write(c.File, app.Model.Node)
}
