// Package reader reads and checks the settings of a proxy that runs on the
// users' platform.
package reader

import (
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/input/collector"
	"github.com/tamarackscale/tamarackscale/internal/input/decoder"
)

// Settings is the file that a proxy reads at start and when it changes.
type Settings struct {
	Node     Node     `yaml:"node"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Upstream Upstream `yaml:"upstream"`
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool `yaml:"firstStart"`
	// Seeds are addresses of nodes that may be up; their ports are those of
	// Listen.Control.
	Seeds  []string `yaml:"seeds"`
	Bounds Bounds   `yaml:"bounds"`
}

// Node says who and where the process is.
type Node struct {
	ID               string `yaml:"id"`
	IP               string `yaml:"ip"`
	AvailabilityZone string `yaml:"availabilityZone"`
	// LinkRate is the rate of the VM's link in Mbit/s; 0 is unknown.
	LinkRate float64 `yaml:"linkRate"`
}

// Listen holds the node's addresses, each IP:port.
type Listen struct {
	// Callers takes calls of callers on this VM, and of the upstream.
	Callers string `yaml:"callers"`
	// Readiness answers whether the node takes calls.
	Readiness string `yaml:"readiness"`
	// Control takes what the upstream says of itself.
	Control string `yaml:"control"`
	// Metrics serves the metrics under /metrics; empty serves them nowhere.
	Metrics string `yaml:"metrics"`
	// Ports is the first and the last port for use between nodes.
	Ports []int `yaml:"ports"`
}

// Platform says where the store is.
type Platform struct {
	Address string `yaml:"address"`
}

// Upstream says what runs beside the node.
type Upstream struct {
	Service string `yaml:"service"`
	Address string `yaml:"address"`
}

// Bounds are what the product must keep to.
type Bounds struct {
	// DrainTime is how long a leaving upstream may get calls; 100ms to 1h.
	DrainTime decoder.Duration `yaml:"drainTime"`
	// Grace is how long a process may take to stop; 1s to 1h.
	Grace decoder.Duration `yaml:"grace"`
	// RepeatRatio and RepeatSlack bound the repeats of calls to one service in
	// any RepeatWindow, over all nodes: Ratio for each call, and Slack besides.
	RepeatRatio  float64          `yaml:"repeatRatio"`
	RepeatSlack  float64          `yaml:"repeatSlack"`
	RepeatWindow decoder.Duration `yaml:"repeatWindow"`
}

// Load reads a settings file. Its error is collector.Findings if the file could
// be read but not used.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse is Load for settings at hand.
func Parse(file string, data []byte) (*Settings, error) {
	var s Settings
	findings := decoder.Decode(file, data, &s)
	if findings.Err() == nil {
		check(&s, findings)
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

func check(s *Settings, c *collector.Collector) {
	if s.Node.ID == "" {
		c.Add("node.id", "is missing")
	}
	if s.Node.AvailabilityZone == "" {
		c.Add("node.availabilityZone", "is missing")
	}
	if _, err := netip.ParseAddr(s.Node.IP); err != nil {
		c.Add("node.ip", "%q is not an IP address", s.Node.IP)
	}
	if s.Node.LinkRate < 0 {
		c.Add("node.linkRate", "may not be below zero")
	}
	c.Address("listen.callers", s.Listen.Callers)
	c.Address("listen.readiness", s.Listen.Readiness)
	c.Address("listen.control", s.Listen.Control)
	if s.Listen.Metrics != "" {
		c.Address("listen.metrics", s.Listen.Metrics)
	}
	c.Address("platform.address", s.Platform.Address)
	if len(s.Listen.Ports) != 2 || s.Listen.Ports[0] <= 0 || s.Listen.Ports[1] < s.Listen.Ports[0] {
		c.Add("listen.ports", "must be the first and the last port, in this order")
	}
	checkBounds(c, s.Bounds)
}

// PeerAddress is where other nodes reach this one.
func (s *Settings) PeerAddress() string { return peerAddress(s.Node.IP, s.Listen.Ports[0]) }

// SeedAddresses are where the seeds take what nodes tell each other.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		parsed, err := netip.ParseAddrPort(seed)
		if err == nil && parsed.Addr().String() != s.Node.IP {
			addresses = append(addresses, peerAddress(parsed.Addr().String(), s.Listen.Ports[0]))
		}
	}
	return addresses
}

func peerAddress(ip string, port int) string {
	return ip + ":" + strconv.Itoa(port)
}

func checkBounds(c *collector.Collector, b Bounds) {
	c.Range("bounds.drainTime", b.DrainTime.Std(), 100*time.Millisecond, time.Hour)
	c.Range("bounds.grace", b.Grace.Std(), time.Second, time.Hour)
	c.Range("bounds.repeatWindow", b.RepeatWindow.Std(), time.Second, time.Hour)
	if b.RepeatRatio < 0 || b.RepeatSlack < 0 {
		c.Add("bounds.repeatRatio", "the ratio and the slack of repeats may not be below zero")
	}
}
