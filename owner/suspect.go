package owner

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// Suspects: a task may crash each target that starts it, and with the target all else that runs
// there, which is as suspect as the task itself. A task whose target has crashed, or fell silent
// for good, runs next on a target that has nothing else, which takes all of its room: where that
// crashes, too, the task is given up.

const (
	// crashesAllowed is under how many crashes of targets a task is given up where it ran
	// alone under one of them, crashesBeside where it never did. The platform's pages allow
	// two. With two in any case, 35 of 3,452 jobs were given up that had only run beside
	// those that crash targets, with three 9 (TestTasksThatCrashTheirTargets, 70
	// agents, one seed, in forms that differ in more than this).
	maxCrashes             = 2
	maxNonExclusiveCrashes = 3
	// lossesAllowed bounds the runs of a task whose targets crashed or fell silent for good:
	// which of the two it was may show only seconds later. The platform's pages allow two more
	// starts after three crashes.
	maxLosses = 5
	// lossesBefore bounds them where the job is submitted again: an earlier submission may
	// have used the two starts.
	maxEarlierLosses = 3
	// aloneTime is how long a suspect waits for an empty target at the most: most suspects are
	// innocent. Not measured.
	exclusiveWaitTime = 200 * time.Millisecond
	// sharedTime is within what time targets that crash together do so for one cause, and
	// sharedShare the share of the connected agents, sharedLeast the number, that makes a
	// crash shared: the loss of a rack or of power is no task's fault. At 759 jobs a second, 2%
	// of which crash eight targets each, 12 of 800 do so by chance in that time.
	//
	// A job of many tasks crashes as many targets at once, so that a crash under a task that
	// ran alone counts in any case.
	correlationWindow = 100 * time.Millisecond
	correlatedShare   = 0.1
	minCorrelated     = 3
)

// crash is the end of a target with a run of a task at work; at is when the target stopped
// taking work.
type crash struct {
	agent     *agent
	at        time.Duration
	exclusive bool // nothing else ran there
}

// stoppedTaking records when a's target stopped taking work: several that do so at one moment
// have one cause.
func (a *agent) recordAccepting(now time.Duration, accepted bool) {
	if accepted && !a.state.Accepting {
		a.stoppedAt = now
	}
}

// shared reports whether many other targets stopped taking work when this one crashed.
func (o *Owner) correlated(c crash) bool {
	connected, stopped := 0, 0
	for _, a := range o.byName {
		if !a.connected && a.stoppedAt == 0 {
			continue
		}
		connected++
		if a.stoppedAt > 0 && (a.stoppedAt-c.at).Abs() <= correlationWindow {
			stopped++
		}
	}
	return stopped >= max(minCorrelated, int(correlatedShare*float64(connected)))
}

// recordLoss counts the end of a run of t whose target crashed or fell silent. It reports whether
// the job was given up for it, since whichever it was, it was too often.
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
	o.giveUp(now, j, code.JobCrashes)
	return true
}

// lostTooOften gives j up before it starts where targets were lost under earlier submissions of it,
// too often. It reports whether it did.
func (o *Owner) giveUpAfterLosses(now time.Duration, j *job) bool {
	if j.started() || j.earlierLosses < maxEarlierLosses {
		return false
	}
	o.giveUp(now, j, code.JobCrashes)
	return true
}

// losses returns how many runs of a task of j, over all submissions, ended with the loss of their
// target.
func (j *job) losses() int {
	most := 0
	for k := range j.steps {
		for n := range j.steps[k].tasks {
			most = max(most, j.steps[k].tasks[n].losses)
		}
	}
	return j.earlierLosses + most
}

// recordCrash records that a target crashed with a run of t at work.
func (o *Owner) recordCrash(now time.Duration, a *agent, j *job, ref task.Ref, t *taskState) {
	t.crashes = append(t.crashes, crash{agent: a, at: a.stoppedAt, exclusive: slices.Contains(t.exclusiveRuns, ref.Run)})
	t.exclusiveUntil = now + exclusiveWaitTime
	j.suspect = true
	o.logSuspect(ref, t, a)
}

// runCrashed handles the late news that a run which had lapsed was at work when its target
// crashed.
func (o *Owner) runCrashed(now time.Duration, a *agent, ref task.Ref) {
	j := o.jobs[ref.Task.Job]
	if j == nil {
		return
	}
	if t := j.find(ref.Task); t != nil && t.phase != done {
		o.recordCrash(now, a, j, ref, t)
	}
}

// guilty reports whether t is to be given up. Its last crash counts once it shows whether other
// targets crashed with it.
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

// checkSuspects gives up the job of a task under which targets crash. It reports whether it did.
func (o *Owner) checkSuspects(now time.Duration, j *job) bool {
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

// runsAlone reports whether t may run now on an empty target only.
func (t *taskState) needsEmptyTarget(now time.Duration) bool {
	return now < t.exclusiveUntil
}

// holdSuspect takes j out of its queue where its next task waits for an empty target, so that
// others need not wait behind it. It reports whether it did; Tick puts it back.
func (o *Owner) deferSuspect(now time.Duration, j *job) bool {
	step, index, ok := j.nextTask()
	if !ok || !o.claimed(j) || !j.steps[step].tasks[index].needsEmptyTarget(now) {
		return false
	}
	j.queue.remove(j)
	return true
}

// releaseSuspects puts the jobs back into their queues that wait for empty targets.
func (o *Owner) requeueSuspects(now time.Duration) {
	for _, j := range o.sortedJobs() {
		if j.suspect && j.index < 0 && j.startable() && !j.joined() {
			j.queue.add(now, j)
		}
	}
}

// needs returns the room that a run of t takes at a: all of it where t runs alone.
func (t *taskState) needs(now time.Duration, s task.Step, a *agent) task.Needs {
	if t.needsEmptyTarget(now) {
		return a.profile.Capacity
	}
	return s.Needs
}
