// Package routing is the operators' configuration as an immutable table: which queue a
// request belongs to, and that queue's bounds. A process replaces the whole table by an
// atomic pointer. It relies on nothing.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Queue takes the jobs that are sent to a host name and a path prefix. It is not the
// queue of waiting jobs, of which package owner has one for each service.
type Queue struct {
	Name string
	// Host is the host name in requests, in any case; Prefix the path's beginning.
	Host   string
	Prefix string
	// Service is whose targets run the tasks.
	Service string
	// Priority 0 is the most urgent.
	Priority int
	// Attempts is how many runs of a task may fail before its job has; at least 1.
	Attempts int
	// A job's objective is ObjectiveFactor times its longest chain of work, and
	// ObjectiveSlack more. The factor is at least 1.
	ObjectiveFactor float64
	ObjectiveSlack  time.Duration
	// Timeout bounds a request that is not a job. Nothing reads it: all are jobs.
	Timeout time.Duration
	// NeedsAdvice says that an outside service must be asked where a step may run.
	// Jobs of such queues are refused.
	NeedsAdvice bool
}

// Limits bound what callers send.
type Limits struct {
	BodyBytes int64 // the largest body
}

// Table is one version of the configuration. It must not be changed.
type Table struct {
	Version uint64
	Queues  []Queue
	Limits  Limits

	byHost map[string][]Queue // the longest prefix first
}

// NewTable returns a table of the queues.
func NewTable(version uint64, queues []Queue, limits Limits) *Table {
	t := &Table{Version: version, Queues: queues, Limits: limits, byHost: make(map[string][]Queue)}
	for _, q := range queues {
		host := strings.ToLower(q.Host)
		t.byHost[host] = append(t.byHost[host], q)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the queue of a request: that of its host, with or without a port, whose
// prefix is the longest that the path begins with. rest is the path without it.
func (t *Table) Match(host, path string) (q Queue, rest string, ok bool) {
	host, _, _ = strings.Cut(host, ":")
	for _, q := range t.byHost[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}
