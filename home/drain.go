package home

import "time"

// drainRate measures how fast a queue drains, over the last few seconds.
type drainRate struct {
	began time.Duration
	last  time.Duration
	count float64
	// turn is when the last one that was told to come back has been served,
	// if all come back when told.
	turn time.Duration
}

// rateWindow is how far back a rate looks.
const rateWindow = 4 * time.Second

// drainKnown is how many tasks make a rate known.
const drainKnown = 32

// note counts one finished task.
func (r *drainRate) note(now time.Duration) {
	if r.count == 0 {
		r.began = now
	}
	if span := now - r.began; span > rateWindow {
		r.count /= 2
		r.began += span / 2
	}
	r.count++
	r.last = now
}

// known reports whether enough was seen for an estimate.
func (r *drainRate) known() bool {
	return r.count >= drainKnown
}

// perSecond returns the finished tasks a second; zero when none were seen.
func (r *drainRate) perSecond() float64 {
	span := max(r.last-r.began, 100*time.Millisecond)
	return r.count / span.Seconds()
}

// timeFor returns how long n tasks take to drain, within the bounds of a time
// to come back.
func (r *drainRate) timeFor(n int) time.Duration {
	perSecond := r.perSecond()
	if perSecond == 0 {
		return shortestRetry
	}
	wait := time.Duration(float64(n) / perSecond * float64(time.Second))
	return min(max(wait, shortestRetry), longestRetry)
}

// turnFor returns when a job of n tasks should come back: after those that were
// told to before it, so that they don't come all at once.
func (r *drainRate) turnFor(now time.Duration, n int) time.Duration {
	r.turn = max(r.turn, now) + r.timeFor(n)
	return min(r.turn-now, longestRetry)
}

// roomAgain forgets the turns: there is room for whoever comes now.
func (r *drainRate) roomAgain() {
	r.turn = 0
}

// pace measures how long a target takes for a task.
type pace struct {
	mean    time.Duration
	samples int
}

// Weights of a pace.
const (
	paceWeight  = 16 // samples that the mean looks back
	paceSamples = 32 // samples before a pace counts
)

// note takes one task's time.
func (p *pace) note(d time.Duration) {
	p.samples++
	if p.samples == 1 {
		p.mean = d
		return
	}
	p.mean += (d - p.mean) / paceWeight
}

// against returns the slowness beside the common pace.
func (p *pace) against(common time.Duration) float64 {
	if p.samples < paceSamples || common == 0 {
		return 1
	}
	return float64(p.mean) / float64(common)
}

// commonPace returns the mean pace of the agents.
func commonPace(agents []*link) time.Duration {
	var sum time.Duration
	n := time.Duration(0)
	for _, l := range agents {
		if l.pace.samples >= paceSamples {
			sum += l.pace.mean
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}
