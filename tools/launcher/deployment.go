// Package launcher starts a deployment on loopback as separate processes, for examples,
// measurements and tests: the stand-in of the platform, and an upstream and a node for
// each endpoint. It stops only processes that it started.
package launcher

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/tamarackscale/tamarackscale/internal/input/decoder"
	"github.com/tamarackscale/tamarackscale/internal/settings/loader"
	"github.com/tamarackscale/tamarackscale/standin/caller"
)

// Deployment is the content of a deployment file.
type Deployment struct {
	Name              string          `yaml:"name"`
	AvailabilityZones []string        `yaml:"availabilityZones"`
	Services          []Service       `yaml:"services"`
	Streams           []caller.Stream `yaml:"streams"`
}

// Service is a service and the properties of each of its upstreams.
type Service struct {
	Name      string `yaml:"name"`
	Endpoints int    `yaml:"endpoints"`
	// Slots is the number of calls that an upstream runs at once, Connections the number
	// of connections that it accepts.
	Slots       int `yaml:"slots"`
	Connections int `yaml:"connections"`
	// Work is the mean service time of a call.
	Work time.Duration `yaml:"work"`
	// BodyBytes is the size of an answer's body.
	BodyBytes int `yaml:"bodyBytes"`
}

// Endpoint is one VM: a node and its upstream.
type Endpoint struct {
	Service         Service
	UpstreamAddress string
	// Settings are those of the node.
	Settings loader.Settings
}

// LoadDeployment reads a deployment file. It returns an error if the file can't be read
// or is not a valid deployment.
func LoadDeployment(path string) (*Deployment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	deployment := &Deployment{}
	return deployment, decoder.Decode(path, data, deployment).Err()
}

const (
	host = "127.0.0.1"
	// portsPerEndpoint is the number of consecutive ports that an endpoint uses.
	portsPerEndpoint = 5
	seedsPerZone     = 2
)

// Endpoints assigns the endpoints of the services to the availability zones in turn, and
// to ports from base upwards. Platform is the address of the platform.
func (d *Deployment) Endpoints(platform string, operators []loader.Operator, base int) []Endpoint {
	var endpoints []Endpoint
	port := base
	for s, service := range d.Services {
		for i := range service.Endpoints {
			// Offset the first zone of each service, so that services with few
			// endpoints don't all use the first zones.
			zone := d.AvailabilityZones[(i+s)%len(d.AvailabilityZones)]
			address := func(offset int) string { return fmt.Sprintf("%s:%d", host, port+offset) }
			settings := loader.Defaults()
			settings.Node = loader.Node{ID: fmt.Sprintf("%s-%d", service.Name, i+1), AvailabilityZone: zone}
			settings.Listen = loader.Listen{Callers: address(0), Peers: address(1), Control: address(2), Admin: address(3)}
			settings.Platform.Address = platform
			settings.Operators = operators
			endpoints = append(endpoints, Endpoint{Service: service, UpstreamAddress: address(4), Settings: settings})
			port += portsPerEndpoint
		}
	}
	seeds := d.seeds(endpoints)
	for i := range endpoints {
		endpoints[i].Settings.Seeds = seeds
	}
	return endpoints
}

// seeds returns the control addresses of the first seedsPerZone endpoints of each zone.
func (d *Deployment) seeds(endpoints []Endpoint) []string {
	var seeds []string
	count := map[string]int{}
	for _, endpoint := range endpoints {
		zone := endpoint.Settings.Node.AvailabilityZone
		if count[zone] < seedsPerZone {
			count[zone]++
			seeds = append(seeds, endpoint.Settings.Listen.Control)
		}
	}
	return seeds
}

// writeSettings writes the settings file of an endpoint's node and returns its path.
func writeSettings(folder string, endpoint Endpoint) (string, error) {
	data, err := yaml.Marshal(endpoint.Settings)
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, endpoint.Settings.Node.ID+".yaml")
	return path, os.WriteFile(path, data, 0o600)
}
