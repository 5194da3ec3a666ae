package owner

import (
	"slices"
	"time"
)

// Queries and commands of the process that selects the agents to connect to (package subset).

// Releasable reports whether the connection to an agent is not needed: this entry has no run,
// dropped run, watch, kept reservation, claim or pending settlement there, and does not wait for
// its runs to be clear.
func (o *Owner) Releasable(name string) bool {
	a := o.agents[name]
	if a == nil {
		return true
	}
	if len(a.out.Settled) > 0 || a.watching || a.reserved != nil || a.clearAt > 0 || len(a.tasks) > 0 ||
		len(a.droppedRuns) > 0 {
		return false
	}
	for _, j := range o.jobs {
		if j.hasHome(a) {
			return false
		}
	}
	for _, d := range o.dropped {
		if slices.Contains(d.homes, a) {
			return false
		}
	}
	return true
}

// Release removes a releasable agent. The agent is not handled as lost.
func (o *Owner) Release(name string) {
	a := o.agents[name]
	if a == nil {
		return
	}
	delete(o.agents, name)
	o.byName = deleteAgent(o.byName, a)
	a.connected = false
	a.dirty = false
}

// RefreshRoles queries IsHome and IsPreferred for all agents again. Jobs keep their homes, and
// watches continue.
func (o *Owner) RefreshRoles() {
	for _, a := range o.byName {
		o.refreshRoles(a)
	}
}

// refreshRoles queries IsHome and IsPreferred for one agent.
func (o *Owner) refreshRoles(a *agent) {
	a.eligibleHome = o.IsHome == nil || o.IsHome(a.name)
	a.preferred = o.IsPreferred == nil || o.IsPreferred(a.name)
}

// HasTasks reports whether an agent runs tasks of this entry.
func (o *Owner) HasTasks(name string) bool {
	a := o.agents[name]
	return a != nil && len(a.tasks) > 0
}

// Backlogged reports whether the queue of at least one service is backlogged.
func (o *Owner) Backlogged(now time.Duration) bool {
	for _, q := range o.queues {
		if q.backlogged(now) {
			return true
		}
	}
	return false
}

// recordMissingLabels records whether j requires a label or a rack that no connected agent has,
// if there are agents to which the process does not connect.
func (o *Owner) recordMissingLabels(j *job) {
	if !o.PartiallyConnected {
		return
	}
	for _, s := range j.desc.Steps {
		for _, label := range []string{s.Label, s.Rack} {
			if label != "" &&
				!slices.ContainsFunc(o.byName, func(a *agent) bool { return a.connected && a.labels[label] }) {
				o.missingLabel = true
			}
		}
	}
}

// TakeMissingLabel reports whether, since the last call, a job has required a label or a rack
// that no connected agent had.
func (o *Owner) TakeMissingLabel() bool {
	missing := o.missingLabel
	o.missingLabel = false
	return missing
}
