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

// Moving and retrying runs. A run that takes far too long is stopped; its task is
// started elsewhere once the agent reports the end, never before.
const (
	// A run is stopped when it takes so much longer than likely that few sound ones
	// do: overdueDeviations standard deviations of what runs are off their estimates,
	// but overdueFactor times as long at the least, and overdueSlack more. Each time that
	// a task was overdue elsewhere already doubles it: then it is the task that takes
	// long, and not the target.
	overdueDeviations = 5.0
	overdueFactor     = 2.5
	overdueSlack      = 100 * time.Millisecond
	// failureBackoff is how long a task is kept away from an agent at which it
	// failed or was overdue, rejectionBackoff from one whose target did not start it.
	// Where the agent itself rejected the order its state, in the same frame, says why.
	failureBackoff   = 3 * time.Second
	rejectionBackoff = 30 * time.Millisecond
	// maxTargetFailures is how many failures that count as the target's fault a
	// task may have beyond the attempts that its queue allows. Half and double: no difference.
	maxTargetFailures = 5
)

// runOverdue reports whether a run of the given age should be stopped. estimate is
// for a target of speed 1, spread the standard deviation of the logarithm of the time
// that runs take over their estimates, moves how often the task was overdue before.
func runOverdue(age, estimate time.Duration, speed, spread float64, overdueStops int) bool {
	likely := float64(estimate) / speed
	factor := math.Ldexp(max(overdueFactor, math.Exp(overdueDeviations*spread)), overdueStops)
	return age > time.Duration(factor*likely)+overdueSlack
}

// attemptsUsedUp reports whether a task has failed too often for another run.
// failures are all its failed runs, taskFailures those that were not the target's
// fault, attempts what its queue allows.
func attemptsUsedUp(failures, taskFailures, attempts int) bool {
	return taskFailures >= attempts || failures >= attempts+maxTargetFailures
}

// neverReachedTarget reports whether an order that was rejected for the reason was
// not passed on to the target.
func neverReachedTarget(why code.Code) bool {
	switch why {
	case code.RunNoRoom, code.RunNotTaking, code.RunStaleOwner, code.RunSpecUnknown, code.RunHallEvacuated:
		return true
	}
	return false
}

// checkOverdue stops a run that has taken far too long.
func (o *Owner) checkOverdue(now time.Duration, j *job, step, index int) {
	t := &j.steps[step].tasks[index]
	a := o.agents[t.agent]
	if t.phase != placed || t.stopSent || a == nil || !a.connected {
		return
	}
	if runOverdue(now-t.sentAt, j.spec.Steps[step].Estimate, a.speed(), j.steps[step].spread, t.overdueStops) {
		t.overdueStops++
		o.stopRun(now, a, task.ID{Job: j.spec.ID, Step: step, Index: index}, t, code.RunMovedOverdue)
	}
}

// stopRun orders a run to stop. Its task starts elsewhere when the end is
// reported.
func (o *Owner) stopRun(now time.Duration, a *agent, id task.ID, t *taskState, why code.Code) {
	if t.stopSent {
		return
	}
	t.stopSent = true
	t.keepAway(a, now+failureBackoff)
	o.stop(a, task.Ref{Task: id, Run: t.run})
	o.stats.Moved++
	o.logMoved(now, id, t, a, why)
}

// keepAway keeps the task from a until the given time.
func (t *taskState) keepAway(a *agent, until time.Duration) {
	t.avoid = a.name
	t.avoidUntil = until
}

// runEnded handles the end of a run: its job is answered, or its task waits to be
// started again. Ends of runs that are not expected are ignored: their job is
// answered, or they belong to an earlier connection.
func (o *Owner) runEnded(now time.Duration, a *agent, e peer.Ended) {
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
		if attemptsUsedUp(t.failures, t.taskFailures, j.spec.Attempts) {
			o.answer(now, j, Answer{Kind: Failed, Why: code.JobAttempts})
			return
		}
	case task.EndRejected:
		o.recordRejection(now, a, j, t, e.Reason)
	default:
		t.keepAway(a, now+rejectionBackoff)
	}
	j.setPhase(id.Step, id.Index, waiting)
	if e.End != task.EndRejected && o.recordLoss(now, a, j, id, t, e.Reason) {
		return
	}
	o.logWaits(t, a, e)
	o.requeue(now, j)
}

// taskDone records that a task ended with success. The job is completed with its
// last task; with the last one of a step, later steps may start.
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

// recordFailure counts a failed run.
func (j *job) recordFailure(now time.Duration, a *agent, t *taskState, targetFault bool) {
	t.keepAway(a, now+failureBackoff)
	t.failures++
	if !targetFault {
		t.taskFailures++
	}
	if !slices.Contains(j.failedAt, a.name) {
		j.failedAt = append(j.failedAt, a.name)
	}
}

// recordRejection counts a run that did not begin.
func (o *Owner) recordRejection(now time.Duration, a *agent, j *job, t *taskState, why code.Code) {
	o.stats.Rejected++
	t.tries--
	if neverReachedTarget(why) {
		j.orders--
	} else {
		t.keepAway(a, now+rejectionBackoff)
	}
	if why == code.RunSpecUnknown {
		a.specs = peer.Specs{} // the next order has it
		j.specAgent = ""
	}
	if why == code.RunOld {
		t.run *= 2 // the target has seen a run with this number or a higher one
	}
}
