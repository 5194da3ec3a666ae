package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
)

// An entry counts as isolated if most agents are silent or lost and no data hall is mostly
// reachable. It then starts no job that it had not claimed before, since other entries may choose
// other homes for the same job.
//
// An entry is partitioned, not isolated, if most agents are silent or lost but a data hall is
// mostly reachable, so that work can continue in that hall. Entries in other halls may be
// partitioned as well. A partitioned entry starts a new job only if it has claimed the job at one
// of the homes that a fully connected entry would choose, because conflicting claims are detected
// there. The other jobs wait until the unreachable agents have sent no frame for isolationTime.

// isolationTime is how long after its last frame a silent or lost agent counts toward isolation.
// After that it is taken to be down, and the remaining halls resume service. An agent is silent
// while it leaves a claim unanswered (agent.silentSince).
const isolationTime = 3 * time.Second

// maxMissingShare is the share of a hall's agents that may be silent or lost while the hall
// counts as reachable, since single hosts fail independently.
const maxMissingShare = 0.2

// startupIsolationTime is how long an entry counts as isolated after it connects to an agent
// while it has no other connection. Until it has connected to the other agents, homes would be
// chosen among few agents: without it 5 of 2,000 histories with copies of submissions ran a task
// twice at once.
const startupIsolationTime = 60 * time.Millisecond

// beginIsolation starts the isolation that follows the first connection if no agent is
// connected. It must be called for each new connection before the agent is marked as connected.
func (o *Owner) beginIsolation(now time.Duration) {
	for _, a := range o.byName {
		if a.connected {
			return
		}
	}
	o.isolatedUntil = now + startupIsolationTime
	o.isolated = true
}

// reachability counts the agents that have sent a frame within isolationTime, and those of them
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

// mostlyReachable reports whether at most maxMissingShare of at least minUnresponsive agents
// are missing.
func (r reachability) mostlyReachable() bool {
	return r.known >= minUnresponsive && float64(r.missing) <= maxMissingShare*float64(r.known)
}

// anyHallReachable reports whether at least one data hall is mostly reachable.
func anyHallReachable(halls map[string]reachability) bool {
	for hall, r := range halls {
		if hall != "" && r.mostlyReachable() {
			return true
		}
	}
	return false
}

// checkIsolation updates isolated and partitioned. If more than half of the agents that have sent
// a frame within isolationTime are silent or lost, the entry is partitioned if a hall is mostly
// reachable, and isolated otherwise. It is also isolated until isolatedUntil.
func (o *Owner) checkIsolation(now time.Duration) {
	var all reachability
	halls := make(map[string]reachability)
	for _, a := range o.byName {
		if !a.supportsClaims || now-a.lastFrameAt > isolationTime && !a.answers() {
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
	o.partitioned = majorityMissing && anyHallReachable(halls)
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

// sharesHome reports whether j has a home that entries with full connectivity would choose: the
// agent of the lowest rank, or the agent of the lowest rank in another hall.
func (o *Owner) sharesHome(now time.Duration, j *job) bool {
	first := o.lowestRankedAgent(now, j, nil)
	if first == nil || j.hasHome(first) {
		return first != nil
	}
	second := o.lowestRankedAgent(now, j, first)
	return second != nil && j.hasHome(second)
}

// lowestRankedAgent returns the agent of the lowest rank for j among those that have sent a
// frame within isolationTime. If other is not nil, agents in other's hall are excluded.
func (o *Owner) lowestRankedAgent(now time.Duration, j *job, other *agent) *agent {
	var best *agent
	var least claim.Rank
	for _, a := range o.byName {
		recent := a.answers() || a.supportsClaims && now-a.lastFrameAt <= isolationTime
		if !a.eligibleHome || !recent || other != nil && a.lastHall == other.lastHall {
			continue
		}
		if rank := claim.RankOf(j.hash, a.hash); best == nil || rank < least {
			best, least = a, rank
		}
	}
	return best
}

// Isolated reports whether this entry counts as isolated.
func (o *Owner) Isolated() bool {
	return o.isolated
}
