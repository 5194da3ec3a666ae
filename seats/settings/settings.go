// Package settings reads the YAML settings of one process and checks them.
package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"reflect"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/beaconpoint/beaconpoint/seats/wire"
	"github.com/beaconpoint/beaconpoint/settings"
)

// Defaults of the settings.
const (
	DefaultLease     = 3 * time.Second
	DefaultQueue     = 0
	DefaultOutputMB  = 16
	DefaultDrainTime = 60 * time.Second
	DefaultSkew      = 2 * time.Second
)

// Settings are what one process reads at its start. Addresses are "IP:port".
type Settings struct {
	// Role is "entry" or "agent".
	Role wire.Role `yaml:"role" validate:"required,oneof=entry agent"`
	// Name is the process's name, unique in its region.
	Name string `yaml:"name" validate:"required,max=64,hostname_rfc1123"`
	// Region and Hall say where the process runs.
	Region string `yaml:"region" validate:"required,max=64,hostname_rfc1123"`
	Hall   string `yaml:"hall" validate:"required,max=64,hostname_rfc1123"`
	// Peers is where other processes of the system reach this one.
	Peers string `yaml:"peers" validate:"required,tcp_addr"`
	// Lease is how long a confirmation holds; all processes of a region must
	// agree on it.
	Lease time.Duration `yaml:"lease" validate:"min=500ms,max=60s"`
	// Skew is how far the calendars of two hosts may differ.
	Skew time.Duration `yaml:"skew" validate:"min=0,max=60s"`
	// DrainTime bounds a planned stop.
	DrainTime time.Duration `yaml:"drain_time" validate:"min=1s,max=30m"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error"`
	// Entry holds the settings of an entry.
	Entry Entry `yaml:"entry" validate:"-"`
	// Agent holds the settings of an agent.
	Agent Agent `yaml:"agent" validate:"-"`
}

// Entry is the part of an entry.
type Entry struct {
	// Callers is the address of the callers' HTTP.
	Callers string `yaml:"callers" validate:"required,tcp_addr"`
	// Operators is the address of the operators' HTTP.
	Operators string `yaml:"operators" validate:"required,tcp_addr,nefield=Callers"`
	// Platform is the base URL of the platform's services.
	Platform string `yaml:"platform" validate:"required,http_url"`
	// Tokens is the file with the operators' bearer tokens.
	Tokens string `yaml:"tokens" validate:"required"`
	// AnswerMB bounds the answers that are held, in MB.
	AnswerMB int `yaml:"answer_mb" validate:"min=1,max=4096"`
}

// Agent is the part of an agent.
type Agent struct {
	// Target is the base URL of the target beside the agent.
	Target string `yaml:"target" validate:"required,http_url"`
	// Queue is how many accepted tasks may wait for a slot.
	Queue int `yaml:"queue" validate:"min=0,max=4096"`
	// OutputMB bounds the outputs that are held, in MB.
	OutputMB int `yaml:"output_mb" validate:"min=1,max=4096"`
}

// Default returns the settings that a file starts from.
func Default() Settings {
	return Settings{
		Lease:     DefaultLease,
		Skew:      DefaultSkew,
		DrainTime: DefaultDrainTime,
		LogLevel:  settings.DefaultLogLevel,
		Entry:     Entry{AnswerMB: DefaultOutputMB},
		Agent:     Agent{Queue: DefaultQueue, OutputMB: DefaultOutputMB},
	}
}

// Load reads and checks the file at path. The error is of type Faults where
// the file's content is at fault.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Settings{}, fmt.Errorf("there is no settings file %s", path)
	}
	if err != nil {
		return Settings{}, err
	}
	return Parse(raw)
}

// Parse reads and checks settings. The error is of type settings.Faults and holds
// every fault, with its line.
func Parse(raw []byte) (Settings, error) {
	s := Default()
	root, err := settings.Decode(raw, &s,
		reflect.TypeFor[Settings](), reflect.TypeFor[Entry](), reflect.TypeFor[Agent](), reflect.TypeFor[settings.Node]())
	if err != nil {
		return Settings{}, err
	}
	if faults := check(s, root); len(faults) > 0 {
		return Settings{}, faults
	}
	return s, nil
}

// check validates the settings and the part of their role.
func check(s Settings, root *yaml.Node) settings.Faults {
	faults := settings.StructFaults(s, "", root)
	switch s.Role {
	case wire.RoleEntry:
		faults = append(faults, settings.StructFaults(s.Entry, "entry", root)...)
		faults = append(faults, foreignPart("agent", s.Role, root)...)
	case wire.RoleAgent:
		faults = append(faults, settings.StructFaults(s.Agent, "agent", root)...)
		faults = append(faults, foreignPart("entry", s.Role, root)...)
	}
	slices.SortStableFunc(faults, func(a, b settings.Fault) int { return a.Line - b.Line })
	return faults
}

// foreignPart reports settings of the other role, which would have no effect.
func foreignPart(key string, role wire.Role, root *yaml.Node) settings.Faults {
	if line := settings.LineOf(root, key); line > 0 {
		return settings.Faults{{Line: line, Text: fmt.Sprintf("%q has no meaning for the role %q", key, role)}}
	}
	return nil
}
