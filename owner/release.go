package owner

import (
	"slices"
	"time"
)

// What the process asks that chooses the agents to connect to (package reach).

// Releasable reports whether the connection to an agent serves nothing: no run, watch or claim of
// this entry is there, nor any whose end is awaited.
func (o *Owner) Releasable(name string) bool {
	a := o.agents[name]
	if a == nil {
		return true
	}
	if len(a.out.Settled) > 0 || a.watching || a.reserved != nil || a.clearAt > 0 || len(a.tasks) > 0 || len(a.droppedRuns) > 0 {
		return false
	}
	for _, j := range o.jobs {
		if j.hasHome(a) {
			return false
		}
	}
	for _, e := range o.dropped {
		if slices.Contains(e.homes, a) {
			return false
		}
	}
	return true
}

// Release forgets an agent that is releasable. It is not lost: what is said of lost agents does
// not hold for it.
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

// RefreshRoles asks anew at which agents jobs may be claimed and which are this entry's own. Jobs
// keep the homes that they have, and watches go on.
func (o *Owner) RefreshRoles() {
	for _, a := range o.byName {
		o.refreshRoles(a)
	}
}

// refreshRoles asks for the roles of one agent.
func (o *Owner) refreshRoles(a *agent) {
	a.home = o.IsHome == nil || o.IsHome(a.name)
	a.own = o.IsOwn == nil || o.IsOwn(a.name)
}

// Busy reports whether an agent runs tasks of this entry.
func (o *Owner) Busy(name string) bool {
	a := o.agents[name]
	return a != nil && len(a.tasks) > 0
}

// Short reports whether jobs have been waiting for room for a while.
func (o *Owner) Short(now time.Duration) bool {
	for _, q := range o.queues {
		if q.backlogged(now) {
			return true
		}
	}
	return false
}

// noteLabels notes whether j asks for a label or a rack that no connected agent has, where there
// are others.
func (o *Owner) recordMissingLabels(j *job) {
	if !o.Partial {
		return
	}
	for _, s := range j.spec.Steps {
		for _, label := range []string{s.Label, s.Rack} {
			if label != "" && !slices.ContainsFunc(o.byName, func(a *agent) bool { return a.connected && a.labels[label] }) {
				o.missingLabel = true
			}
		}
	}
}

// TakeMissingLabel reports whether a job has asked for a label that no connected agent has, since it
// was last called.
func (o *Owner) TakeMissingLabel() bool {
	missing := o.missingLabel
	o.missingLabel = false
	return missing
}
