package owner

import (
	"container/heap"
	"time"

	"github.com/beaconpoint/beaconpoint/task"
)

// queue holds the jobs of one service that have tasks to start, in the order of
// order.go.
type queue struct {
	service string
	waiting jobHeap
	// workRate is how much work its targets take from this entry while jobs wait, in
	// core-seconds a second, as of the last tick; knownRate is the last one at which
	// any target took work.
	workRate, lastWorkRate float64
	// returning says when callers that were refused have been asked to come back.
	retries returns
	// usualSpeed is that of the service's targets, as of the last tick.
	usualSpeed float64
	// backlogSince is since when jobs have been waiting, zero while none is.
	backlogSince time.Duration
}

// minBacklogTime is for how long jobs must have been waiting for the queue to count as
// backlogged: a shorter wait goes by itself.
const minBacklogTime = 120 * time.Millisecond

// backlogged reports whether jobs have been waiting for a while.
func (q *queue) backlogged(now time.Duration) bool {
	return q.backlogSince > 0 && now-q.backlogSince >= minBacklogTime
}

// startSpan returns the time from the first to the last start of the given number of tasks with that
// much work in all, in core-seconds; zero without a backlog.
func (q *queue) startSpan(now time.Duration, tasks int, work float64) time.Duration {
	if tasks < 2 || q.workRate <= 0 || !q.backlogged(now) {
		return 0
	}
	work *= float64(tasks-1) / float64(tasks)
	return time.Duration(work / q.workRate * float64(time.Second))
}

// setWorkRate sets the rate at which its targets take work from this entry.
func (q *queue) setWorkRate(rate float64) {
	q.workRate = rate
	q.recordWorkRate(rate)
}

// setKnownRate keeps the rate for the time to come back, unless no target takes work.
func (q *queue) recordWorkRate(rate float64) {
	if rate > 0 {
		q.lastWorkRate = rate
	}
}

// trackBacklog updates since when jobs have been waiting.
func (q *queue) trackBacklog(now time.Duration) {
	switch {
	case len(q.waiting) == 0:
		q.backlogSince = 0
	case q.backlogSince == 0:
		q.backlogSince = now
	}
}

// add puts j into the queue, or moves it to its present place there.
func (q *queue) add(now time.Duration, j *job) {
	j.rank = j.rankAt(now)
	if j.index >= 0 {
		heap.Fix(&q.waiting, j.index)
		return
	}
	heap.Push(&q.waiting, j)
}

// reorder restores the heap after ranks were changed.
func (q *queue) reorder() {
	heap.Init(&q.waiting)
}

// remove takes j out, if it is in.
func (q *queue) remove(j *job) {
	if j.index >= 0 {
		heap.Remove(&q.waiting, j.index)
	}
}

// peek returns the job that goes first, or nil. Ranks mostly grow with time: the job on
// top is ranked anew until one stays there. A job whose rank has fallen, because the rate
// of starts has, keeps its place until refuseBehind ranks all of them.
func (q *queue) peek(now time.Duration) *job {
	for len(q.waiting) > 0 {
		j := q.waiting[0]
		if rank := j.rankAt(now); rank > j.rank {
			j.rank = rank
			heap.Fix(&q.waiting, 0)
			continue
		}
		return j
	}
	return nil
}

// waitingTasks returns how many tasks wait, but not more than most.
func (q *queue) waitingTasks(most int) int {
	count := 0
	for _, j := range q.waiting {
		count += j.waitingTasks()
		if count >= most {
			return most
		}
	}
	return count
}

// firstDemand returns the room that the waiting tasks of the first job take, in
// thousandths of a core.
func (q *queue) firstJobCPU() int {
	if len(q.waiting) == 0 {
		return 0
	}
	j := q.waiting[0]
	sum := 0
	for k := range j.steps {
		sum += j.steps[k].waiting * j.spec.Steps[k].Needs.CPU
	}
	return sum
}

// demand returns the room that the waiting tasks take. It stops counting when the
// bound is reached in each part.
func (q *queue) demand(bound task.Needs) task.Needs {
	var sum task.Needs
	for _, j := range q.waiting {
		for k := range j.steps {
			s := &j.steps[k]
			needs := j.spec.Steps[k].Needs
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

// jobHeap implements heap.Interface for queue; the least rank is on top.
type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].rank < h[j].rank }

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
