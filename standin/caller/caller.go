// Package caller is a stand-in for callers: it generates open-loop load and records
// latencies and outcomes.
package caller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/internal/serving/router"
	"github.com/tamarackscale/tamarackscale/standin/history"
	"github.com/tamarackscale/tamarackscale/standin/upstream"
)

// Stream describes requests of one kind.
type Stream struct {
	Name   string `yaml:"name"`
	Tenant string `yaml:"tenant"`
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
	// Rate is the mean number of requests per second.
	Rate       float64 `yaml:"rate"`
	Idempotent bool    `yaml:"idempotent"`
	// Keyed reports whether requests carry an idempotency key.
	Keyed bool `yaml:"keyed"`
	// Timeout is sent with each request; the caller itself waits a second longer.
	Timeout time.Duration `yaml:"timeout"`
}

// Load describes the load of one run.
type Load struct {
	// Addresses holds the addresses at which nodes accept calls; each request goes to one
	// chosen at random.
	Addresses []string
	Streams   []Stream
	Duration  time.Duration
	// Scale is a factor for the rates of all streams.
	Scale float64
	// Seed makes the arrival times and the choice of nodes reproducible.
	Seed uint64
	// Prefix begins each echo and makes the echoes of different runs distinct.
	Prefix string
}

// Result summarises the responses to the requests of one stream.
type Result struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// InTime is the number of matching answers within the stream's timeout.
	InTime int `json:"inTime"`
	// NotRun counts the refusals that state that the request was not run, Unknown the other
	// refusals, and Failed the failed connections and the bodies that were cut short.
	NotRun  int `json:"notRun"`
	Unknown int `json:"unknown"`
	Failed  int `json:"failed"`
	// Median, P99 and Worst are latencies of matching answers, in nanoseconds in JSON.
	Median time.Duration `json:"median"`
	P99    time.Duration `json:"p99"`
	Worst  time.Duration `json:"worst"`
	// Mismatch is the number of answers that do not match their request.
	Mismatch int `json:"mismatch"`
	// Codes counts the requests by the code of their refusal or failure.
	Codes map[string]int `json:"codes"`
}

// FractionInTime returns the fraction of the requests that were answered in time, or 0 if none
// was sent.
func (r Result) FractionInTime() float64 {
	if r.Sent == 0 {
		return 0
	}
	return float64(r.InTime) / float64(r.Sent)
}

// sample is what was measured of one request.
type sample struct {
	latency time.Duration
	outcome history.Outcome
	code    string
	unknown bool
	failed  bool
	// replayed reports whether the answer was recorded in an earlier run.
	replayed bool
}

// Caller sends requests. It is safe for concurrent use.
type Caller struct {
	client *http.Client
}

// New returns a caller that uses the given transport.
func New(transport http.RoundTripper) *Caller {
	return &Caller{client: &http.Client{Transport: transport}}
}

// NewTransport returns a transport that keeps enough idle connections for open-loop
// load.
func NewTransport() *http.Transport {
	return &http.Transport{MaxIdleConns: 4096, MaxIdleConnsPerHost: 512, DisableCompression: true}
}

// Run generates the load and returns one result per stream and all outcomes. If the context
// ends, it sends no further requests and returns after the current interval between
// requests.
func (c *Caller) Run(ctx context.Context, load Load) ([]Result, []history.Outcome) {
	results := make([]Result, len(load.Streams))
	outcomes := make([][]history.Outcome, len(load.Streams))
	var group sync.WaitGroup
	for i, stream := range load.Streams {
		group.Go(func() {
			samples := c.runStream(ctx, load, stream, uint64(i))
			results[i] = summarise(stream, samples)
			for _, s := range samples {
				outcomes[i] = append(outcomes[i], s.outcome)
			}
		})
	}
	group.Wait()
	var all []history.Outcome
	for _, perStream := range outcomes {
		all = append(all, perStream...)
	}
	return results, all
}

