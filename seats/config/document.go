// Package config defines the operators' configuration: services, their targets
// and the quotas of organisations. A document is an immutable value; applying a
// confirmed plan returns the next revision.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/go-playground/validator/v10"
)

// maxHistory limits the history lines kept in a document.
const maxHistory = 64

// Defaults of Bounds.
const (
	DefaultLongestExpiry = 60 * time.Second
	DefaultQueue         = 10_000
	DefaultLargestJob    = 1200
)

// Target is one back end of a service, with the agent next to it.
type Target struct {
	// Name is the agent's name in its settings.
	Name string `json:"name" yaml:"name" validate:"required,max=128"`
	// Agent is the address on which the agent listens.
	Agent string `json:"agent" yaml:"agent" validate:"required,hostname_port"`
	Hall  string `json:"hall,omitempty" yaml:"hall,omitempty" validate:"max=128"`
	// Slots is the number of tasks that the target runs concurrently.
	Slots int `json:"slots" yaml:"slots" validate:"min=1,max=4096"`
	// Connections is the number of connections that the target accepts.
	Connections int `json:"connections" yaml:"connections" validate:"min=1,max=65536,gtefield=Slots"`
	// Drained is set if the target gets no new tasks.
	Drained bool `json:"drained,omitempty" yaml:"drained,omitempty"`
}

// Bounds limits the admission of jobs to a service. Zero means the default.
type Bounds struct {
	// Queue limits the waiting tasks at one entry.
	Queue int `json:"queue,omitempty" yaml:"queue,omitempty" validate:"min=0,max=10000000"`
	// LargestJob limits the tasks of one job.
	LargestJob int `json:"largest_job,omitempty" yaml:"largest_job,omitempty" validate:"min=0,max=1200"`
	// LongestExpiryMS limits the time until a job's expiry, in milliseconds.
	LongestExpiryMS int64 `json:"longest_expiry_ms,omitempty" yaml:"longest_expiry_ms,omitempty" validate:"min=0,max=600000"`
}

// Service is a group of targets to which callers submit jobs.
type Service struct {
	Name    string   `json:"name" yaml:"name" validate:"required,max=128,excludesall=/ "`
	Targets []Target `json:"targets" yaml:"targets" validate:"unique=Name,dive"`
	Bounds  Bounds   `json:"bounds" yaml:"bounds"`
}

// Organisation is a customer.
type Organisation struct {
	Name string `json:"name" yaml:"name" validate:"required,max=128"`
	// InFlight limits its waiting and running tasks in a region; zero means no
	// limit.
	InFlight int `json:"in_flight,omitempty" yaml:"in_flight,omitempty" validate:"min=0"`
	// Rate limits the tasks per second that it submits in a region; zero means
	// no limit.
	Rate int `json:"rate,omitempty" yaml:"rate,omitempty" validate:"min=0"`
}

// Line is one applied change in the history of a document.
type Line struct {
	Change   string `json:"change"`
	Revision uint64 `json:"revision"`
	By       string `json:"by"`
	At       string `json:"at"`
	Summary  string `json:"summary"`
}

// Document is the configuration at one revision.
type Document struct {
	Revision      uint64         `json:"revision"`
	Services      []Service      `json:"services" validate:"unique=Name,dive"`
	Organisations []Organisation `json:"members" validate:"unique=Name,dive"`
	// Shards is the number of shards of each service's jobs, each owned by one
	// entry; zero counts as one. One shard keeps the order of all jobs of a
	// service, several spread the load of a large service.
	Shards  int    `json:"shards,omitempty" validate:"min=0,max=64"`
	History []Line `json:"history,omitempty"`
}

// HasChange reports whether the history contains the change.
func (d Document) HasChange(change string) bool {
	return slices.ContainsFunc(d.History, func(l Line) bool { return l.Change == change })
}

// WithLine returns the next revision with l added to its history.
func (d Document) WithLine(l Line) Document {
	d.Revision++
	l.Revision = d.Revision
	d.History = append(slices.Clone(d.History), l)
	if n := len(d.History); n > maxHistory {
		d.History = d.History[n-maxHistory:]
	}
	return d
}

// Encode returns the JSON encoding of the document.
func (d Document) Encode() []byte {
	raw, err := json.Marshal(d)
	if err != nil {
		panic(fmt.Sprintf("config: encode: %v", err)) // cannot fail for this type
	}
	return raw
}

// Decode parses the JSON encoding of a document.
func Decode(raw []byte) (Document, error) {
	var d Document
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(&d); err != nil {
		return Document{}, fmt.Errorf("config: decode: %w", err)
	}
	return d, nil
}

// Validate checks the fields of the document, and that no target serves two
// services.
func (d Document) Validate() error {
	if err := validate.Struct(d); err != nil {
		return err
	}
	seen := make(map[string]string)
	for _, s := range d.Services {
		for _, t := range s.Targets {
			if other, ok := seen[t.Name]; ok {
				return fmt.Errorf("target %q serves %q already", t.Name, other)
			}
			seen[t.Name] = s.Name
		}
	}
	return nil
}

var validate = newValidator()

// newValidator returns a validator that names the field Organisations "Members" in
// its messages, as the operators' interface does.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		if f.Name == "Organisations" {
			return "Members"
		}
		return f.Name
	})
	return v
}

// WithDefaults returns the bounds with zeros replaced by the defaults.
func (b Bounds) WithDefaults() Bounds {
	if b.Queue == 0 {
		b.Queue = DefaultQueue
	}
	if b.LargestJob == 0 {
		b.LargestJob = DefaultLargestJob
	}
	if b.LongestExpiryMS == 0 {
		b.LongestExpiryMS = DefaultLongestExpiry.Milliseconds()
	}
	return b
}

// LongestExpiry returns the limit of the time until a job's expiry.
func (b Bounds) LongestExpiry() time.Duration {
	return time.Duration(b.WithDefaults().LongestExpiryMS) * time.Millisecond
}
