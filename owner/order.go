package owner

import (
	"container/heap"
	"time"

	"github.com/beaconpoint/beaconpoint/task"
)

// Weights of the order.
const (
	// lowerPriorityDelay is how much later the start of a job counts that is not of
	// the most urgent priority, and priorityPenalty for each further step.
	// Large steps would starve the last priority whenever there is too much
	// work of the one before: its jobs' turn would come when it is too late.
	lowerPriorityDelay = 25 * time.Millisecond
	priorityDelay      = 2 * time.Millisecond
	// sizeDelay is how much later it counts for each time that its work is
	// its queue's usual again: where not all can be served, more small jobs
	// are; sizeMost bounds how many times.
	sizeDelay       = 15 * time.Millisecond
	maxRelativeSize = 4
	// startedAdvance is how much earlier a job counts that has begun: what it has
	// is lost if the rest does not come in time.
	startedAdvance = 40 * time.Millisecond
	// estimateMargin is how many times the estimate the work is taken to need when
	// its latest start is reckoned: workers differ, and estimates err.
	estimateMargin = 1.4
)

// lateBand is added to the key of a job that can't meet its objective any more:
// it goes after all that still can.
const lateBand = time.Hour

// queue holds the jobs of one service that have tasks to start.
type queue struct {
	service   string
	waiting   jobHeap
	startRate startRate
	// backlogSince is since when jobs have been waiting, zero while none is.
	backlogSince time.Duration
}

// rankAt returns the place of j in the queue at now; the least goes first. Within
// a band it is the latest moment at which the work may begin.
func (j *job) rankAt(now time.Duration) time.Duration {
	j.startSpan = j.queue.startSpan(now, j.waitingTasks())
	shift := time.Duration(j.relativeSize * float64(sizeDelay))
	if j.spec.Priority > 0 {
		shift += lowerPriorityDelay + time.Duration(j.spec.Priority)*priorityDelay
	}
	if j.begun() {
		shift -= startedAdvance
	}
	if latest := j.latestStart(); now <= latest {
		return latest + shift
	}
	return lateBand + j.lateObjectiveAt - j.remaining() + shift
}

// startSpan returns how long it takes until room comes for so many tasks beyond the
// first, while jobs wait.
func (q *queue) startSpan(now time.Duration, tasks int) time.Duration {
	if tasks < 2 || q.backlogSince == 0 {
		return 0
	}
	_, rate := q.startRate.rates(now, q.backlogSince)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tasks-1) / rate * float64(time.Second))
}

// waitingTasks returns how many tasks of j are to be started.
func (j *job) waitingTasks() int {
	count := 0
	for k := range j.steps {
		count += j.steps[k].waiting
	}
	return count
}

// latestStart returns until when j should begin to meet its objective.
func (j *job) latestStart() time.Duration {
	return j.objectiveAt - time.Duration(estimateMargin*float64(j.remaining())) - j.startSpan
}

// missesObjective reports whether j's rank is that of a job that misses its objective.
func (j *job) missesObjective() bool {
	return j.rank >= lateBand
}

// remaining returns the estimate of the longest chain that is not done.
func (j *job) remaining() time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	var longest time.Duration
	for k, s := range j.spec.Steps {
		if j.steps[k].undone == 0 {
			continue
		}
		var begin time.Duration
		for _, earlier := range s.DependsOn {
			begin = max(begin, ends[earlier])
		}
		ends[k] = begin + s.Estimate
		longest = max(longest, ends[k])
	}
	return longest
}

// trackBacklog takes note of whether jobs wait.
func (q *queue) trackBacklog(now time.Duration) {
	switch {
	case len(q.waiting) == 0:
		q.backlogSince = 0
	case q.backlogSince == 0:
		q.backlogSince = now
	}
}

// add puts j into the queue, or into its right place there.
func (q *queue) add(now time.Duration, j *job) {
	j.rank = j.rankAt(now)
	if j.index >= 0 {
		heap.Fix(&q.waiting, j.index)
		return
	}
	heap.Push(&q.waiting, j)
}

// reorder puts the heap in order after ranks have changed.
func (q *queue) reorder() {
	heap.Init(&q.waiting)
}

// remove takes j out, if it is in.
func (q *queue) remove(j *job) {
	if j.index >= 0 {
		heap.Remove(&q.waiting, j.index)
	}
}

// peek returns the job that goes first, or nil.
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

// demand returns the room that the waiting tasks take, each part at most the
// given bound.
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
