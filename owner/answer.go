package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/stage"
	"github.com/beaconpoint/beaconpoint/task"
)

// Answers: the end of a job, whatever it is. Its callers are told once, and what is left
// of its runs is stopped.

// Kind is how a job was answered. Its numbers appear in logs.
type Kind uint8

// Kinds of answers.
const (
	// Completed means that every task ended well.
	Completed Kind = iota + 1
	// Failed means that a task has failed as often as its queue allows.
	Failed
	// GivenUp means that the job can't be done in time, though tasks of it may
	// have been started.
	GivenUp
	// Refused means that no task of the job was started or will be.
	Refused
	// Cancelled means that the caller has cancelled the job.
	Cancelled
)

// Answer is the final answer to a job.
type Answer struct {
	Kind Kind
	// Why is the cause.
	Why code.Code
	// Retry is how long the caller should wait before it submits the job again;
	// set for jobs that were refused or given up.
	Retry time.Duration
}

// answer gives the final answer to j's callers and stops what is left of it.
func (o *Owner) answer(now time.Duration, j *job, a Answer) {
	o.stats.count(a.Kind)
	o.logAnswered(now, j, a)
	if a.Kind == Completed {
		o.ObserveStage.Observe(stage.Placing, j.lastOrder-j.firstOrder)
	}
	o.countAnswer(a.Why)
	callers := j.callers
	j.callers = nil
	o.drop(now, j, a)
	for _, give := range callers {
		give(a)
	}
}

// count counts an answer.
func (s *Stats) count(k Kind) {
	switch k {
	case Completed:
		s.Completed++
	case Failed:
		s.Failed++
	case GivenUp:
		s.GivenUp++
	case Refused:
		s.Refused++
	case Cancelled:
		s.Cancelled++
	}
}

// countAnswer passes on the cause of an answer.
func (o *Owner) countAnswer(why code.Code) {
	if o.CountAnswer != nil {
		o.CountAnswer(why)
	}
}

// drop forgets j, which was answered so, and has its runs stopped.
func (o *Owner) drop(now time.Duration, j *job, a Answer) {
	delete(o.jobs, j.spec.ID)
	j.queue.remove(j)
	o.releaseAll(j)
	o.settle(now, j, a)
}

// releaseAll has the runs of j stopped.
func (o *Owner) releaseAll(j *job) {
	for k := range j.steps {
		for n := range j.steps[k].tasks {
			o.release(task.ID{Job: j.spec.ID, Step: k, Index: n}, &j.steps[k].tasks[n])
		}
	}
}

// release removes a task from its agent and has its run stopped there, whose end is awaited.
// Where the agent is lost, the run may go on until the agent is clear.
func (o *Owner) release(id task.ID, t *taskState) {
	a := o.agents[t.agent]
	if a == nil {
		return
	}
	if t.phase != placed && t.phase != uncertain {
		return
	}
	delete(a.tasks, id)
	o.addDroppedRun(a, id, t.run)
	if t.phase == placed && !t.stopSent {
		o.stop(a, task.Ref{Task: id, Run: t.run})
	}
}
