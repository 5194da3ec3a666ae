package owner

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// An entry watches a few agents, which report each change of their targets' room. The other
// agents send only heartbeats, unless they run tasks of the entry. If the watched agents have
// no room, others are asked for room and watched from then on. Agents below peer.LevelWatch are
// always watched.
const (
	// minWatched is the number of agents watched while jobs are submitted.
	minWatched = 12
	// watchedPerBusy is the number of further agents that may be watched for each agent that
	// runs tasks of this entry.
	watchedPerBusy = 2
	// watchRetention is how long an unused agent stays watched if more than minWatched are.
	watchRetention = 500 * time.Millisecond
	// idleTime is how long after the last submission an entry stops watching agents.
	idleTime = 10 * time.Second
)

// inUse reports whether the connection is in use. The agent applies the same rule.
func (a *agent) inUse() bool {
	return a.level < peer.LevelWatch || a.watching || len(a.tasks) > 0
}

// beginWatch starts to watch a. Its room counts as zero until the next report.
func (o *Owner) beginWatch(now time.Duration, a *agent) {
	if a.watching {
		return
	}
	a.watching = true
	a.watchedSince = now
	a.usedAt = now
	o.watched = insertByName(o.watched, a)
	if a.level < peer.LevelWatch {
		return
	}
	a.state.Free = task.Resources{}
	a.out.Watch = peer.WatchStart
	o.markDirty(a)
}

// endWatch stops watching a.
func (o *Owner) endWatch(a *agent) {
	if !a.watching {
		return
	}
	a.watching = false
	a.roomRequested = false
	if a.reserved != nil {
		a.out.UsedReservation = a.reserved.ID
		a.reserved = nil
	}
	o.watched = deleteAgent(o.watched, a)
	a.out.Watch = peer.WatchStop
	o.markDirty(a)
}

// busy returns the number of watched agents that run tasks of this entry.
func (o *Owner) busy() int {
	count := 0
	for _, a := range o.watched {
		if len(a.tasks) > 0 {
			count++
		}
	}
	return count
}

// maxWatched returns the maximum number of watched agents.
func (o *Owner) maxWatched() int {
	return minWatched + watchedPerBusy*o.busy()
}

// adjustWatches ends surplus watches, least recently used first, and begins new ones if jobs
// are being submitted and too few agents are watched.
func (o *Owner) adjustWatches(now time.Duration) {
	keep := minWatched
	if now-max(o.lastJobAt, o.firstConnectedAt) >= idleTime {
		keep = 0
	}
	o.endEvacuatedWatches()
	for len(o.watched) > keep {
		a := o.leastRecentlyUsed(now)
		if a == nil {
			break
		}
		o.endWatch(a)
	}
	for len(o.watched) < keep {
		a := o.pickUnwatched((*agent).takesWork)
		if a == nil {
			break
		}
		o.beginWatch(now, a)
	}
}

// endEvacuatedWatches stops watching agents that run no task of this entry and whose targets are
// in evacuated halls, which makes room for other watches.
func (o *Owner) endEvacuatedWatches() {
	for _, a := range slices.Clone(o.watched) {
		if a.evacuated && a.level >= peer.LevelWatch && len(a.tasks) == 0 {
			o.endWatch(a)
		}
	}
}

// leastRecentlyUsed returns the least recently used agent whose watch may end, or nil. Agents with
// ejected targets stay watched so that the targets are probed.
func (o *Owner) leastRecentlyUsed(now time.Duration) *agent {
	var least *agent
	for _, a := range o.watched {
		if a.level < peer.LevelWatch || len(a.tasks) > 0 || now-a.usedAt < watchRetention ||
			a.state.Health == peer.Ejected {
			continue
		}
		if least == nil || a.usedAt < least.usedAt {
			least = a
		}
	}
	return least
}

// pickUnwatched returns an unwatched agent that meets the condition, preferred agents first, or nil.
// The search starts at a random agent so that entries spread over the agents.
func (o *Owner) pickUnwatched(condition func(*agent) bool) *agent {
	if len(o.watched) == len(o.byName) {
		return nil
	}
	var other *agent
	from := o.Random(len(o.byName))
	for k := range o.byName {
		a := o.byName[(from+k)%len(o.byName)]
		if a.watching || !condition(a) {
			continue
		}
		if a.preferred {
			return a
		}
		if other == nil {
			other = a
		}
	}
	return other
}

// Level returns the protocol level of an agent.
func (o *Owner) Level(agent string) peer.ProtocolLevel {
	if a := o.agents[agent]; a != nil {
		return a.level
	}
	return peer.LevelBase
}

// ShouldClose reports whether the connection to an agent should be closed. Connections made
// before the last suspension and those to unresponsive agents of a suspected hall are closed at
// once. If the agent is silent and runs no task, the connection is closed after ClaimTimeout,
// since a new connection may work where the old one has stalled. peer.SilentTooLong decides on
// all others.
func (o *Owner) ShouldClose(now time.Duration, name string) bool {
	a := o.agents[name]
	if a == nil || !a.connected {
		return false
	}
	if o.predatesSuspension(a) || o.hallSuspected(a) && a.unresponsive(now) {
		return true
	}
	if a.silentSince > 0 && len(a.tasks) == 0 {
		return now-a.silentSince >= o.ClaimTimeout
	}
	return peer.SilentTooLong(now, a.lastFrameAt, a.inUse(), a.watchedSince)
}
