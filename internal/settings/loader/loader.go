// Package loader reads and checks the settings of a node.
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

// Settings is the file that a node reads at start.
type Settings struct {
	Node   Node   `yaml:"node"`
	Listen Listen `yaml:"listen"`
	// Seeds are control addresses of nodes to join through, in any zone. A node
	// may list itself.
	Seeds    []string `yaml:"seeds"`
	Platform Platform `yaml:"platform"`
	// Operators lists whose sign-off counts; at least one.
	Operators   []Operator  `yaml:"operators"`
	Logs        Logs        `yaml:"logs"`
	Idempotency Idempotency `yaml:"idempotency"`
	Shutdown    Shutdown    `yaml:"shutdown"`
}

// Node says who and where the process is.
type Node struct {
	// ID is unique in the deployment.
	ID               string `yaml:"id"`
	AvailabilityZone string `yaml:"availabilityZone"`
}

// Listen holds the node's addresses, each IP:port.
type Listen struct {
	// Callers takes calls from callers.
	Callers string `yaml:"callers"`
	// Peers takes calls that other nodes forward.
	Peers string `yaml:"peers"`
	// Control takes net/rpc from other nodes.
	Control string `yaml:"control"`
	// Admin serves metrics, health and the upstream's announcements.
	Admin string `yaml:"admin"`
}

// Platform says where the key-value service is.
type Platform struct {
	// Address is IP:port.
	Address string `yaml:"address"`
	// Timeout bounds one call; 10ms to 1m.
	Timeout decoder.Duration `yaml:"timeout"`
}

// Operator is a signer whom the node trusts.
type Operator struct {
	Name string `yaml:"name"`
	// PublicKey is a base64 Ed25519 key, as `tamarackscale key new` prints it.
	PublicKey string `yaml:"publicKey"`
}

// Logs says how much is logged.
type Logs struct {
	Level string `yaml:"level"`
	// Subsystems overrides Level by subsystem.
	Subsystems map[string]string `yaml:"subsystems"`
}

// Idempotency says how long keys are remembered. It must be equal on all nodes.
type Idempotency struct {
	// Window is how long a repeat of a key is recognised; 10s to 1h.
	Window decoder.Duration `yaml:"window"`
}

// Shutdown bounds a planned stop.
type Shutdown struct {
	// Grace is how long calls in flight may take to finish; 1s to 10m.
	Grace decoder.Duration `yaml:"grace"`
}

// Defaults returns the settings that hold where a file says nothing.
func Defaults() Settings {
	return Settings{
		Platform:    Platform{Timeout: decoder.Duration(2 * time.Second)},
		Logs:        Logs{Level: "info"},
		Idempotency: Idempotency{Window: decoder.Duration(5 * time.Minute)},
		Shutdown:    Shutdown{Grace: decoder.Duration(30 * time.Second)},
	}
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
}

func checkID(c *collector.Collector, key, id string) {
	if !idPattern.MatchString(id) {
		c.Add(key, "%q is not an identifier: letters, digits and hyphens, at most 63", id)
	}
}

func checkListen(c *collector.Collector, l Listen) {
	taken := map[string]string{}
	for _, entry := range []struct{ key, address string }{
		{"listen.callers", l.Callers},
		{"listen.peers", l.Peers},
		{"listen.control", l.Control},
		{"listen.admin", l.Admin},
	} {
		c.Address(entry.key, entry.address)
		if earlier, seen := taken[entry.address]; seen && entry.address != "" {
			c.Add(entry.key, "%s is used by %s already", entry.address, earlier)
		}
		taken[entry.address] = entry.key
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
		c.Add("operators", "at least one operator's public key is needed")
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

// PublicKeys returns the trusted keys of checked settings.
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
