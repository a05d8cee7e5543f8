// Package loader reads and validates the settings file of a node.
package loader

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/tamarackscale/tamarackscale/internal/bundle/signer"
	"github.com/tamarackscale/tamarackscale/internal/input/collector"
	"github.com/tamarackscale/tamarackscale/internal/input/decoder"
	"github.com/tamarackscale/tamarackscale/internal/observe/logger"
)

// Settings is the content of the file that a node reads when it starts.
type Settings struct {
	Node   Node   `yaml:"node"`
	Listen Listen `yaml:"listen"`
	// Seeds are the control addresses, IP:port, of nodes through which the node joins the
	// deployment. They may be in any availability zone and may include the node itself.
	Seeds    []string `yaml:"seeds"`
	Platform Platform `yaml:"platform"`
	// Operators are the operators whose sign-off the node accepts. At least one is
	// required.
	Operators   []Operator  `yaml:"operators"`
	Logs        Logs        `yaml:"logs"`
	Idempotency Idempotency `yaml:"idempotency"`
	Shutdown    Shutdown    `yaml:"shutdown"`
	Limits      Limits      `yaml:"limits"`
}

// Limits are the resources of the VM that the process may use.
type Limits struct {
	// Memory is in megabytes; 0 if unknown.
	Memory int `yaml:"memory"`
	// Descriptors is the number of open file descriptors; 0 means the limit of the process.
	Descriptors int `yaml:"descriptors"`
}

// Node identifies the node.
type Node struct {
	// ID is unique in the deployment. Like the availability zone, it has letters, digits
	// and hyphens, at most 63, and does not start with a hyphen.
	ID               string `yaml:"id"`
	AvailabilityZone string `yaml:"availabilityZone"`
}

// Listen holds the addresses that the node listens on, each IP:port and different from
// the others.
type Listen struct {
	// Callers is for calls from callers.
	Callers string `yaml:"callers"`
	// Peers is for calls that other nodes forward.
	Peers string `yaml:"peers"`
	// Control is for net/rpc requests from other nodes.
	Control string `yaml:"control"`
	// Admin is for metrics, health checks and the heartbeats in which the upstream
	// states its address, service, slots and state.
	Admin string `yaml:"admin"`
}

// Platform configures the client of the platform's key-value service.
type Platform struct {
	// Address is IP:port.
	Address string `yaml:"address"`
	// Timeout is the timeout of one call; 10ms to 1m.
	Timeout decoder.Duration `yaml:"timeout"`
}

// Operator is an operator whose sign-off the node accepts.
type Operator struct {
	Name string `yaml:"name"`
	// PublicKey is an Ed25519 public key in base64, as printed by `tamarackscale key new`.
	PublicKey string `yaml:"publicKey"`
}

// Logs configures the log.
type Logs struct {
	// Level is a logrus level name.
	Level string `yaml:"level"`
	// Subsystems overrides Level by subsystem; the keys are names from logger.Subsystems.
	Subsystems map[string]string `yaml:"subsystems"`
}

// Idempotency configures the retention of idempotency keys. It must be the same on all
// nodes.
type Idempotency struct {
	// Window is how long a retry with the same key is recognised; 10s to 1h.
	Window decoder.Duration `yaml:"window"`
}

// Shutdown configures the shutdown of the node.
type Shutdown struct {
	// Grace is how long the node waits for calls in flight; 1s to 10m.
	Grace decoder.Duration `yaml:"grace"`
}

