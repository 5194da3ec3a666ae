package owner

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
)

// A job is refused as long as none of its orders has reached a target, so that a refusal
// guarantees that nothing ran. Afterwards it is given up. Both answers carry the time after
// which the caller should submit the job again.
const (
	// minRemainingFactor turns the estimate of the remaining time into an optimistic lower
	// bound.
	minRemainingFactor = 0.7
	// waitingLateFactor and runningLateFactor limit the time of a started job, as multiples of
	// its late objective: the first applies while tasks still have to start, the second once
	// all tasks run. They exceed 1 because estimates are inexact and giving up discards
	// finished work.
	waitingLateFactor = 1.2
	runningLateFactor = 1.6
	// answerMargin is how long before the caller's deadline the answer is sent.
	answerMargin = 20 * time.Millisecond

	// minRefusalShare is the share of its objective that a job waits before it can be refused
	// because of the backlog. It is refused if its expected wait exceeds refuseMargin times the
	// time left until its latest start.
	minRefusalShare = 0.10
	refuseMargin    = 1.0

	// maxRefusalShare is the share of its objective after which GoalServed no longer refuses a
	// job because of the backlog.
	maxRefusalShare = 0.25
)

// deadlineState holds the inputs for deciding whether a job can still be done in time. Times
// are on the entry's clock.
type deadlineState struct {
	now, arrived    time.Duration
	lateObjectiveAt time.Duration // completion is worthless after this time
	callerDeadline  time.Duration // when the caller stops waiting; zero for never
	started         bool          // one of its orders may have reached a target
	// remaining is the estimate of the critical path of the unfinished steps. It is used for jobs
	// that are not started.
	remaining time.Duration
	// hasStartable reports whether the job has startable tasks. It is used for started jobs.
	hasStartable bool
}

// endCause returns code.OK if the job should go on, and otherwise the cause for which it is
// refused or given up.
func (p deadlineState) endCause() code.Code {
	switch {
	case p.callerDeadline > 0 && p.now >= p.callerDeadline-answerMargin:
		return code.JobCallerTimeout
	case p.started:
		if p.now > p.arrived+p.allowance() {
			return code.JobTooLate
		}
	case p.now+p.minRemaining() > p.lateObjectiveAt:
		return code.JobOutOfTime
	case p.callerDeadline > 0 && p.now+p.minRemaining() > p.callerDeadline:
		return code.JobCallerTimeout
	}
	return code.OK
}

// minRemaining returns an optimistic estimate of the time that the job still needs.
func (p deadlineState) minRemaining() time.Duration {
	return time.Duration(minRemainingFactor * float64(p.remaining))
}

// allowance returns the maximum time that a started job may take.
func (p deadlineState) allowance() time.Duration {
	factor := runningLateFactor
	if p.hasStartable {
		factor = waitingLateFactor
	}
	return time.Duration(factor * float64(p.lateObjectiveAt-p.arrived))
}

// queuePosition describes a job that waits behind others.
type queuePosition struct {
	waited, objective time.Duration
	// untilLatestStart is the time left until the job must start to meet its objective.
	untilLatestStart time.Duration
	// wait is how long the jobs ahead will take at the current work rate of the queue.
	wait time.Duration
	// untilLatestLateStart is the time left until the job must start to meet its late objective.
	untilLatestLateStart time.Duration
	// missesObjective is the result of job.missesObjective, earlierJobMeets reports whether that
	// result is false for a job ahead.
	missesObjective, earlierJobMeets bool
}

// shouldRefuse reports whether the job should be refused because of the jobs ahead, after it has
// waited for minRefusalShare of its objective. A job that misses its objective is refused if a
// job ahead does not; any other is refused if the jobs ahead leave it too little time.
func (p queuePosition) shouldRefuse() bool {
	if p.waited < time.Duration(minRefusalShare*float64(p.objective)) {
		return false
	}
	if p.missesObjective {
		return p.earlierJobMeets
	}
	return p.wait > time.Duration(refuseMargin*float64(p.untilLatestStart))
}

