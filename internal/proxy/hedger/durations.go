package hedger

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minQuantile and maxQuantile bound the quantile after which a call is hedged. Beyond the
	// largest, too few samples are left above it.
	minQuantile = 90
	maxQuantile = 99.5
	// unit is the resolution of the samples, maxSample the largest one in units, and digits the
	// number of significant digits, which makes the error 7 % at most.
	unit      = 250 * time.Microsecond
	maxSample = 1 << 17
	digits    = 1
	// windows is the number of histograms of windowTime that the samples of an upstream are in.
	windows    = 3
	windowTime = 10 * time.Second
	// refreshInterval is how long a computed delay is used.
	refreshInterval = 250 * time.Millisecond
	// minSamples is the number of samples below which there is no delay.
	minSamples = 50
	// outlierFactor times the typical median duration, an upstream counts as one to which calls
	// do not go. Its samples would delay the hedges of the calls that did go there.
	outlierFactor = 2
)

// Kind identifies the calls of one route to one service.
type Kind struct {
	Service string
	// Name is the name of the route.
	Name string
}

// durations holds the samples of one kind of call.
type durations struct {
	upstreams map[string]*samples
	// delay is the quantile computed last; 0 if there were too few samples.
	delay      time.Duration
	computedAt time.Time
}

// samples holds the durations of attempts at one upstream.
type samples struct {
	histogram *hdrhistogram.WindowedHistogram
	// rotatedAt is when the current window began.
	rotatedAt time.Time
	// merged is the sum of the windows at the last computation.
	merged *hdrhistogram.Histogram
}

// quantileOf returns the quantile, in percent, above which about half of the given share of calls
// lies. Calls that are slow everywhere then use up half of the allowance; the other half is there when
// an upstream hangs or is slow.
func quantileOf(share float64) float64 { return min(max(100*(1-share/2), minQuantile), maxQuantile) }

// RecordDuration records how long an attempt took from its start to its answer. An attempt that a
// hedge has overtaken counts with its duration until then: without the slowest calls the quantile
// would sink, and with it the delay.
func (h *Hedger) RecordDuration(k Kind, upstream string, took time.Duration, now time.Time) {
	d := h.kinds[k]
	if d == nil {
		h.expire(now)
		d = &durations{upstreams: map[string]*samples{}}
		h.kinds[k] = d
	}
	s := d.upstreams[upstream]
	if s == nil {
		s = &samples{histogram: hdrhistogram.NewWindowed(windows, 1, maxSample, digits), rotatedAt: now}
		d.upstreams[upstream] = s
	}
	s.rotate(now)
	// The value is in range, for which there is no error.
	_ = s.histogram.Current.RecordValue(min(max(int64(took/unit), 1), maxSample))
}

// expire forgets the kinds of calls without samples. They are those of routes that a version of the
// configuration has removed, so that it is enough to do so when a new kind comes.
func (h *Hedger) expire(now time.Time) {
	for k, d := range h.kinds {
		if d.compute(h.quantile, now); len(d.upstreams) == 0 {
			delete(h.kinds, k)
		}
	}
}

// rotate begins new windows up to now.
func (s *samples) rotate(now time.Time) {
	for range windows {
		if now.Sub(s.rotatedAt) < windowTime {
			return
		}
		s.histogram.Rotate()
		s.rotatedAt = s.rotatedAt.Add(windowTime)
	}
	if now.Sub(s.rotatedAt) >= windowTime {
		s.rotatedAt = now
	}
}

// Delay returns how long a call of the kind waits for its first answer before it is hedged. It is
// zero while there are too few samples.
func (h *Hedger) Delay(k Kind, now time.Time) time.Duration {
	d := h.kinds[k]
	if d == nil {
		return 0
	}
	if d.computedAt.IsZero() || now.Sub(d.computedAt) >= refreshInterval {
		d.compute(h.quantile, now)
	}
	return d.delay
}

// compute computes the delay from the samples of the upstreams that are no outliers, and forgets the
// upstreams without samples.
func (d *durations) compute(quantile float64, now time.Time) {
	d.computedAt, d.delay = now, 0
	var medians []int64
	for name, s := range d.upstreams {
		s.rotate(now)
		if s.merged = s.histogram.Merge(); s.merged.TotalCount() == 0 {
			delete(d.upstreams, name)
			continue
		}
		medians = append(medians, s.merged.ValueAtQuantile(50))
	}
	if len(medians) == 0 {
		return
	}
	slices.Sort(medians)
	limit := outlierFactor * medians[(len(medians)-1)/2]
	all := hdrhistogram.New(1, maxSample, digits)
	for _, s := range d.upstreams {
		if s.merged.ValueAtQuantile(50) <= limit {
			all.Merge(s.merged)
		}
	}
	if all.TotalCount() >= minSamples {
		d.delay = time.Duration(all.ValueAtQuantile(quantile)) * unit
	}
}
