package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// Interface for callers: submission and cancellation of jobs.

// WaitingJobs returns the number of jobs of a queue with no started task.
func (o *Owner) WaitingJobs(queue string) int {
	count := 0
	for _, j := range o.jobs {
		if j.spec.Queue == queue && !j.started() {
			count++
		}
	}
	return count
}

// Submit accepts or refuses a job. A job with the id of an owned job joins it, and both callers
// get the same answer. answer is called once, possibly before Submit returns, and never after
// Cancel is called with the returned caller number.
func (o *Owner) Submit(now time.Duration, spec task.Job, answer func(Answer)) uint64 {
	defer o.flush(now)
	o.callers++
	o.lastJobAt = now
	j := o.jobs[spec.ID]
	if j == nil {
		if why := admit(len(o.jobs), o.linkDelay(now, spec)); why != code.OK {
			o.rejectJob(now, spec, why, answer)
			return o.callers
		}
		j = o.accept(now, spec)
	}
	j.callers[o.callers] = answer
	o.checkDeadlines(now, j)
	if o.jobs[spec.ID] == j && !j.started() && o.needsEvacuatedHall(now, j) {
		o.giveUp(now, j, code.JobEvacuated)
	}
	o.schedule(now, o.queue(spec.Service))
	return o.callers
}

// rejectJob refuses a job before anything is allocated for it.
func (o *Owner) rejectJob(now time.Duration, spec task.Job, why code.Code, answer func(Answer)) {
	o.stats.Refused++
	o.logRejectedJob(spec, why)
	o.countAnswer(why)
	retry := RetryAfter
	if why == code.JobLinkFull {
		retry = o.link.retryAfter(now, spec)
	}
	answer(Answer{Kind: Refused, Why: why, Retry: retry})
}

// accept adds a job and queues it.
func (o *Owner) accept(now time.Duration, spec task.Job) *job {
	q := o.queue(spec.Service)
	j := newJob(now, o.withEstimates(spec, q.usualSpeed))
	o.setSpreads(j)
	j.queue = q
	o.jobs[spec.ID] = j
	o.stats.Submitted++
	o.logAccepted(j, spec.Chain())
	o.recordMissingLabels(j)
	j.earlierRun = o.dropped[spec.ID] != nil
	j.homeCount = o.newJobHomeCount(now)
	o.completeHomes(now, j)
	j.queue.add(now, j)
	return j
}

// Cancel removes one caller from a job. A job without callers is stopped without an answer.
func (o *Owner) Cancel(now time.Duration, id string, caller uint64) {
	defer o.flush(now)
	j := o.jobs[id]
	if j == nil || j.callers[caller] == nil {
		return
	}
	delete(j.callers, caller)
	o.cancelIfAbandoned(now, j)
}

// cancelIfAbandoned stops j if no caller waits for it, here or at another entry. It reports
// whether it did.
func (o *Owner) cancelIfAbandoned(now time.Duration, j *job) bool {
	if len(j.callers) > 0 || j.hasRemoteWaiter() {
		return false
	}
	o.stats.Cancelled++
	o.logCancelled(now, j)
	o.drop(now, j, Answer{})
	return true
}
