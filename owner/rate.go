package owner

import "time"

const (
	// rateWindow is how far startRate looks back. Not measured.
	rateWindow = 400 * time.Millisecond
	// rateMinTime is how long jobs must have been waiting for the rate to say when
	// room comes: before, starts show how much came and not how much room there
	// is. Measured in a burst: 0.876 earned with 250 ms, 0.886 with 120 ms, 0.874
	// with 60 ms.
	rateMinTime = 120 * time.Millisecond
	// averageWeight is the weight of one job in its queue's usual work. Not
	// measured.
	averageWeight = 0.02
)

// startRate is how much work was started in the last rateWindow.
type startRate struct {
	starts []startedWork // the oldest first
}

// startedWork is one start of a task.
type startedWork struct {
	at   time.Duration
	work float64 // in core-seconds
}

// add counts a start with its work in core-seconds.
func (r *startRate) add(now time.Duration, work float64) {
	r.starts = append(r.starts, startedWork{now, work})
	r.trim(now)
}

// trim forgets starts that are older than the window.
func (r *startRate) trim(now time.Duration) {
	for len(r.starts) > 0 && now-r.starts[0].at > rateWindow {
		r.starts = r.starts[1:]
	}
}

// perSecond returns how many core-seconds of work and how many tasks were started
// a second while jobs have been waiting, which they do since the given time. Both
// are zero where that is too short a time to tell.
func (r *startRate) perSecond(now, waitingSince time.Duration) (work, tasks float64) {
	r.trim(now)
	if now-waitingSince < rateMinTime {
		return 0, 0
	}
	for _, s := range r.starts {
		if s.at >= waitingSince {
			work += s.work
			tasks++
		}
	}
	seconds := min(now-waitingSince, rateWindow).Seconds()
	return work / seconds, tasks / seconds
}

// movingAverage is an exponentially weighted average. Its first values count
// evenly.
type movingAverage struct {
	value float64
	count int
}

// add takes x into the average.
func (m *movingAverage) add(x float64) {
	m.count++
	m.value += (x - m.value) * max(averageWeight, 1/float64(m.count))
}
