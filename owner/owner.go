// Package owner decides for the jobs of one entry: which task starts next and
// where, what is tried elsewhere, when a job is refused or given up. It is a
// state machine without goroutines, clock or sockets; its process drives it
// under one lock.
package owner

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/estimate"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// ClearTime is how long after the last frame to a lost agent no run that this
// entry ordered there can be left: the owner's lease at the agent, the worker's
// lease with its slow clock, the stop, and what timers are late.
// docs/design/platform.md has the sum.
const ClearTime = 1450 * time.Millisecond

// maxJobs is how many jobs one entry owns at once: what is more is refused
// before it takes memory.
const maxJobs = 3000

// Owner holds the jobs of one entry.
type Owner struct {
	// Send sends a frame to an agent and returns the frame's number, zero
	// where there is no connection.
	Send func(agent string, f *peer.Frame) uint64
	// Random returns a number from 0 up to but not including 1.
	Random func() float64
	// ObserveStage, where it is set, is told how long each stage of a job took, and
	// Answered why each job was answered as it was.
	ObserveStage func(Stage, time.Duration)
	CountAnswer  func(code.Code)
	// Log takes a line for each decision.
	Log *slog.Logger
	// ClearTime is ClearTime, but in tests.
	ClearTime time.Duration
	// FarFactor is how many times as long a task takes away from its data.
	FarFactor float64

	agents map[string]*agent
	byName []*agent // by name
	jobs   map[string]*job
	queues map[string]*queue
	// estimators learn how long each queue's work takes.
	estimators map[string]*estimate.Estimator
	// usualWork are the usual work of each queue's jobs, in seconds of a core.
	usualWork map[string]*movingAverage
	// uncertainUntil holds until when runs of a job that was dropped may be left at
	// an agent that was lost.
	uncertainUntil map[string]time.Duration
	callers        uint64
	stats          Stats
}

// Stats counts outcomes since the start.
type Stats struct {
	Submitted, Completed, Failed, GivenUp, Refused, Cancelled uint64
	Starts, Rejected, Moved                                   uint64
}

// NewOwner returns an owner without jobs and agents.
func NewOwner(log *slog.Logger, random func() float64) *Owner {
	return &Owner{
		Log:            log,
		Random:         random,
		FarFactor:      1,
		ClearTime:      ClearTime,
		agents:         make(map[string]*agent),
		jobs:           make(map[string]*job),
		queues:         make(map[string]*queue),
		uncertainUntil: make(map[string]time.Duration),

		estimators: make(map[string]*estimate.Estimator),
		usualWork:  make(map[string]*movingAverage),
	}
}

// Stats returns the counts.
func (o *Owner) Stats() Stats {
	return o.stats
}

// Submit takes a job. Its answer goes to the given function; the returned
// number names that caller's interest. A job that is owned already is joined.
func (o *Owner) Submit(now time.Duration, spec task.Job, answer func(Answer)) uint64 {
	defer o.flush(now)
	o.callers++
	j := o.jobs[spec.ID]
	if j == nil && len(o.jobs) >= maxJobs {
		o.stats.Refused++
		o.Log.Info(event.JobRefused, "job", spec.ID, "request", spec.Request, "jobs", len(o.jobs), "why", code.QueueFull.String())
		o.countAnswer(code.QueueFull)
		answer(Answer{Kind: Refused, Why: code.QueueFull, Retry: retryAfter})
		return o.callers
	}
	if j == nil {
		j = newJob(now, o.estimated(spec))
		j.relativeSize = o.sizeOf(j.spec)
		j.queue = o.queue(spec.Service)
		o.jobs[spec.ID] = j
		o.stats.Submitted++
		o.Log.Info(event.JobAccepted, "job", spec.ID, "request", spec.Request, "queue", spec.Queue, "tasks", spec.Tasks(),
			"objective_ms", j.spec.Objective().Milliseconds(), "chain_ms", j.spec.Chain().Milliseconds(), "guess_ms", spec.Chain().Milliseconds(), "patience_ms", spec.CallerTimeout.Milliseconds(),
			"waiting", len(o.queue(spec.Service).waiting))
		j.clearAt = o.uncertainUntil[spec.ID]
		if now >= j.clearAt {
			o.queue(spec.Service).add(now, j)
		}
	}
	j.callers[o.callers] = answer
	o.checkDeadlines(now, j)
	o.schedule(now, o.queue(spec.Service))
	return o.callers
}

// estimator returns the estimator of a queue.
func (o *Owner) estimator(queue string) *estimate.Estimator {
	e := o.estimators[queue]
	if e == nil {
		e = estimate.NewEstimator()
		o.estimators[queue] = e
	}
	return e
}

// estimated returns the job with its callers' guesses replaced by what its
// tasks likely take.
func (o *Owner) estimated(spec task.Job) task.Job {
	e := o.estimator(spec.Queue)
	steps := slices.Clone(spec.Steps)
	for k := range steps {
		steps[k].Guess = steps[k].Estimate
		steps[k].Estimate = e.Likely(steps[k].Guess)
	}
	spec.Steps = steps
	return spec
}

// learn takes in how long a task took: for its queue, and for the other tasks
// of its step, which are much alike.
func (o *Owner) learn(j *job, step int, a *agent, took time.Duration) {
	s := &j.steps[step]
	if s.measured {
		return
	}
	s.measured = true
	work := time.Duration(float64(took) * max(a.state.Speed, minSpeed))
	o.estimator(j.spec.Queue).Learn(j.spec.Steps[step].Guess, work)
	j.spec.Steps[step].Estimate = work
}

