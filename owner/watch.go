package owner

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// Watches: which agents this entry uses. It watches a few, which tell it of each change
// of their targets' room; the others send a heartbeat now and then, and cost next to
// nothing. Where those that it watches have no room, others are asked for some, and are
// watched from then on. An agent of the version before is always watched.
const (
	// minWatched is how many agents an entry watches at the least while jobs come. With
	// 11 agents it watches all of them. Four scenes: 6 earned 0.0018 less (s.e. 0.0010).
	minWatched = 12
	// watchedPerBusy is how many more it may watch for each agent that runs a task of
	// it: with fewer, jobs wait while there is room elsewhere. Four scenes, worst class: 1
	// 0.002 less (s.e. 0.001), 4 0.0026 less (s.e. 0.0016).
	watchedPerBusy = 2
	// watchTime is how long after its last use an agent is watched, where more than
	// minWatched are. 100 ms and 2 s: no difference.
	watchRetention = 500 * time.Millisecond
	// idleAfter is how long after the last job an entry watches nobody. Not measured.
	idleTime = 10 * time.Second
)

// used reports whether the connection is in use, as the agent sees it, too.
func (a *agent) used() bool {
	return a.level < peer.LevelWatch || a.watching || len(a.tasks) > 0
}

// beginWatch makes the entry watch a; it believes of no room there until it is told.
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
	a.state.Free = task.Needs{}
	a.out.Watch = peer.WatchBegins
	o.markDirty(a)
}

// endWatch ends the watch of a.
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
	a.out.Watch = peer.WatchEnds
	o.markDirty(a)
}

// busy returns how many of the watched agents have tasks of this entry.
func (o *Owner) busy() int {
	count := 0
	for _, a := range o.watched {
		if len(a.tasks) > 0 {
			count++
		}
	}
	return count
}

// mayWatch returns how many agents may be watched at once.
func (o *Owner) maxWatched() int {
	return minWatched + watchedPerBusy*o.busy()
}

// adjustWatches ends the watches that are not needed, those used longest ago first, and
// begins some where jobs come and too few agents are watched.
func (o *Owner) adjustWatches(now time.Duration) {
	keep := minWatched
	if now-o.lastJobAt > idleTime {
		keep = 0
	}
	o.endEvacuatedWatches()
	for len(o.watched) > keep {
		a := o.leastUsed(now)
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

// endEvacuatedWatches ends the watches of targets in evacuated halls on which nothing of
// this entry runs: watches of others take their place.
func (o *Owner) endEvacuatedWatches() {
	for _, a := range slices.Clone(o.watched) {
		if a.evacuated && a.level >= peer.LevelWatch && len(a.tasks) == 0 {
			o.endWatch(a)
		}
	}
}

// leastUsed returns the watched agent whose watch may end and that was used longest ago,
// or nil. Ejected targets stay watched: somebody must probe them.
func (o *Owner) leastUsed(now time.Duration) *agent {
	var least *agent
	for _, a := range o.watched {
		if a.level < peer.LevelWatch || len(a.tasks) > 0 || now-a.usedAt < watchRetention || a.state.Health == peer.Ejected {
			continue
		}
		if least == nil || a.usedAt < least.usedAt {
			least = a
		}
	}
	return least
}

// unwatched returns an agent that is not watched and meets the condition, or nil: one of this
// entry's own, if there is any. It looks from a random one on, so that entries spread over the
// agents.
func (o *Owner) pickUnwatched(meets func(*agent) bool) *agent {
	if len(o.watched) == len(o.byName) {
		return nil
	}
	var other *agent
	from := o.Random(len(o.byName))
	for k := range o.byName {
		a := o.byName[(from+k)%len(o.byName)]
		if a.watching || !meets(a) {
			continue
		}
		if a.own {
			return a
		}
		if other == nil {
			other = a
		}
	}
	return other
}

// Level returns the level that an agent understands.
func (o *Owner) Level(agent string) peer.Level {
	if a := o.agents[agent]; a != nil {
		return a.level
	}
	return peer.LevelBase
}

// SilentTooLong reports whether the connection to an agent should be given up. One without
// runs of this entry is given up soon after a claim was left unanswered: nothing is lost by it,
// and a new connection may work where the open one went silent for good. So is one to a quiet agent of a
// suspected hall.
func (o *Owner) SilentTooLong(now time.Duration, name string) bool {
	a := o.agents[name]
	if a == nil || !a.connected {
		return false
	}
	if o.predatesStop(a) || o.hallSuspected(a) && a.unresponsive(now) {
		return true
	}
	if a.silentSince > 0 && len(a.tasks) == 0 {
		return now-a.silentSince >= o.ClaimTimeout
	}
	return peer.SilentTooLong(now, a.lastFrameAt, a.used(), a.watchedSince)
}
