package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// When a waiting job is refused because of the jobs before it.
const (
	// refuseAfterShare is the share of its objective after which a job that will
	// not be served in time is refused: until then it costs its caller
	// little, and the load may turn.
	refuseAfterShare = 0.10
	// refuseMargin is how many times as long as is left before its latest
	// start a job must have to wait to be refused.
	refuseMargin = 1.0
	// rateWindow is what the pace of starts looks back over; paceLeast is how
	// long jobs must have been waiting for it to tell when room comes.
	rateWindow  = 400 * time.Millisecond
	rateMinTime = 120 * time.Millisecond
	// averageWeight is the weight of one job in its queue's usual work.
	averageWeight = 0.02
)

// movingAverage is a decaying average.
type movingAverage struct {
	value float64
	count int
}

func (m *movingAverage) add(x float64) {
	m.count++
	m.value += (x - m.value) * max(averageWeight, 1/float64(m.count))
}

// sizeOf returns a job's work against its queue's usual, less one, and takes
// the job into account.
func (o *Owner) sizeOf(spec task.Job) float64 {
	m := o.usualWork[spec.Queue]
	if m == nil {
		m = &movingAverage{}
		o.usualWork[spec.Queue] = m
	}
	m.add(spec.Work())
	if m.value <= 0 {
		return 0
	}
	return min(spec.Work()/m.value, maxRelativeSize) - 1
}

// work returns the work of so many tasks of a step, in seconds of a core.
func work(s task.Step, tasks int) float64 {
	return task.Job{Steps: []task.Step{{Count: tasks, Needs: s.Needs, Estimate: s.Estimate}}}.Work()
}

// startRate is how much work was started of late.
type startRate struct {
	starts []startedWork
}

type startedWork struct {
	at   time.Duration
	work float64
}

func (p *startRate) add(now time.Duration, work float64) {
	p.starts = append(p.starts, startedWork{now, work})
	p.trim(now)
}

func (p *startRate) trim(now time.Duration) {
	for len(p.starts) > 0 && now-p.starts[0].at > rateWindow {
		p.starts = p.starts[1:]
	}
}

// rates returns how much work and how many tasks were started a second while jobs
// have been waiting, since the given time, or zeros where that is too short a time
// to tell.
func (p *startRate) rates(now, since time.Duration) (work, tasks float64) {
	p.trim(now)
	if now-since < rateMinTime {
		return 0, 0
	}
	for _, s := range p.starts {
		if s.at >= since {
			work += s.work
			tasks++
		}
	}
	seconds := min(now-since, rateWindow).Seconds()
	return work / seconds, tasks / seconds
}

// waitingWork returns the work of j's tasks that wait.
func (j *job) waitingWork() float64 {
	sum := 0.0
	for k := range j.steps {
		sum += work(j.spec.Steps[k], j.steps[k].waiting)
	}
	return sum
}

// refuseHopeless refuses waiting jobs that can't begin in time because of those before
// them. Nothing of them has been started, so that the refusal is true.
func (o *Owner) refuseHopeless(now time.Duration, q *queue) {
	q.trackBacklog(now)
	if len(q.waiting) == 0 {
		return
	}
	rate, _ := q.startRate.rates(now, q.backlogSince)
	if rate <= 0 {
		return // nothing is known of when room comes
	}
	for _, j := range q.waiting {
		j.rank = j.rankAt(now)
	}
	order := slices.Clone(q.waiting)
	slices.SortFunc(order, func(a, b *job) int { return cmp.Compare(a.rank, b.rank) })
	ahead := 0.0
	aimed := false
	for _, j := range order {
		wait := time.Duration(ahead / rate * float64(time.Second))
		if !j.begun() && o.hopelesslyBehind(now, j, wait, aimed) {
			o.answer(now, j, Answer{Kind: Refused, Why: code.JobBehind, Retry: o.retryAfterWait(wait)})
			continue
		}
		aimed = aimed || !j.missesObjective()
		ahead += j.waitingWork()
	}
	q.reorder()
}

// hopelesslyBehind reports whether j should be refused now: it has missed its
// objective while others that still can meet theirs wait, or will have by the
// time that is its turn.
func (o *Owner) hopelesslyBehind(now time.Duration, j *job, wait time.Duration, aimed bool) bool {
	if now-j.arrived < time.Duration(refuseAfterShare*float64(j.spec.Objective())) {
		return false
	}
	if j.missesObjective() {
		return aimed
	}
	return wait > time.Duration(refuseMargin*float64(j.latestStart()-now))
}

// retryAfterWait returns when a caller should come back that would have to wait so
// long now.
func (o *Owner) retryAfterWait(wait time.Duration) time.Duration {
	return max(retryAfter, wait)
}
