package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/code"
)

// Cancellations by callers, of jobs that this entry has and of those that another one has.

const (
	// cancelTimeout is how long the homes of a job may take to say whether they know it.
	// Some ten round trips. Not measured.
	cancelTimeout = 100 * time.Millisecond
)

// lookup is a cancellation of a job that this entry does not have.
type lookup struct {
	since   time.Duration
	homes   int // that have not answered
	answers []func(known bool)
}

// CancelJob ends a job on a caller's order and answers all who wait for it. answer is called
// once, possibly before CancelJob returns: whether the job was known here or at its homes,
// which pass the order on to the entry that has it.
func (o *Owner) CancelJob(now time.Duration, id string, answer func(known bool)) {
	defer o.flush(now)
	if j := o.jobs[id]; j != nil {
		o.answer(now, j, Answer{Kind: Cancelled, Why: code.JobCancelled})
		answer(true)
		return
	}
	if l := o.lookups[id]; l != nil {
		l.answers = append(l.answers, answer)
		return
	}
	asked := o.sendCancellations(id)
	if asked == 0 {
		answer(false)
		return
	}
	o.lookups[id] = &lookup{since: now, homes: asked, answers: []func(bool){answer}}
}

// askHomesToCancel passes a cancellation on to the homes that the job would have, and returns
// how many they are.
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

// cancelReply handles what a home says of a cancellation.
func (o *Owner) cancelReply(now time.Duration, r claim.Reply) {
	l := o.lookups[r.Job]
	if l == nil {
		return
	}
	switch r.State {
	case claim.Cancelling:
		o.endLookup(now, r.Job, true)
	case claim.Answered:
		o.endLookup(now, r.Job, r.Outcome == claim.Cancelled)
	case claim.Unknown:
		if l.homes--; l.homes == 0 {
			o.endLookup(now, r.Job, false)
		}
	}
}

// endLookup answers the callers who cancelled a job.
func (o *Owner) endLookup(now time.Duration, id string, known bool) {
	l := o.lookups[id]
	delete(o.lookups, id)
	o.logCancelPassed(id, known, now-l.since)
	for _, answer := range l.answers {
		answer(known)
	}
}

// checkLookups ends the cancellations whose homes do not answer.
func (o *Owner) checkLookups(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(o.lookups)) {
		if now-o.lookups[id].since >= cancelTimeout {
			o.endLookup(now, id, false)
		}
	}
}
