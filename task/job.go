// Package task is the model of work shared by entries and agents: a job has steps, a step
// has identical tasks, a task has runs. It describes the resources that a task needs on a
// target and the objective of a job. Its values are plain data; the package has no
// dependencies.
package task

import (
	"cmp"
	"strconv"
	"strings"
	"time"
)

// lateObjectiveFactor is the ratio of the late objective to the objective, as defined by the
// platform.
const lateObjectiveFactor = 3

// unitsPerCore is the number of CPU units in a core.
const unitsPerCore = 1000

// Resources is an amount of resources: what a task needs, or what a target has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int
	// MemoryMB is in megabytes.
	MemoryMB int
	// GPU is a number of accelerators.
	GPU int
}

// Cores returns the CPU in cores.
func (r Resources) Cores() float64 {
	return float64(r.CPU) / unitsPerCore
}

// Fits reports whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.MemoryMB <= room.MemoryMB && r.GPU <= room.GPU
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Minus returns the difference of r and o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Step is a part of a job that consists of identical tasks.
type Step struct {
	Count int
	// Needs is the resources of each task.
	Needs Resources
	// Estimate is the entry's estimate of the time of one task on a target of nominal speed,
	// derived from Guess, the caller's estimate.
	Estimate time.Duration
	Guess    time.Duration
	// Longest is the estimate for the longest of the tasks on a target of nominal speed;
	// zero means Estimate.
	Longest time.Duration
	// DependsOn holds the numbers of the earlier steps that must be complete before this one
	// starts.
	DependsOn []int
	// Label is the label that the target must have; empty means none.
	Label string
	// Rack is the location of the step's data; empty means anywhere.
	Rack string
	// MaxPerTarget is the maximum number of the step's tasks on one target; zero means no
	// limit.
	MaxPerTarget int
}

// longest returns the estimate for the longest task on a target of nominal speed.
func (s Step) longest() time.Duration {
	if s.Longest > 0 {
		return s.Longest
	}
	return s.Estimate
}

// Job is one submission, supplemented with the configuration of its queue.
type Job struct {
	// ID is chosen by the caller.
	ID string
	// Request is the id of the caller's request, for logs.
	Request string
	// Queue is the queue that received the job; Service is the service that runs it.
	Queue   string
	Service string
	// Spec is passed to the target with each task.
	Spec string
	// Steps are numbered from 0.
	Steps []Step
	// Priority 0 is the most urgent.
	Priority int
	// Attempts is the number of failed runs of a task after which the job fails.
	Attempts int
	// The objective is ObjectiveFactor times the critical path, plus ObjectiveSlack.
	ObjectiveFactor float64
	ObjectiveSlack  time.Duration
	// CallerTimeout is how long the caller waits for the answer; zero if unknown.
	CallerTimeout time.Duration
}

// CriticalPath returns the estimated length of the job's critical path on a target of nominal
// speed.
func (j Job) CriticalPath() time.Duration {
	return j.CriticalPathOf(func(int) bool { return true })
}

// CriticalPathOf is like CriticalPath, but only counts the steps for which counts returns true.
func (j Job) CriticalPathOf(counts func(step int) bool) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for k, s := range j.Steps {
		if !counts(k) {
			continue
		}
		var begin time.Duration
		for _, earlier := range s.DependsOn {
			begin = max(begin, ends[earlier])
		}
		ends[k] = begin + s.longest()
		longest = max(longest, ends[k])
	}
	return longest
}

// Objective returns the time from the arrival of the job within which its completion has its
// full value.
func (j Job) Objective() time.Duration {
	return time.Duration(j.ObjectiveFactor*float64(j.CriticalPath())) + j.ObjectiveSlack
}

// LateObjective returns the time from the arrival of the job after which its completion has no
// value.
func (j Job) LateObjective() time.Duration {
	return lateObjectiveFactor * j.Objective()
}

// Work returns the estimated total work of the job in core-seconds.
func (j Job) Work() float64 {
	work := 0.0
	for _, s := range j.Steps {
		work += float64(s.Count) * s.Estimate.Seconds() * s.Needs.Cores()
	}
	return work
}

// Tasks returns the number of the job's tasks.
func (j Job) Tasks() int {
	count := 0
	for _, s := range j.Steps {
		count += s.Count
	}
	return count
}

// ID identifies a task.
type ID struct {
	Job   string
	Step  int
	Index int
}

// Compare orders tasks by job, step and index.
func (i ID) Compare(o ID) int {
	return cmp.Or(strings.Compare(i.Job, o.Job), cmp.Compare(i.Step, o.Step), cmp.Compare(i.Index, o.Index))
}

// String returns the task name used by the target: job, repetition (always 0), step, index.
func (i ID) String() string {
	var b strings.Builder
	b.Grow(len(i.Job) + 12)
	b.WriteString(i.Job)
	b.WriteString(".0.")
	b.WriteString(strconv.Itoa(i.Step))
	b.WriteByte('.')
	b.WriteString(strconv.Itoa(i.Index))
	return b.String()
}

// End is how a run of a task ended. The values are used on the wire.
type End uint8

const (
	// EndNone means that the kind of the end is unknown.
	EndNone End = iota
	// EndDone means that the run succeeded.
	EndDone
	// EndFailed means that the run failed, because of the task or of its target.
	EndFailed
	// EndStopped means that the run was stopped by order.
	EndStopped
	// EndLapsed means that the lease of the run's target expired.
	EndLapsed
	// EndLost means that the run is gone with its target, or without an end that the target
	// listed.
	EndLost
	// EndRejected means that the run never started.
	EndRejected
)

var endNames = [...]string{"none", "done", "failed", "stopped", "lapsed", "lost", "rejected"}

// String returns the end's name in logs.
func (e End) String() string {
	if int(e) < len(endNames) {
		return endNames[e]
	}
	return "end-" + strconv.Itoa(int(e))
}

// Order requests a run of a task from an agent.
type Order struct {
	Task ID
	// Run is the number of the run, from 1 in each task.
	Run  int
	Spec string
	// SpecKept is set if Spec is omitted because the agent has it from an earlier order of
	// the job.
	SpecKept bool
	// SpecAt is the address of an agent that has the spec, if Spec is omitted and the agent
	// may not have it; otherwise empty.
	SpecAt string
	// Needs is the resources of the run.
	Needs Resources
	// Estimate is the expected time of the run on a target of nominal speed; Guess is the
	// caller's estimate, relative to which the speed of targets is learned.
	Estimate time.Duration
	Guess    time.Duration
	// FailedElsewhere is set if a run of the job has failed on another target: a failure of
	// this run then does not affect the health of its target.
	FailedElsewhere bool
	// TimeLeft is the longest duration of the run from this order; zero means no limit.
	TimeLeft time.Duration
}

// Ref identifies a run of a task.
type Ref struct {
	Task ID
	Run  int
}
