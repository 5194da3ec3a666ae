package owner

import "time"

// Coming back: when a caller whose job was not done should submit it again. Callers are
// asked to come back one after the other, so that what they bring takes a small share of
// the targets' room: refused together and back together they would be refused again. The
// most urgent priority returns ahead of the others.
const (
	// returnShare is the share of what the targets take from this entry that returning
	// jobs should make.
	retryShare = 0.2
	// minReturn and maxReturn bound the time to come back: a shorter one only meets
	// the same backlog, a longer one helps nobody when the load has turned.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// RetryAfter is the time to come back where nothing was ever known of the load: the
	// entry has no configuration, too many jobs, or no target has taken work yet.
	RetryAfter = time.Second
)

// returns says until when callers of one service have been asked to come back, on the
// entry's clock: those with jobs of the most urgent priority, and all.
type retrySchedule struct {
	urgentUntil, until time.Duration
}

// next returns how long a caller should stay away whose job has so much work, in
// core-seconds, and records it. rate is the work that returning jobs may bring a second.
func (r *retrySchedule) next(now time.Duration, work, rate float64, urgent bool) time.Duration {
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

// comeBackAfter returns when j's caller should submit it again.
func (o *Owner) retryAfter(now time.Duration, j *job) time.Duration {
	return j.queue.retries.next(now, j.spec.Work(), retryShare*j.queue.lastWorkRate, j.spec.Priority == 0)
}
