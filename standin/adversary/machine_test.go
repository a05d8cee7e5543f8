package adversary

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/answers"
	"github.com/tamarackscale/tamarackscale/standin/metastore"
)

const (
	// memoryLimit is limits.memory of the processes in megabytes, below that of the smallest VM (184), so
	// that few clients suffice. Their resident memory must stay below it.
	memoryLimit = 80
	// descriptorLimit is limits.descriptors and the limit of the process itself.
	descriptorLimit = 400
	// patience bounds the waits for the start and for the answer to an ordinary request. No check
	// depends on it.
	patience = 30 * time.Second
)

// The ports of the machine, on an address of its own.
const (
	peerPort     = 7620
	upstreamPort = 8301
	readyPort    = 8302
	callerPort   = 8304
	controlPort  = 8306
	storePort    = 8309
	metricsPort  = 9464
)

const configuration = `{"version":7,"limits":{"max_header_bytes":65536,"max_body_bytes":16777216,` +
	`"header_timeout_s":5,"idle_timeout_s":60},"listeners":[{"host":"h","policy":[{"name":"all","kind":"non_idempotent",` +
	`"target_latency_s":1,"priority":1,"match":{"prefix":"/"},"action":{"service":"orders","timeout_s":20,"max_attempts":1}}]}],` +
	`"clusters":[{"name":"orders","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}]}`

const settings = `
node: {id: vm-1, ip: "%[1]s", availabilityZone: z, linkRate: 1000}
limits: {memory: %[2]d, descriptors: %[3]d}
listen: {callers: "%[1]s:8304", readiness: "%[1]s:8302", control: "%[1]s:8306", metrics: "%[1]s:9464", ports: [7620, 7635]}
platform: {address: "%[1]s:8309"}
upstream: {service: orders, address: "%[1]s:8301"}
firstStart: true
bounds: {drainTime: 2s, grace: 6s, repeatRatio: 0.2, repeatSlack: 50, repeatWindow: 10s}
`

// program is the path of the product's program, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	if address := os.Getenv(addressVariable); address != "" {
		callers[os.Getenv(callerVariable)](address)
		fmt.Println(peakMegabytes("self"))
		os.Exit(0)
	}
	folder, err := os.MkdirTemp("", "adversary")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(folder, "tamarackscale-proxy")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", program, "../../cmd/tamarackscale-proxy")
	build.Stderr = os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// machine is a process of the product with its store and upstream.
type machine struct {
	ip       string
	process  *exec.Cmd
	upstream *upstream
	// rawStore, if any, answers in place of the store.
	rawStore atomic.Pointer[answers.Handler]
	log      bytes.Buffer
	// exited is closed when the process has ended.
	exited chan struct{}
	// conns are the connections of the clients, which stay open until the end.
	mu    sync.Mutex
	conns []net.Conn
}

// lastMachine numbers the machines, whose addresses differ.
var lastMachine int

// withMachine runs a load against a machine with limits, and then checks that the process lives within
// them and serves an ordinary request while the clients of the load are still connected.
func withMachine(t *testing.T, name string, load func(m *machine)) {
	Convey(name, t, func() {
		m := startMachine(t, memoryLimit)
		load(m)
		m.settle()
		m.check(memoryLimit)
		m.checkReleased()
		t.Logf("peak of resident memory: %d MB", m.peakMegabytes())
	})
}

func startMachine(t *testing.T, megabytes int) *machine {
	lastMachine++
	pid := os.Getpid()
	m := &machine{ip: fmt.Sprintf("127.%d.%d.%d", 60+pid/250%100, 1+pid%250, lastMachine), exited: make(chan struct{})}
	store := metastore.New()
	store.Put("op/config", []byte(configuration))
	m.serve(t, storePort, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if raw := m.rawStore.Load(); raw != nil {
			answerRaw(*raw, w, r)
			return
		}
		store.Handler().ServeHTTP(w, r)
	}))
	m.upstream = &upstream{machine: m, done: make(chan struct{})}
	m.serve(t, upstreamPort, m.upstream)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf(settings, m.ip, megabytes, descriptorLimit)
	So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
	m.process = exec.Command("bash", "-c", fmt.Sprintf("ulimit -n %d && exec %s", descriptorLimit, program))
	m.process.Env = append(os.Environ(), "TAMARACKSCALE_BOOT="+path)
	m.process.Stdout, m.process.Stderr = &m.log, &m.log
	So(m.process.Start(), ShouldBeNil)
	go func() {
		_ = m.process.Wait()
		close(m.exited)
	}()
	Reset(m.stop)
	go m.upstream.sendHeartbeats()
	So(m.ordinary(), ShouldBeNil)
	return m
}

// serve serves a stand-in at a port of the machine.
func (m *machine) serve(t *testing.T, port int, handler http.Handler) {
	l, err := net.Listen("tcp", m.address(port))
	So(err, ShouldBeNil)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
}

func (m *machine) stop() {
	close(m.upstream.done)
	_ = m.process.Process.Kill()
	<-m.exited
	m.closeClients()
}

func (m *machine) closeClients() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		_ = c.Close()
	}
}

// checkReleased closes the clients and checks that the account of the process returns to zero. What is
// not released on one way out would add up until the node refuses everybody.
func (m *machine) checkReleased() {
	m.closeClients()
	held := "no metrics"
	for deadline := time.Now().Add(patience); held != "" && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		held = m.held()
	}
	So(held, ShouldBeEmpty)
}

