package fleet

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

// Clairvoyant returns the earned share of a hypothetical scheduler on the same targets that
// has the real task durations, a single queue and no message delays. The result is the better
// one of two orders: earliest latestStart first, and highest worth per second of work first. As
// neither order is always optimal, the result only approximates an upper bound.
func (w *World) Clairvoyant(outages []Outage) float64 {
	byTime := func(a, b *clairvoyantJob) int { return cmp.Compare(a.latestStart(), b.latestStart()) }
	byWorth := func(a, b *clairvoyantJob) int { return cmp.Compare(b.worthPerSecond(), a.worthPerSecond()) }
	return max(w.scheduleClairvoyant(outages, byTime), w.scheduleClairvoyant(outages, byWorth))
}

// clairvoyantJob is a job in the clairvoyant schedule.
type clairvoyantJob struct {
	c            *caller
	startedTasks int
	lastEnd      time.Duration // of the started tasks
}

// latestStart returns the latest start that meets the objective on a target of speed 1.
func (j *clairvoyantJob) latestStart() time.Duration {
	return j.c.sentAt + j.c.objective() - slices.Max(j.c.taskDurations)
}

// worthPerSecond returns the job's worth per second of work.
func (j *clairvoyantJob) worthPerSecond() float64 {
	var sum time.Duration
	for _, l := range j.c.taskDurations {
		sum += l
	}
	return j.c.worth / sum.Seconds()
}

// clairvoyantTarget is a target in the clairvoyant schedule.
type clairvoyantTarget struct {
	speed   float64
	free    int // in thousandths of a core
	outages []Outage
}

// usable reports whether a task can run from now to end without overlapping an outage.
func (t *clairvoyantTarget) usable(now, end time.Duration) bool {
	return !slices.ContainsFunc(t.outages, func(o Outage) bool { return now < o.To && end > o.From })
}

// taskEnd is the end of a task on a target.
type taskEnd struct {
	at     time.Duration
	target *clairvoyantTarget
}

// taskEndHeap implements heap.Interface with the earliest end on top.
type taskEndHeap []taskEnd

func (h taskEndHeap) Len() int           { return len(h) }
func (h taskEndHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h taskEndHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *taskEndHeap) Push(x any) { *h = append(*h, x.(taskEnd)) }

// Pop implements heap.Interface.
func (h *taskEndHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// scheduleClairvoyant schedules the jobs in the given order and returns the earned share.
func (w *World) scheduleClairvoyant(outages []Outage, order func(a, b *clairvoyantJob) int) float64 {
	jobs := w.clairvoyantJobs()
	targets := w.clairvoyantTargets(outages)
	var waiting []*clairvoyantJob
	var ends taskEndHeap
	var total Credit
	for len(jobs) > 0 || len(ends) > 0 {
		now := nextEventTime(jobs, ends)
		for len(jobs) > 0 && jobs[0].c.sentAt <= now {
			waiting = append(waiting, jobs[0])
			total.Owed += jobs[0].c.worth
			jobs = jobs[1:]
		}
		for len(ends) > 0 && ends[0].at <= now {
			heap.Pop(&ends).(taskEnd).target.free += taskCPU
		}
		waiting = slices.DeleteFunc(waiting,
			func(j *clairvoyantJob) bool { return j.startedTasks == 0 && j.latestStart() < now })
		slices.SortStableFunc(waiting, order)
		for len(waiting) > 0 && waiting[0].startAll(now, targets, &ends) {
			j := waiting[0]
			waiting = waiting[1:]
			total.addCompleted(j.c, j.lastEnd-j.c.sentAt)
		}
	}
	return total.Share()
}

// nextEventTime returns the time of the next arrival or task end. One of them must be pending.
func nextEventTime(jobs []*clairvoyantJob, ends taskEndHeap) time.Duration {
	switch {
	case len(ends) == 0:
		return jobs[0].c.sentAt
	case len(jobs) == 0:
		return ends[0].at
	}
	return min(jobs[0].c.sentAt, ends[0].at)
}

// clairvoyantJobs returns the jobs in order of arrival.
func (w *World) clairvoyantJobs() []*clairvoyantJob {
	var jobs []*clairvoyantJob
	for _, c := range slices.SortedFunc(maps.Values(w.jobs), func(a, b *caller) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.spec.ID, b.spec.ID))
	}) {
		jobs = append(jobs, &clairvoyantJob{c: c})
	}
	return jobs
}

// clairvoyantTargets returns the targets, the fastest first.
func (w *World) clairvoyantTargets(outages []Outage) []*clairvoyantTarget {
	var targets []*clairvoyantTarget
	for k, a := range w.agents {
		t := &clairvoyantTarget{speed: a.target.speed, free: w.cfg.CPU}
		for _, o := range outages {
			if o.Target == k {
				t.outages = append(t.outages, o)
			}
		}
		targets = append(targets, t)
	}
	slices.SortStableFunc(targets, func(a, b *clairvoyantTarget) int { return cmp.Compare(b.speed, a.speed) })
	return targets
}

// startAll starts the job's remaining tasks, the longest first, as far as there is room. It
// reports whether all have started.
func (j *clairvoyantJob) startAll(now time.Duration, targets []*clairvoyantTarget, ends *taskEndHeap) bool {
	lengths := slices.Sorted(slices.Values(j.c.taskDurations))
	slices.Reverse(lengths)
	for j.startedTasks < len(lengths) {
		t, end := firstWithRoom(now, lengths[j.startedTasks], targets)
		if t == nil {
			return false
		}
		t.free -= taskCPU
		heap.Push(ends, taskEnd{at: end, target: t})
		j.lastEnd = max(j.lastEnd, end)
		j.startedTasks++
	}
	return true
}

// firstWithRoom returns the first target with room for a task and the end of the task there, or
// nil if there is none.
func firstWithRoom(now, length time.Duration, targets []*clairvoyantTarget) (*clairvoyantTarget, time.Duration) {
	for _, t := range targets {
		end := now + time.Duration(float64(length)/t.speed)
		if t.free >= taskCPU && t.usable(now, end) {
			return t, end
		}
	}
	return nil, 0
}
