package home

import "time"

// drainRate tells how fast a queue drains when every slot is busy: by the slots
// and the mean time of a task. What finished lately would tell of the load.
type drainRate struct {
	tasks pace
	slots int
	// turn is when the last one that was told to come back has been served,
	// if all come back when told.
	turn time.Duration
}

// known reports whether enough was seen for an estimate.
func (r *drainRate) known() bool {
	return r.tasks.samples >= paceSamples && r.slots > 0
}

// drainTime returns how long n tasks take on all slots; zero when not known.
func (r *drainRate) drainTime(n int) time.Duration {
	if !r.known() {
		return 0
	}
	return time.Duration(n) * r.tasks.mean / time.Duration(r.slots)
}

// timeFor returns how long n tasks take, within the bounds of a time to come
// back.
func (r *drainRate) timeFor(n int) time.Duration {
	return min(max(r.drainTime(n), shortestRetry), longestRetry)
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

// pace measures how long tasks take, of one target or of a service.
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
