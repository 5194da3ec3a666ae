package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// The callers' interface: jobs come, and callers leave.

// WaitingJobs returns how many jobs of a queue have no task started.
func (o *Owner) WaitingJobs(queue string) int {
	count := 0
	for _, j := range o.jobs {
		if j.spec.Queue == queue && !j.started() {
			count++
		}
	}
	return count
}

// Submit takes a job. A job with the id of one that is owned joins it: both
// callers get the same answer. answer is called once, possibly before Submit
// returns, and never after Cancel with the returned number, which names this
// caller's interest in the job.
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

// rejectJob answers a job for which nothing was allocated.
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

// accept makes spec a job of this entry and queues it.
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

// Cancel ends one caller's interest in a job. A job that nobody waits for any more
// is stopped without an answer.
func (o *Owner) Cancel(now time.Duration, id string, caller uint64) {
	defer o.flush(now)
	j := o.jobs[id]
	if j == nil || j.callers[caller] == nil {
		return
	}
	delete(j.callers, caller)
	o.cancelIfAbandoned(now, j)
}

// abandonUnwanted stops a job that nobody waits for, here or at another entry. It reports
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
