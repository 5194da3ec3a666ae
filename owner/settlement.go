package owner

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
)

// Settlements: what the homes of a job are told when it is answered or dropped, and what they
// tell of others who care for it.

// answerOf returns the answer that a home has.
func answerOf(r claim.Reply) Answer {
	kinds := map[claim.Outcome]Kind{
		claim.Completed: Completed, claim.Failed: Failed, claim.GivenUp: GivenUp, claim.Cancelled: Cancelled,
		claim.Refused: Refused,
	}
	return Answer{Kind: kinds[r.Outcome], Why: r.Why, Retry: r.Retry}
}

// outcomeOf returns what homes are told of an answer; the zero answer is none.
func outcomeOf(k Kind) claim.Outcome {
	outcomes := map[Kind]claim.Outcome{
		Completed: claim.Completed, Failed: claim.Failed, GivenUp: claim.GivenUp, Cancelled: claim.Cancelled,
		Refused: claim.Refused,
	}
	return outcomes[k]
}

// settle tells the homes of a job that is dropped how it was answered. A job without an answer
// to remember is free once its runs have ended: ending.go tells it then. A refusal goes at once,
// since its caller may come back soon, but not over a busy link.
func (o *Owner) settle(now time.Duration, j *job, a Answer) {
	s := claim.Settlement{Job: j.spec.ID, Outcome: outcomeOf(a.Kind), Why: a.Why, Retry: a.Retry}
	s.Ran = s.Outcome == claim.None && j.mayHaveRun()
	s.Losses = j.losses()
	e := o.dropped[j.spec.ID]
	s.Clear = e == nil
	for _, h := range j.homes {
		if e != nil && !slices.Contains(e.homes, h.agent) {
			e.homes = append(e.homes, h.agent)
		}
		if s.Clear || s.Outcome != claim.None {
			o.sendSettlement(h.agent, s, j.hasRemoteWaiter() || j.earlierRun || a.Kind == Refused && !o.linkBusy(now))
		}
	}
	if e != nil {
		e.remoteWaiter = e.remoteWaiter || j.hasRemoteWaiter()
		e.losses = s.Losses
	}
}

// tellSettled adds a settlement to the next frame to a home, at once where somebody waits for
// it. Without anybody it may take as long as a heartbeat.
func (o *Owner) sendSettlement(a *agent, s claim.Settlement, atOnce bool) {
	if !a.connected || a.level < peer.LevelClaim {
		return // it forgets the claim, or grants it to nobody before its time is over
	}
	a.out.Settled = append(a.out.Settled, s)
	if atOnce || o.shuttingDown {
		o.markDirty(a)
	}
}

// receiveInterest handles that another entry waits for a job, or a caller there cancels it.
// Whatever becomes of it, a frame goes back: so the home knows that this entry lives.
func (o *Owner) receiveInterest(now time.Duration, a *agent, i claim.Interest) {
	o.markDirty(a)
	j := o.jobs[i.Job]
	switch {
	case i.Cancel:
		if j != nil {
			o.answer(now, j, Answer{Kind: Cancelled, Why: code.JobCancelled})
		}
	case j != nil && i.Begun && !j.started():
		o.transferClaim(now, j, a)
	case j != nil:
		j.setRemoteWaiter(a, i.Waits)
		o.cancelIfAbandoned(now, j)
	case o.dropped[i.Job] != nil:
		o.dropped[i.Job].remoteWaiter = i.Waits
	case i.Waits && !slices.ContainsFunc(a.out.Settled, func(s claim.Settlement) bool { return s.Job == i.Job }):
		o.sendSettlement(a, claim.Settlement{Job: i.Job, Clear: true}, true)
	}
}

// Leave has every settlement told at once from now on, since the process is about to end, and
// those that wait for a frame.
func (o *Owner) Leave(now time.Duration) {
	o.shuttingDown = true
	for _, a := range o.byName {
		if len(a.out.Settled) > 0 {
			o.markDirty(a)
		}
	}
	o.flush(now)
}

// setWanted records whether another entry waits for j at a home.
func (j *job) setRemoteWaiter(a *agent, wanted bool) {
	for k := range j.homes {
		if j.homes[k].agent == a {
			j.homes[k].remoteWaiter = wanted
		}
	}
}

// wanted reports whether another entry waits for j's answer.
func (j *job) hasRemoteWaiter() bool {
	return slices.ContainsFunc(j.homes, func(h home) bool { return h.remoteWaiter })
}
