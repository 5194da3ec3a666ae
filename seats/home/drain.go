package home

import "time"

// drainRate estimates how fast a queue drains with every slot busy, from the
// number of slots and the mean task time. Recent throughput would measure the
// load instead.
type drainRate struct {
	taskTime taskTime
	slots    int
	// lastRetryAt is the latest retry time given to a refused job.
	lastRetryAt time.Duration
}

// known reports whether there are enough samples for an estimate.
func (r *drainRate) known() bool {
	return r.taskTime.samples >= minTaskTimeSamples && r.slots > 0
}

// drainTime returns the time that n tasks take on all slots, or zero without an
// estimate.
func (r *drainRate) drainTime(n int) time.Duration {
	if !r.known() {
		return 0
	}
	return time.Duration(n) * r.taskTime.mean / time.Duration(r.slots)
}

// retryAfter returns the drain time of n tasks, within minRetryAfter and
// maxRetryAfter.
func (r *drainRate) retryAfter(n int) time.Duration {
	return min(max(r.drainTime(n), minRetryAfter), maxRetryAfter)
}

// staggeredRetryAfter returns after how long a job of n tasks should be
// submitted again. Successive refusals get later times, so that the retries do
// not all arrive together.
func (r *drainRate) staggeredRetryAfter(now time.Duration, n int) time.Duration {
	r.lastRetryAt = max(r.lastRetryAt, now) + r.retryAfter(n)
	return min(r.lastRetryAt-now, maxRetryAfter)
}

// resetStagger discards the retry times given so far.
func (r *drainRate) resetStagger() {
	r.lastRetryAt = 0
}

// taskTime is a moving average of the time that tasks take at one target or in
// one service.
type taskTime struct {
	mean    time.Duration
	samples int
}

const (
	taskTimeWeight     = 16 // divisor of a sample's deviation from the mean
	minTaskTimeSamples = 32 // samples needed for an estimate
)

// observe adds one sample.
func (p *taskTime) observe(d time.Duration) {
	p.samples++
	if p.samples == 1 {
		p.mean = d
		return
	}
	p.mean += (d - p.mean) / taskTimeWeight
}

// relativeTo returns the ratio of the mean to common, or one without enough
// samples.
func (p *taskTime) relativeTo(common time.Duration) float64 {
	if p.samples < minTaskTimeSamples || common == 0 {
		return 1
	}
	return float64(p.mean) / float64(common)
}

// meanTaskTime returns the mean of the agents' task times, or zero if none has
// enough samples.
func meanTaskTime(agents []*link) time.Duration {
	var sum time.Duration
	n := time.Duration(0)
	for _, l := range agents {
		if l.taskTime.samples >= minTaskTimeSamples {
			sum += l.taskTime.mean
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}
