// Package parser defines the bundle, the versioned configuration that operators
// sign off and roll out, and converts it between YAML, canonical lines and Go values.
package parser

import (
	"github.com/tamarackscale/tamarackscale/internal/input/decoder"
)

// MaxContentBytes is the maximum size of a canonical bundle in bytes. It leaves
// space for the envelope within the platform's limit of one megabyte per value.
const MaxContentBytes = 1_000_000

// FormatVersion is the only bundle format that this build supports.
const FormatVersion = 1

// Bundle is one complete configuration. After Parse and checker.Check have
// passed, every name that it refers to is defined in it.
type Bundle struct {
	// FormatVersion equals the package's FormatVersion.
	FormatVersion int `yaml:"formatVersion" json:"formatVersion"`
	// Name identifies the deployment; it is the same in all versions.
	Name string `yaml:"name" json:"name"`
	// AvailabilityZones lists every zone that must prepare a version before it
	// takes effect. It is not empty and has no duplicates.
	AvailabilityZones []string `yaml:"availabilityZones" json:"availabilityZones"`
	// Ranks is ordered by descending urgency. It is not empty.
	Ranks []Rank `yaml:"ranks" json:"ranks"`
	// Tenants lists the callers that have their own limits or home zone.
	Tenants []Tenant `yaml:"tenants" json:"tenants"`
	// Services lists the targets of routes; names are unique.
	Services []Service `yaml:"services" json:"services"`
	// Routes maps calls to services; names are unique and no two routes match
	// the same method and path prefix.
	Routes []Route `yaml:"routes" json:"routes"`
}

// Rank is a priority class of calls.
type Rank struct {
	Name string `yaml:"name" json:"name"`
	// Floor is the minimum fraction of the slots granted at an endpoint that goes to
	// queued calls of this rank, however many more urgent calls arrive. Floors add
	// up to at most 0.5.
	Floor float64 `yaml:"floor" json:"floor"`
	// MaxQueue is the maximum number of calls of this rank queued at one endpoint;
	// at least 1.
	MaxQueue int `yaml:"maxQueue" json:"maxQueue"`
}

// Tenant is a caller with its own limits or home zone.
type Tenant struct {
	Name string `yaml:"name" json:"name"`
	// HomeZone is the zone that stores the tenant's idempotency records. If it is
	// empty, a hash of the key selects the zone.
	HomeZone string `yaml:"homeZone,omitempty" json:"homeZone,omitempty"`
	// Limits holds at most one entry per rank.
	Limits []Limit `yaml:"limits,omitempty" json:"limits,omitempty"`
}

// Limit is a token bucket for one tenant and rank. Each node enforces it separately
// on the tenant's calls that enter there.
type Limit struct {
	Rank string `yaml:"rank" json:"rank"`
	// CallsPerSecond is the sustained rate; it is above zero.
	CallsPerSecond float64 `yaml:"callsPerSecond" json:"callsPerSecond"`
	// Burst is the capacity of the bucket in calls; at least 1.
	Burst int `yaml:"burst" json:"burst"`
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// DependsOn names the services that this one calls. The dependencies are acyclic.
	DependsOn []string `yaml:"dependsOn,omitempty" json:"dependsOn,omitempty"`
	// EndpointPolicy limits each endpoint of the service.
	EndpointPolicy EndpointPolicy `yaml:"endpointPolicy" json:"endpointPolicy"`
}

// EndpointPolicy limits the load of one endpoint.
type EndpointPolicy struct {
	// MaxSlots limits the concurrent calls; an upstream's heartbeat may state a lower
	// limit.
	MaxSlots int `yaml:"maxSlots" json:"maxSlots"`
	// MaxConnections limits the connections to the upstream, and thereby the slots;
	// it is at least MaxSlots.
	MaxConnections int `yaml:"maxConnections" json:"maxConnections"`
	// WarmUp is how long the load of a newly started endpoint is ramped up.
	WarmUp decoder.Duration `yaml:"warmUp" json:"warmUp"`
}

// Route maps calls to a service and sets how they are served.
type Route struct {
	Name string `yaml:"name" json:"name"`
	// Method is an HTTP method, or "*" for any.
	Method string `yaml:"method" json:"method"`
	// PathPrefix begins with a slash; the longest matching prefix wins.
	PathPrefix string `yaml:"pathPrefix" json:"pathPrefix"`
	Service    string `yaml:"service" json:"service"`
	Rank       string `yaml:"rank" json:"rank"`
	// Idempotent calls may be retried; other calls are sent to an upstream once.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// RequireKey rejects calls without an Idempotency-Key header. It is valid only
	// if Idempotent is false.
	RequireKey bool `yaml:"requireKey,omitempty" json:"requireKey,omitempty"`
	// Deadline applies to calls whose caller set none, and limits longer ones.
	Deadline decoder.Duration `yaml:"deadline" json:"deadline"`
	// Retry limits the attempts that a node makes for a call.
	Retry RetryPolicy `yaml:"retry" json:"retry"`
}

// RetryPolicy limits the attempts that a node makes for the calls that enter there.
type RetryPolicy struct {
	// MaxAttempts is the maximum for one call and includes the first attempt; 1 to 5.
	MaxAttempts int `yaml:"maxAttempts" json:"maxAttempts"`
	// Budget is the maximum ratio of retries to calls of the route in the long run; 0 to
	// 0.5. Each node enforces it separately on the calls that enter there.
	Budget float64 `yaml:"budget" json:"budget"`
}

// Pointer identifies one version of the bundle by its number and digest.
type Pointer struct {
	// Version is assigned through the platform; zero means no version.
	Version int64 `json:"version"`
	// Digest is the lower-case hexadecimal SHA-256 of the canonical content.
	Digest string `json:"digest"`
}

// Envelope is a bundle as it is stored and sent between processes.
type Envelope struct {
	Pointer
	// Content is the canonical form of the bundle.
	Content []byte `json:"content"`
	// CreatedBy is the name of the operator who created the version.
	CreatedBy string `json:"createdBy"`
}

// SignOff is an operator's signature over a version and its digest.
type SignOff struct {
	Pointer
	// Operator is the name that the nodes' settings give to the public key.
	Operator string `json:"operator"`
	// Signature is the Ed25519 signature of signer.Message(Pointer).
	Signature []byte `json:"signature"`
}
