// Package routing holds the operators' configuration of queues and services as
// an immutable table.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Queue is a route that takes jobs.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority 0 is the most urgent.
	Priority int
	// Attempts is how many runs of a task may fail before its job has.
	Attempts int
	// ObjectiveFactor and Latency make the objective of a job.
	ObjectiveFactor float64
	ObjectiveSlack  time.Duration
	// Timeout bounds a request that is not a job.
	Timeout time.Duration
	// NeedsAdvice queues may place a step only where an outside service says.
	NeedsAdvice bool
}

// Limits bound what callers send.
type Limits struct {
	// BodyBytes is the largest body.
	BodyBytes int64
}

// Table is one version of the configuration.
type Table struct {
	Version uint64
	Queues  []Queue
	Limits  Limits
	hosts   map[string][]Queue
}

// NewTable returns a table of the queues.
func NewTable(version uint64, queues []Queue, limits Limits) *Table {
	t := &Table{Version: version, Queues: queues, Limits: limits, hosts: make(map[string][]Queue)}
	for _, q := range queues {
		host := strings.ToLower(q.Host)
		t.hosts[host] = append(t.hosts[host], q)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the queue of the host whose prefix is the longest that the path
// begins with, and the rest of the path.
func (t *Table) Match(host, path string) (Queue, string, bool) {
	host, _, _ = strings.Cut(host, ":")
	for _, q := range t.hosts[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}
