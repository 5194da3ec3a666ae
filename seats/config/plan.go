package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beaconpoint/beaconpoint/code"
)

// Intent is a change requested by an operator: services and organisations to add
// or replace by name, names to remove, and targets to drain.
type Intent struct {
	Services            []Service      `json:"services,omitempty" yaml:"services,omitempty"`
	Organisations       []Organisation `json:"members,omitempty" yaml:"members,omitempty"`
	RemoveServices      []string       `json:"remove_services,omitempty" yaml:"remove_services,omitempty"`
	RemoveOrganisations []string       `json:"remove_members,omitempty" yaml:"remove_members,omitempty"`
	// Shards sets the number of shards unless it is zero.
	Shards int `json:"shards,omitempty" yaml:"shards,omitempty"`
	// Drain and Undrain list the names of targets.
	Drain   []string `json:"drain,omitempty" yaml:"drain,omitempty"`
	Undrain []string `json:"undrain,omitempty" yaml:"undrain,omitempty"`
}

// Plan describes the effect of an intent. The client returns the whole plan to
// confirm it, so that the server does not store it.
type Plan struct {
	// Change is the id of the change; confirming a plan twice applies it once.
	Change string `json:"change"`
	// Base is the revision to which the plan applies.
	Base uint64 `json:"base"`
	// Intent is the requested change.
	Intent Intent `json:"intent"`
	// Changes describes the differences, one line each.
	Changes []string `json:"changes"`
	// Warnings lists likely mistakes in the resulting document.
	Warnings []string `json:"warnings,omitempty"`
	// Digest is a hash of the other fields.
	Digest string `json:"digest"`
}

// NewPlan returns the plan that applies the intent to base.
func NewPlan(base Document, in Intent, change string) (Plan, error) {
	next, err := base.WithIntent(in)
	if err != nil {
		return Plan{}, err
	}
	p := Plan{
		Change:   change,
		Base:     base.Revision,
		Intent:   in,
		Changes:  Diff(base, next),
		Warnings: warnings(next),
	}
	p.Digest = p.digest()
	return p, nil
}

// Apply returns base with the plan applied as its next revision. It fails if the
// plan was altered or is based on another revision.
func (p Plan) Apply(base Document, by string, at time.Time) (Document, error) {
	if p.Digest != p.digest() {
		return Document{}, code.Error(code.PlanTampered, "the plan's digest does not fit its content")
	}
	if base.Revision != p.Base {
		return Document{}, code.Errorf(code.PlanStale, "the plan starts from revision %d, but %d is in force: %s",
			p.Base, base.Revision, base.changesSince(p.Base))
	}
	next, err := base.WithIntent(p.Intent)
	if err != nil {
		return Document{}, err
	}
	summary := fmt.Sprintf("%d changes", len(p.Changes))
	if len(p.Changes) > 0 {
		summary = p.Changes[0]
	}
	return next.WithLine(Line{Change: p.Change, By: by, At: at.UTC().Format(time.RFC3339), Summary: summary}), nil
}

func (p Plan) digest() string {
	p.Digest = ""
	raw, err := json.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("config: encode plan: %v", err)) // cannot fail for this type
	}
	return strconv.FormatUint(xxhash.Sum64(raw), 16)
}

// changesSince describes the history after revision.
func (d Document) changesSince(revision uint64) string {
	text := ""
	for _, l := range d.History {
		if l.Revision > revision {
			text += fmt.Sprintf("[%d by %s: %s] ", l.Revision, l.By, l.Summary)
		}
	}
	return text
}

// WithIntent returns the document with the intent applied and validated. The
// revision stays the same.
func (d Document) WithIntent(in Intent) (Document, error) {
	var err error
	d.Services = slices.Clone(d.Services)
	d.Organisations = slices.Clone(d.Organisations)
	for _, name := range in.RemoveServices {
		if d.Services, err = removeByName(d.Services, name, serviceName); err != nil {
			return Document{}, err
		}
	}
	for _, name := range in.RemoveOrganisations {
		if d.Organisations, err = removeByName(d.Organisations, name, organisationName); err != nil {
			return Document{}, err
		}
	}
	for _, s := range in.Services {
		d.Services = putByName(d.Services, s, serviceName)
	}
	for _, organisation := range in.Organisations {
		d.Organisations = putByName(d.Organisations, organisation, organisationName)
	}
	for _, name := range in.Drain {
		if d.Services, err = setDrained(d.Services, name, true); err != nil {
			return Document{}, err
		}
	}
	for _, name := range in.Undrain {
		if d.Services, err = setDrained(d.Services, name, false); err != nil {
			return Document{}, err
		}
	}
	if in.Shards != 0 {
		d.Shards = in.Shards
	}
	if err := d.Validate(); err != nil {
		return Document{}, code.Errorf(code.BadIntent, "%v", err)
	}
	return d, nil
}

func serviceName(s Service) string { return s.Name }

func organisationName(o Organisation) string { return o.Name }

func putByName[T any](all []T, v T, name func(T) string) []T {
	k := slices.IndexFunc(all, func(o T) bool { return name(o) == name(v) })
	if k < 0 {
		return append(all, v)
	}
	all[k] = v
	return all
}

func removeByName[T any](all []T, removed string, name func(T) string) ([]T, error) {
	k := slices.IndexFunc(all, func(o T) bool { return name(o) == removed })
	if k < 0 {
		return nil, code.Errorf(code.BadIntent, "there is no %q to remove", removed)
	}
	return slices.Delete(all, k, k+1), nil
}

func setDrained(services []Service, targetName string, drained bool) ([]Service, error) {
	for i, s := range services {
		k := slices.IndexFunc(s.Targets, func(t Target) bool { return t.Name == targetName })
		if k < 0 {
			continue
		}
		s.Targets = slices.Clone(s.Targets)
		s.Targets[k].Drained = drained
		services[i] = s
		return services, nil
	}
	return nil, code.Errorf(code.BadIntent, "no service has a target %q", targetName)
}

// Diff describes the differences between two documents, one line each.
func Diff(from, to Document) []string {
	lines := diffByName("service", from.Services, to.Services, serviceName)
	lines = append(lines, diffByName("member", from.Organisations, to.Organisations, organisationName)...)
	if from.Shards != to.Shards {
		lines = append(lines, fmt.Sprintf("~ shards %d -> %d", from.Shards, to.Shards))
	}
	return lines
}

func diffByName[T any](kind string, from, to []T, name func(T) string) []string {
	var lines []string
	before := make(map[string]string)
	for _, v := range from {
		before[name(v)] = encodeText(v)
	}
	for _, v := range to {
		old, ok := before[name(v)]
		delete(before, name(v))
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("+ %s %s %s", kind, name(v), encodeText(v)))
		case old != encodeText(v):
			lines = append(lines, fmt.Sprintf("~ %s %s %s -> %s", kind, name(v), old, encodeText(v)))
		}
	}
	for _, v := range from {
		if _, gone := before[name(v)]; gone {
			lines = append(lines, fmt.Sprintf("- %s %s", kind, name(v)))
		}
	}
	return lines
}

func encodeText(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// warnings describes likely mistakes in the document.
func warnings(d Document) []string {
	var lines []string
	for _, s := range d.Services {
		open := 0
		for _, t := range s.Targets {
			if !t.Drained {
				open += t.Slots
			}
		}
		if open == 0 {
			lines = append(lines, fmt.Sprintf("service %s has no target that takes work", s.Name))
		}
	}
	return lines
}
