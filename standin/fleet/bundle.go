package fleet

import (
	"crypto/ed25519"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/bundle/compiler"
	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
	"github.com/tamarackscale/tamarackscale/internal/bundle/signer"
	"github.com/tamarackscale/tamarackscale/internal/input/decoder"
	"github.com/tamarackscale/tamarackscale/standin/caller"
)

// Streams that the routes of Bundle match.
var (
	// Order has the most urgent rank and is not idempotent.
	Order = caller.Stream{Name: "order", Tenant: "hall", Method: "POST", Path: "/orders", Keyed: true, Timeout: 2 * time.Second}
	// Browse has the least urgent rank and is idempotent.
	Browse = caller.Stream{Name: "browse", Tenant: "public", Method: "GET", Path: "/catalogue", Idempotent: true, Timeout: 2 * time.Second}
)

// Bundle returns a bundle with two services and three routes for the given availability
// zones.
func Bundle(zones ...string) *parser.Bundle {
	policy := parser.EndpointPolicy{MaxSlots: 4, MaxConnections: 20}
	retry := parser.RetryPolicy{MaxAttempts: 2, Budget: 0.2}
	deadline := decoder.Duration(2 * time.Second)
	return &parser.Bundle{
		FormatVersion: parser.FormatVersion, Name: "test", AvailabilityZones: zones,
		Ranks: []parser.Rank{{Name: "order", MaxQueue: 32}, {Name: "browse", Floor: 0.1, MaxQueue: 32}},
		Services: []parser.Service{
			{Name: "orders", EndpointPolicy: policy},
			{Name: "catalogue", EndpointPolicy: policy},
		},
		Routes: []parser.Route{
			{Name: "order", Method: "POST", PathPrefix: "/orders", Service: "orders", Rank: "order", RequireKey: true, Deadline: deadline, Retry: retry},
			{Name: "browse", Method: "GET", PathPrefix: "/catalogue", Service: "catalogue", Rank: "browse", Idempotent: true, Deadline: deadline, Retry: retry},
			{Name: "note", Method: "POST", PathPrefix: "/notes", Service: "orders", Rank: "order", Deadline: deadline, Retry: retry},
		},
	}
}

// Compile signs a bundle as version 1 with the key of Operator and compiles it.
func Compile(bundle *parser.Bundle) (*compiler.Table, error) {
	content, err := parser.Canonical(bundle)
	if err != nil {
		return nil, err
	}
	pointer := parser.Pointer{Version: 1, Digest: parser.Digest(content)}
	keys := signer.PublicKeys{Operator: operatorKey.Public().(ed25519.PublicKey)}
	return compiler.Compile(
		parser.Envelope{Pointer: pointer, Content: content}, signer.Sign(Operator, operatorKey, pointer), keys)
}
