// Package logger writes logs as JSON lines. Each subsystem has a logger and a level of
// its own.
package logger

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Subsystem is a part of a node that has a log level of its own.
type Subsystem string

// The subsystems, under their names in settings and in the field "subsystem" of a line.
// Kernel is the start and the stop of the node.
const (
	Admission Subsystem = "admission"
	Claims    Subsystem = "claims"
	Gossip    Subsystem = "gossip"
	Kernel    Subsystem = "kernel"
	Platform  Subsystem = "platform"
	Relay     Subsystem = "relay"
	Rollout   Subsystem = "rollout"
	Routing   Subsystem = "routing"
	Upstream  Subsystem = "upstream"
)

// Subsystems lists all subsystems, in the order in which error messages list them.
var Subsystems = []Subsystem{Admission, Claims, Gossip, Kernel, Platform, Relay, Rollout, Routing, Upstream}

// Config is the configuration of a node's loggers.
type Config struct {
	// Level is the logrus level name of the subsystems that have no entry in Levels.
	Level string
	// Levels overrides Level by subsystem.
	Levels map[Subsystem]string
	// NodeID and Zone are fields of every line.
	NodeID string
	Zone   string
}

// Loggers creates the loggers of the subsystems.
type Loggers struct {
	config Config
	output io.Writer
}

// New returns the loggers of one process, which all write to output.
func New(config Config, output io.Writer) *Loggers {
	return &Loggers{config: config, output: output}
}

// For returns a logger for a subsystem. An unknown level name means info, since the
// settings loader has already rejected such names.
func (l *Loggers) For(s Subsystem) *logrus.Entry {
	level, err := logrus.ParseLevel(l.levelOf(s))
	if err != nil {
		level = logrus.InfoLevel
	}
	base := logrus.New()
	base.SetOutput(l.output)
	base.SetLevel(level)
	base.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return base.WithFields(logrus.Fields{
		"subsystem": string(s), "node": l.config.NodeID, "zone": l.config.Zone,
	})
}

func (l *Loggers) levelOf(s Subsystem) string {
	if level, found := l.config.Levels[s]; found {
		return level
	}
	return l.config.Level
}
