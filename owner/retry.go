package owner

import (
	"math"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/stage"
	"github.com/beaconpoint/beaconpoint/task"
)

// Overdue runs are stopped. A task is started again only after the agent has reported the end of
// its previous run, or after the agent was lost and the run can no longer be active.
const (
	// A run is overdue once its age exceeds the expected duration by a factor, plus
	// overdueSlack. The factor covers overdueDeviations standard deviations of the estimation
	// error and is at least overdueFactor. It doubles with each earlier overdue run of the task,
	// since the task may be slow rather than the target.
	overdueDeviations = 5.0
	overdueFactor     = 2.5
	overdueSlack      = 100 * time.Millisecond
	// failureBackoff is how long a task avoids an agent at which a run failed, or at which a run
	// was ordered to stop because it was overdue or the target was ejected. rejectionBackoff is
	// how long it avoids an agent whose target rejected the order, or at which a run has ended
	// by an expired lease or the loss of the target. An agent that rejects an order itself
	// reports its new state in the same frame and needs no backoff.
	failureBackoff   = 3 * time.Second
	rejectionBackoff = 30 * time.Millisecond
	// maxTargetFailures is the number of target failures that a task may have beyond the
	// attempts of its configured queue.
	maxTargetFailures = 5
)

// runOverdue reports whether a run of the given age should be stopped. estimate applies to a
// target of speed 1, spread is the standard deviation of the logarithm of duration over
// estimate, and overdueStops is the number of earlier runs of the task that were stopped as
// overdue.
func runOverdue(age, estimate time.Duration, speed, spread float64, overdueStops int) bool {
	expected := float64(estimate) / speed
	factor := math.Ldexp(max(overdueFactor, math.Exp(overdueDeviations*spread)), overdueStops)
	return age > time.Duration(factor*expected)+overdueSlack
}

// attemptsUsedUp reports whether a task has failed too often to run again. failures counts all
// failed runs, taskFailures those that were not the target's fault, and attempts is the limit
// of the configured queue.
func attemptsUsedUp(failures, taskFailures, attempts int) bool {
	return taskFailures >= attempts || failures >= attempts+maxTargetFailures
}

// neverReachedTarget reports whether an order that was rejected for the given reason was not
// forwarded to the target.
func neverReachedTarget(why code.Code) bool {
	switch why {
	case code.RunNoRoom, code.RunTargetNotAccepting, code.RunStaleOwner, code.RunSpecUnknown, code.RunHallEvacuated:
		return true
	}
	return false
}

// checkOverdue stops the run of a task if it is overdue.
func (o *Owner) checkOverdue(now time.Duration, j *job, step, index int) {
	t := &j.steps[step].tasks[index]
	a := o.agents[t.agent]
	if t.phase != placed || t.stopSent || a == nil || !a.connected {
		return
	}
	if runOverdue(now-t.sentAt, j.desc.Steps[step].Estimate, a.speed(), j.steps[step].spread, t.overdueStops) {
		t.overdueStops++
		o.stopRun(now, a, task.ID{Job: j.desc.ID, Step: step, Index: index}, t, code.RunMovedOverdue)
	}
}

// stopRun orders a run to stop. The task is queued again when the end of the run is reported.
func (o *Owner) stopRun(now time.Duration, a *agent, id task.ID, t *taskState, why code.Code) {
	if t.stopSent {
		return
	}
	t.stopSent = true
	t.avoidAgent(a, now+failureBackoff)
	o.stop(a, task.Ref{Task: id, Run: t.run})
	o.stats.Moved++
	o.logMoved(now, id, t, a, why)
}

// avoidAgent excludes a for the task until the given time. It replaces the agent of an earlier call;
// for the same agent, the later time applies.
func (t *taskState) avoidAgent(a *agent, until time.Duration) {
	if t.avoid == a.name {
		until = max(until, t.avoidUntil)
	}
	t.avoid = a.name
	t.avoidUntil = until
}

// runEnded handles the reported end of a run: it answers the job or queues the task again.
// Reports of unknown runs are ignored: the job was answered, or the run was ordered on an earlier
// connection.
func (o *Owner) runEnded(now time.Duration, a *agent, e peer.RunEnd) {
	id := e.Ref.Task
	j := a.tasks[id]
	if j == nil {
		if run, found := a.droppedRuns[id]; found && run == e.Ref.Run {
			o.droppedRunEnded(now, a, id)
		}
		return
	}
	t := j.find(id)
	if t.run != e.Ref.Run || t.phase != placed {
		return
	}
	delete(a.tasks, id)
	switch e.End {
	case task.EndDone:
		o.learn(j, id.Step, a, e.Took)
		o.ObserveStage.Observe(stage.Running, now-t.sentAt)
		o.completeTask(now, j, id)
		return
	case task.EndFailed:
		j.recordFailure(now, a, t, e.TargetFault)
		if attemptsUsedUp(t.failures, t.taskFailures, j.desc.Attempts) {
			o.answer(now, j, Answer{Kind: Failed, Why: code.JobAttempts})
			return
		}
	case task.EndRejected:
		o.recordRejection(now, a, j, t, e.Reason)
	default: // stopped, lapsed or lost
		t.avoidAgent(a, now+rejectionBackoff)
	}
	j.setPhase(id.Step, id.Index, waiting)
	if e.End != task.EndRejected && o.recordLoss(now, a, j, id, t, e.Reason) {
		return
	}
	o.logWaits(t, a, e)
	o.requeue(now, j)
}

// completeTask records that a task succeeded. The last task of a job completes the job; the
// last task of a step may enable later steps.
func (o *Owner) completeTask(now time.Duration, j *job, id task.ID) {
	j.setPhase(id.Step, id.Index, done)
	if j.unfinished == 0 {
		o.answer(now, j, Answer{Kind: Completed, Why: code.JobAllDone})
		return
	}
	if j.steps[id.Step].unfinished == 0 {
		o.requeue(now, j)
	}
}

// recordFailure records a failed run.
func (j *job) recordFailure(now time.Duration, a *agent, t *taskState, targetFault bool) {
	t.avoidAgent(a, now+failureBackoff)
	t.failures++
	if !targetFault {
		t.taskFailures++
	}
	if !slices.Contains(j.failedAt, a.name) {
		j.failedAt = append(j.failedAt, a.name)
	}
}

// recordRejection records an order whose run did not begin.
func (o *Owner) recordRejection(now time.Duration, a *agent, j *job, t *taskState, why code.Code) {
	o.stats.Rejected++
	t.tries--
	if neverReachedTarget(why) {
		j.orders--
	} else {
		t.avoidAgent(a, now+rejectionBackoff)
	}
	if why == code.RunSpecUnknown {
		a.specs = peer.SpecCache{} // the next order includes the spec
		j.specAgent = ""
	}
	if why == code.RunStaleNumber {
		// The target has seen this run number or a higher one. Doubling exceeds the highest
		// number after few rejections.
		t.run *= 2
	}
}
