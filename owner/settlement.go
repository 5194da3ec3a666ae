package owner

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
)

// Settlements inform the homes of a job that it was answered or dropped. Interests inform this
// entry that another entry waits for one of its jobs or cancels it.

// answerOf converts the answer in a home's reply.
func answerOf(r claim.Reply) Answer {
	kinds := map[claim.Outcome]Kind{
		claim.Completed: Completed, claim.Failed: Failed, claim.GivenUp: GivenUp, claim.Cancelled: Cancelled,
		claim.Refused: Refused,
	}
	return Answer{Kind: kinds[r.Outcome], Why: r.Why, Retry: r.Retry}
}

// outcomeOf converts the kind of an answer; the zero Kind has no outcome.
func outcomeOf(k Kind) claim.Outcome {
	outcomes := map[Kind]claim.Outcome{
		Completed: claim.Completed, Failed: claim.Failed, GivenUp: claim.GivenUp, Cancelled: claim.Cancelled,
		Refused: claim.Refused,
	}
	return outcomes[k]
}

// settle informs the homes of a dropped job of its answer. If the job has no answer, it may
// start elsewhere once its runs have ended, and droppedRunEnded informs the homes then.
// Refusals are sent at once unless the link is busy, since the caller may soon submit the job
// again.
func (o *Owner) settle(now time.Duration, j *job, a Answer) {
	s := claim.Settlement{Job: j.desc.ID, Outcome: outcomeOf(a.Kind), Why: a.Why, Retry: a.Retry}
	s.Ran = (s.Outcome == claim.None || s.Outcome == claim.GivenUp) && j.mayHaveRun()
	s.Losses = j.losses()
	d := o.dropped[j.desc.ID]
	s.Clear = d == nil
	for _, h := range j.homes {
		j.voidIfAsked(h)
		if d != nil && !slices.Contains(d.homes, h.agent) {
			d.homes = append(d.homes, h.agent)
		}
		if s.Clear || s.Outcome != claim.None {
			o.sendSettlement(h.agent, s, j.hasRemoteWaiter() || j.earlierRun || a.Kind == Refused && !o.linkBusy(now))
		}
	}
	if d != nil {
		d.remoteWaiter = d.remoteWaiter || j.hasRemoteWaiter()
		d.losses = s.Losses
	}
}

// releaseOf returns a settlement that releases the claim of j at a home. clear is set if no run of
// j is left.
func (j *job) releaseOf(clear bool) claim.Settlement {
	return claim.Settlement{Job: j.desc.ID, Clear: clear, Ran: j.mayHaveRun(), Losses: j.losses()}
}

// sendSettlement adds a settlement to the next frame to a home. If atOnce is false, the
// settlement may wait for the next heartbeat.
func (o *Owner) sendSettlement(a *agent, s claim.Settlement, atOnce bool) {
	if !a.connected || a.level < peer.LevelClaim {
		return // the home drops the claim or lets it expire
	}
	a.out.Settled = append(a.out.Settled, s)
	if atOnce || o.shuttingDown {
		o.markDirty(a)
	}
}

// receiveInterest handles a home's notice that another entry waits for a job, or that a caller
// of another entry cancels it. A frame is sent back in any case, which shows the home that this
// entry is alive.
func (o *Owner) receiveInterest(now time.Duration, a *agent, interest claim.Interest) {
	o.markDirty(a)
	j := o.jobs[interest.Job]
	switch {
	case interest.Cancel:
		if j != nil {
			o.answer(now, j, Answer{Kind: Cancelled, Why: code.JobCancelled})
		}
	case j != nil && interest.Begun && !j.started():
		o.transferClaim(now, j, a)
	case j != nil:
		j.setRemoteWaiter(a, interest.Waits)
		o.cancelIfAbandoned(now, j)
	case o.dropped[interest.Job] != nil:
		o.dropped[interest.Job].remoteWaiter = interest.Waits
	case interest.Waits &&
		!slices.ContainsFunc(a.out.Settled, func(s claim.Settlement) bool { return s.Job == interest.Job }):
		o.sendSettlement(a, claim.Settlement{Job: interest.Job, Clear: true}, true)
	}
}

// BeginShutdown sends all pending settlements. Later ones no longer wait for the next heartbeat. It is
// called before the process exits.
func (o *Owner) BeginShutdown(now time.Duration) {
	o.shuttingDown = true
	for _, a := range o.byName {
		if len(a.out.Settled) > 0 {
			o.markDirty(a)
		}
	}
	o.flush(now)
}

// setRemoteWaiter records whether another entry waits for j at a home.
func (j *job) setRemoteWaiter(a *agent, waits bool) {
	for k := range j.homes {
		if j.homes[k].agent == a {
			j.homes[k].remoteWaiter = waits
		}
	}
}

// hasRemoteWaiter reports whether another entry waits for j's answer.
func (j *job) hasRemoteWaiter() bool {
	return slices.ContainsFunc(j.homes, func(h home) bool { return h.remoteWaiter })
}
