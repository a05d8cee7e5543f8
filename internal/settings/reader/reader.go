// Package reader reads and validates the settings file of a proxy that runs on the users'
// platform.
package reader

import (
	"math"
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/input/collector"
	"github.com/tamarackscale/tamarackscale/internal/input/decoder"
)

// Settings is the content of the file that a proxy reads when it starts and when the file
// changes.
type Settings struct {
	Node     Node     `yaml:"node"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Upstream Upstream `yaml:"upstream"`
	// FirstStart reports whether the whole system starts for the first time. The node then
	// waits longer for other nodes before it requests the configuration from the store.
	FirstStart bool `yaml:"firstStart"`
	// Seeds are the addresses of nodes that may be running, with the ports of their
	// Listen.Control, each IP:port. Invalid ones are ignored.
	Seeds  []string `yaml:"seeds"`
	Bounds Bounds   `yaml:"bounds"`
	Limits Limits   `yaml:"limits"`
	// Quotas, Rollouts and Hedging switch their features on; nil if they are off.
	Quotas   *Quotas   `yaml:"quotas"`
	Rollouts *Rollouts `yaml:"rollouts"`
	Hedging  *Hedging  `yaml:"hedging"`
}

// Node identifies the node. ID, IP and AvailabilityZone are required.
type Node struct {
	ID               string `yaml:"id"`
	IP               string `yaml:"ip"`
	AvailabilityZone string `yaml:"availabilityZone"`
	// LinkRate is the rate of the VM's network link in Mbit/s; 0 if unknown.
	LinkRate float64 `yaml:"linkRate"`
}

// Listen holds the addresses that the node listens on, each IP:port.
type Listen struct {
	// Callers is for calls from callers on this VM and from the upstream.
	Callers string `yaml:"callers"`
	// Readiness is for readiness checks, which ask whether the node takes calls.
	Readiness string `yaml:"readiness"`
	// Control is for the upstream's heartbeats and deregistrations.
	Control string `yaml:"control"`
	// Metrics is for the metrics, under /metrics; if empty, they are not served.
	Metrics string `yaml:"metrics"`
	// Ports is the first and the last port for traffic between nodes.
	Ports []int `yaml:"ports"`
}

// Platform configures the client of the platform's store.
type Platform struct {
	// Address is IP:port.
	Address string `yaml:"address"`
}

// Upstream describes the local upstream.
type Upstream struct {
	Service string `yaml:"service"`
	Address string `yaml:"address"`
}

// Bounds are the time limits and the retry limits that the proxy must keep.
type Bounds struct {
	// DrainTime is how long a draining upstream may still get calls; 100ms to 1h.
	DrainTime decoder.Duration `yaml:"drainTime"`
	// Grace is how long a process may take to stop; 1s to 1h.
	Grace decoder.Duration `yaml:"grace"`
	// RetryRatio and RetrySlack limit the retries of calls to one service in any period
	// of RetryWindow, over all nodes: RetryRatio is the number of retries allowed per
	// call, RetrySlack the number allowed regardless of the number of calls. The window
	// is 1s to 1h.
	RetryRatio  float64          `yaml:"repeatRatio"`
	RetrySlack  float64          `yaml:"repeatSlack"`
	RetryWindow decoder.Duration `yaml:"repeatWindow"`
}

// Limits are the resources of the VM that the process may use.
type Limits struct {
	// Memory is in megabytes; 0 if unknown, see MemoryOrDefault.
	Memory int `yaml:"memory"`
	// Descriptors is the number of open file descriptors; 0 means the limit of the process.
	Descriptors int `yaml:"descriptors"`
}

// MemoryOrDefault returns the memory in megabytes, that of the smallest VM if it is unknown.
func (l Limits) MemoryOrDefault() int {
	if l.Memory == 0 {
		return defaultMemory
	}
	return l.Memory
}

// defaultMemory is the memory of the smallest VM in megabytes.
const defaultMemory = 184

// Quotas bounds by how much the calls of a client account may exceed its quota in any period of
// WindowSeconds, over all nodes: by the fraction Excess of the quota, and by Slack calls. A section
// whose values are all null or 0 counts as absent.
type Quotas struct {
	// WindowSeconds is 1 to 3600.
	WindowSeconds float64 `yaml:"windowSeconds"`
	Excess        float64 `yaml:"excess"`
	Slack         float64 `yaml:"slack"`
}

// Window returns the period.
func (q *Quotas) Window() time.Duration { return secondsOf(q.WindowSeconds) }

// Rollouts bounds what a faulty version of a service may receive while it is rolled out. A section
// whose values are all null or 0 counts as absent.
type Rollouts struct {
	// ExposureShare is the fraction of the service's calls during the rollout that may go to the
	// version, above 0 and at most 1; ExposureSlack is a number of calls beyond that.
	ExposureShare float64 `yaml:"exposureShare"`
	ExposureSlack float64 `yaml:"exposureSlack"`
	// RollbackSeconds is the time from the failures that show the fault until no call may go to the
	// version; 0.1 to 3600.
	RollbackSeconds float64 `yaml:"rollbackSeconds"`
}

// secondsOf converts seconds, at most a day: what a conversion makes of a number that overflows differs
// between processors.
func secondsOf(seconds float64) time.Duration {
	return time.Duration(min(seconds, 86_400) * float64(time.Second))
}

// Hedging bounds the additional calls that hedging makes.
type Hedging struct {
	// ExtraWork is the fraction of a service's calls that hedges may add; 0 to 1.
	ExtraWork float64 `yaml:"extraWork"`
}

// Load reads and validates a settings file. If the file can be read but its content is
// invalid, the error is a collector.Findings with all findings.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse decodes and validates the content of a settings file. Findings name it by file.
// The error is a collector.Findings.
func Parse(file string, data []byte) (*Settings, error) {
	var s Settings
	findings := decoder.Decode(file, data, &s)
	s.dropEmptySections()
	if findings.Err() == nil {
		check(&s, findings)
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// dropEmptySections removes the sections whose values are all null or 0, as a template leaves them for a
// deployment that does not set them.
func (s *Settings) dropEmptySections() {
	if s.Quotas != nil && *s.Quotas == (Quotas{}) {
		s.Quotas = nil
	}
	if s.Rollouts != nil && *s.Rollouts == (Rollouts{}) {
		s.Rollouts = nil
	}
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
	if !isNonNegative(s.Node.LinkRate) {
		c.Add("node.linkRate", "must be a number that is not negative")
	}
	c.Address("listen.callers", s.Listen.Callers)
	c.Address("listen.readiness", s.Listen.Readiness)
	c.Address("listen.control", s.Listen.Control)
	if s.Listen.Metrics != "" {
		c.Address("listen.metrics", s.Listen.Metrics)
	}
	c.Address("platform.address", s.Platform.Address)
	checkPorts(c, s.Listen.Ports)
	checkBounds(c, s.Bounds)
	checkLimits(c, s.Limits)
	checkQuotas(c, s.Quotas)
	checkRollouts(c, s.Rollouts)
	checkHedging(c, s.Hedging)
}

func checkPorts(c *collector.Collector, ports []int) {
	if len(ports) != 2 || ports[0] <= 0 || ports[1] < ports[0] {
		c.Add("listen.ports", "must be the first and the last port, in this order")
		return
	}
	if ports[1] > math.MaxUint16 {
		c.Add("listen.ports", "%d is not a port", ports[1])
	}
}

// isNonNegative is false for NaN too, which passes any comparison for being out of range.
func isNonNegative(x float64) bool { return x >= 0 }

// PeerAddress returns the address, IP:port, at which other nodes reach this node. Its port
// is the first of Listen.Ports.
func (s *Settings) PeerAddress() string { return peerAddress(s.Node.IP, s.Listen.Ports[0]) }

// SeedAddresses returns the peer addresses, IP:port, of the seeds without this node. Their
// port is the first of this node's Listen.Ports, so that port must be the same on all
// nodes. Seeds that are not IP:port are left out.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	own := s.PeerAddress()
	for _, seed := range s.Seeds {
		parsed, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue
		}
		if address := peerAddress(parsed.Addr().String(), s.Listen.Ports[0]); address != own {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// peerAddress returns an address in its canonical form, since nodes compare addresses as text.
func peerAddress(ip string, port int) string {
	if parsed, err := netip.ParseAddr(ip); err == nil {
		ip = parsed.String()
	}
	return net.JoinHostPort(ip, strconv.Itoa(port))
}

func checkBounds(c *collector.Collector, b Bounds) {
	c.Range("bounds.drainTime", b.DrainTime.Std(), 100*time.Millisecond, time.Hour)
	c.Range("bounds.grace", b.Grace.Std(), time.Second, time.Hour)
	c.Range("bounds.repeatWindow", b.RetryWindow.Std(), time.Second, time.Hour)
	if !isNonNegative(b.RetryRatio) || !isNonNegative(b.RetrySlack) {
		c.Add("bounds.repeatRatio", "repeatRatio and repeatSlack must be numbers that are not negative")
	}
}

func checkLimits(c *collector.Collector, l Limits) {
	if l.Memory < 0 {
		c.Add("limits.memory", "must not be negative")
	}
	if l.Descriptors < 0 {
		c.Add("limits.descriptors", "must not be negative")
	}
}

func checkQuotas(c *collector.Collector, q *Quotas) {
	if q == nil {
		return
	}
	c.Range("quotas.windowSeconds", q.Window(), time.Second, time.Hour)
	if !isNonNegative(q.Excess) || !isNonNegative(q.Slack) {
		c.Add("quotas.excess", "excess and slack must be numbers that are not negative")
	}
}

func checkRollouts(c *collector.Collector, r *Rollouts) {
	if r == nil {
		return
	}
	if !isFraction(r.ExposureShare) || r.ExposureShare == 0 {
		c.Add("rollouts.exposureShare", "must be above 0 and at most 1")
	}
	if !isNonNegative(r.ExposureSlack) {
		c.Add("rollouts.exposureSlack", "must be a number that is not negative")
	}
	c.Range("rollouts.rollbackSeconds", secondsOf(r.RollbackSeconds), 100*time.Millisecond, time.Hour)
}

func checkHedging(c *collector.Collector, h *Hedging) {
	if h != nil && !isFraction(h.ExtraWork) {
		c.Add("hedging.extraWork", "must be a number from 0 to 1")
	}
}

// isFraction is false for NaN too.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }
