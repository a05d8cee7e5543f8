package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// The ports of a node, on an address of its own.
const (
	peerPort     = 7620
	appPort      = 8301
	readyPort    = 8302
	callerPort   = 8304
	controlPort  = 8306
	templateFile = "deploy/settings.yaml"
	program      = "target/tamarackscale-proxy"
)

// node is one machine: a process of the product and the endpoint beside it.
type node struct {
	name     string
	zone     string
	ip       string
	endpoint *endpoint
	fleet    *fleet
	process  *exec.Cmd
	exited   chan struct{}
	starts   int
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// fields holds what the platform fills into the template of the settings.
func (n *node) fields() map[string]any {
	seeds := []string{}
	for _, other := range n.fleet.nodes[:min(3, len(n.fleet.nodes))] {
		seeds = append(seeds, other.address(controlPort))
	}
	return map[string]any{
		"node": n.name, "ip": n.ip, "zone": n.zone, "limits.link_mbps": 1000.0,
		"listen_addrs.outbound": n.address(callerPort), "listen_addrs.ready": n.address(readyPort),
		"listen_addrs.control": n.address(controlPort), "port_range": []int{peerPort, peerPort + 15},
		"provider.addr": n.fleet.storeAddress, "service": n.endpoint.service, "app_addr": n.address(appPort),
		"bootstrap": n.starts == 0, "seeds": seeds,
		"bounds.drain_s": drainTime.Seconds(), "bounds.grace_s": 6, "bounds.budget_ratio": budgetRatio,
		"bounds.budget_slack": budgetSlack, "bounds.budget_window_s": budgetWindow.Seconds(),
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// settings fills in the template of the deploy file.
func (n *node) settings() (string, error) {
	template, err := os.ReadFile(templateFile)
	if err != nil {
		return "", err
	}
	fields := n.fields()
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		match := placeholder.FindStringSubmatch(p)
		value := fields[match[1]]
		if match[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			return ""
		}
		return string(encoded)
	})
	path := filepath.Join(n.fleet.folder, n.name+".yaml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts the node's process.
func (n *node) start() error {
	path, err := n.settings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.fleet.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.starts++
	n.process = exec.Command(program)
	if limit := n.fleet.maxDescriptors; limit > 0 {
		n.process = exec.Command("bash", "-c", fmt.Sprintf("ulimit -n %d && exec %s", limit, program))
	}
	// A machine has one core.
	n.process.Env = append(os.Environ(), "TAMARACKSCALE_BOOT="+path, "GOMAXPROCS=1")
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait()
		close(exited)
	}(n.process, n.exited)
	n.fleet.record.note("%s started, pid %d", n.name, n.process.Process.Pid)
	return nil
}

// kill ends the node's process with SIGKILL.
func (n *node) kill() {
	n.fleet.record.note("%s killed", n.name)
	_ = n.process.Process.Kill()
	<-n.exited
}

// ready reports whether the node says that it is ready.
func (n *node) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + n.address(readyPort) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// fleet is a deployment with its store.
type fleet struct {
	nodes        []*node
	store        *store
	storeAddress string
	folder       string
	record       *record
	// maxDescriptors limits the descriptors of each process; 0 is no limit.
	maxDescriptors int
}

// place is the zone and the service of one machine.
type place struct{ zone, service string }

// newFleet returns a deployment that has not been started.
func newFleet(r *record, folder string, places []place, slots int, work time.Duration) *fleet {
	pid := os.Getpid()
	prefix := fmt.Sprintf("127.%d.%d", 10+pid/200%200, 1+pid%200)
	f := &fleet{store: newStore(), storeAddress: prefix + ".250:8309", folder: folder, record: r}
	for i, p := range places {
		n := &node{name: fmt.Sprintf("sidecar-%s-%d", p.zone, i+1), zone: p.zone, ip: fmt.Sprintf("%s.%d", prefix, i+1), fleet: f}
		n.endpoint = &endpoint{
			id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), service: p.service, zone: p.zone, address: n.address(appPort),
			slots: slots, work: work, record: r, control: n.address(controlPort),
		}
		f.nodes = append(f.nodes, n)
	}
	return f
}

// route is one route of the configuration.
type route struct {
	host, prefix, kind, service string
	timeout                     float64
	// other is a second service that gets otherWeight percent of the requests; empty if there is none.
	other       string
	otherWeight int
}

// destination returns where the route leads to, as the configuration states it.
func (r route) destination() string {
	if r.other == "" {
		return fmt.Sprintf(`"service":%q`, r.service)
	}
	return fmt.Sprintf(`"weighted_backends":[{"service":%q,"weight":%d},{"service":%q,"weight":%d}]`,
		r.service, 100-r.otherWeight, r.other, r.otherWeight)
}

// configure writes a configuration as the operator does.
func (f *fleet) configure(version int, routes []route) {
	clusters := map[string]bool{}
	var listeners, services []string
	for i, r := range routes {
		listeners = append(listeners, fmt.Sprintf(`{"host":%q,"policy":[{"name":"r-%d","kind":%q,"target_latency_s":0.3,"priority":1,`+
			`"match":{"prefix":%q},"action":{%s,"timeout_s":%g,"max_attempts":2}}]}`,
			r.host, i, r.kind, r.prefix, r.destination(), r.timeout))
	}
	for _, n := range f.nodes {
		if s := n.endpoint.service; !clusters[s] {
			clusters[s] = true
			services = append(services, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":110,"protocol":"h1","tls":false}`, s))
		}
	}
	f.store.put("op/config", []byte(fmt.Sprintf(`{"version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,`+
		`"header_timeout_s":3,"idle_timeout_s":15},"listeners":[%s],"clusters":[%s]}`,
		version, strings.Join(listeners, ","), strings.Join(services, ","))))
}

// heartbeatInterval is the interval between the heartbeats of an endpoint.
const heartbeatInterval = 870 * time.Millisecond

// start starts the store, the endpoints and the nodes, and waits until all nodes are ready.
func (f *fleet) start() error {
	go func() {
		server := &http.Server{Addr: f.storeAddress, Handler: f.store.handler(), ReadHeaderTimeout: time.Minute}
		_ = server.ListenAndServe()
	}()
	for _, n := range f.nodes {
		if err := n.endpoint.start(heartbeatInterval); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, n := range f.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", n.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	return nil
}

const (
	// startTimeout bounds the start of all nodes, and settleTime is how long they run before the
	// first request.
	startTimeout = 20 * time.Second
	settleTime   = 5 * time.Second
)

// stop kills all processes.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.process != nil && n.process.Process != nil {
			_ = n.process.Process.Kill()
			<-n.exited
		}
	}
}
