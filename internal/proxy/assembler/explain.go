package assembler

import (
	"net/http"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/explainer"
	"github.com/tamarackscale/tamarackscale/internal/release/controller"
)

// Explain states what the node would do with a request now.
func (p *Proxy) Explain(q explainer.Question) explainer.Explanation {
	e := p.dispatcher.Explain(q, time.Now())
	e.Zone = p.settings.Load().Node.AvailabilityZone
	return e
}

// operatorHandler serves the metrics, explanations of requests and, if the node rolls versions out, the
// page about that.
func (p *Proxy) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", p.telemetry.Handler())
	mux.Handle(explainer.Path, explainer.Handler(p.Explain))
	if p.rollouts != nil {
		mux.Handle("GET "+controller.Path, p.rollouts.controller.Handler(p.rollouts.assigner.Plans))
	}
	return mux
}
