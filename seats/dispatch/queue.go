// Package dispatch decides which waiting job's task is started next and at which
// agent. Policies are values with function fields, so that experiments can
// replace them.
package dispatch

import (
	"container/heap"
	"time"
)

// Item is a job with waiting tasks.
type Item struct {
	// Job is the job's key and Organisation its customer.
	Job          string
	Organisation string
	// Unstarted is the number of waiting tasks.
	Unstarted int
	// Since is the time of acceptance on the entry's monotonic clock.
	Since time.Duration
	// rank is the value of the Order; the lowest rank is first.
	rank  float64
	index int
}

// Order returns the rank of a waiting job; the lowest rank is first. It must
// depend on the item's fields only, not on the current time.
type Order func(*Item) float64

// ageingTime is the waiting time that offsets one unstarted task: later jobs delay a
// job of n tasks by at most n times ageingTime.
const ageingTime = time.Second

// FirstCome ranks by the time of acceptance.
func FirstCome(i *Item) float64 {
	return float64(i.Since)
}

// FewestUnstarted ranks by the number of waiting tasks.
func FewestUnstarted(i *Item) float64 {
	return float64(i.Unstarted)
}

// FewestAged ranks by the number of waiting tasks and the time of acceptance, so
// that large jobs do not starve.
func FewestAged(i *Item) float64 {
	return float64(i.Unstarted) + float64(i.Since)/float64(ageingTime)
}

// Queue holds the waiting jobs of one service, ordered within each organisation.
type Queue struct {
	order         Order
	organisations map[string]*jobHeap
	byJob         map[string]*Item
	tasks         int
}

// NewQueue returns an empty queue with the given order.
func NewQueue(order Order) *Queue {
	return &Queue{order: order, organisations: make(map[string]*jobHeap), byJob: make(map[string]*Item)}
}

// Put adds a job or updates its number of unstarted tasks; zero removes it.
func (q *Queue) Put(job, organisation string, unstarted int, since time.Duration) {
	i := q.byJob[job]
	switch {
	case i == nil && unstarted > 0:
		i = &Item{Job: job, Organisation: organisation, Unstarted: unstarted, Since: since}
		i.rank = q.order(i)
		q.byJob[job] = i
		q.tasks += unstarted
		if q.organisations[organisation] == nil {
			q.organisations[organisation] = &jobHeap{}
		}
		heap.Push(q.organisations[organisation], i)
	case i == nil:
	case unstarted == 0:
		q.tasks -= i.Unstarted
		delete(q.byJob, job)
		heap.Remove(q.organisations[i.Organisation], i.index)
		if q.organisations[i.Organisation].Len() == 0 {
			delete(q.organisations, i.Organisation)
		}
	default:
		q.tasks += unstarted - i.Unstarted
		i.Unstarted = unstarted
		i.rank = q.order(i)
		heap.Fix(q.organisations[i.Organisation], i.index)
	}
}

// First returns the first job of the organisations that are not over their share,
// or of all organisations if each is over its share. It reports false if the
// queue is empty.
func (q *Queue) First(over func(organisation string) bool) (Item, bool) {
	var best, within *Item
	for organisation, items := range q.organisations {
		i := (*items)[0]
		if best == nil || i.before(best) {
			best = i
		}
		if (within == nil || i.before(within)) && !over(organisation) {
			within = i
		}
	}
	switch {
	case within != nil:
		return *within, true
	case best != nil:
		return *best, true
	}
	return Item{}, false
}

// Waits reports whether the organisation has waiting jobs.
func (q *Queue) Waits(organisation string) bool {
	return q.organisations[organisation] != nil
}

// Organisations returns the number of organisations with waiting jobs.
func (q *Queue) Organisations() int {
	return len(q.organisations)
}

// Tasks returns the number of waiting tasks.
func (q *Queue) Tasks() int {
	return q.tasks
}

// Jobs returns the number of waiting jobs.
func (q *Queue) Jobs() int {
	return len(q.byJob)
}

type jobHeap []*Item

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// before reports whether i is ordered before o: by rank, then by time of
// acceptance and key.
func (i *Item) before(o *Item) bool {
	if i.rank != o.rank {
		return i.rank < o.rank
	}
	if i.Since != o.Since {
		return i.Since < o.Since
	}
	return i.Job < o.Job
}

func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *jobHeap) Push(x any) {
	i := x.(*Item)
	i.index = len(*h)
	*h = append(*h, i)
}

func (h *jobHeap) Pop() any {
	old := *h
	i := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return i
}
