package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/task"
)

// phase is the state of a task. setPhase alone changes it:
//
//	waiting   -> placed     an order was sent
//	placed    -> waiting    its run has ended without success
//	placed    -> done       its run has ended with success
//	placed    -> uncertain  the connection to its agent was lost
//	uncertain -> waiting    no run of it can be at work any more
type phase uint8

const (
	waiting   phase = iota // to be started
	placed                 // ordered at an agent
	uncertain              // ordered at an agent that was lost: a run may be at work
	done                   // ended with success
)

// taskState is one task of a job.
type taskState struct {
	phase  phase
	agent  string        // where its latest run was ordered
	run    int           // number of its latest run
	sentAt time.Duration // when that run was ordered
	// stopSent says that the latest run was ordered to stop.
	stopSent bool
	// failures counts the failed runs, taskFailures those of them that count as
	// the task's own fault and not its target's.
	failures, taskFailures int
	tries                  int // runs that may have begun, for logs
	losses                 int // runs whose target crashed or fell silent
	// crashes are those whose target crashed; the next run is one of its own until
	// aloneUntil: see suspect.go.
	crashes        []crash
	exclusiveUntil time.Duration
	exclusiveRuns  []int // numbers of the runs that were alone on their targets
	overdueStops   int   // runs that were stopped because they were overdue
	// avoid is an agent at which the task must not run until avoidUntil.
	avoid      string
	avoidUntil time.Duration
}

// stepState is one step of a job.
type stepState struct {
	tasks      []taskState
	waiting    int // tasks in the phase waiting
	unfinished int // tasks that are not done
	// took holds how long the tasks took that have ended with success, on a target
	// of speed 1.
	durations []time.Duration
	// spread is the standard deviation of the logarithm of the time that a task takes
	// over the step's estimate.
	spread float64
}

// job is a job of this entry. Times are on the entry's clock.
type job struct {
	spec       task.Job
	callers    map[uint64]func(Answer) // who waits for the answer
	steps      []stepState
	unfinished int // tasks that are not done

	arrived         time.Duration
	objectiveAt     time.Duration // until when its completion counts in full
	lateObjectiveAt time.Duration // until when it counts at all
	callerDeadline  time.Duration // when the caller stops waiting; zero: never
	// hash is that of the id, for the ranks of homes, and homes where the job is claimed,
	// the least rank first; claimedAt is when all of them had granted it, zero before.
	hash      uint64
	homes     []home
	claimedAt time.Duration
	// contestedAt is since when another entry has had a home of it that ranks first, while
	// tasks of it are started here; zero: none has.
	contestedAt time.Duration
	// homesWanted is how many homes it should have.
	homeCount int
	// earlierRun says that an earlier submission of the job may have run, here or at
	// another entry.
	earlierRun bool
	// earlierLosses is how many runs of a task of earlier submissions ended with the loss of
	// their target, as its homes remember.
	earlierLosses int
	// firstOrder and lastOrder are when the first and the latest order to start a
	// task was sent; zero: none yet.
	firstOrder, lastOrder time.Duration
	// orders counts the orders that may have reached a target.
	orders    int
	specAgent string   // the agent that the spec was sent to last
	failedAt  []string // the agents at which a run of it has failed
	suspect   bool     // a target has crashed under a task of it

	queue *queue // the queue of its service
	index int    // in the queue's heap, -1 while it is not in it
	// rank orders the queue, the least first; startSpan goes into it. Both are as
	// of the last call of updateRank.
	rank, startSpan time.Duration
}

// newJob returns a job that has just arrived.
func newJob(now time.Duration, spec task.Job) *job {
	j := &job{
		spec:       spec,
		arrived:    now,
		steps:      make([]stepState, len(spec.Steps)),
		unfinished: spec.Tasks(),
		callers:    make(map[uint64]func(Answer)),
		index:      -1,
		hash:       claim.Hash(spec.ID),
	}
	j.setObjectives()
	if spec.CallerTimeout > 0 {
		j.callerDeadline = now + spec.CallerTimeout
	}
	for k, s := range spec.Steps {
		j.steps[k] = stepState{tasks: make([]taskState, s.Count), waiting: s.Count, unfinished: s.Count}
	}
	return j
}

// setObjectives sets the objectives by the present estimates.
func (j *job) setObjectives() {
	j.objectiveAt = j.arrived + j.spec.Objective()
	j.lateObjectiveAt = j.arrived + j.spec.LateObjective()
}

// started reports whether a task of j may have been started on a target.
func (j *job) started() bool {
	return j.orders > 0
}

// mayHaveRun reports whether a task of this submission or of an earlier one may have been
// started: then the job can't be refused as not run.
func (j *job) mayHaveRun() bool {
	return j.started() || j.earlierRun
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

// ready reports whether the steps that a step depends on are done.
func (j *job) ready(step int) bool {
	for _, earlier := range j.spec.Steps[step].DependsOn {
		if j.steps[earlier].unfinished > 0 {
			return false
		}
	}
	return true
}

// startable reports whether a task of j may be started now.
func (j *job) startable() bool {
	for k := range j.steps {
		if j.steps[k].waiting > 0 && j.ready(k) {
			return true
		}
	}
	return false
}

// nextTask returns the first task that may be started now, or false.
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

// waitingTasks returns how many tasks of j may be started now.
func (j *job) waitingTasks() int {
	count := 0
	for k := range j.steps {
		if j.steps[k].waiting > 0 && j.ready(k) {
			count += j.steps[k].waiting
		}
	}
	return count
}

// startableWork returns the work of the tasks of j that may be started now, in
// core-seconds.
func (j *job) startableWork() float64 {
	sum := 0.0
	for k := range j.steps {
		if j.steps[k].waiting > 0 && j.ready(k) {
			sum += work(j.spec.Steps[k], j.steps[k].waiting)
		}
	}
	return sum
}

// waitingWork returns the work of j's waiting tasks, in core-seconds.
func (j *job) waitingWork() float64 {
	sum := 0.0
	for k := range j.steps {
		sum += work(j.spec.Steps[k], j.steps[k].waiting)
	}
	return sum
}

// work returns the work of the given number of tasks of a step, in core-seconds.
func work(s task.Step, tasks int) float64 {
	return task.Job{Steps: []task.Step{{Count: tasks, Needs: s.Needs, Estimate: s.Estimate}}}.Work()
}

// remaining returns the estimate of the longest chain of steps that are not done,
// on a target of the usual speed.
func (j *job) remaining() time.Duration {
	return j.spec.ChainOf(func(step int) bool { return j.steps[step].unfinished > 0 })
}

// spread returns the standard deviation of the logarithm of the time that the tasks take
// over their estimates, of the first step that is not done.
func (j *job) spread() float64 {
	for k := range j.steps {
		if j.steps[k].unfinished > 0 {
			return j.steps[k].spread
		}
	}
	return 0
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
		s.unfinished--
		j.unfinished--
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