// minSpeed bounds a learned speed from below.
const minSpeed = 0.05

// Cancel ends a caller's interest; a job that nobody waits for is stopped.
func (o *Owner) Cancel(now time.Duration, id string, waiter uint64) {
	defer o.flush(now)
	j := o.jobs[id]
	if j == nil || j.callers[waiter] == nil {
		return
	}
	delete(j.callers, waiter)
	if len(j.callers) > 0 {
		return
	}
	o.stats.Cancelled++
	o.Log.Info(event.JobCancelled, "job", id, "begun", j.begun(), "age_ms", (now - j.arrived).Milliseconds())
	o.drop(now, j)
}

// CancelJob ends a job on the caller's order. It reports whether the job was
// owned here.
func (o *Owner) CancelJob(now time.Duration, id string) bool {
	defer o.flush(now)
	j := o.jobs[id]
	if j == nil {
		return false
	}
	o.answer(now, j, Answer{Kind: Cancelled, Why: code.JobCancelled})
	return true
}

// WaitingJobs returns how many jobs of the queue have no task begun.
func (o *Owner) WaitingJobs(queue string) int {
	count := 0
	for _, j := range o.jobs {
		if j.spec.Queue == queue && !j.begun() {
			count++
		}
	}
	return count
}

// Jobs returns how many jobs are owned.
func (o *Owner) Jobs() int {
	return len(o.jobs)
}

func (o *Owner) queue(service string) *queue {
	q := o.queues[service]
	if q == nil {
		q = &queue{service: service}
		o.queues[service] = q
	}
	return q
}

// answer gives the final word on j and stops what is left of it.
func (o *Owner) answer(now time.Duration, j *job, a Answer) {
	switch a.Kind {
	case Completed:
		o.stats.Completed++
	case Failed:
		o.stats.Failed++
	case GivenUp:
		o.stats.GivenUp++
	case Refused:
		o.stats.Refused++
	case Cancelled:
		o.stats.Cancelled++
	}
	o.Log.Info(event.JobAnswered, "job", j.spec.ID, "queue", j.spec.Queue, "kind", int(a.Kind), "why", a.Why.String(), "begun", j.begun(),
		"age_ms", (now - j.arrived).Milliseconds(), "objective_ms", j.spec.Objective().Milliseconds(), "undone", j.undone)
	if a.Kind == Completed {
		o.observe(StagePlacing, j.lastOrder-j.firstOrder)
	}
	o.countAnswer(a.Why)
	waiters := j.callers
	j.callers = nil
	o.drop(now, j)
	for _, give := range waiters {
		give(a)
	}
}

// countAnswer tells why a job was answered.
func (o *Owner) countAnswer(why code.Code) {
	if o.CountAnswer != nil {
		o.CountAnswer(why)
	}
}

// drop forgets j and has its runs stopped.
func (o *Owner) drop(now time.Duration, j *job) {
	delete(o.jobs, j.spec.ID)
	o.queue(j.spec.Service).remove(j)
	for k := range j.steps {
		for n := range j.steps[k].tasks {
			t := &j.steps[k].tasks[n]
			o.release(task.ID{Job: j.spec.ID, Step: k, Index: n}, t)
		}
	}
}

// release takes the task from its agent's books, and has it stopped there.
func (o *Owner) release(id task.ID, t *taskState) {
	a := o.agents[t.agent]
	if a == nil {
		return
	}
	switch t.phase {
	case placed:
		delete(a.tasks, id)
		if !t.stopSent {
			a.out.Stops = append(a.out.Stops, task.Ref{Task: id, Run: t.run})
			a.dirty = true
		}
	case uncertain:
		delete(a.tasks, id)
		o.uncertainUntil[id.Job] = max(o.uncertainUntil[id.Job], a.clearAt)
	}
}

// Tick looks at what has run out of time. It should be called each 20 ms.
func (o *Owner) Tick(now time.Duration) {
	defer o.flush(now)
	for _, a := range o.byName {
		if !a.connected && a.clearAt > 0 && now >= a.clearAt {
			o.clearAgent(now, a)
		}
	}
	for id, until := range o.uncertainUntil {
		if now >= until {
			delete(o.uncertainUntil, id)
		}
	}
	for _, j := range o.sortedJobs() {
		o.checkDeadlines(now, j)
	}
	for _, service := range slices.Sorted(maps.Keys(o.queues)) {
		o.refuseHopeless(now, o.queues[service])
	}
	for _, service := range slices.Sorted(maps.Keys(o.queues)) {
		o.schedule(now, o.queues[service])
	}
}

func (o *Owner) sortedJobs() []*job {
	list := make([]*job, 0, len(o.jobs))
	for _, j := range o.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return strings.Compare(a.spec.ID, b.spec.ID) })
	return list
}

// flush sends what is due to the agents.
func (o *Owner) flush(now time.Duration) {
	for _, a := range o.byName {
		if !a.dirty {
			continue
		}
		f := a.out
		a.out = peer.Frame{}
		a.dirty = false
		a.sentAt = now
		seq := o.Send(a.name, &f)
		for k := range a.pending {
			if a.pending[k].seq == 0 {
				a.pending[k].seq = seq
			}
		}
	}
}

// Heartbeats sends each agent a frame that has got none since the given time, so
// that the lease of this entry goes on there.
func (o *Owner) Heartbeats(now, since time.Duration) {
	for _, a := range o.byName {
		a.dirty = a.dirty || a.connected && a.sentAt <= since
	}
	o.flush(now)
}
