package assembler

import (
	"net/http"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/explainer"
)

// Explain states what the node would do with a request now.
func (p *Proxy) Explain(q explainer.Question) explainer.Explanation {
	e := p.dispatcher.Explain(q, time.Now())
	e.Zone = p.settings.Load().Node.AvailabilityZone
	return e
}

// metricsHandler serves the metrics and explanations of requests.
func (p *Proxy) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(explainer.Path, explainer.Handler(p.Explain))
	mux.Handle("/", p.telemetry.Handler())
	return mux
}
