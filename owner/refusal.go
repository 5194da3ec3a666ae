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
	// shedShare is the share of its objective after which a job that will
	// not be served in time is refused: until then it costs its caller
	// little, and the load may turn.
	shedShare = 0.10
	// shedMargin is how many times as long as is left before its latest
	// start a job must have to wait to be refused.
	shedMargin = 1.0
	// paceTime is what the pace of starts looks back over; paceLeast is how
	// long jobs must have been waiting for it to tell when room comes.
	paceTime  = 400 * time.Millisecond
	paceLeast = 120 * time.Millisecond
	// meanShare is the weight of one job in its queue's usual work.
	meanShare = 0.02
)

// mean is a decaying average.
type mean struct {
	value float64
	count int
}

func (m *mean) add(x float64) {
	m.count++
	m.value += (x - m.value) * max(meanShare, 1/float64(m.count))
}

// sizeOf returns a job's work against its queue's usual, less one, and takes
// the job into account.
func (o *Owner) sizeOf(spec task.Job) float64 {
	m := o.sizes[spec.Queue]
	if m == nil {
		m = &mean{}
		o.sizes[spec.Queue] = m
	}
	m.add(spec.Work())
	if m.value <= 0 {
		return 0
	}
	return min(spec.Work()/m.value, sizeMost) - 1
}

// work returns the work of so many tasks of a step, in seconds of a core.
func work(s task.Step, tasks int) float64 {
	return task.Job{Steps: []task.Step{{Count: tasks, Needs: s.Needs, Estimate: s.Estimate}}}.Work()
}

// pace is how much work was started of late.
type pace struct {
	starts []started
}

type started struct {
	at   time.Duration
	work float64
}

func (p *pace) add(now time.Duration, work float64) {
	p.starts = append(p.starts, started{now, work})
	p.trim(now)
}

func (p *pace) trim(now time.Duration) {
	for len(p.starts) > 0 && now-p.starts[0].at > paceTime {
		p.starts = p.starts[1:]
	}
}

// rates returns how much work and how many tasks were started a second while jobs
// have been waiting, since the given time, or zeros where that is too short a time
// to tell.
func (p *pace) rates(now, since time.Duration) (work, tasks float64) {
	p.trim(now)
	if now-since < paceLeast {
		return 0, 0
	}
	for _, s := range p.starts {
		if s.at >= since {
			work += s.work
			tasks++
		}
	}
	seconds := min(now-since, paceTime).Seconds()
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

// shed refuses waiting jobs that can't begin in time because of those before
// them. Nothing of them has been started, so that the refusal is true.
func (o *Owner) shed(now time.Duration, q *queue) {
	q.note(now)
	if len(q.jobs) == 0 {
		return
	}
	rate, _ := q.pace.rates(now, q.backlogSince)
	if rate <= 0 {
		return // nothing is known of when room comes
	}
	for _, j := range q.jobs {
		j.rank = j.key(now)
	}
	order := slices.Clone(q.jobs)
	slices.SortFunc(order, func(a, b *job) int { return cmp.Compare(a.rank, b.rank) })
	ahead := 0.0
	aimed := false
	for _, j := range order {
		wait := time.Duration(ahead / rate * float64(time.Second))
		if !j.begun() && o.hopelesslyBehind(now, j, wait, aimed) {
			o.answer(now, j, Answer{Kind: Refused, Why: code.JobBehind, Retry: o.retryAfter(wait)})
			continue
		}
		aimed = aimed || !j.late()
		ahead += j.waitingWork()
	}
	q.restore()
}

// hopelesslyBehind reports whether j should be refused now: it has missed its
// objective while others that still can meet theirs wait, or will have by the
// time that is its turn.
func (o *Owner) hopelesslyBehind(now time.Duration, j *job, wait time.Duration, aimed bool) bool {
	if now-j.arrived < time.Duration(shedShare*float64(j.spec.Objective())) {
		return false
	}
	if j.late() {
		return aimed
	}
	return wait > time.Duration(shedMargin*float64(j.latest()-now))
}

// retryAfter returns when a caller should come back that would have to wait so
// long now.
func (o *Owner) retryAfter(wait time.Duration) time.Duration {
	return max(retryAfter, wait)
}
