// Package routing maps requests to queues according to an immutable table of the operators'
// configuration. A process replaces the whole table through an atomic pointer. The package
// has no dependencies.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Queue is the configuration for jobs sent to a host name and a path prefix. It is distinct
// from the queues of waiting jobs, which package owner has for each service.
type Queue struct {
	Name string
	// Host is the host name in requests, in any case; Prefix is the beginning of the path.
	Host   string
	Prefix string
	// Service names the service whose targets run the tasks.
	Service string
	// Priority 0 is the most urgent.
	Priority int
	// Attempts is the number of failed runs of a task after which its job fails; at least
	// 1.
	Attempts int
	// The objective of a job is ObjectiveFactor, which is at least 1, times its critical
	// path, plus ObjectiveSlack.
	ObjectiveFactor float64
	ObjectiveSlack  time.Duration
	// Timeout limits requests that are not jobs. It has no effect, since all requests are
	// jobs.
	Timeout time.Duration
	// NeedsAdvice is set if an external service must decide where a step may run. Jobs of
	// such queues are refused.
	NeedsAdvice bool
}

// Limits are the limits on requests.
type Limits struct {
	BodyBytes int64 // largest request body
}

// Table is one version of the configuration. It must not be modified.
type Table struct {
	Version uint64
	Queues  []Queue
	Limits  Limits

	byHost map[string][]Queue // longest prefix first
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

// Match returns the queue for a request: among the queues of the host, the one with the
// longest prefix of the path. host may include a port; rest is the path without the prefix.
func (t *Table) Match(host, path string) (q Queue, rest string, ok bool) {
	host, _, _ = strings.Cut(host, ":")
	for _, q := range t.byHost[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}
