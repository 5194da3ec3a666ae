package owner

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/stage"
)

// A job is claimed at its homes before any of its tasks starts, so that a single entry runs it
// (package claim). If another entry holds the job, this entry joins it: it starts nothing, and
// receives that entry's answer, or the claim if that entry drops the job or is lost.

const (
	// contestTimeout is how long an entry that has started a job waits for another entry to
	// release the claim before it stops its own runs.
	contestTimeout = 30 * time.Millisecond
	// reservationKeepTime is how long a reservation is kept for jobs whose claims are pending.
	// It is half the time for which the agent reserves the room (reservationTTL in package
	// supervisor).
	reservationKeepTime = 20 * time.Millisecond
)

// mayStart reports whether the claims of j permit its tasks to start: no claim is unanswered or
// held by another entry that keeps it, and no run of an earlier submission is left. A job
// without homes may start unclaimed only if no connected agent supports claims. Jobs that were
// not claimed before wait while this entry is isolated, is partitioned without a shared home, or
// has lost the job's first homes, because other entries may choose other homes for them.
func (o *Owner) mayStart(j *job) bool {
	if o.dropped[j.desc.ID] != nil || len(j.homes) == 0 && j.homeCount > 0 && o.homesExist() {
		return false
	}
	if o.isolated && j.claimedAt == 0 && j.homeCount > 0 && o.homesExist() {
		return false
	}
	if o.partitioned && j.claimedAt == 0 && j.homeCount > 0 && !o.sharesHome(o.lastTickAt, j) {
		return false
	}
	if j.claimedAt == 0 && j.lostFirstHomes() && o.homesExist() {
		return false
	}
	return !slices.ContainsFunc(j.homes, func(h home) bool { return h.state == asked || h.state == held })
}

// joined reports whether j is not started here and another entry holds it, as far as is known.
func (j *job) joined() bool {
	return !j.started() && slices.ContainsFunc(j.homes, func(h home) bool { return h.state == held })
}

// receiveReply handles a home's reply to a claim.
func (o *Owner) receiveReply(now time.Duration, a *agent, r claim.Reply) {
	o.cancelReply(now, r)
	void := a.takeVoidClaim(r)
	j := o.jobs[r.Job]
	if j == nil {
		return
	}
	if void {
		o.claimAt(now, j, a)
	}
	switch r.State {
	case claim.Granted:
		j.earlierRun = j.earlierRun || r.Ran
		j.earlierLosses = max(j.earlierLosses, r.Losses)
		if !void {
			j.setHomeState(a, granted)
		}
		if o.giveUpAfterLosses(now, j) {
			return
		}
	case claim.Held:
		o.handleHeld(now, j, a)
	case claim.Answered:
		if o.receiveAnswer(now, j, a, r) {
			return
		}
	}
	o.claimsChanged(now, j)
}

// takeVoidClaim reports whether r is the reply to a void claim, and removes that claim.
func (a *agent) takeVoidClaim(r claim.Reply) bool {
	if r.State == claim.Unknown || r.State == claim.Cancelling || !a.voidClaims[r.Job] {
		return false // Unknown and Cancelling reply to cancellations
	}
	delete(a.voidClaims, r.Job)
	return true
}

// receiveAnswer answers j as a home has recorded. It reports false if the answer is the refusal of an
// earlier submission and j has started: agents of the previous version send it (Registry.Claim).
func (o *Owner) receiveAnswer(now time.Duration, j *job, a *agent, r claim.Reply) bool {
	if r.Outcome == claim.Refused && j.started() {
		j.setHomeState(a, granted)
		return false
	}
	if !j.joined() {
		o.logJoined(j, a, "answered")
		o.stats.Joined++
	}
	known := j.knownAnswer(answerOf(r))
	j.setHomeState(a, granted) // it has replied, so that the claim does not become void
	o.answer(now, j, known)
	return true
}

// knownAnswer returns the answer to j for an answer that a home has retained. A refusal is one of an
// earlier submission, which ran nothing, unless another entry holds j now and has refused it. If j
// may have run in yet another submission, it is given up instead.
func (j *job) knownAnswer(a Answer) Answer {
	if a.Kind == Refused && j.mayHaveRun() && !j.joined() {
		a.Kind = GivenUp
	}
	return a
}

// setHomeState records the state of the claim of j at a home.
func (j *job) setHomeState(a *agent, state homeState) {
	for k := range j.homes {
		if j.homes[k].agent == a {
			j.homes[k].state = state
		}
	}
}

// handleHeld handles a reply that another entry holds the claim of j at a home. If two entries
// each hold the claim at one home, the entry whose home has the lower rank keeps the job.
//
// If j is started here and the claim is granted at a home of lower rank, this entry keeps j, and
// the other entry will release its claim. If j is started here but no such home has granted the
// claim, j is contested (checkContested). If j is not started here, this entry joins it and
// releases its claims at the homes of higher rank than the one that replied.
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

// checkContested yields the contested jobs whose claims other entries have not released within
// contestTimeout.
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

// transferClaim releases the claim of j at a home to the entry that waits there and has started
// the job. It then claims j there again, to join it. It does nothing if j is started here.
func (o *Owner) transferClaim(now time.Duration, j *job, a *agent) {
	k := slices.IndexFunc(j.homes, func(h home) bool { return h.agent == a })
	if k < 0 || j.started() {
		return
	}
	j.earlierRun = true
	j.homes = slices.Delete(j.homes, k, k+1)
	o.sendSettlement(a, j.releaseOf(true), true)
	o.addHome(now, j, a)
	o.claimsChanged(now, j)
}

// releaseLaterHomes releases the claims of j at the homes of higher rank than the given one and
// returns those homes.
func (o *Owner) releaseLaterHomes(j *job, rank claim.Rank) []*agent {
	var released []*agent
	for _, h := range j.homes {
		if h.rank > rank {
			released = append(released, h.agent)
			j.voidIfAsked(h)
			o.sendSettlement(h.agent, j.releaseOf(!j.started()), true)
		}
	}
	j.homes = slices.DeleteFunc(j.homes, func(h home) bool { return h.rank > rank })
	return released
}

// yield leaves j to the entry that holds it: the runs of j here are ordered to stop, and j waits
// like a job that was never started here. The released homes are informed when the runs have
// ended.
func (o *Owner) yield(now time.Duration, j *job, released []*agent) {
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
	if d := o.dropped[j.desc.ID]; d != nil {
		d.homes, d.remoteWaiter = released, true
	}
	j.orders = 0
	j.queue.remove(j)
}

// claimsChanged updates j after a change of its claims. If another entry holds j, it is removed
// from the queue; if j is claimed, its tasks may start.
func (o *Owner) claimsChanged(now time.Duration, j *job) {
	if j.joined() {
		j.queue.remove(j)
		return
	}
	o.completeHomes(now, j)
	if o.jobs[j.desc.ID] == j && j.startable() && j.index < 0 {
		j.queue.add(now, j)
	}
	if o.mayStart(j) {
		if j.claimedAt == 0 && len(j.homes) > 0 {
			j.claimedAt = now
			o.ObserveStage.Observe(stage.Claiming, now-j.arrived)
		}
		o.useKeptReservations(now, j.queue)
		o.schedule(now, j.queue)
	}
}
