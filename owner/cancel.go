package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/code"
)

// Cancellation of jobs by callers, for jobs of this entry and of others.

const (
	// cancelTimeout is how long the homes of a job may take to reply to a cancellation.
	cancelTimeout = 100 * time.Millisecond
)

// pendingCancel is the cancellation of a job that this entry does not own.
type pendingCancel struct {
	since   time.Duration
	homes   int // homes that have not replied
	answers []func(cancelled bool)
}

// CancelJob cancels a job and answers all callers that wait for it. If this entry does not own
// the job, its homes forward the cancellation to the entry that holds it. answer is called once,
// possibly before CancelJob returns: with true if the job was owned here, its cancellation was
// forwarded or it was already answered as cancelled, and with false otherwise, also if the homes
// have not replied within cancelTimeout.
func (o *Owner) CancelJob(now time.Duration, id string, answer func(cancelled bool)) {
	defer o.flush(now)
	if j := o.jobs[id]; j != nil {
		o.answer(now, j, Answer{Kind: Cancelled, Why: code.JobCancelled})
		answer(true)
		return
	}
	if p := o.pendingCancels[id]; p != nil {
		p.answers = append(p.answers, answer)
		return
	}
	sent := o.sendCancellations(id)
	if sent == 0 {
		answer(false)
		return
	}
	o.pendingCancels[id] = &pendingCancel{since: now, homes: sent, answers: []func(bool){answer}}
}

// sendCancellations sends a cancellation to the agents that would be homes of the job and
// returns their number.
func (o *Owner) sendCancellations(id string) int {
	j := &job{hash: claim.Hash(id)}
	for range o.Homes {
		a := o.nextHome(j, true)
		if a == nil {
			a = o.nextHome(j, false)
		}
		if a == nil {
			break
		}
		j.homes = append(j.homes, home{agent: a})
		a.out.Claims = append(a.out.Claims, claim.Claim{Job: id, Cancel: true})
		o.markDirty(a)
	}
	return len(j.homes)
}

// cancelReply handles a home's reply to a cancellation.
func (o *Owner) cancelReply(now time.Duration, r claim.Reply) {
	p := o.pendingCancels[r.Job]
	if p == nil {
		return
	}
	switch r.State {
	case claim.Cancelling:
		o.endPendingCancel(now, r.Job, true)
	case claim.Answered:
		o.endPendingCancel(now, r.Job, r.Outcome == claim.Cancelled)
	case claim.Unknown:
		if p.homes--; p.homes == 0 {
			o.endPendingCancel(now, r.Job, false)
		}
	}
}

// endPendingCancel answers the callers that cancelled the job.
func (o *Owner) endPendingCancel(now time.Duration, id string, cancelled bool) {
	p := o.pendingCancels[id]
	delete(o.pendingCancels, id)
	o.logCancelPassed(id, cancelled, now-p.since)
	for _, answer := range p.answers {
		answer(cancelled)
	}
}

// checkPendingCancels ends the cancellations whose homes have not replied in time.
func (o *Owner) checkPendingCancels(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(o.pendingCancels)) {
		if now-o.pendingCancels[id].since >= cancelTimeout {
			o.endPendingCancel(now, id, false)
		}
	}
}
