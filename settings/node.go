// Package settings reads and checks the YAML settings of a node, the process that
// the deploy file runs. Decode, StructFaults and LineOf carry no key of their own:
// the settings of package seats are checked by them too.
package settings

import (
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
)

// Defaults of a node's settings.
const (
	DefaultGrace    = 6 * time.Second
	DefaultFar      = 1.5
	DefaultLogLevel = "info"
)

// Node are the settings of a node: an entry or an agent. Addresses are "IP:port". The
// keys are those of the deploy templates; two of them carry the platform's word.
type Node struct {
	// Role is "entry" or "agent".
	Role peer.Role `yaml:"role" validate:"required,oneof=entry agent"`
	// Name is the host's name, unique in the system.
	Name string `yaml:"name" validate:"required,max=64"`
	// Hall is the data hall in which the host stands; the key is the platform's word.
	Hall string `yaml:"zone" validate:"required,max=64"`
	// Peers is where other processes of the system reach this one.
	Peers string `yaml:"peers" validate:"required,tcp_addr"`
	// Store is the platform's key-value store.
	Store string `yaml:"store" validate:"required,tcp_addr"`
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration `yaml:"grace" validate:"min=1s,max=30m"`
	// Far is how many times as long a task takes away from its data.
	Far float64 `yaml:"far" validate:"min=1,max=100"`
	// LinkMbps is the rate of the host's link, in megabits a second; zero: not known, and
	// taken to be fast.
	LinkMbps float64 `yaml:"link_mbps" validate:"min=0"`
	// Descriptors is how many files and connections the process may have open; zero: not known.
	Descriptors int `yaml:"descriptors" validate:"min=0"`
	// Contracts are the parts of the platform's rules that are in force; Term says what counts
	// most for the callers where they do not: "worth" or "served".
	Contracts []string `yaml:"contracts" validate:"max=100"`
	Term      string   `yaml:"term" validate:"omitempty,oneof=worth served"`
	// Metrics is where counters are served, empty for nowhere.
	Metrics string `yaml:"metrics" validate:"omitempty,tcp_addr"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error"`
	// Callers is an entry's address for callers, Readiness the one at which the
	// balancer asks whether it takes requests.
	Callers   string `yaml:"callers" validate:"required_if=Role entry,omitempty,tcp_addr"`
	Readiness string `yaml:"readiness" validate:"required_if=Role entry,omitempty,tcp_addr"`
	// Reports is an agent's address for its target's heartbeats, Target the target's
	// own; its key is the platform's word.
	Reports string `yaml:"reports" validate:"required_if=Role agent,omitempty,tcp_addr"`
	Target  string `yaml:"worker" validate:"required_if=Role agent,omitempty,tcp_addr"`
}

// DefaultNode returns the settings that a node's file starts from.
func DefaultNode() Node {
	return Node{Grace: DefaultGrace, Far: DefaultFar, LogLevel: DefaultLogLevel}
}

// LoadNode reads and checks the node's settings at path. The error is of type
// Faults where the file's content is at fault.
func LoadNode(path string) (Node, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Node{}, err
	}
	return ParseNode(raw)
}

// ParseNode reads and checks a node's settings. The error holds every fault,
// with its line.
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
