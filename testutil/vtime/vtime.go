// Package vtime runs events in virtual time, in the order of their times and,
// at one time, in the order in which they were added.
package vtime

import (
	"container/heap"
	"time"
)

// Queue holds the events to come.
type Queue struct {
	now    time.Duration
	added  uint64
	events eventHeap
}

type event struct {
	at    time.Duration
	added uint64
	do    func()
}

// NewQueue returns an empty queue whose time is start.
func NewQueue(start time.Duration) *Queue {
	return &Queue{now: start}
}

// Now returns the present time.
func (q *Queue) Now() time.Duration {
	return q.now
}

// After adds an event that happens d from now.
func (q *Queue) After(d time.Duration, do func()) {
	q.added++
	heap.Push(&q.events, event{at: q.now + d, added: q.added, do: do})
}

// Run lets events happen until the time is end, or until stop says so.
func (q *Queue) Run(end time.Duration, stop func() bool) {
	for len(q.events) > 0 && q.events[0].at <= end && !stop() {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.do()
	}
	q.now = max(q.now, end)
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].added < h[j].added
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
