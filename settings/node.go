// Package settings reads and validates the YAML settings of a node, the process that
// deploy/system.toml runs. Decode, StructFaults and LineOf work on any settings struct and
// are also used by the packages under seats.
package settings

import (
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
)

// Default node settings.
const (
	DefaultGrace        = 6 * time.Second
	DefaultRemoteFactor = 1.5
	DefaultLogLevel     = "info"
)

// Node holds the settings of an entry or an agent. Addresses have the form "IP:port". The
// keys are used by the templates in deploy.
type Node struct {
	// Role is "entry" or "agent".
	Role peer.Role `yaml:"role" validate:"required,oneof=entry agent"`
	// Name is the unique name of the host.
	Name string `yaml:"name" validate:"required,max=64"`
	// Hall is the data hall of the host. Its key, zone, is the platform's term for a hall.
	Hall string `yaml:"zone" validate:"required,max=64"`
	// PeerAddr is the address on which the process accepts connections of other processes of
	// the system.
	PeerAddr string `yaml:"peers" validate:"required,tcp_addr"`
	// StoreAddr is the address of the platform's key-value store.
	StoreAddr string `yaml:"store" validate:"required,tcp_addr"`
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration `yaml:"grace" validate:"min=1s,max=30m"`
	// RemoteFactor is the factor by which a task takes longer outside the rack of its input data.
	RemoteFactor float64 `yaml:"far" validate:"min=1,max=100"`
	// LinkMbps is the bandwidth of the host's link in megabits per second. Zero means
	// unknown; the link is then assumed to be fast.
	LinkMbps float64 `yaml:"link_mbps" validate:"min=0"`
	// Descriptors is the limit of open file descriptors of the process. Zero means
	// unknown.
	Descriptors int `yaml:"descriptors" validate:"min=0"`
	// Contracts are the platform contracts in force.
	Contracts []string `yaml:"contracts" validate:"max=100"`
	// Goal is the goal of an entry, what its owner optimises: "worth" or "served". If empty, the
	// contracts determine it.
	Goal string `yaml:"term" validate:"omitempty,oneof=worth served"`
	// MetricsAddr is the address on which metrics are served. If empty, they are not served.
	MetricsAddr string `yaml:"metrics" validate:"omitempty,tcp_addr"`
	// LogLevel is the minimum log level: debug, info, warn or error.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error"`
	// CallerAddr is the address on which an entry accepts requests of callers.
	CallerAddr string `yaml:"callers" validate:"required_if=Role entry,omitempty,tcp_addr"`
	// ReadinessAddr is the address on which an entry accepts readiness checks of the load
	// balancer.
	ReadinessAddr string `yaml:"readiness" validate:"required_if=Role entry,omitempty,tcp_addr"`
	// HeartbeatAddr is the address on which an agent accepts heartbeats of its target.
	HeartbeatAddr string `yaml:"reports" validate:"required_if=Role agent,omitempty,tcp_addr"`
	// TargetAddr is the address of an agent's target. Its key, worker, is the platform's term
	// for a target.
	TargetAddr string `yaml:"worker" validate:"required_if=Role agent,omitempty,tcp_addr"`
}

// DefaultNode returns the default settings.
func DefaultNode() Node {
	return Node{Grace: DefaultGrace, RemoteFactor: DefaultRemoteFactor, LogLevel: DefaultLogLevel}
}

// LoadNode reads and validates the settings file at path. The error has type Faults if the
// content is invalid.
func LoadNode(path string) (Node, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Node{}, err
	}
	return ParseNode(raw)
}

// ParseNode decodes and validates node settings. The error lists all faults, sorted by
// line.
func ParseNode(raw []byte) (Node, error) {
	s := DefaultNode()
	root, err := Decode(raw, &s, reflect.TypeFor[Node]())
	if err != nil {
		return Node{}, err
	}
	faults := StructFaults(s, "", root)
	if len(faults) > 0 {
		slices.SortStableFunc(faults, func(a, b Fault) int { return a.Line - b.Line })
		return Node{}, faults
	}
	return s, nil
}
