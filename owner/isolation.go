package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
)

// Isolation: an entry to which most agents are silent takes itself to be cut off, and not
// them. It starts no job that it had not claimed before, since other entries may find other
// homes for the same job.
//
// A data hall that is cut from the others is no isolation: its agents all answer, callers keep
// coming, and its targets are sound. But it looks the same to an entry that is cut off from the
// other halls by itself. So it starts the jobs of which it reaches a home that the others choose,
// too: they meet there. Of three halls that is two jobs of three; the others wait, until the lost
// halls were not heard from for isolationTime.

// isolationTime is for how long a silent or lost agent counts. Longer ago it is not this
// entry's cut: halls may be dark for long, and those left serve on. Not measured.
const isolationTime = 3 * time.Second

// wholeMissing is the share of a hall's agents that may be silent or lost where the hall counts as
// reached: single hosts fail by themselves. Not measured.
const maxMissingShare = 0.2

// settleTime is for how long an entry that was connected to nobody counts as isolated after its
// first connection: those to the other agents are made within milliseconds of each other, and
// until then it would choose homes among the few that it knows. Without it 5 of 2,000 histories
// with copies of submissions at other entries ran a task twice at once.
const startupIsolationTime = 60 * time.Millisecond

// beginSettling is called with each new connection, before it counts.
func (o *Owner) beginIsolation(now time.Duration) {
	for _, a := range o.byName {
		if a.connected {
			return
		}
	}
	o.isolatedUntil = now + startupIsolationTime
	o.isolated = true
}

// reach counts the agents of which an entry has heard in the last few seconds, and those of them
// that are silent or lost now.
type reachability struct {
	known, missing int
}

// add counts one agent.
func (r *reachability) add(missing bool) {
	r.known++
	if missing {
		r.missing++
	}
}

// whole reports whether nearly all are reached, and enough of them to say so.
func (r reachability) mostlyReachable() bool {
	return r.known >= minUnresponsive && float64(r.missing) <= maxMissingShare*float64(r.known)
}

// partitioned reports whether a whole data hall is reached while others are not.
func partitioned(halls map[string]reachability) bool {
	for hall, r := range halls {
		if hall != "" && r.mostlyReachable() {
			return true
		}
	}
	return false
}

// checkIsolation sets whether this entry is isolated: of the agents that it has heard from in
// the last few seconds more than half are silent or lost now, and in each hall some, or it has just
// found the first.
func (o *Owner) checkIsolation(now time.Duration) {
	var all reachability
	halls := make(map[string]reachability)
	for _, a := range o.byName {
		if !a.wasHome || now-a.lastFrameAt > isolationTime && !a.answers() {
			continue
		}
		all.add(!a.answers())
		hall := halls[a.lastHall]
		hall.add(!a.answers())
		halls[a.lastHall] = hall
	}
	known, missing := all.known, all.missing
	before := o.isolated
	majorityMissing := 2*missing > known
	o.partitioned = majorityMissing && partitioned(halls)
	o.isolated = majorityMissing && !o.partitioned || now < o.isolatedUntil
	if o.isolated == before {
		return
	}
	o.logIsolation(known, missing)
	if o.isolated {
		return
	}
	for _, j := range o.sortedJobs() {
		o.claimsChanged(now, j)
	}
}

// meetsOthers reports whether one of j's homes is one that entries choose which reach all agents:
// of those heard of lately the first by rank, or the first in another hall.
func (o *Owner) sharesHome(now time.Duration, j *job) bool {
	first := o.lowestRankedAgent(now, j, nil)
	if first == nil || j.hasHome(first) {
		return first != nil
	}
	second := o.lowestRankedAgent(now, j, first)
	return second != nil && j.hasHome(second)
}

// leastOf returns the agent of the least rank for j of those that were heard of lately, in another
// hall than one that is not nil.
func (o *Owner) lowestRankedAgent(now time.Duration, j *job, other *agent) *agent {
	var best *agent
	var least claim.Rank
	for _, a := range o.byName {
		lately := a.answers() || a.wasHome && now-a.lastFrameAt <= isolationTime
		if !a.home || !lately || other != nil && a.lastHall == other.lastHall {
			continue
		}
		if rank := claim.RankOf(j.hash, a.hash); best == nil || rank < least {
			best, least = a, rank
		}
	}
	return best
}

// Isolated reports whether this entry takes itself to be cut off.
func (o *Owner) Isolated() bool {
	return o.isolated
}
