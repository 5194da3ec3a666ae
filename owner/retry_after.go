package owner

import "time"

// Callers whose jobs were not done are asked to submit them again at spread times, so that
// retries use a small share of the targets' room. Callers that all returned at once would be
// refused again. Retries of the most urgent priority come first.
const (
	// resubmissionShare is the share of the work rate that retried jobs may use.
	resubmissionShare = 0.2
	// minRetryAfter and maxRetryAfter bound the retry-after time: an earlier retry would meet
	// the same backlog, and by a later one the load may long have dropped.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// RetryAfter is the retry-after time while the load is unknown: the entry has no
	// configuration, too many jobs, or no target has accepted work yet.
	RetryAfter = time.Second
)

// resubmissionSchedule holds the times, on the entry's clock, up to which retries are assigned: those
// of the most urgent priority, and all.
type resubmissionSchedule struct {
	urgentUntil, until time.Duration
}

// next assigns a retry to a job of the given work, in core-seconds, and returns the time until
// then. rate is the work per second that retries may bring.
func (r *resubmissionSchedule) next(now time.Duration, work, rate float64, urgent bool) time.Duration {
	if rate <= 0 {
		return RetryAfter
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

// retryAfter returns when j's caller should submit it again.
func (o *Owner) retryAfter(now time.Duration, j *job) time.Duration {
	return j.queue.resubmissions.next(now, j.desc.Work(), resubmissionShare*j.queue.lastWorkRate, j.desc.Priority == 0)
}
