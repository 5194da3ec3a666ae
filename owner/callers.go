package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// Submission of jobs, and callers that no longer wait.

// WaitingJobs returns the number of jobs of a configured queue with no started task.
func (o *Owner) WaitingJobs(queue string) int {
	count := 0
	for _, j := range o.jobs {
		if j.desc.Queue == queue && !j.started() {
			count++
		}
	}
	return count
}

// Submit accepts or refuses a job. A job with the id of an owned job joins it, and both callers
// get the same answer. answer is called once, possibly before Submit returns, and never after
// RemoveCaller is called with the returned caller number.
func (o *Owner) Submit(now time.Duration, desc task.Job, answer func(Answer)) uint64 {
	defer o.flush(now)
	o.callers++
	o.lastJobAt = now
	j := o.jobs[desc.ID]
	if j == nil {
		if why := admit(len(o.jobs), o.linkDelay(now, desc)); why != code.OK {
			o.refuseNewJob(now, desc, why, answer)
			return o.callers
		}
		j = o.accept(now, desc)
	}
	j.callers[o.callers] = answer
	o.checkDeadlines(now, j)
	if o.jobs[desc.ID] == j && !j.started() && o.needsEvacuatedHall(now, j) {
		o.endEarly(now, j, code.JobEvacuated)
	}
	o.schedule(now, o.queue(desc.Service))
	return o.callers
}

// refuseNewJob refuses a job before it is stored.
func (o *Owner) refuseNewJob(now time.Duration, desc task.Job, why code.Code, answer func(Answer)) {
	o.stats.Refused++
	o.logRefusedJob(desc, why)
	o.countAnswer(why)
	retry := DefaultRetryAfter
	if why == code.JobLinkFull {
		retry = o.link.retryAfter(now, desc)
	}
	answer(Answer{Kind: Refused, Why: why, Retry: retry})
}

// accept adds a job and queues it.
func (o *Owner) accept(now time.Duration, desc task.Job) *job {
	q := o.queue(desc.Service)
	j := newJob(now, o.withEstimates(desc, q.usualSpeed))
	o.setSpreads(j)
	j.queue = q
	o.jobs[desc.ID] = j
	o.stats.Accepted++
	o.logAccepted(j, desc.CriticalPath())
	o.recordMissingLabels(j)
	j.earlierRun = o.dropped[desc.ID] != nil
	j.homeCount = o.newJobHomeCount(now)
	o.completeHomes(now, j)
	j.queue.add(now, j)
	return j
}

// RemoveCaller removes one caller from a job. If no caller is left, the job is stopped without an
// answer, unless another entry waits for it.
func (o *Owner) RemoveCaller(now time.Duration, id string, caller uint64) {
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
