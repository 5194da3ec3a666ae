package owner

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// A task may crash every target that starts it, along with all other tasks there, which become
// equally suspect. After a crash, or after a run was lost with a silent target, the task runs
// next on an empty target, of which it takes all room, if one is free within exclusiveWaitTime.
// If that target crashes as well, the job fails.

const (
	// maxCrashes is the number of crashes under a task at which its job fails if the task had at
	// least one of the crashed targets to itself.
	maxCrashes = 2
	// maxNonExclusiveCrashes is the number of crashes under a task at which its job fails if the
	// task had none of the crashed targets to itself. With two, 35 of 3,452 jobs were given up that had
	// only run beside tasks that crash targets; with three, 9.
	maxNonExclusiveCrashes = 3
	// maxLosses is the number of runs of a task, lost with crashed or silent targets over all
	// submissions, at which its job is given up. Whether a silent target has crashed may show only
	// seconds later; the platform allows two starts after three crashes.
	maxLosses = 5
	// maxEarlierLosses is the number of such runs in earlier submissions at which a resubmitted
	// job is given up: an earlier submission may have used the two starts.
	maxEarlierLosses = 3
	// exclusiveWaitTime is how long a crash suspect waits for an empty target before it may share
	// one.
	exclusiveWaitTime = 200 * time.Millisecond
	// correlationWindow is the time within which crashes of several targets count as one event.
	// Such an event, like the loss of a rack or of power, is not attributed to tasks if it
	// affects at least correlatedShare of the agents (correlated) and at least minCorrelated
	// agents. At 759 jobs a second, 2% of which crash eight targets each, 12 of 800 targets crash
	// in this time by chance.
	correlationWindow = 100 * time.Millisecond
	correlatedShare   = 0.1
	minCorrelated     = 3
)

// crash is the crash of a target during a run of a task. at is when the target stopped
// accepting work.
type crash struct {
	agent     *agent
	at        time.Duration
	exclusive bool // no other run was there
}

// recordStoppedAccepting records when a's target stopped accepting work, for the detection of
// correlated crashes.
func (a *agent) recordStoppedAccepting(now time.Duration, wasAccepting bool) {
	if wasAccepting && !a.state.Accepting {
		a.stoppedAcceptingAt = now
	}
}

// correlated reports whether many targets, the crashed one included, stopped accepting work at
// about the same time. The share is taken of the agents that are connected or have ever stopped
// accepting work.
func (o *Owner) correlated(c crash) bool {
	known, stopped := 0, 0
	for _, a := range o.byName {
		if !a.connected && a.stoppedAcceptingAt == 0 {
			continue
		}
		known++
		if a.stoppedAcceptingAt > 0 && (a.stoppedAcceptingAt-c.at).Abs() <= correlationWindow {
			stopped++
		}
	}
	return stopped >= max(minCorrelated, int(correlatedShare*float64(known)))
}

// recordLoss records the end of a run whose target crashed, became silent or had no such run. It
// reports whether the job was given up because the task has lost too many targets.
func (o *Owner) recordLoss(now time.Duration, a *agent, j *job, id task.ID, t *taskState, why code.Code) bool {
	switch why {
	case code.RunTargetGone:
		o.recordCrash(now, a, j, task.Ref{Task: id, Run: t.run}, t)
	case code.RunTargetSilent, code.RunAbsent:
		t.exclusiveUntil = now + exclusiveWaitTime
	default:
		return false
	}
	t.losses++
	if j.earlierLosses+t.losses < maxLosses {
		return false
	}
	o.endEarly(now, j, code.JobCrashes)
	return true
}

// giveUpAfterLosses gives up j before it starts if earlier submissions of it have lost too many
// targets. It reports whether it did.
func (o *Owner) giveUpAfterLosses(now time.Duration, j *job) bool {
	if j.started() || j.earlierLosses < maxEarlierLosses {
		return false
	}
	o.endEarly(now, j, code.JobCrashes)
	return true
}

// losses returns the number of runs of a task of j, over all submissions, that were lost with
// their targets.
func (j *job) losses() int {
	most := 0
	for k := range j.steps {
		for n := range j.steps[k].tasks {
			most = max(most, j.steps[k].tasks[n].losses)
		}
	}
	return j.earlierLosses + most
}

// recordCrash records that a target crashed during a run of t.
func (o *Owner) recordCrash(now time.Duration, a *agent, j *job, ref task.Ref, t *taskState) {
	t.crashes = append(t.crashes,
		crash{agent: a, at: a.stoppedAcceptingAt, exclusive: slices.Contains(t.exclusiveRuns, ref.Run)})
	t.exclusiveUntil = now + exclusiveWaitTime
	j.crashSuspect = true
	o.logCrash(ref, t, a)
}

// runCrashed handles a late report that a lapsed run was active when its target crashed.
func (o *Owner) runCrashed(now time.Duration, a *agent, ref task.Ref) {
	j := o.jobs[ref.Task.Job]
	if j == nil {
		return
	}
	if t := j.find(ref.Task); t != nil && t.phase != done {
		o.recordCrash(now, a, j, ref, t)
	}
}

// crashesTooOften reports whether the job of t should fail. A crash under a task that had the
// target to itself counts at once, even if correlated, since a job of many tasks may itself crash
// many targets at once. Any other crash counts after correlationWindow, if it was not correlated.
func (o *Owner) crashesTooOften(now time.Duration, t *taskState) bool {
	count, exclusive := 0, false
	for _, c := range t.crashes {
		if c.exclusive || now-c.at > correlationWindow && !o.correlated(c) {
			count++
		}
		exclusive = exclusive || c.exclusive
	}
	return count >= maxNonExclusiveCrashes || count >= maxCrashes && exclusive
}

// checkCrashes answers j as failed if one of its tasks crashes targets too often. It reports
// whether it did.
func (o *Owner) checkCrashes(now time.Duration, j *job) bool {
	for k := range j.steps {
		for n := range j.steps[k].tasks {
			if o.crashesTooOften(now, &j.steps[k].tasks[n]) {
				o.answer(now, j, Answer{Kind: Failed, Why: code.JobCrashes})
				return true
			}
		}
	}
	return false
}

// needsEmptyTarget reports whether t may run only on an empty target at now.
func (t *taskState) needsEmptyTarget(now time.Duration) bool {
	return now < t.exclusiveUntil
}

// deferCrashSuspect removes j from its queue if its next task waits for an empty target, so that
// j does not block other jobs. It reports whether it did; requeueCrashSuspects puts the job back.
func (o *Owner) deferCrashSuspect(now time.Duration, j *job) bool {
	step, index, ok := j.nextTask()
	if !ok || !o.mayStart(j) || !j.steps[step].tasks[index].needsEmptyTarget(now) {
		return false
	}
	j.queue.remove(j)
	return true
}

// requeueCrashSuspects puts the jobs removed by deferCrashSuspect back into their queues.
func (o *Owner) requeueCrashSuspects(now time.Duration) {
	for _, j := range o.sortedJobs() {
		if j.crashSuspect && j.index < 0 && j.startable() && !j.joined() {
			j.queue.add(now, j)
		}
	}
}

// needs returns the room that a run of t takes at a: all of it if t needs an empty target.
func (t *taskState) needs(now time.Duration, s task.Step, a *agent) task.Resources {
	if t.needsEmptyTarget(now) {
		return a.profile.Capacity
	}
	return s.Needs
}
