package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/task"
)

// phase is the state of a task. Only setPhase changes it:
//
//	waiting   -> placed     an order was sent
//	placed    -> waiting    its run has ended without success
//	placed    -> done       its run has ended with success
//	placed    -> uncertain  the connection to its agent was lost
//	uncertain -> waiting    none of its runs can be active any more
//	placed    -> waiting    the job is left to another entry; the run is recorded as dropped
//	uncertain -> waiting    likewise
type phase uint8

const (
	waiting   phase = iota // to be started
	placed                 // ordered at an agent
	uncertain              // ordered at an agent that was lost; the run may be active
	done                   // ended with success
)

// taskState is one task of a job.
type taskState struct {
	phase  phase
	agent  string        // where its latest run was ordered
	run    int           // number of its latest run
	sentAt time.Duration // when that run was ordered
	// stopSent reports whether the latest run was ordered to stop.
	stopSent bool
	// failures counts failed runs, taskFailures those that were not the target's fault.
	failures, taskFailures int
	tries                  int // runs that may have begun, for logs
	losses                 int // runs lost because the target crashed, became silent or had no such run
	// crashes lists runs whose target crashed. Until exclusiveUntil, the task runs only on an
	// otherwise empty target.
	crashes        []crash
	exclusiveUntil time.Duration
	exclusiveRuns  []int // numbers of the runs that had their target to themselves
	overdueStops   int   // runs that were stopped as overdue
	// avoid is an agent that the task must not use before avoidUntil.
	avoid      string
	avoidUntil time.Duration
}

// stepState is one step of a job.
type stepState struct {
	tasks      []taskState
	waiting    int // tasks in the phase waiting
	unfinished int // tasks that are not done
	// durations holds how long its successful tasks took, scaled to a target of speed 1.
	durations []time.Duration
	// spread is the standard deviation of the logarithm of task duration over estimate.
	spread float64
}

// job is a job of this entry. Times are on the entry's clock.
type job struct {
	desc       task.Job
	callers    map[uint64]func(Answer) // callers that wait for the answer
	steps      []stepState
	unfinished int // tasks that are not done

	arrived         time.Duration
	objectiveAt     time.Duration // completion has full value until then
	lateObjectiveAt time.Duration // completion has reduced value until then
	callerDeadline  time.Duration // when the caller stops waiting; zero for never
	// hash is the hash of the job's id for ranking homes. homes lists where the job is claimed,
	// lowest rank first. claimedAt is when all homes had granted the claim, zero before that.
	hash      uint64
	homes     []home
	claimedAt time.Duration
	// contestedAt is when another entry was found to hold the claim at the lowest-ranked home
	// while the job was started here, zero if none was.
	contestedAt time.Duration
	// homeCount is the number of homes that the job should have.
	homeCount int
	// firstHomes lists the homes that were chosen before the job lost one. homeLost is set once it
	// has lost one.
	firstHomes []*agent
	homeLost   bool
	// earlierRun reports whether an earlier submission of the job may have run, here or at
	// another entry.
	earlierRun bool
	// earlierLosses is the number of runs of a task that earlier submissions lost with their
	// targets, as reported by the homes.
	earlierLosses int
	// firstOrder and lastOrder are when the first and the latest start order was sent, zero
	// before that.
	firstOrder, lastOrder time.Duration
	// orders counts the orders that may have reached a target.
	orders       int
	specAgent    string   // the agent that last received the spec
	failedAt     []string // agents at which a run of the job has failed
	crashSuspect bool     // a target has crashed under a task of the job

	queue *serviceQueue // the queue of its service
	index int           // in the queue's heap, -1 if not queued
	// rank orders the queue, lowest first, and depends on startSpan, which dates from the last call
	// of rankAt.
	rank      queueRank
	startSpan time.Duration
}

// newJob returns a job that arrived at now.
func newJob(now time.Duration, desc task.Job) *job {
	j := &job{
		desc:       desc,
		arrived:    now,
		steps:      make([]stepState, len(desc.Steps)),
		unfinished: desc.Tasks(),
		callers:    make(map[uint64]func(Answer)),
		index:      -1,
		hash:       claim.Hash(desc.ID),
	}
	j.setObjectives()
	if desc.CallerTimeout > 0 {
		j.callerDeadline = now + desc.CallerTimeout
	}
	for k, s := range desc.Steps {
		j.steps[k] = stepState{tasks: make([]taskState, s.Count), waiting: s.Count, unfinished: s.Count}
	}
	return j
}

// setObjectives derives the objectives from the current estimates.
func (j *job) setObjectives() {
	j.objectiveAt = j.arrived + j.desc.Objective()
	j.lateObjectiveAt = j.arrived + j.desc.LateObjective()
}

// started reports whether a task of j may have been started on a target.
func (j *job) started() bool {
	return j.orders > 0
}

// mayHaveRun reports whether a task of this or an earlier submission may have been started.
// Such a job can't be refused.
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

// ready reports whether all dependencies of a step are done.
func (j *job) ready(step int) bool {
	for _, earlier := range j.desc.Steps[step].DependsOn {
		if j.steps[earlier].unfinished > 0 {
			return false
		}
	}
	return true
}

// startable reports whether j has a task that can be started now.
func (j *job) startable() bool {
	for k := range j.steps {
		if j.steps[k].waiting > 0 && j.ready(k) {
			return true
		}
	}
	return false
}

// nextTask returns the first task that can be started now.
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

// startableTasks returns the number of waiting tasks of j whose dependencies are done.
func (j *job) startableTasks() int {
	count := 0
	for k := range j.steps {
		if j.steps[k].waiting > 0 && j.ready(k) {
			count += j.steps[k].waiting
		}
	}
	return count
}

// startableWork returns the work of the startable tasks of j, in core-seconds.
func (j *job) startableWork() float64 {
	sum := 0.0
	for k := range j.steps {
		if j.steps[k].waiting > 0 && j.ready(k) {
			sum += work(j.desc.Steps[k], j.steps[k].waiting)
		}
	}
	return sum
}

// waitingWork returns the work of all waiting tasks of j, startable or not, in core-seconds.
func (j *job) waitingWork() float64 {
	sum := 0.0
	for k := range j.steps {
		sum += work(j.desc.Steps[k], j.steps[k].waiting)
	}
	return sum
}

// work returns the work of the given number of tasks of a step, in core-seconds.
func work(s task.Step, tasks int) float64 {
	return task.Job{Steps: []task.Step{{Count: tasks, Needs: s.Needs, Estimate: s.Estimate}}}.Work()
}

// remaining returns the estimate of the critical path of the unfinished steps, on a target of the
// usual speed.
func (j *job) remaining() time.Duration {
	return j.desc.CriticalPathOf(func(step int) bool { return j.steps[step].unfinished > 0 })
}

// spread returns the spread of the first unfinished step.
func (j *job) spread() float64 {
	for k := range j.steps {
		if j.steps[k].unfinished > 0 {
			return j.steps[k].spread
		}
	}
	return 0
}

// setPhase moves a task to another phase and updates the counters.
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

// find returns the task with the id, or nil.
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
