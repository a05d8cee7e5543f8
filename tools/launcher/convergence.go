package launcher

import (
	"bufio"
	"context"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/standin/platform"
)

// Convergence is the time from the acceptance of a version until it is in force, over all
// nodes.
type Convergence struct {
	Median time.Duration
	P99    time.Duration
	Worst  time.Duration
}

// Convergence compares the time of acceptance in the rollout record with the times at
// which the nodes put the version into force. The times are comparable because all
// processes run on one machine and share its clock. It returns an error if a node can't be
// reached or has another version in force.
func (f *Fleet) Convergence(ctx context.Context, version int64) (Convergence, error) {
	var times []time.Duration
	for _, endpoint := range f.Endpoints {
		status, err := Status(ctx, endpoint)
		if err != nil {
			return Convergence{}, err
		}
		if status.Version != version {
			return Convergence{}, errors.Newf("node %s has version %d in force instead of %d", status.ID, status.Version, version)
		}
		metrics, err := Metrics(ctx, endpoint)
		if err != nil {
			return Convergence{}, err
		}
		// since and accepted are Unix times in seconds.
		since := metrics.Sum("tamarackscale_version_since_seconds")
		accepted := float64(status.Record.AcceptedAt.UnixNano()) / float64(time.Second)
		times = append(times, max(0, time.Duration((since-accepted)*float64(time.Second))))
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	n := len(times)
	round := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	return Convergence{Median: round(times[n/2]), P99: round(times[n*99/100]), Worst: round(times[n-1])}, nil
}

// Sample holds the values of a node's metrics by series, which is the metric's name with
// its labels.
type Sample map[string]float64

// Metrics requests the metrics of an endpoint's node. It skips lines that it can't parse.
func Metrics(ctx context.Context, endpoint Endpoint) (Sample, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Settings.Listen.Admin+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	sample := Sample{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, found := strings.Cut(lines.Text(), " ")
		if strings.HasPrefix(name, "#") || !found {
			continue
		}
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			sample[name] = value
		}
	}
	return sample, lines.Err()
}

// Sum returns the sum of all series of a metric that contain each of the given labels,
// written like `scope="cross"`.
func (s Sample) Sum(metric string, labels ...string) float64 {
	total := 0.0
	for name, value := range s {
		if name != metric && !strings.HasPrefix(name, metric+"{") {
			continue
		}
		matches := true
		for _, label := range labels {
			matches = matches && strings.Contains(name, label)
		}
		if matches {
			total += value
		}
	}
	return total
}

// PlatformCalls returns the calls that the stand-in of the platform has counted.
func (f *Fleet) PlatformCalls(ctx context.Context) (platform.Calls, error) {
	var calls platform.Calls
	return calls, getJSON(ctx, "http://"+f.Platform+"/calls", &calls)
}
