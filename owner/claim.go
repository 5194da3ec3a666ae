package owner

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/stage"
)

// Claims: before a task of a job starts, the job is claimed at its homes, so that no other
// entry has it (package claim). Where another entry has it the job joins: it starts nothing
// here, and gets that entry's answer, or the claim when that entry gives it up or is lost.

const (
	// contestTime is how long an entry that has started a job waits for another one to give
	// the job back that has not. A few round trips. Not measured.
	contestTimeout = 30 * time.Millisecond
	// holdTime is how long a reservation is held for jobs whose claims are under way: it
	// and the claims are asked for at once. Half of what the agent reserves it for
	// (reservationTime in package supervisor).
	reservationHoldTime = 20 * time.Millisecond
)

// claimed reports whether tasks of j may be started as far as other entries go: every home
// has granted it, and no run of an earlier submission is left. A job without homes is not
// protected where no agent of this version is connected; where all are silent, or most, it
// waits, since it is this entry that is cut off: others may have other homes for it.
func (o *Owner) claimed(j *job) bool {
	if o.dropped[j.spec.ID] != nil || len(j.homes) == 0 && j.homeCount > 0 && o.homesExist() {
		return false
	}
	if o.isolated && j.claimedAt == 0 && j.homeCount > 0 && o.homesExist() {
		return false
	}
	if o.partitioned && j.claimedAt == 0 && j.homeCount > 0 && !o.sharesHome(o.lastTickAt, j) {
		return false
	}
	return !slices.ContainsFunc(j.homes, func(h home) bool { return h.state == asked || h.state == held })
}

// joined reports whether another entry has j, as far as is known.
func (j *job) joined() bool {
	return !j.started() && slices.ContainsFunc(j.homes, func(h home) bool { return h.state == held })
}

// receiveReply handles what a home says of a claim.
func (o *Owner) receiveReply(now time.Duration, a *agent, r claim.Reply) {
	o.cancelReply(now, r)
	j := o.jobs[r.Job]
	if j == nil {
		return
	}
	switch r.State {
	case claim.Granted:
		j.earlierRun = j.earlierRun || r.Ran
		j.earlierLosses = max(j.earlierLosses, r.Losses)
		j.setHomeState(a, granted)
		if o.giveUpAfterLosses(now, j) {
			return
		}
	case claim.Held:
		o.handleHeld(now, j, a)
	case claim.Answered:
		if !j.joined() {
			o.logJoined(j, a, "answered")
			o.stats.Joined++
		}
		o.answer(now, j, answerOf(r))
		return
	}
	o.claimsChanged(now, j)
}

// setHomeState records what a home of j said.
func (j *job) setHomeState(a *agent, state homeState) {
	for k := range j.homes {
		if j.homes[k].agent == a {
			j.homes[k].state = state
		}
	}
}

// claimHeld handles that another entry has j at a home. Of two entries that each have a home,
// the one whose home ranks first keeps it: so this entry gives back those that rank later. Where
// it has started the job and the other one has not, that one gives it back; where that takes too
// long this one stops what runs here.
func (o *Owner) handleHeld(now time.Duration, j *job, a *agent) {
	rank := claim.RankOf(j.hash, a.hash)
	first := slices.IndexFunc(j.homes, func(h home) bool { return h.state == granted })
	if j.started() && first >= 0 && j.homes[first].rank < rank {
		j.setHomeState(a, outranked)
		return
	}
	if !j.joined() {
		o.logJoined(j, a, "held")
		o.stats.Joined++
	}
	j.earlierRun = true
	j.setHomeState(a, held)
	if j.started() {
		j.contestedAt = now
		return
	}
	o.releaseLaterHomes(j, rank)
}

// checkContested yields the jobs that other entries have and have not given back.
func (o *Owner) checkContested(now time.Duration) {
	for _, j := range o.sortedJobs() {
		if j.contestedAt == 0 || now-j.contestedAt < contestTimeout {
			continue
		}
		j.contestedAt = 0
		k := slices.IndexFunc(j.homes, func(h home) bool { return h.state == held })
		if k >= 0 && j.started() {
			o.yield(now, j, o.releaseLaterHomes(j, j.homes[k].rank))
		}
	}
}

// concede gives j, of which nothing was started here, back to an entry that has started it and
// waits for it at a home, and joins it there.
func (o *Owner) transferClaim(now time.Duration, j *job, a *agent) {
	k := slices.IndexFunc(j.homes, func(h home) bool { return h.agent == a })
	if k < 0 || j.started() {
		return
	}
	j.earlierRun = true
	j.homes = slices.Delete(j.homes, k, k+1)
	o.sendSettlement(a, claim.Settlement{Job: j.spec.ID, Clear: true, Ran: true}, true)
	o.addHome(now, j, a)
	o.claimsChanged(now, j)
}

// giveBack gives the homes of j back that rank after one, and returns them.
func (o *Owner) releaseLaterHomes(j *job, rank claim.Rank) []*agent {
	var given []*agent
	for _, h := range j.homes {
		if h.rank > rank {
			given = append(given, h.agent)
			o.sendSettlement(h.agent, claim.Settlement{Job: j.spec.ID, Clear: !j.started(), Ran: j.mayHaveRun()}, true)
		}
	}
	j.homes = slices.DeleteFunc(j.homes, func(h home) bool { return h.rank > rank })
	return given
}

// yield stops the runs of j, which another entry has: the job waits like one that never
// started here. The homes given back hear when the runs have ended.
func (o *Owner) yield(now time.Duration, j *job, given []*agent) {
	o.stats.Yielded++
	o.logYielded(now, j)
	o.detachRuns(j)
	for k := range j.steps {
		for n := range j.steps[k].tasks {
			if p := j.steps[k].tasks[n].phase; p == placed || p == uncertain {
				j.setPhase(k, n, waiting)
			}
		}
	}
	if e := o.dropped[j.spec.ID]; e != nil {
		e.homes, e.remoteWaiter = given, true
	}
	j.orders = 0
	j.queue.remove(j)
}

// claimsChanged acts on a change of j's claims: it waits in its queue unless another entry
// has it, and starts once it is claimed.
func (o *Owner) claimsChanged(now time.Duration, j *job) {
	if j.joined() {
		j.queue.remove(j)
		return
	}
	o.completeHomes(now, j)
	if o.jobs[j.spec.ID] == j && j.startable() && j.index < 0 {
		j.queue.add(now, j)
	}
	if o.claimed(j) {
		if j.claimedAt == 0 && len(j.homes) > 0 {
			j.claimedAt = now
			o.ObserveStage.Observe(stage.Claiming, now-j.arrived)
		}
		o.useHeldReservations(now, j.queue)
		o.schedule(now, j.queue)
	}
}