// Defaults returns the values of settings that a file does not specify.
func Defaults() Settings {
	return Settings{
		Platform:    Platform{Timeout: decoder.Duration(2 * time.Second)},
		Logs:        Logs{Level: "info"},
		Idempotency: Idempotency{Window: decoder.Duration(5 * time.Minute)},
		Shutdown:    Shutdown{Grace: decoder.Duration(30 * time.Second)},
	}
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
	settings := Defaults()
	findings := decoder.Decode(file, data, &settings)
	if findings.Err() == nil {
		check(&settings, findings)
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return &settings, nil
}

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9-]{0,62}$`)

func check(s *Settings, c *collector.Collector) {
	checkID(c, "node.id", s.Node.ID)
	checkID(c, "node.availabilityZone", s.Node.AvailabilityZone)
	checkListen(c, s.Listen)
	checkSeeds(c, s.Seeds)
	c.Address("platform.address", s.Platform.Address)
	c.Range("platform.timeout", s.Platform.Timeout.Std(), 10*time.Millisecond, time.Minute)
	c.Range("idempotency.window", s.Idempotency.Window.Std(), 10*time.Second, time.Hour)
	c.Range("shutdown.grace", s.Shutdown.Grace.Std(), time.Second, 10*time.Minute)
	checkOperators(c, s.Operators)
	checkLogs(c, s.Logs)
	if s.Limits.Memory < 0 {
		c.Add("limits.memory", "must not be negative")
	}
	if s.Limits.Descriptors < 0 {
		c.Add("limits.descriptors", "must not be negative")
	}
}

func checkID(c *collector.Collector, key, id string) {
	if !idPattern.MatchString(id) {
		c.Add(key, "%q is not an identifier: letters, digits and hyphens, at most 63", id)
	}
}

func checkListen(c *collector.Collector, l Listen) {
	usedBy := map[string]string{}
	for _, entry := range []struct{ key, address string }{
		{"listen.callers", l.Callers},
		{"listen.peers", l.Peers},
		{"listen.control", l.Control},
		{"listen.admin", l.Admin},
	} {
		c.Address(entry.key, entry.address)
		if earlier, seen := usedBy[entry.address]; seen && entry.address != "" {
			c.Add(entry.key, "%s is used by %s already", entry.address, earlier)
		}
		usedBy[entry.address] = entry.key
	}
}

func checkSeeds(c *collector.Collector, seeds []string) {
	seen := map[string]bool{}
	for i, seed := range seeds {
		key := fmt.Sprintf("seeds[%d]", i)
		c.Address(key, seed)
		if seen[seed] {
			c.Add(key, "%s is listed twice", seed)
		}
		seen[seed] = true
	}
}

func checkOperators(c *collector.Collector, operators []Operator) {
	if len(operators) == 0 {
		c.Add("operators", "at least one operator with a public key is required")
	}
	seen := map[string]bool{}
	for i, operator := range operators {
		key := fmt.Sprintf("operators[%d]", i)
		checkID(c, key+".name", operator.Name)
		if seen[operator.Name] {
			c.Add(key+".name", "%q is listed twice", operator.Name)
		}
		seen[operator.Name] = true
		if _, err := signer.DecodePublic(operator.PublicKey); err != nil {
			c.Add(key+".publicKey", "%s", err)
		}
	}
}

func checkLogs(c *collector.Collector, logs Logs) {
	if _, err := logrus.ParseLevel(logs.Level); err != nil {
		c.Add("logs.level", "%q is not a log level", logs.Level)
	}
	for name, level := range logs.Subsystems {
		key := "logs.subsystems." + name
		if !slices.Contains(logger.Subsystems, logger.Subsystem(name)) {
			c.Add(key, "there is no subsystem %q; there are %v", name, logger.Subsystems)
		}
		if _, err := logrus.ParseLevel(level); err != nil {
			c.Add(key, "%q is not a log level", level)
		}
	}
}

// PublicKeys returns the public keys of the operators by name. The settings must be valid:
// keys that can't be decoded are left out.
func (s *Settings) PublicKeys() signer.PublicKeys {
	keys := signer.PublicKeys{}
	for _, operator := range s.Operators {
		key, err := signer.DecodePublic(operator.PublicKey)
		if err == nil {
			keys[operator.Name] = key
		}
	}
	return keys
}

// LogConfig returns the configuration of the node's loggers.
func (s *Settings) LogConfig() logger.Config {
	levels := map[logger.Subsystem]string{}
	for name, level := range s.Logs.Subsystems {
		levels[logger.Subsystem(name)] = level
	}
	return logger.Config{
		Level: s.Logs.Level, Levels: levels, NodeID: s.Node.ID, Zone: s.Node.AvailabilityZone,
	}
}
