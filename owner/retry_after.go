package owner

import "time"

// Callers whose jobs were not done are asked to submit them again at spread times, so that
// resubmitted jobs use a small share of the targets' room. If all callers submitted at once,
// most would be refused again. Resubmissions of the most urgent priority come first.
const (
	// resubmissionShare is the share of the work rate that resubmitted jobs may use.
	resubmissionShare = 0.2
	// minRetryAfter and maxRetryAfter bound the retry-after time. An earlier resubmission would
	// meet the same backlog; a later one would delay the job although the load may have dropped.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// DefaultRetryAfter is the retry-after time of jobs for which none can be computed: no target has
	// accepted work yet, the entry has no configuration, or it has too many jobs.
	DefaultRetryAfter = time.Second
)

// resubmissionSchedule assigns times to the resubmissions of refused and given-up jobs. Times are
// on the entry's clock.
type resubmissionSchedule struct {
	// urgentUntil is the time up to which resubmissions of the most urgent priority are assigned.
	// until is the time up to which resubmissions of any priority are assigned.
	urgentUntil, until time.Duration
}

// next assigns a time to the resubmission of a job and returns how long its caller should wait.
// rate is the work per second that may be resubmitted, in the unit of work.
func (r *resubmissionSchedule) next(now time.Duration, work, rate float64, urgent bool) time.Duration {
	if rate <= 0 {
		return DefaultRetryAfter
	}
	duration := time.Duration(work / rate * float64(time.Second))
	earliest := now + minRetryAfter
	start := max(earliest, r.until)
	if urgent {
		start = max(earliest, r.urgentUntil)
		r.urgentUntil = min(start+duration, now+maxRetryAfter)
	}
	r.until = min(max(earliest, r.until)+duration, now+maxRetryAfter)
	return start - now
}

// retryAfter returns how long j's caller should wait before submitting it again.
func (o *Owner) retryAfter(now time.Duration, j *job) time.Duration {
	return j.queue.resubmissions.next(now, j.desc.Work(), resubmissionShare*j.queue.lastWorkRate, j.desc.Priority == 0)
}