// shouldRefuseGoalServed is shouldRefuse under GoalServed: a job is refused only if it would
// miss even its late objective, and only within the window from minRefusalShare to
// maxRefusalShare of its objective.
func (p queuePosition) shouldRefuseGoalServed() bool {
	if p.waited < time.Duration(minRefusalShare*float64(p.objective)) ||
		p.waited > time.Duration(maxRefusalShare*float64(p.objective)) {
		return false
	}
	return p.wait > p.untilLatestLateStart
}

// checkDeadlines refuses or gives up j if it can't be done in time. Otherwise j fails if it
// crashes targets, and its overdue runs are stopped.
func (o *Owner) checkDeadlines(now time.Duration, j *job) {
	p := deadlineState{
		now:             now,
		arrived:         j.arrived,
		lateObjectiveAt: j.lateObjectiveAt,
		callerDeadline:  j.callerDeadline,
		started:         j.mayHaveRun(),
	}
	if p.started {
		p.hasStartable = j.startable()
	} else {
		p.remaining = j.remaining()
	}
	if why := p.endCause(); why != code.OK {
		o.endEarly(now, j, why)
		return
	}
	if j.crashSuspect && o.checkCrashes(now, j) {
		return
	}
	for k := range j.steps {
		for n := range j.steps[k].tasks {
			o.checkOverdue(now, j, k, n)
		}
	}
}

// refuseBacklogged ranks the waiting jobs of a backlogged queue again and refuses those that
// should not wait for the jobs ahead of them. It refuses none while no target accepts work.
func (o *Owner) refuseBacklogged(now time.Duration, q *serviceQueue) {
	q.updateNonEmptySince(now)
	if len(q.waiting) == 0 {
		return
	}
	if q.workRate <= 0 || !q.backlogged(now) {
		return
	}
	for _, j := range q.waiting {
		j.rank = j.rankAt(now)
	}
	order := slices.Clone(q.waiting)
	slices.SortFunc(order, func(a, b *job) int { return a.rank.compare(b.rank) })
	ahead := 0.0 // core-seconds
	earlierJobMeets := false
	for _, j := range order {
		wait := time.Duration(ahead / q.workRate * float64(time.Second))
		if !j.mayHaveRun() && o.mayStart(j) && o.shouldRefuse(j.position(now, wait, earlierJobMeets)) {
			o.endEarly(now, j, code.JobBacklogTooLong)
			continue
		}
		earlierJobMeets = earlierJobMeets || !j.missesObjective()
		ahead += j.waitingWork()
	}
	q.reorder()
}

// shouldRefuse applies the refusal rule of the configured goal.
func (o *Owner) shouldRefuse(p queuePosition) bool {
	if o.Goal == GoalServed {
		return p.shouldRefuseGoalServed()
	}
	return p.shouldRefuse()
}

// position returns the position of j behind jobs that take the given time.
func (j *job) position(now, wait time.Duration, earlierJobMeets bool) queuePosition {
	return queuePosition{
		waited:               now - j.arrived,
		objective:            j.desc.Objective(),
		untilLatestStart:     j.rankInputs(now).latestStart() - now,
		untilLatestLateStart: j.rankInputs(now).latestLateStart() - now,
		wait:                 wait,
		missesObjective:      j.missesObjective(),
		earlierJobMeets:      earlierJobMeets,
	}
}

// endEarly answers j before its tasks are done: as refused if no order of this or an earlier
// submission has reached a target, and as given up otherwise.
func (o *Owner) endEarly(now time.Duration, j *job, why code.Code) {
	kind := Refused
	if j.mayHaveRun() {
		kind = GivenUp
	}
	o.answer(now, j, Answer{Kind: kind, Why: why, Retry: o.retryAfter(now, j)})
}
