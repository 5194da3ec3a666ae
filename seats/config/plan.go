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

// Intent is what an operator states: services and organisations to put in place of
// those with the same name, and names to take away.
type Intent struct {
	Services            []Service      `json:"services,omitempty" yaml:"services,omitempty"`
	Organisations       []Organisation `json:"members,omitempty" yaml:"members,omitempty"`
	RemoveServices      []string       `json:"remove_services,omitempty" yaml:"remove_services,omitempty"`
	RemoveOrganisations []string       `json:"remove_members,omitempty" yaml:"remove_members,omitempty"`
	// Shards, where above zero, sets how many shares each service's jobs
	// are split into.
	Shards int `json:"shards,omitempty" yaml:"shards,omitempty"`
	// Drain and Undrain name targets.
	Drain   []string `json:"drain,omitempty" yaml:"drain,omitempty"`
	Undrain []string `json:"undrain,omitempty" yaml:"undrain,omitempty"`
}

// Plan is what an intent would change. It comes back whole with the
// confirmation, so that no process has to keep it.
type Plan struct {
	// Change names this plan; confirming it twice is one change.
	Change string `json:"change"`
	// Base is the revision that the plan starts from.
	Base uint64 `json:"base"`
	// Intent is what was asked for.
	Intent Intent `json:"intent"`
	// Changes tells what would change, one line each.
	Changes []string `json:"changes"`
	// Warnings tells what an operator may not have meant.
	Warnings []string `json:"warnings,omitempty"`
	// Digest is over the rest of the plan.
	Digest string `json:"digest"`
}

// NewPlan works out what the intent would change in base.
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

// Apply returns the document that the plan makes of base. A plan that was
// altered, or made from another revision, is refused.
func (p Plan) Apply(base Document, by string, at time.Time) (Document, error) {
	if p.Digest != p.digest() {
		return Document{}, code.Error(code.PlanTampered, "the plan's digest does not fit its content")
	}
	if base.Revision != p.Base {
		return Document{}, code.Errorf(code.PlanStale, "the plan starts from revision %d, but %d is in force: %s",
			p.Base, base.Revision, base.since(p.Base))
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
		panic(fmt.Sprintf("config: encode plan: %v", err)) // plain data always encodes
	}
	return strconv.FormatUint(xxhash.Sum64(raw), 16)
}

// since tells what changed after revision.
func (d Document) since(revision uint64) string {
	text := ""
	for _, l := range d.History {
		if l.Revision > revision {
			text += fmt.Sprintf("[%d by %s: %s] ", l.Revision, l.By, l.Summary)
		}
	}
	return text
}

// WithIntent returns the document that the intent asks for, checked, with its
// revision unchanged.
func (d Document) WithIntent(in Intent) (Document, error) {
	var err error
	d.Services = slices.Clone(d.Services)
	d.Organisations = slices.Clone(d.Organisations)
	for _, name := range in.RemoveServices {
		if d.Services, err = remove(d.Services, name, serviceName); err != nil {
			return Document{}, err
		}
	}
	for _, name := range in.RemoveOrganisations {
		if d.Organisations, err = remove(d.Organisations, name, organisationName); err != nil {
			return Document{}, err
		}
	}
	for _, s := range in.Services {
		d.Services = put(d.Services, s, serviceName)
	}
	for _, m := range in.Organisations {
		d.Organisations = put(d.Organisations, m, organisationName)
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

func organisationName(m Organisation) string { return m.Name }

func put[T any](all []T, v T, name func(T) string) []T {
	k := slices.IndexFunc(all, func(o T) bool { return name(o) == name(v) })
	if k < 0 {
		return append(all, v)
	}
	all[k] = v
	return all
}

func remove[T any](all []T, gone string, name func(T) string) ([]T, error) {
	k := slices.IndexFunc(all, func(o T) bool { return name(o) == gone })
	if k < 0 {
		return nil, code.Errorf(code.BadIntent, "there is no %q to remove", gone)
	}
	return slices.Delete(all, k, k+1), nil
}

func setDrained(services []Service, target string, drained bool) ([]Service, error) {
	for i, s := range services {
		k := slices.IndexFunc(s.Targets, func(t Target) bool { return t.Name == target })
		if k < 0 {
			continue
		}
		s.Targets = slices.Clone(s.Targets)
		s.Targets[k].Drained = drained
		services[i] = s
		return services, nil
	}
	return nil, code.Errorf(code.BadIntent, "no service has a target %q", target)
}

// Diff tells what differs between two documents, one line each.
func Diff(from, to Document) []string {
	lines := diff("service", from.Services, to.Services, serviceName)
	lines = append(lines, diff("member", from.Organisations, to.Organisations, organisationName)...)
	if from.Shards != to.Shards {
		lines = append(lines, fmt.Sprintf("~ shards %d -> %d", from.Shards, to.Shards))
	}
	return lines
}

func diff[T any](kind string, from, to []T, name func(T) string) []string {
	var lines []string
	before := make(map[string]string)
	for _, v := range from {
		before[name(v)] = text(v)
	}
	for _, v := range to {
		old, ok := before[name(v)]
		delete(before, name(v))
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("+ %s %s %s", kind, name(v), text(v)))
		case old != text(v):
			lines = append(lines, fmt.Sprintf("~ %s %s %s -> %s", kind, name(v), old, text(v)))
		}
	}
	for _, v := range from {
		if _, gone := before[name(v)]; gone {
			lines = append(lines, fmt.Sprintf("- %s %s", kind, name(v)))
		}
	}
	return lines
}

func text(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// warnings tells what in the document may not be meant.
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
