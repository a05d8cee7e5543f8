// Command fleet runs the scripted cases of the review: it starts processes of the product with
// stand-ins for their platform, endpoints and clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Bounds of the deployment, as in the settings of kgs-mesh.
const (
	drainTime    = 2 * time.Second
	stableWindow = 3 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 58
	budgetWindow = 10 * time.Second
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays a case and returns what broke the rule; empty if it held. An error means that
// the case could not run.
type scenario func(r *record, folder string, trouble bool) (string, error)

var scenarios = map[string]scenario{
	"resends":     resends,
	"canary":      canary,
	"drain":       drain,
	"uploads":     uploads,
	"reuse":       reuse,
	"descriptors": descriptors,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: fleet CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play runs a scenario in a temporary folder and writes its record.
func play(s scenario, caseFolder string, trouble bool) int {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println(folder)
	}
	r := newRecord()
	broken, err := s(r, folder, trouble)
	if broken != "" {
		r.note("BROKEN: %s", broken)
	}
	if writeErr := r.write(filepath.Join(caseFolder, "record.txt")); err == nil {
		err = writeErr
	}
	fmt.Println("answers by status (0: none):", r.statuses())
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	case broken != "":
		fmt.Println("BROKEN:", broken)
		return exitBroken
	default:
		fmt.Println("held")
		return exitHeld
	}
}
