package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/node/administrator"
	"github.com/tamarackscale/tamarackscale/internal/settings/loader"
	"github.com/tamarackscale/tamarackscale/standin/history"
)

// operatorName is the operator that signs bundles in examples.
const operatorName = "example"

// stopTimeout is how long Stop waits for a process before it kills it.
const stopTimeout = 20 * time.Second

// Config specifies what to start.
type Config struct {
	Deployment *Deployment
	// Folder holds binaries, settings, keys and logs.
	Folder string
	// BasePort is the first port that is used. The platform listens on it.
	BasePort int
	// Baseline starts the nodes with the baseline policies.
	Baseline bool
	// NoUpstreams starts no upstreams, for measurements of the control traffic.
	NoUpstreams bool
	// Output is reserved for progress messages; nothing is written to it.
	Output io.Writer
}

// Fleet is a running deployment.
type Fleet struct {
	Config
	// Platform is the platform's address.
	Platform  string
	Endpoints []Endpoint

	mu sync.Mutex
	// processes holds the running processes by name.
	processes map[string]*exec.Cmd
}

// binaries are the packages that Build compiles.
var binaries = []string{"./cmd/tamarackscale", "./cmd/tamarackscale-node", "./standin"}

// Build compiles the binaries into the subfolder bin of the folder. It must run in the
// root of the repository. Its error contains the compiler's output.
func Build(ctx context.Context, folder string) error {
	bin := filepath.Join(folder, "bin")
	if err := os.MkdirAll(bin, 0o755); err != nil {
		return err
	}
	arguments := append([]string{"build", "-o", bin + "/"}, binaries...)
	command := exec.CommandContext(ctx, "go", arguments...)
	output, err := command.CombinedOutput()
	return errors.Wrapf(err, "go build: %s", output)
}

// Start starts the platform, the upstreams and the nodes, and does not wait until they are
// ready. If a process can't be started, it returns an error and, unless the folder could
// not be created, the fleet as well: the caller must stop it.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	f := &Fleet{Config: config, Platform: fmt.Sprintf("%s:%d", host, config.BasePort), processes: map[string]*exec.Cmd{}}
	if err := os.MkdirAll(config.Folder, 0o755); err != nil {
		return nil, err
	}
	if err := f.StartPlatform(); err != nil {
		return f, err
	}
	operators, err := f.createKey(ctx)
	if err != nil {
		return f, err
	}
	f.Endpoints = config.Deployment.Endpoints(f.Platform, operators, config.BasePort+portsPerEndpoint)
	for _, endpoint := range f.Endpoints {
		if err := f.StartNode(endpoint); err != nil {
			return f, err
		}
		if !config.NoUpstreams {
			if err := f.StartUpstream(endpoint); err != nil {
				return f, err
			}
		}
	}
	return f, nil
}

// StartPlatform starts the stand-in of the platform.
func (f *Fleet) StartPlatform() error {
	return f.startProcess("platform", "standin", "platform", "--listen", f.Platform)
}

// StartNode starts the node of an endpoint.
func (f *Fleet) StartNode(endpoint Endpoint) error {
	path, err := writeSettings(f.Folder, endpoint)
	if err != nil {
		return err
	}
	arguments := []string{"--settings", path}
	if f.Baseline {
		arguments = append(arguments, "--baseline")
	}
	return f.startProcess(endpoint.Settings.Node.ID, "tamarackscale-node", arguments...)
}

// StartUpstream starts the upstream of an endpoint.
func (f *Fleet) StartUpstream(endpoint Endpoint) error {
	s := endpoint.Service
	return f.startProcess("upstream-"+endpoint.Settings.Node.ID, "standin", "upstream",
		"--listen", endpoint.UpstreamAddress, "--admin", endpoint.Settings.Listen.Admin, "--service", s.Name,
		"--slots", strconv.Itoa(s.Slots), "--connections", strconv.Itoa(s.Connections),
		"--work", s.Work.String(), "--body-bytes", strconv.Itoa(s.BodyBytes))
}

