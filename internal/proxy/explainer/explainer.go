// Package explainer states where a request would go now and why, without sending it, and serves that
// over HTTP. What it states are the decisions of the node that is asked.
package explainer

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

// Path is the path below which a node explains requests, on the listener of its metrics.
const Path = "/explain"

// Question describes a request.
type Question struct {
	Method string
	Host   string
	// Path is the path of the request target, without a query.
	Path string
	// Account is the name of the client account, never its key; empty if there is none.
	Account string
	// Kind is the name of the route that the asker expects; empty if any.
	Kind string
}

// Values returns the question as the query of a URL.
func (q Question) Values() url.Values {
	return url.Values{"method": {q.Method}, "host": {q.Host}, "path": {q.Path}, "account": {q.Account}, "kind": {q.Kind}}
}

// questionOf returns the question of a query. The query of the path is left out: it may hold secrets.
func questionOf(values url.Values) Question {
	path, _, _ := strings.Cut(values.Get("path"), "?")
	return Question{
		Method: values.Get("method"), Host: values.Get("host"), Path: path, Account: values.Get("account"), Kind: values.Get("kind"),
	}
}

// Explanation is what a node would do with a request now. Times are in milliseconds.
type Explanation struct {
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Version int64  `json:"version"`
	Method  string `json:"method,omitempty"`
	Host    string `json:"host"`
	Path    string `json:"path"`
	Account string `json:"account,omitempty"`
	// Route and Service are empty if no route matches.
	Route       string `json:"route,omitempty"`
	Service     string `json:"service,omitempty"`
	Rank        int    `json:"rank"`
	Idempotent  bool   `json:"idempotent"`
	MaxAttempts int    `json:"maxAttempts"`
	// Refusal is the refusal that the request would get; nil if it would be sent.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Candidates are the upstreams of the service, the one that gets the request first.
	Candidates []Candidate `json:"candidates"`
	// Hedge is nil if the request would not be hedged.
	Hedge *Hedge `json:"hedge,omitempty"`
	// Notes state what the explanation leaves out.
	Notes []string `json:"notes,omitempty"`
}

// Refusal describes the response to a request that is not sent.
type Refusal struct {
	Status int            `json:"status"`
	Reason carrier.Reason `json:"reason"`
	// Expected reports that the node beside the upstream decides; the refusal follows from the load
	// that it stated last.
	Expected bool `json:"expected"`
}

// Candidate is an upstream of the service as the node knows it.
type Candidate struct {
	Node     string `json:"node"`
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Chosen   bool   `json:"chosen"`
	// RuledOut is why another candidate is chosen: draining, ejected, full, stopping, or
	// lessUseful.
	RuledOut string `json:"ruledOut,omitempty"`
	Cold     bool   `json:"cold,omitempty"`
	// Utility is the expected benefit of sending the request there; at most 1.
	Utility    float64 `json:"utility"`
	ExpectedMs float64 `json:"expectedMs"`
	// ServiceMs is the mean service time. It is this node's own measurement if MeasuredAgeMs is not
	// negative, else that of the service's other upstreams or a default.
	ServiceMs     float64 `json:"serviceMs"`
	MeasuredAgeMs float64 `json:"measuredAgeMs"`
	FailureRate   float64 `json:"failureRate"`
	// InUse, Waiting and WaitMs are the load that its node stated LoadAgeMs ago; never if that is
	// negative. InFlight counts the attempts of the asked node.
	InUse     int     `json:"inUse"`
	Waiting   int     `json:"waiting"`
	Slots     int     `json:"slots"`
	WaitMs    float64 `json:"waitMs"`
	LoadAgeMs float64 `json:"loadAgeMs"`
	InFlight  int     `json:"inFlight"`
}

// Hedge describes when the request would be sent to a second upstream.
type Hedge struct {
	AfterMs float64 `json:"afterMs"`
	// Utilisation is the part of the slots of the service that is in use.
	Utilisation float64 `json:"utilisation"`
}

// Milliseconds returns a duration in milliseconds.
func Milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Never is the age of what has not been measured.
const Never = -1

// Handler serves explanations as JSON.
func Handler(explain func(q Question) Explanation) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := questionOf(r.URL.Query())
		switch {
		case r.Method != http.MethodGet:
			http.Error(w, "only GET is allowed", http.StatusMethodNotAllowed)
		case q.Host == "" || !strings.HasPrefix(q.Path, "/"):
			http.Error(w, "host and path are required, and the path begins with a slash", http.StatusBadRequest)
		default:
			w.Header().Set("Content-Type", "application/json")
			// An error means that the client has disconnected.
			_ = json.NewEncoder(w).Encode(explain(q))
		}
	})
}
