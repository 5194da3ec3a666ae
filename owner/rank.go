package owner

import (
	"cmp"
	"math"
	"time"
)

// Waiting jobs are served in the order of their latest start times, adjusted by priority and by
// whether the job has started. Jobs that can no longer meet their objective come after those
// that can.
const (
	// marginDeviations is the safety margin of the remaining work, in standard deviations of
	// the estimation error.
	marginDeviations = 0.6
	// lowerPriorityDelay is added to the rank of each job below the most urgent priority.
	lowerPriorityDelay = 40 * time.Millisecond
	// priorityDelay is added per priority level. It is small so that the lowest level is not
	// starved under overload: its jobs' turn would come when it is too late for them.
	priorityDelay = 2 * time.Millisecond
	// startedAdvance is subtracted from the rank of a started job, whose finished work is lost
	// if the rest is late.
	startedAdvance = 40 * time.Millisecond
)

// lateSlack is added to the slack of requests for jobs that can no longer meet their objective, so
// that agents serve them after the others.
const lateSlack = time.Hour

// queueRank orders the jobs of a queue. It is not the rank of a home.
type queueRank struct {
	late bool // the job can no longer meet its objective
	// at is the adjusted latest start for the objective, or for the late objective if late is set,
	// on the entry's clock.
	at time.Duration
}

// compare returns a negative number if r is served before s, zero if they are equal, and a
// positive number otherwise.
func (r queueRank) compare(s queueRank) int {
	switch {
	case r.late == s.late:
		return cmp.Compare(r.at, s.at)
	case s.late:
		return -1
	}
	return 1
}

// moreUrgent reports whether r is served before s by more than the given time.
func (r queueRank) moreUrgent(s queueRank, by time.Duration) bool {
	s.at -= by
	return r.compare(s) < 0
}

// slack returns the time left at now, plus lateSlack for a late job.
func (r queueRank) slack(now time.Duration) time.Duration {
	if r.late {
		return lateSlack + r.at - now
	}
	return r.at - now
}

// rankInputs holds the inputs of a job's rank in its queue. Times are on the entry's clock.
type rankInputs struct {
	now                          time.Duration
	objectiveAt, lateObjectiveAt time.Duration
	// remaining is the estimate of the critical path of the unfinished steps.
	remaining time.Duration
	// spread is the standard deviation of the logarithm of task duration over estimate.
	spread float64
	// startSpan is the time from the first to the last start of the job's waiting tasks at the
	// current work rate of the queue.
	startSpan time.Duration
	priority  int // 0 is the most urgent
	started   bool
}

// latestStart returns the latest time at which the rest of the job should start to meet its
// objective.
func (r rankInputs) latestStart() time.Duration {
	margin := math.Exp(marginDeviations * r.spread)
	return r.objectiveAt - time.Duration(margin*float64(r.remaining)) - r.startSpan
}

// latestLateStart returns the latest time at which the rest of the job should start to meet its
// late objective.
func (r rankInputs) latestLateStart() time.Duration {
	return r.latestStart() + r.lateObjectiveAt - r.objectiveAt
}

// rank returns the sort key of the job: the lowest rank is served first. It holds the adjusted
// latest start while the job can meet its objective, and after that the adjusted latest start for
// the late objective, without safety margin and start span.
func (r rankInputs) rank() queueRank {
	var shift time.Duration
	if r.priority > 0 {
		shift += lowerPriorityDelay + time.Duration(r.priority)*priorityDelay
	}
	if r.started {
		shift -= startedAdvance
	}
	if latest := r.latestStart(); r.now <= latest {
		return queueRank{at: latest + shift}
	}
	return queueRank{late: true, at: r.lateObjectiveAt - r.remaining + shift}
}

// rankInputs returns the inputs of j's rank at now, with the start span of the last call of
// rankAt.
func (j *job) rankInputs(now time.Duration) rankInputs {
	return rankInputs{
		now:             now,
		objectiveAt:     j.objectiveAt,
		lateObjectiveAt: j.lateObjectiveAt,
		remaining:       j.remaining(),
		spread:          j.spread(),
		startSpan:       j.startSpan,
		priority:        j.desc.Priority,
		started:         j.started(),
	}
}

// rankAt returns j's rank at now and updates its start span.
func (j *job) rankAt(now time.Duration) queueRank {
	j.startSpan = j.queue.startSpan(now, j.startableTasks(), j.startableWork())
	return j.rankInputs(now).rank()
}

// missesObjective reports whether j could no longer meet its objective when it was last ranked.
func (j *job) missesObjective() bool {
	return j.rank.late
}
