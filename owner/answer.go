package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/stage"
	"github.com/beaconpoint/beaconpoint/task"
)

// An answer ends a job: each caller gets it once, and the remaining runs are stopped.

// Kind is the kind of an answer. Its numeric values appear in logs.
type Kind uint8

// Kinds of answers.
const (
	// Completed means that every task succeeded.
	Completed Kind = iota + 1
	// Failed means that a task has used up the attempts of its configured queue or crashes
	// targets.
	Failed
	// GivenUp means that the job was ended before its tasks were done, and that tasks of it may
	// have been started.
	GivenUp
	// Refused means that no task of the job was or will be started.
	Refused
	// Cancelled means that the job was cancelled by a caller.
	Cancelled
)

// Answer is the final answer to a job.
type Answer struct {
	Kind Kind
	// Why is the cause of the answer.
	Why code.Code
	// Retry is how long the caller should wait before it submits the job again. It is set for
	// jobs that were refused or given up.
	Retry time.Duration
}

// answer sends the final answer to j's callers and stops its remaining runs.
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
	for _, callback := range callers {
		callback(a)
	}
}

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

// countAnswer reports the cause of an answer to CountAnswer.
func (o *Owner) countAnswer(why code.Code) {
	if o.CountAnswer != nil {
		o.CountAnswer(why)
	}
}

// drop removes j after the given answer and stops its runs.
func (o *Owner) drop(now time.Duration, j *job, a Answer) {
	delete(o.jobs, j.desc.ID)
	j.queue.remove(j)
	o.detachRuns(j)
	o.settle(now, j, a)
}

// detachRuns detaches the tasks of j from their agents and stops their runs.
func (o *Owner) detachRuns(j *job) {
	for k := range j.steps {
		for n := range j.steps[k].tasks {
			o.detachRun(task.ID{Job: j.desc.ID, Step: k, Index: n}, &j.steps[k].tasks[n])
		}
	}
}

// detachRun detaches a task from its agent, orders its run to stop and records the run as
// dropped. A run at a lost agent may continue until the agent is clear.
func (o *Owner) detachRun(id task.ID, t *taskState) {
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
