package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
)

// Refusing and giving up. A job is refused while no order of it has reached a
// target, so that the refusal is true; after that it is given up. Both answers go
// out at once, with a time to come back.
const (
	// optimism is the share of its estimate that a waiting job needs at the least:
	// guesses err by some 40%. Without it: no difference.
	minRemainingFactor = 0.7
	// waitingLateFactor is how many times its late objective a started job with
	// tasks still to start may take, runningLateFactor one whose tasks all run:
	// estimates err, and its work is lost when it is given up. Half and double: no difference.
	waitingLateFactor = 1.2
	runningLateFactor = 1.6
	// answerMargin is how long before the caller stops waiting it gets the answer.
	// One tick of the entry. Double: no difference.
	answerMargin = 20 * time.Millisecond

	// refuseAfterShare is the share of its objective after which a job that the
	// jobs before it leave no time is refused: until then waiting costs its caller
	// little, and the load may turn. refuseMargin is how many times as long as is
	// left before its latest start it must have to wait. Measured in a burst: with
	// 0.1 and 1 in place of 0.2 and 2, the worth held before its refusal fell from
	// 0.033 to 0.021.
	minRefusalShare = 0.10
	refuseMargin    = 1.0

	// commitShare is the share of its objective within which a job is refused, or never for
	// the jobs before it, where being served at all counts most. The customers' letter.
	maxRefusalShare = 0.25
)

// prospects is what decides whether a job can still be done in time. Times are on
// the entry's clock.
type deadlineState struct {
	now, arrived    time.Duration
	lateObjectiveAt time.Duration // until when its completion counts at all
	callerDeadline  time.Duration // when its caller stops waiting; zero: never
	started         bool          // an order of it may have reached a target
	// remaining is the estimate of the longest chain that is not done; it counts
	// for jobs that are not started.
	remaining time.Duration
	// waiting says that tasks of it may be started now; it counts for started jobs.
	waiting bool
}

// verdict returns code.OK while the job should go on, or why it should be refused
// or given up.
func (p deadlineState) refusalCause() code.Code {
	switch {
	case p.callerDeadline > 0 && p.now >= p.callerDeadline-answerMargin:
		return code.JobCallerLeaves
	case p.started:
		if p.now > p.arrived+p.allowance() {
			return code.JobTooLate
		}
	case p.now+p.minRemaining() > p.lateObjectiveAt:
		return code.JobOutOfTime
	case p.callerDeadline > 0 && p.now+p.minRemaining() > p.callerDeadline:
		return code.JobCallerLeaves
	}
	return code.OK
}

// minRemaining is an optimistic estimate of the time the job still needs.
func (p deadlineState) minRemaining() time.Duration {
	return time.Duration(minRemainingFactor * float64(p.remaining))
}

// allowance returns how long a started job may take.
func (p deadlineState) allowance() time.Duration {
	factor := runningLateFactor
	if p.waiting {
		factor = waitingLateFactor
	}
	return time.Duration(factor * float64(p.lateObjectiveAt-p.arrived))
}

// place is the situation of a job that waits behind others.
type queuePosition struct {
	waited, objective time.Duration
	// untilLatestStart is the time left until it must start to meet its objective.
	untilLatestStart time.Duration
	// wait is how long the jobs before it take, at the rate at which targets take work
	// from this entry.
	wait time.Duration
	// untilLatestLate is the time left until it must start to meet its late objective.
	untilLatestLate time.Duration
	// missesObjective says that it can't meet its objective any more, and
	// othersMeet that a job before it still can meet its own.
	missesObjective, earlierJobMeets bool
}

// refuse reports whether the job should be refused because of the jobs before it:
// it has missed its objective while others can meet theirs, or will have missed it
// by the time its turn comes.
func (p queuePosition) shouldRefuse() bool {
	if p.waited < time.Duration(minRefusalShare*float64(p.objective)) {
		return false
	}
	if p.missesObjective {
		return p.earlierJobMeets
	}
	return p.wait > time.Duration(refuseMargin*float64(p.untilLatestStart))
}

// refuseUnserved is refuse where being served at all counts most: a job is refused only where it
// could not even be late, and only while it has waited for less than a quarter of its objective.
// Afterwards the entry is committed to it.
func (p queuePosition) shouldRefuseMostServed() bool {
	if p.waited < time.Duration(minRefusalShare*float64(p.objective)) || p.waited > time.Duration(maxRefusalShare*float64(p.objective)) {
		return false
	}
	return p.wait > p.untilLatestLate
}

// checkDeadlines refuses or gives up j if it can't be done in time, and otherwise
// stops those of its runs that are overdue.
func (o *Owner) checkDeadlines(now time.Duration, j *job) {
	p := deadlineState{
		now:             now,
		arrived:         j.arrived,
		lateObjectiveAt: j.lateObjectiveAt,
		callerDeadline:  j.callerDeadline,
		started:         j.mayHaveRun(),
	}
	if p.started {
		p.waiting = j.startable()
	} else {
		p.remaining = j.remaining()
	}
	if why := p.refusalCause(); why != code.OK {
		o.giveUp(now, j, why)
		return
	}
	if j.suspect && o.checkSuspects(now, j) {
		return
	}
	for k := range j.steps {
		for n := range j.steps[k].tasks {
			o.checkOverdue(now, j, k, n)
		}
	}
}

// refuseBehind refuses those waiting jobs of a queue that the jobs before them leave
// no time. It refuses none while no target takes work.
func (o *Owner) refuseBacklogged(now time.Duration, q *queue) {
	q.trackBacklog(now)
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
	slices.SortFunc(order, func(a, b *job) int { return cmp.Compare(a.rank, b.rank) })
	ahead := 0.0 // core-seconds
	earlierJobMeets := false
	for _, j := range order {
		wait := time.Duration(ahead / q.workRate * float64(time.Second))
		if !j.mayHaveRun() && o.claimed(j) && o.shouldRefuse(j.position(now, wait, earlierJobMeets)) {
			o.giveUp(now, j, code.JobBehind)
			continue
		}
		earlierJobMeets = earlierJobMeets || !j.missesObjective()
		ahead += j.waitingWork()
	}
	q.reorder()
}

// refuses applies the rule of the term in force.
func (o *Owner) shouldRefuse(p queuePosition) bool {
	if o.Term == MostServed {
		return p.shouldRefuseMostServed()
	}
	return p.shouldRefuse()
}

// place returns j's place behind jobs that take the given time.
func (j *job) position(now, wait time.Duration, earlierJobMeets bool) queuePosition {
	return queuePosition{
		waited:           now - j.arrived,
		objective:        j.spec.Objective(),
		untilLatestStart: j.urgency(now).latestStart() - now,
		untilLatestLate:  j.urgency(now).latestLateStart() - now,
		wait:             wait,
		missesObjective:  j.missesObjective(),
		earlierJobMeets:  earlierJobMeets,
	}
}

// giveUp answers j without its work being done: refused if no order of it, nor of an
// earlier submission, has reached a target, given up otherwise.
func (o *Owner) giveUp(now time.Duration, j *job, why code.Code) {
	kind := Refused
	if j.mayHaveRun() {
		kind = GivenUp
	}
	o.answer(now, j, Answer{Kind: kind, Why: why, Retry: o.retryAfter(now, j)})
}
