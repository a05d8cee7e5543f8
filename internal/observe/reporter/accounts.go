package reporter

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarackscale/tamarackscale/internal/account/rationer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/dispatcher"
)

const (
	// maxAccountNames is the maximum number of accounts with series of their own in one process. The
	// others are summed under otherAccounts.
	maxAccountNames = 100
	otherAccounts   = "other"
)

// accountBuckets are in seconds. They are fewer than those of all calls, since each account has
// them.
var accountBuckets = []float64{0.05, 0.2, 0.8, 3.2}

// accountMetrics counts calls by account. It is safe for concurrent use.
type accountMetrics struct {
	callTime *prometheus.HistogramVec
	refusals *prometheus.CounterVec
	// tokens counts the tokens of quotas by what became of them.
	tokens *prometheus.CounterVec

	// mu protects names, the accounts with series of their own.
	mu    sync.Mutex
	names map[string]bool
}

func newAccountMetrics(registry prometheus.Registerer) *accountMetrics {
	m := &accountMetrics{
		callTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tamarackscale_account_call_seconds", Help: "Whole time of a call that an upstream answered, by account.", Buckets: accountBuckets,
		}, []string{"account"}),
		refusals: counter("tamarackscale_account_refusals_total", "Calls that were not run, by account and reason.", "account", "reason"),
		tokens:   counter("tamarackscale_quota_tokens_total", "Tokens of quotas: asks for some, and tokens that were granted, expired unused or came back from calls that did not run.", "event"),
		names:    map[string]bool{},
	}
	registry.MustRegister(m.callTime, m.refusals, m.tokens)
	return m
}

// label returns the label of an account: its name, unless too many others have a series.
func (m *accountMetrics) label(account string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names[account] {
		return account
	}
	if len(m.names) >= maxAccountNames {
		return otherAccounts
	}
	m.names[account] = true
	return account
}

// ended counts a call. Calls without an account count only if they are refused for that.
func (m *accountMetrics) ended(e dispatcher.Event) {
	reason := e.Result.Reason
	switch {
	case e.Account != "" && e.Result.Outcome == carrier.Run:
		m.callTime.WithLabelValues(m.label(e.Account)).Observe(e.Took.Seconds())
	case e.Account != "" && e.Result.Outcome == carrier.NotRun:
		m.refusals.WithLabelValues(m.label(e.Account), string(reason)).Inc()
	case reason == carrier.KeyMissing || reason == carrier.KeyUnknown || reason == carrier.ParentUnknown:
		m.refusals.WithLabelValues("", string(reason)).Inc()
	}
}

// Tokens implements granter.Observer.
func (r *Reporter) Tokens(s rationer.Stats) {
	r.accounts.tokens.WithLabelValues("asked").Add(float64(s.Asked))
	r.accounts.tokens.WithLabelValues("granted").Add(float64(s.Granted))
	r.accounts.tokens.WithLabelValues("expired").Add(float64(s.Expired))
	r.accounts.tokens.WithLabelValues("returned").Add(float64(s.Returned))
}
