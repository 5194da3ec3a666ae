package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/task"
)

// phase is where a task stands.
type phase uint8

const (
	waiting   phase = iota // to be started
	placed                 // ordered at an agent
	uncertain              // ordered at an agent that was lost: it may run yet
	done                   // ended well
)

// taskState is one task of a job.
type taskState struct {
	phase    phase
	run      int // the latest run
	agent    string
	sentAt   time.Duration
	failures int // runs that failed
	// taskFailures are those that were not the worker's fault.
	taskFailures int
	tries        int
	stopSent     bool // its stop was asked for
	// avoid is the agent that a new run should not go to until avoidUntil.
	avoid      string
	avoidUntil time.Duration
}

// stepState is one step of a job.
type stepState struct {
	tasks    []taskState
	waiting  int  // tasks in the phase waiting
	undone   int  // tasks that are not done
	measured bool // a task has ended: the estimate is sure
}

// job is a submission that the entry owns.
type job struct {
	spec            task.Job
	arrived         time.Duration
	objectiveAt     time.Duration // when it stops counting in full
	lateObjectiveAt time.Duration // when it stops counting
	callerDeadline  time.Duration // when the caller stops waiting; zero: never
	// firstOrder and lastOrder are when the first and the latest order to start
	// a task was sent; zero: none yet.
	firstOrder, lastOrder time.Duration
	// clearAt is when runs of an earlier submission are surely over.
	clearAt      time.Duration
	steps        []stepState
	undone       int
	failedAt     []string // the agents at which a run of it has failed
	orders       int      // orders to start a task of it that no agent has turned down
	callers      map[uint64]func(Answer)
	relativeSize float64 // its work against its queue's usual, less one
	rank         time.Duration
	queue        *queue        // that it waits in
	startSpan    time.Duration // from the first to the last start of its waiting tasks
	index        int           // in the queue's heap, -1 when not in it
}

func newJob(now time.Duration, spec task.Job) *job {
	j := &job{
		spec:            spec,
		arrived:         now,
		objectiveAt:     now + spec.Objective(),
		lateObjectiveAt: now + spec.LateObjective(),
		steps:           make([]stepState, len(spec.Steps)),
		undone:          spec.Tasks(),
		callers:         make(map[uint64]func(Answer)),
		index:           -1,
	}
	if spec.CallerTimeout > 0 {
		j.callerDeadline = now + spec.CallerTimeout
	}
	for k, s := range spec.Steps {
		j.steps[k] = stepState{tasks: make([]taskState, s.Count), waiting: s.Count, undone: s.Count}
	}
	return j
}

// begun reports whether a task of j may have been started on a worker.
func (j *job) begun() bool {
	return j.orders > 0
}

// failedElsewhere reports whether a run of j has failed at another agent.
func (j *job) failedElsewhere(agent string) bool {
	for _, name := range j.failedAt {
		if name != agent {
			return true
		}
	}
	return false
}

// ready reports whether the step's tasks may be started.
func (j *job) ready(step int) bool {
	for _, earlier := range j.spec.Steps[step].DependsOn {
		if j.steps[earlier].undone > 0 {
			return false
		}
	}
	return true
}

// startable reports whether a task of j is to be started now.
func (j *job) startable() bool {
	for k := range j.steps {
		if j.steps[k].waiting > 0 && j.ready(k) {
			return true
		}
	}
	return false
}

// nextTask returns the step and the index of a task to be started, or false.
func (j *job) nextTask() (step, index int, ok bool) {
	for k := range j.steps {
		s := &j.steps[k]
		if s.waiting == 0 || !j.ready(k) {
			continue
		}
		for n := range s.tasks {
			if s.tasks[n].phase == waiting {
				return k, n, true
			}
		}
	}
	return 0, 0, false
}

// setPhase moves a task to another phase and keeps the counts.
func (j *job) setPhase(step, index int, to phase) {
	s := &j.steps[step]
	t := &s.tasks[index]
	if t.phase == waiting {
		s.waiting--
	}
	if to == waiting {
		s.waiting++
	}
	if to == done {
		s.undone--
		j.undone--
	}
	t.phase = to
}

// find returns the task of the id, or nil.
func (j *job) find(id task.ID) *taskState {
	if id.Step < 0 || id.Step >= len(j.steps) {
		return nil
	}
	tasks := j.steps[id.Step].tasks
	if id.Index < 0 || id.Index >= len(tasks) {
		return nil
	}
	return &tasks[id.Index]
}
