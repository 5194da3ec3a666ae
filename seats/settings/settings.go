// Package settings reads and validates the YAML settings of an entry or agent.
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

// Default values.
const (
	DefaultLease     = 3 * time.Second
	DefaultQueue     = 0
	DefaultOutputMB  = 16
	DefaultDrainTime = 60 * time.Second
	DefaultSkew      = 2 * time.Second
)

// Settings holds the settings that a process reads when it starts. Addresses
// have the form "IP:port".
type Settings struct {
	// Role is "entry" or "agent".
	Role wire.Role `yaml:"role" validate:"required,oneof=entry agent"`
	// Name is unique among the processes of the region.
	Name string `yaml:"name" validate:"required,max=64,hostname_rfc1123"`
	// Region and Hall are the location of the process.
	Region string `yaml:"region" validate:"required,max=64,hostname_rfc1123"`
	Hall   string `yaml:"hall" validate:"required,max=64,hostname_rfc1123"`
	// Peers is the listen address for entries and agents.
	Peers string `yaml:"peers" validate:"required,tcp_addr"`
	// Lease is how long a lease confirmation is valid. It must be the same in
	// all processes of a region.
	Lease time.Duration `yaml:"lease" validate:"min=500ms,max=60s"`
	// Skew is the largest allowed difference between the clocks of two hosts.
	Skew time.Duration `yaml:"skew" validate:"min=0,max=60s"`
	// DrainTime limits the duration of a graceful shutdown.
	DrainTime time.Duration `yaml:"drain_time" validate:"min=1s,max=30m"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error"`
	// Entry holds the settings of the role "entry".
	Entry Entry `yaml:"entry" validate:"-"`
	// Agent holds the settings of the role "agent".
	Agent Agent `yaml:"agent" validate:"-"`
}

// Entry holds the settings of an entry.
type Entry struct {
	// Callers is the listen address of the HTTP API for callers.
	Callers string `yaml:"callers" validate:"required,tcp_addr"`
	// Operators is the listen address of the HTTP API for operators.
	Operators string `yaml:"operators" validate:"required,tcp_addr,nefield=Callers"`
	// Platform is the base URL of the platform's services.
	Platform string `yaml:"platform" validate:"required,http_url"`
	// Tokens is the path of the file with the operators' bearer tokens.
	Tokens string `yaml:"tokens" validate:"required"`
	// AnswerMB limits the memory for stored answers, in MB.
	AnswerMB int `yaml:"answer_mb" validate:"min=1,max=4096"`
}

// Agent holds the settings of an agent.
type Agent struct {
	// Target is the base URL of the agent's target.
	Target string `yaml:"target" validate:"required,http_url"`
	// Queue is the maximum number of accepted tasks that wait for a slot.
	Queue int `yaml:"queue" validate:"min=0,max=4096"`
	// OutputMB limits the memory for stored outputs, in MB.
	OutputMB int `yaml:"output_mb" validate:"min=1,max=4096"`
}

// Default returns the settings that apply where a file sets nothing else.
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

// Load reads and validates the file at path. If the content is invalid, the
// error is a settings.Faults.
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

// Parse decodes and validates settings. The error is a settings.Faults that
// lists all faults with their lines.
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

// check validates the common settings and the section of the role.
func check(s Settings, root *yaml.Node) settings.Faults {
	faults := settings.StructFaults(s, "", root)
	switch s.Role {
	case wire.RoleEntry:
		faults = append(faults, settings.StructFaults(s.Entry, "entry", root)...)
		faults = append(faults, otherRoleFaults("agent", s.Role, root)...)
	case wire.RoleAgent:
		faults = append(faults, settings.StructFaults(s.Agent, "agent", root)...)
		faults = append(faults, otherRoleFaults("entry", s.Role, root)...)
	}
	slices.SortStableFunc(faults, func(a, b settings.Fault) int { return a.Line - b.Line })
	return faults
}

// otherRoleFaults reports a section of the other role, which would have no effect.
func otherRoleFaults(key string, role wire.Role, root *yaml.Node) settings.Faults {
	if line := settings.LineOf(root, key); line > 0 {
		return settings.Faults{{Line: line, Text: fmt.Sprintf("%q has no meaning for the role %q", key, role)}}
	}
	return nil
}