// held returns the metrics of the memory that is held for requests; empty if there is none.
func (m *machine) held() string {
	response, err := http.Get("http://" + m.address(metricsPort) + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || !bytes.Contains(text, []byte("tamarackscale_memory_used_bytes")) {
		return "no metrics"
	}
	held := ""
	for line := range strings.Lines(string(text)) {
		isUse := strings.HasPrefix(line, "tamarackscale_memory_used_bytes{") && !strings.Contains(line, "connections")
		if isUse && !strings.HasSuffix(line, " 0\n") {
			held += line
		}
	}
	return held
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// check checks the limits, and that an ordinary request gets an answer.
func (m *machine) check(megabytes int) {
	err := m.ordinary()
	select {
	case <-m.exited:
		So("the process has ended: "+m.log.String(), ShouldBeEmpty)
	default:
	}
	So(m.descriptors(), ShouldBeLessThanOrEqualTo, descriptorLimit)
	So(m.peakMegabytes(), ShouldBeLessThanOrEqualTo, megabytes)
	So(err, ShouldBeNil)
}

// settle waits until the process uses no processor time, so that it has read what it will read. The
// check does not depend on it having done so.
func (m *machine) settle() {
	last := ""
	for deadline := time.Now().Add(patience / 2); time.Now().Before(deadline); time.Sleep(400 * time.Millisecond) {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.process.Process.Pid))
		if err != nil {
			return
		}
		fields := strings.Fields(string(stat))
		used, _ := strconv.Atoi(fields[13])
		// Three ticks of 10 ms are what heartbeats and polls take.
		if before, _ := strconv.Atoi(last); last != "" && used-before <= 3 {
			return
		}
		last = fields[13]
	}
}

// peakMegabytes returns the largest resident memory that the process has had.
func (m *machine) peakMegabytes() int {
	peak := peakMegabytes(strconv.Itoa(m.process.Process.Pid))
	So(peak, ShouldBeGreaterThan, 0)
	return peak
}

// peakMegabytes does the same for a process, which may be "self". It returns -1 if the peak is not known.
func peakMegabytes(process string) int {
	status, err := os.ReadFile("/proc/" + process + "/status")
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	if err != nil || !found {
		return -1
	}
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		return -1
	}
	return kilobytes >> 10
}

// descriptors returns the number of open descriptors of the process.
func (m *machine) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.process.Process.Pid))
	So(err, ShouldBeNil)
	return len(entries)
}

// ordinary sends a small request until it is answered with 200, and returns the last error if it
// never is.
func (m *machine) ordinary() (err error) {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if err = m.exchange(request("ordinary", 4, "body")); err == nil {
			return nil
		}
	}
	return err
}

// exchange sends a request on a connection of its own and returns an error unless it is answered with 200.
func (m *machine) exchange(text string) error {
	conn, err := net.DialTimeout("tcp", m.address(callerPort), 5*time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return err
}

// request returns the text of a request with a declared length and the body.
func request(id string, length int, body string) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 10000\r\nContent-Length: %d\r\n\r\n%s", id, length, body)
}

// clients opens connections to a port, runs each in a goroutine of its own and waits for all. Their
// connections stay open. A client that can't connect or write has been refused, which is allowed.
func (m *machine) clients(port, count int, run func(i int, c net.Conn)) {
	var all sync.WaitGroup
	for i := range count {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := net.DialTimeout("tcp", m.address(port), 5*time.Second)
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns = append(m.conns, c)
			m.mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(writePatience))
			run(i, c)
		}()
	}
	all.Wait()
}

// writePatience is how long a client tries to send what the process does not read.
const writePatience = 4 * time.Second

// upstream answers each request; a target /large/N with a body of N bytes.
type upstream struct {
	machine *machine
	done    chan struct{}
	// raw answers the requests for targets below /raw/ in place of the upstream.
	raw atomic.Pointer[answers.Handler]
}

// answerRaw lets a handler answer a request on its connection.
func answerRaw(handler answers.Handler, w http.ResponseWriter, r *http.Request) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	r.Body = io.NopCloser(io.LimitReader(buffered, max(0, r.ContentLength)))
	handler(conn, r)
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/raw/") {
		answerRaw(*u.raw.Load(), w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Stamp", "stamp-i-1")
	size, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/large/"))
	if strings.HasPrefix(r.URL.Path, "/fields/") {
		// Fields beyond the bound of the head make the answer broken.
		count, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/fields/"))
		for i := range count {
			w.Header().Add("f", strconv.Itoa(i%10))
		}
	}
	_, _ = w.Write(bytes.Repeat([]byte("a"), size))
}

// sendHeartbeats sends heartbeats until the machine stops. A failed one is sent again.
func (u *upstream) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for sequence := 1; ; sequence++ {
		body := fmt.Sprintf(`{"addr":%q,"born":1,"info":{"service":"orders","version":"v1","zone":"z","slots":64},`+
			`"status":{"state":"ready","seq":%d,"cold_left_s":0}}`, u.machine.address(upstreamPort), sequence)
		response, err := client.Post("http://"+u.machine.address(controlPort)+"/api/rpc?call=instances.heartbeat&of=i-1",
			"application/json", strings.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-u.done:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}
