// Command mutant verifies by mutation testing that each mechanism is covered by a test: it
// disables one mechanism at a time in a copy of the tree and runs the test that must then
// fail.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/input/decoder"
)

// Mutant is a change that disables one mechanism, with the test that must detect it.
type Mutant struct {
	Name string `yaml:"name"`
	// In File, New replaces Old, which must occur there exactly once.
	File string `yaml:"file"`
	Old  string `yaml:"old"`
	New  string `yaml:"new"`
	// Package is the package whose tests are run, Test the pattern of test names.
	Package string `yaml:"package"`
	Test    string `yaml:"test"`
	// Runs is the maximum number of times the test is run until it fails; 1 if absent.
	Runs int `yaml:"runs"`
}

type options struct {
	List string `default:"proof/mutants.yaml" help:"File with the mutants."`
	Only string `help:"Run only mutants whose name contains this."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Disables one mechanism at a time and expects its test to fail."))
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "mutant:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	data, err := os.ReadFile(o.List)
	if err != nil {
		return err
	}
	var mutants []Mutant
	if err := decoder.Decode(o.List, data, &mutants).Err(); err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	if err := copyTree(folder); err != nil {
		return err
	}
	survivors := 0
	for _, m := range mutants {
		if !strings.Contains(m.Name, o.Only) {
			continue
		}
		verdict, err := runMutant(folder, m)
		switch {
		case err != nil:
			survivors++
			verdict = "NOT TRIED: " + err.Error()
		case verdict == "":
			survivors++
			verdict = "SURVIVED"
		}
		fmt.Printf("%-55s %s: %s\n", m.Name, m.Test, verdict)
	}
	if survivors > 0 {
		return errors.Newf("%d mutants survived or were not tried", survivors)
	}
	return nil
}

// copyTree copies the files that git tracks, and untracked files that it does not ignore.
func copyTree(folder string) error {
	output, err := exec.Command("git", "ls-files", "--cached", "--others", "--exclude-standard").Output()
	if err != nil {
		return err
	}
	for _, name := range strings.Fields(string(output)) {
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		target := filepath.Join(folder, name)
		if err := os.MkdirAll(filepath.Dir(target), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(target, data, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// runMutant applies a mutant, runs its test and restores the file. It returns the line of
// the output that shows the failure, or an empty string if the test passed each time.
func runMutant(folder string, m Mutant) (string, error) {
	path := filepath.Join(folder, m.File)
	original, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if count := strings.Count(string(original), m.Old); count != 1 {
		return "", errors.Newf("the text to replace occurs %d times in %s instead of once", count, m.File)
	}
	mutated := strings.Replace(string(original), m.Old, m.New, 1)
	if err := os.WriteFile(path, []byte(mutated), 0o644); err != nil {
		return "", err
	}
	defer func() { _ = os.WriteFile(path, original, 0o644) }()
	for range max(1, m.Runs) {
		command := exec.Command("go", "test", "-count=1", "-timeout", "60s", "-run", m.Test, m.Package)
		command.Dir = folder
		// The timeout of go test covers only the test; the timer also covers the build.
		timer := time.AfterFunc(2*time.Minute, func() { _ = command.Process.Kill() })
		output, err := command.CombinedOutput()
		timer.Stop()
		if err != nil {
			return failureLine(string(output))
		}
	}
	return "", nil
}

// failureLine returns the first line of a test's output that shows a failed assertion, a
// failed property test or a panic. A mutant that does not build is an error, as a failed
// build is no evidence that the test detects the change.
func failureLine(output string) (string, error) {
	if strings.Contains(output, "[build failed]") {
		return "", errors.Newf("mutant does not build: %s", output)
	}
	lines := strings.Split(output, "\n")
	for i, line := range lines {
		trimmed := strings.TrimSpace(line)
		if strings.HasPrefix(trimmed, "Expected") {
			next := ""
			if i+1 < len(lines) {
				next = strings.TrimSpace(lines[i+1])
			}
			return truncate(trimmed + " " + next), nil
		}
		if strings.Contains(trimmed, "failed after") || strings.Contains(trimmed, "panic: ") {
			return truncate(trimmed), nil
		}
	}
	return "failed", nil
}

func truncate(text string) string {
	const maxLength = 110
	if len(text) > maxLength {
		return text[:maxLength] + "..."
	}
	return text
}
