package owner

import (
	"container/heap"
	"time"

	"github.com/beaconpoint/beaconpoint/task"
)

// serviceQueue holds the jobs of one service that have tasks to start, ordered by rank.
type serviceQueue struct {
	service string
	waiting jobHeap
	// workRate is the rate at which targets accept this entry's work during a backlog, in
	// core-seconds per second, as of the last tick or change of the evacuated or suspected
	// halls. lastWorkRate is the last rate above zero; arriving profiles update it too.
	workRate, lastWorkRate float64
	// resubmissions spreads the resubmissions of refused and given-up jobs.
	resubmissions resubmissionSchedule
	// usualSpeed is the median speed of the service's targets, as of the last tick or, before
	// that, of the creation of the queue.
	usualSpeed float64
	// nonEmptySince is when the queue last became non-empty, zero while it is empty.
	nonEmptySince time.Duration
}

// minBacklogTime is how long a queue must be non-empty to count as backlogged. Shorter waits
// are normal.
const minBacklogTime = 120 * time.Millisecond

// backlogged reports whether the queue has been non-empty for at least minBacklogTime.
func (q *serviceQueue) backlogged(now time.Duration) bool {
	return q.nonEmptySince > 0 && now-q.nonEmptySince >= minBacklogTime
}

// startSpan returns the time from the first to the last start of the given number of tasks with
// the given total work in core-seconds. It is zero without a backlog.
func (q *serviceQueue) startSpan(now time.Duration, tasks int, work float64) time.Duration {
	if tasks < 2 || q.workRate <= 0 || !q.backlogged(now) {
		return 0
	}
	work *= float64(tasks-1) / float64(tasks)
	return time.Duration(work / q.workRate * float64(time.Second))
}

// setWorkRate sets the work rate.
func (q *serviceQueue) setWorkRate(rate float64) {
	q.workRate = rate
	q.recordWorkRate(rate)
}

// recordWorkRate stores a rate above zero for retry-after times.
func (q *serviceQueue) recordWorkRate(rate float64) {
	if rate > 0 {
		q.lastWorkRate = rate
	}
}

func (q *serviceQueue) updateNonEmptySince(now time.Duration) {
	switch {
	case len(q.waiting) == 0:
		q.nonEmptySince = 0
	case q.nonEmptySince == 0:
		q.nonEmptySince = now
	}
}

// add inserts j into the queue or updates its position.
func (q *serviceQueue) add(now time.Duration, j *job) {
	j.rank = j.rankAt(now)
	if j.index >= 0 {
		heap.Fix(&q.waiting, j.index)
		return
	}
	heap.Push(&q.waiting, j)
}

// reorder restores the heap after ranks have changed.
func (q *serviceQueue) reorder() {
	heap.Init(&q.waiting)
}

// remove removes j from the queue if it is there.
func (q *serviceQueue) remove(j *job) {
	if j.index >= 0 {
		heap.Remove(&q.waiting, j.index)
	}
}

// peek returns the job of the lowest rank, or nil. Ranks mostly grow with time, so the top job
// is ranked again until it stays on top. A job whose rank has fallen keeps its position until
// refuseBacklogged ranks all jobs.
func (q *serviceQueue) peek(now time.Duration) *job {
	for len(q.waiting) > 0 {
		j := q.waiting[0]
		if rank := j.rankAt(now); rank.compare(j.rank) > 0 {
			j.rank = rank
			heap.Fix(&q.waiting, 0)
			continue
		}
		return j
	}
	return nil
}

// startableTasks returns the number of startable tasks of all jobs, up to limit.
func (q *serviceQueue) startableTasks(limit int) int {
	count := 0
	for _, j := range q.waiting {
		count += j.startableTasks()
		if count >= limit {
			return limit
		}
	}
	return count
}

// firstJobCPU returns the CPU that the waiting tasks of the first job need, in thousandths of a
// core.
func (q *serviceQueue) firstJobCPU() int {
	if len(q.waiting) == 0 {
		return 0
	}
	j := q.waiting[0]
	sum := 0
	for k := range j.steps {
		sum += j.steps[k].waiting * j.desc.Steps[k].Needs.CPU
	}
	return sum
}

// demand returns the room that the waiting tasks need. It stops counting once every resource
// has reached the bound.
func (q *serviceQueue) demand(bound task.Resources) task.Resources {
	var sum task.Resources
	for _, j := range q.waiting {
		for k := range j.steps {
			s := &j.steps[k]
			needs := j.desc.Steps[k].Needs
			for range s.waiting {
				sum = sum.Plus(needs)
			}
		}
		if bound.Fits(sum) {
			break
		}
	}
	return sum
}

// jobHeap implements heap.Interface for serviceQueue; the lowest rank is on top.
type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].rank.compare(h[j].rank) < 0 }

func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.index = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.index = -1
	return j
}