// runStream sends requests at exponentially distributed intervals, whether or not
// earlier ones were answered. Latency is measured from the time at which a request was
// due, so that a late start counts. The seed and the index of the stream determine its
// random numbers.
func (c *Caller) runStream(ctx context.Context, load Load, stream Stream, index uint64) []sample {
	random := rand.New(rand.NewPCG(load.Seed, index))
	var mu sync.Mutex
	var samples []sample
	var group sync.WaitGroup
	start := time.Now()
	due := start
	for count := 0; ; count++ {
		gap := random.ExpFloat64() / (stream.Rate * load.Scale)
		due = due.Add(time.Duration(gap * float64(time.Second)))
		if due.Sub(start) > load.Duration || ctx.Err() != nil {
			break
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		address := load.Addresses[random.IntN(len(load.Addresses))]
		echo := fmt.Sprintf("%s-%s-%d", load.Prefix, stream.Name, count)
		sent := due
		group.Go(func() {
			s := c.call(ctx, address, stream, echo)
			s.latency = time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			samples = append(samples, s)
		})
	}
	group.Wait()
	return samples
}

// Reply is the result of one request.
type Reply struct {
	history.Outcome
	// Code is the code of the refusal, "connection" if the connection failed, or
	// "cutBody" if the body was cut short.
	Code string
	// Unknown reports whether a refusal left open whether the request was run.
	Unknown bool
	// Failed reports whether the connection failed or the body was cut short.
	Failed bool
	// Replayed reports whether the answer was recorded in an earlier run.
	Replayed bool
}

// Call sends one request to a node's address. The idempotency key of a keyed stream's
// request is the echo.
func (c *Caller) Call(ctx context.Context, address string, stream Stream, echo string) Reply {
	s := c.call(ctx, address, stream, echo)
	return Reply{Outcome: s.outcome, Code: s.code, Unknown: s.unknown, Failed: s.failed, Replayed: s.replayed}
}

// call sends one request and classifies the response. It does not set the latency.
func (c *Caller) call(ctx context.Context, address string, stream Stream, echo string) sample {
	s := sample{outcome: history.Outcome{Echo: echo, Idempotent: stream.Idempotent}}
	ctx, cancel := context.WithTimeout(ctx, stream.Timeout+time.Second)
	defer cancel()
	var body io.Reader
	if stream.Method != http.MethodGet {
		// NopCloser hides the type of the reader from net/http, which could otherwise resend
		// a keyed request on its own if the connection fails. The body is sent chunked.
		body = io.NopCloser(strings.NewReader("order " + echo))
	}
	request, err := http.NewRequestWithContext(ctx, stream.Method, "http://"+address+stream.Path, body)
	if err != nil {
		s.failed = true
		return s
	}
	request.Header.Set(upstream.EchoHeader, echo)
	request.Header.Set(framer.TenantHeader, stream.Tenant)
	request.Header.Set(framer.TimeoutHeader, stream.Timeout.String())
	if stream.Keyed {
		request.Header.Set(framer.KeyHeader, echo)
	}
	response, err := c.client.Do(request)
	if err != nil {
		s.failed, s.code = true, "connection"
		return s
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		s.failed, s.code = true, "cutBody"
		return s
	}
	classify(&s, response, data, echo)
	return s
}

// classify sets the outcome of a request from the complete response. A response without
// OutcomeHeader is an upstream's answer.
func classify(s *sample, response *http.Response, data []byte, echo string) {
	switch framer.Outcome(response.Header.Get(framer.OutcomeHeader)) {
	case "":
		s.outcome.Answered = true
		s.replayed = response.Header.Get(router.ReplayHeader) != ""
		first, _, _ := strings.Cut(string(data), "\n")
		s.outcome.Mismatch = first != echo
	case framer.NotRun:
		s.outcome.NotRun = true
		s.code = refusalCode(data)
	default:
		s.unknown = true
		s.code = refusalCode(data)
	}
}

// refusalCode returns the code in the JSON body of a refusal.
func refusalCode(data []byte) string {
	_, rest, _ := strings.Cut(string(data), `"code":"`)
	code, _, _ := strings.Cut(rest, `"`)
	return code
}

// summarise computes the result of a stream from its samples.
func summarise(stream Stream, samples []sample) Result {
	result := Result{Name: stream.Name, Sent: len(samples), Codes: map[string]int{}}
	var latencies []time.Duration
	for _, s := range samples {
		switch {
		case s.outcome.Mismatch:
			result.Mismatch++
		case s.outcome.Answered:
			latencies = append(latencies, s.latency)
			if s.latency <= stream.Timeout {
				result.InTime++
			}
		case s.outcome.NotRun:
			result.NotRun++
		case s.unknown:
			result.Unknown++
		default:
			result.Failed++
		}
		if s.code != "" {
			result.Codes[s.code]++
		}
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	if n := len(latencies); n > 0 {
		result.Median, result.P99, result.Worst = latencies[n/2], latencies[n*99/100], latencies[n-1]
	}
	return result
}