// startProcess starts a binary whose output goes to the file name.log in the folder.
func (f *Fleet) startProcess(name, binary string, arguments ...string) error {
	log, err := os.Create(filepath.Join(f.Folder, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(f.Folder, "bin", binary), arguments...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = command
	return nil
}

// createKey creates the operator's key pair in the folder.
func (f *Fleet) createKey(ctx context.Context) ([]loader.Operator, error) {
	file := filepath.Join(f.Folder, operatorName+".pem")
	_ = os.Remove(file)
	output, err := f.Command(ctx, "--output", "json", "key", "new", file)
	if err != nil {
		return nil, err
	}
	var key struct {
		PublicKey string `json:"publicKey"`
	}
	err = json.Unmarshal([]byte(output), &key)
	return []loader.Operator{{Name: operatorName, PublicKey: key.PublicKey}}, err
}

// Command runs the operators' command against the fleet's platform and returns its output.
// If the command fails, the error contains the output too.
func (f *Fleet) Command(ctx context.Context, arguments ...string) (string, error) {
	all := append([]string{"--platform", f.Platform, "--operator", operatorName}, arguments...)
	command := exec.CommandContext(ctx, filepath.Join(f.Folder, "bin", "tamarackscale"), all...)
	output, err := command.CombinedOutput()
	return string(output), errors.Wrapf(err, "tamarackscale %s: %s", strings.Join(arguments, " "), output)
}

// RollOut creates a version from a bundle file, signs it and rolls it out. It returns the
// version and the output of the rollout, or that of the command that failed.
func (f *Fleet) RollOut(ctx context.Context, bundle string) (int64, string, error) {
	output, err := f.Command(ctx, "--output", "json", "bundle", "create", bundle)
	if err != nil {
		return 0, output, err
	}
	var created struct {
		Version int64 `json:"version"`
	}
	if err := json.Unmarshal([]byte(output), &created); err != nil {
		return 0, output, err
	}
	version := strconv.FormatInt(created.Version, 10)
	key := filepath.Join(f.Folder, operatorName+".pem")
	if output, err := f.Command(ctx, "bundle", "sign", version, "--key", key); err != nil {
		return 0, output, err
	}
	output, err = f.Command(ctx, "rollout", "start", version)
	return created.Version, output, err
}

// Signal sends a signal to the process of the given name, which must be running. Nodes are
// named by their ID, upstreams by "upstream-" and the ID of their node.
func (f *Fleet) Signal(name string, signal syscall.Signal) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name].Process.Signal(signal)
}

// Pid returns the process ID of the process of the given name, which must be running.
func (f *Fleet) Pid(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name].Process.Pid
}

// Wait waits for a process to exit after it has been signalled to stop; Stop no longer
// includes it. The error is that of exec.Cmd.Wait.
func (f *Fleet) Wait(name string) error {
	f.mu.Lock()
	command := f.processes[name]
	delete(f.processes, name)
	f.mu.Unlock()
	return command.Wait()
}

// WaitMembers waits until every node lists all nodes as members and, unless upstreams are
// left out, all upstreams as ready. It returns an error if the context ends before.
func (f *Fleet) WaitMembers(ctx context.Context) error {
	for _, endpoint := range f.Endpoints {
		for {
			status, err := Status(ctx, endpoint)
			if err == nil && f.listsAllMembers(status) {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Newf("node %s lists %d of %d members (last status error: %v)",
					endpoint.Settings.Node.ID, len(status.Members), len(f.Endpoints), err)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// listsAllMembers reports whether a node's status lists the whole fleet, with upstreams
// that are ready.
func (f *Fleet) listsAllMembers(status administrator.Status) bool {
	for _, member := range status.Members {
		if !f.NoUpstreams && member.State != "ready" {
			return false
		}
	}
	return len(status.Members) == len(f.Endpoints)
}

// Status requests the status of an endpoint's node.
func Status(ctx context.Context, endpoint Endpoint) (administrator.Status, error) {
	var status administrator.Status
	return status, getJSON(ctx, "http://"+endpoint.Settings.Listen.Admin+"/v1/status", &status)
}

// getJSON decodes the response to a GET request into target, whatever its status code.
func getJSON(ctx context.Context, url string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(target)
}

// Effects returns the calls that all upstreams have run.
func (f *Fleet) Effects(ctx context.Context) ([]history.Effect, error) {
	var all []history.Effect
	for _, endpoint := range f.Endpoints {
		var effects []history.Effect
		if err := getJSON(ctx, "http://"+endpoint.UpstreamAddress+"/-/effects", &effects); err != nil {
			return nil, err
		}
		all = append(all, effects...)
	}
	return all, nil
}

// CallerAddresses returns the addresses at which the nodes accept callers.
func (f *Fleet) CallerAddresses() []string {
	var addresses []string
	for _, endpoint := range f.Endpoints {
		addresses = append(addresses, endpoint.Settings.Listen.Callers)
	}
	return addresses
}

// Stop sends SIGTERM to the nodes, waits until they have exited, and then does the same
// with the upstreams and the platform. It returns an error if a process failed or was
// killed because it did not exit within stopTimeout.
func (f *Fleet) Stop() error {
	f.mu.Lock()
	processes := f.processes
	f.processes = map[string]*exec.Cmd{}
	f.mu.Unlock()
	nodes, rest := map[string]*exec.Cmd{}, map[string]*exec.Cmd{}
	for name, command := range processes {
		if name == "platform" || strings.HasPrefix(name, "upstream-") {
			rest[name] = command
		} else {
			nodes[name] = command
		}
	}
	return errors.CombineErrors(stopAll(nodes), stopAll(rest))
}

// stopAll sends SIGTERM to all processes and waits for one after the other, for up to
// stopTimeout each. It returns the errors of those that failed or were killed.
func stopAll(processes map[string]*exec.Cmd) error {
	for _, command := range processes {
		_ = command.Process.Signal(syscall.SIGTERM)
	}
	var all error
	for name, command := range processes {
		timer := time.AfterFunc(stopTimeout, func() { _ = command.Process.Kill() })
		if err := command.Wait(); err != nil {
			all = errors.CombineErrors(all, errors.Wrapf(err, "%s did not exit cleanly", name))
		}
		timer.Stop()
	}
	return all
}
