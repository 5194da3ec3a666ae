// Package vtime runs events in virtual time. Events run in the order of their times; events at
// the same time run in the order in which they were added.
package vtime

import (
	"container/heap"
	"time"
)

// Queue holds pending events.
type Queue struct {
	now     time.Duration
	lastSeq uint64
	events  eventHeap
}

// event is a call scheduled at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// NewQueue returns an empty queue with the given current time.
func NewQueue(start time.Duration) *Queue {
	return &Queue{now: start}
}

// Now returns the current virtual time.
func (q *Queue) Now() time.Duration {
	return q.now
}

// After schedules do after d.
func (q *Queue) After(d time.Duration, do func()) {
	q.lastSeq++
	heap.Push(&q.events, event{at: q.now + d, seq: q.lastSeq, do: do})
}

// Run runs events until the given end time, or until stop returns true. In both cases the
// current time is then at least end.
func (q *Queue) Run(end time.Duration, stop func() bool) {
	for len(q.events) > 0 && q.events[0].at <= end && !stop() {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.do()
	}
	q.now = max(q.now, end)
}

// eventHeap implements heap.Interface with the next event on top.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
