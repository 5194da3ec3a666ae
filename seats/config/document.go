// Package config holds the operators' configuration: services, the targets
// that serve them, and the bounds under which organisations use them. It is an
// immutable value; a confirmed plan makes the next revision.
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

// keptChanges is how many change ids and history lines a document carries.
const keptChanges = 64

// Defaults of a service's bounds.
const (
	DefaultLongestExpiry = 60 * time.Second
	DefaultQueue         = 10_000
	DefaultLargestJob    = 1200
)

// Target is one back end of a service, with the agent beside it.
type Target struct {
	// Name is the agent's name in its settings.
	Name string `json:"name" yaml:"name" validate:"required,max=128"`
	// Agent is the address at which the agent listens.
	Agent string `json:"agent" yaml:"agent" validate:"required,hostname_port"`
	Hall  string `json:"hall,omitempty" yaml:"hall,omitempty" validate:"max=128"`
	// Slots is how many tasks the target runs at once.
	Slots int `json:"slots" yaml:"slots" validate:"min=1,max=4096"`
	// Connections is how many connections the target takes.
	Connections int `json:"connections" yaml:"connections" validate:"min=1,max=65536,gtefield=Slots"`
	// Drained targets take no new work.
	Drained bool `json:"drained,omitempty" yaml:"drained,omitempty"`
}

// Bounds limit what is admitted. Zero means the default or no limit.
type Bounds struct {
	// Queue is how many tasks may wait at one home.
	Queue int `json:"queue,omitempty" yaml:"queue,omitempty" validate:"min=0,max=10000000"`
	// LargestJob is how many tasks one job may have.
	LargestJob int `json:"largest_job,omitempty" yaml:"largest_job,omitempty" validate:"min=0,max=1200"`
	// LongestExpiryMS is how far away a job's expiry may be, in milliseconds.
	LongestExpiryMS int64 `json:"longest_expiry_ms,omitempty" yaml:"longest_expiry_ms,omitempty" validate:"min=0,max=600000"`
}

// Service is what callers submit jobs to.
type Service struct {
	Name    string   `json:"name" yaml:"name" validate:"required,max=128,excludesall=/ "`
	Targets []Target `json:"targets" yaml:"targets" validate:"unique=Name,dive"`
	Bounds  Bounds   `json:"bounds" yaml:"bounds"`
}

// Organisation is a customer.
type Organisation struct {
	Name string `json:"name" yaml:"name" validate:"required,max=128"`
	// InFlight is how many of its tasks may wait and run in a region; zero
	// is no limit.
	InFlight int `json:"in_flight,omitempty" yaml:"in_flight,omitempty" validate:"min=0"`
	// Rate is how many tasks a second it may submit in a region; zero is no
	// limit.
	Rate int `json:"rate,omitempty" yaml:"rate,omitempty" validate:"min=0"`
}

// Line is one entry of the history.
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
	// Shards is how many shares each service's jobs are split into, each
	// with a home of its own; none counts as one. One keeps the order of all
	// jobs, more spread the work of a very large service.
	Shards  int    `json:"shards,omitempty" validate:"min=0,max=64"`
	History []Line `json:"history,omitempty"`
}

// HasChange reports whether the change is in the history.
func (d Document) HasChange(change string) bool {
	return slices.ContainsFunc(d.History, func(l Line) bool { return l.Change == change })
}

// WithLine returns the next revision, with the line in its history.
func (d Document) WithLine(l Line) Document {
	d.Revision++
	l.Revision = d.Revision
	d.History = append(slices.Clone(d.History), l)
	if n := len(d.History); n > keptChanges {
		d.History = d.History[n-keptChanges:]
	}
	return d
}

// Encode returns the document as JSON.
func (d Document) Encode() []byte {
	raw, err := json.Marshal(d)
	if err != nil {
		panic(fmt.Sprintf("config: encode: %v", err)) // plain data always encodes
	}
	return raw
}

// Decode reads a document.
func Decode(raw []byte) (Document, error) {
	var d Document
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(&d); err != nil {
		return Document{}, fmt.Errorf("config: decode: %w", err)
	}
	return d, nil
}

// Validate returns the first fault of the document.
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

// newValidator returns a validator whose messages call organisations members, as the
// operators' interface does.
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

// WithDefaults returns the bounds with the defaults in place of zeros.
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

// LongestExpiry returns how far away a job's expiry may be.
func (b Bounds) LongestExpiry() time.Duration {
	return time.Duration(b.WithDefaults().LongestExpiryMS) * time.Millisecond
}
