package fleet

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

// Clairvoyant returns the share of what the world's jobs are worth that a scheduler
// earns which knows their true work, has one queue and needs no messages, on the same
// targets: the better of two orders, least time left and most worth for a core-second.
// It shows about how much could be served; no order is proved to be the best.
func (w *World) Clairvoyant(outages []Outage) float64 {
	byTime := func(a, b *seenJob) int { return cmp.Compare(a.latestStart(), b.latestStart()) }
	byWorth := func(a, b *seenJob) int { return cmp.Compare(b.worthOfWork(), a.worthOfWork()) }
	return max(w.clairvoyant(outages, byTime), w.clairvoyant(outages, byWorth))
}

// seenJob is a job as the clairvoyant scheduler sees it.
type seenJob struct {
	c       *client
	started int           // tasks
	ends    time.Duration // of those that have started, the last
}

// latestStart returns when the job must start to meet its objective.
func (j *seenJob) latestStart() time.Duration {
	return j.c.sentAt + j.c.objective() - slices.Max(j.c.lengths)
}

// worthOfWork returns the job's worth for a second of work.
func (j *seenJob) worthOfWork() float64 {
	var sum time.Duration
	for _, l := range j.c.lengths {
		sum += l
	}
	return j.c.worth / sum.Seconds()
}

// seenTarget is a target as the clairvoyant scheduler sees it.
type seenTarget struct {
	speed   float64
	free    int // in thousandths of a core
	outages []Outage
}

// usable reports whether a task that starts now and ends then can run there.
func (t *seenTarget) usable(now, end time.Duration) bool {
	return !slices.ContainsFunc(t.outages, func(o Outage) bool { return now < o.To && end > o.From })
}

// seenEnd is the end of a task on a target.
type seenEnd struct {
	at     time.Duration
	target *seenTarget
}

// seenEnds implements heap.Interface, the first end on top.
type seenEnds []seenEnd

func (h seenEnds) Len() int           { return len(h) }
func (h seenEnds) Less(i, j int) bool { return h[i].at < h[j].at }
func (h seenEnds) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *seenEnds) Push(x any) { *h = append(*h, x.(seenEnd)) }

// Pop implements heap.Interface.
func (h *seenEnds) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// clairvoyant plays the jobs in an order and returns the share earned.
func (w *World) clairvoyant(outages []Outage, order func(a, b *seenJob) int) float64 {
	jobs := w.seenJobs()
	targets := w.seenTargets(outages)
	var waiting []*seenJob
	var ends seenEnds
	var total Credit
	for len(jobs) > 0 || len(ends) > 0 {
		now := nextEvent(jobs, ends)
		for len(jobs) > 0 && jobs[0].c.sentAt <= now {
			waiting = append(waiting, jobs[0])
			total.Owed += jobs[0].c.worth
			jobs = jobs[1:]
		}
		for len(ends) > 0 && ends[0].at <= now {
			heap.Pop(&ends).(seenEnd).target.free += taskCPU
		}
		waiting = slices.DeleteFunc(waiting, func(j *seenJob) bool { return j.started == 0 && j.latestStart() < now })
		slices.SortStableFunc(waiting, order)
		for len(waiting) > 0 && waiting[0].startAll(now, targets, &ends) {
			j := waiting[0]
			waiting = waiting[1:]
			total.earn(j.c, j.ends-j.c.sentAt)
		}
	}
	return total.Share()
}

// nextEvent returns the time of the first arrival or end.
func nextEvent(jobs []*seenJob, ends seenEnds) time.Duration {
	switch {
	case len(ends) == 0:
		return jobs[0].c.sentAt
	case len(jobs) == 0:
		return ends[0].at
	}
	return min(jobs[0].c.sentAt, ends[0].at)
}

// seenJobs returns the workload's jobs by arrival.
func (w *World) seenJobs() []*seenJob {
	var jobs []*seenJob
	for _, c := range slices.SortedFunc(maps.Values(w.jobs), func(a, b *client) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.spec.ID, b.spec.ID))
	}) {
		jobs = append(jobs, &seenJob{c: c})
	}
	return jobs
}

// seenTargets returns the targets, the fastest first.
func (w *World) seenTargets(outages []Outage) []*seenTarget {
	var targets []*seenTarget
	for k, a := range w.agents {
		t := &seenTarget{speed: a.target.speed, free: w.cfg.CPU}
		for _, o := range outages {
			if o.Target == k {
				t.outages = append(t.outages, o)
			}
		}
		targets = append(targets, t)
	}
	slices.SortStableFunc(targets, func(a, b *seenTarget) int { return cmp.Compare(b.speed, a.speed) })
	return targets
}

// startAll starts the job's tasks, the longest first, while there is room. It reports
// whether none is left.
func (j *seenJob) startAll(now time.Duration, targets []*seenTarget, ends *seenEnds) bool {
	lengths := slices.Sorted(slices.Values(j.c.lengths))
	slices.Reverse(lengths)
	for j.started < len(lengths) {
		t, end := firstUsable(now, lengths[j.started], targets)
		if t == nil {
			return false
		}
		t.free -= taskCPU
		heap.Push(ends, seenEnd{at: end, target: t})
		j.ends = max(j.ends, end)
		j.started++
	}
	return true
}

// firstUsable returns the first target with room for a task, and when it ends there.
func firstUsable(now, length time.Duration, targets []*seenTarget) (*seenTarget, time.Duration) {
	for _, t := range targets {
		end := now + time.Duration(float64(length)/t.speed)
		if t.free >= taskCPU && t.usable(now, end) {
			return t, end
		}
	}
	return nil, 0
}
