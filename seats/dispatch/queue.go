// Package dispatch holds the decisions about waiting: which job's task goes
// next and to which agent. Its policies are values with function fields, so
// that a measurement can put one in place of another.
package dispatch

import (
	"container/heap"
	"time"
)

// Item is a job with tasks that wait for a start.
type Item struct {
	// Job is the job's id, Member the one it counts on.
	Job          string
	Organisation string
	// Unstarted is how many of its tasks wait.
	Unstarted int
	// Since is when it was accepted, on the home's clock.
	Since time.Duration
	// rank is the order's value; the least goes first.
	rank  float64
	index int
}

// Order ranks a waiting job; the least goes first. The rank may change only
// with the item's fields, never with time alone.
type Order func(*Item) float64

// ageing is how long a wait weighs as much as one unstarted task: a job with n
// tasks waits for n times that at most behind jobs that came later. Measured at
// 95% load, shorter ageing costs more of the mean (docs/design/placement.md).
const ageing = time.Second

// FirstCome ranks by the time of acceptance.
func FirstCome(i *Item) float64 {
	return float64(i.Since)
}

// FewestUnstarted ranks by the tasks that still wait, without ageing.
func FewestUnstarted(i *Item) float64 {
	return float64(i.Unstarted)
}

// FewestAged ranks by the tasks that still wait; a long wait counts as fewer
// tasks, so that large jobs do not starve.
func FewestAged(i *Item) float64 {
	return float64(i.Unstarted) + float64(i.Since)/float64(ageing)
}

// Queue holds the waiting jobs of one service, each organisation's in the order of a
// policy.
type Queue struct {
	order         Order
	organisations map[string]*itemHeap
	byJob         map[string]*Item
	tasks         int
}

// NewQueue returns an empty queue in the given order.
func NewQueue(order Order) *Queue {
	return &Queue{order: order, organisations: make(map[string]*itemHeap), byJob: make(map[string]*Item)}
}

// Put adds an organisation's job, or sets its unstarted tasks; none takes it out.
func (q *Queue) Put(job, organisation string, unstarted int, since time.Duration) {
	i := q.byJob[job]
	switch {
	case i == nil && unstarted > 0:
		i = &Item{Job: job, Organisation: organisation, Unstarted: unstarted, Since: since}
		i.rank = q.order(i)
		q.byJob[job] = i
		q.tasks += unstarted
		if q.organisations[organisation] == nil {
			q.organisations[organisation] = &itemHeap{}
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

// First returns the job whose task goes next: the first of those organisations that
// are not over their share, or of all where each is.
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

// Waits reports whether the organisation has jobs that wait.
func (q *Queue) Waits(organisation string) bool {
	return q.organisations[organisation] != nil
}

// Organisations returns how many organisations have jobs that wait.
func (q *Queue) Organisations() int {
	return len(q.organisations)
}

// Tasks returns how many tasks wait.
func (q *Queue) Tasks() int {
	return q.tasks
}

// Jobs returns how many jobs wait.
func (q *Queue) Jobs() int {
	return len(q.byJob)
}

type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// before orders items by rank, then by age and name.
func (i *Item) before(o *Item) bool {
	if i.rank != o.rank {
		return i.rank < o.rank
	}
	if i.Since != o.Since {
		return i.Since < o.Since
	}
	return i.Job < o.Job
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *itemHeap) Push(x any) {
	i := x.(*Item)
	i.index = len(*h)
	*h = append(*h, i)
}

func (h *itemHeap) Pop() any {
	old := *h
	i := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return i
}
