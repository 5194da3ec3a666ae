// Package task is the model of the work that entries and agents share: a job has
// steps, a step has tasks that are alike, a task has runs. It holds what a task needs
// of a target, and by when a job is worth finishing. Its values are plain data; it
// relies on nothing.
package task

import (
	"cmp"
	"strconv"
	"strings"
	"time"
)

// lateObjectiveFactor is how many times its objective a job may take and still count.
// The platform's pages set it.
const lateObjectiveFactor = 3

// milliCores is how many thousandths a core has.
const milliCores = 1000

// Needs is room on a target: what a task takes of it, or what it has.
type Needs struct {
	// CPU is in thousandths of a core.
	CPU int
	// MemoryMB is in megabytes.
	MemoryMB int
	// GPU is a number of accelerators.
	GPU int
}

// Cores returns how many cores n has.
func (n Needs) Cores() float64 {
	return float64(n.CPU) / milliCores
}

// Fits reports whether n fits into room.
func (n Needs) Fits(room Needs) bool {
	return n.CPU <= room.CPU && n.MemoryMB <= room.MemoryMB && n.GPU <= room.GPU
}

// Plus returns the sum of n and o.
func (n Needs) Plus(o Needs) Needs {
	return Needs{CPU: n.CPU + o.CPU, MemoryMB: n.MemoryMB + o.MemoryMB, GPU: n.GPU + o.GPU}
}

// Minus returns n less o.
func (n Needs) Minus(o Needs) Needs {
	return Needs{CPU: n.CPU - o.CPU, MemoryMB: n.MemoryMB - o.MemoryMB, GPU: n.GPU - o.GPU}
}

// Step is a part of a job: tasks that are alike.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Needs is what each task takes of a target.
	Needs Needs
	// Guess is how long the caller says that one task takes on a target of speed
	// 1; Estimate is what the entry makes of it.
	Estimate time.Duration
	Guess    time.Duration
	// Longest is how long the longest of the tasks is likely to take on a target of
	// the usual speed; zero: as Estimate.
	Longest time.Duration
	// DependsOn holds the numbers of the earlier steps that must be done first.
	DependsOn []int
	// Label is what the target must be labelled with; empty means nothing.
	Label string
	// Rack is where the step's data lies; empty means anywhere.
	Rack string
	// MaxPerTarget is the most tasks of the step on one target; zero means any.
	MaxPerTarget int
}

// longest returns how long the longest task is likely to take on a usual target.
func (s Step) longest() time.Duration {
	if s.Longest > 0 {
		return s.Longest
	}
	return s.Estimate
}

// Job is one submission, as its queue's configuration completes it.
type Job struct {
	// ID is chosen by the caller.
	ID string
	// Request is the id of the caller's request, for logs.
	Request string
	// Queue and Service say where it was sent and who runs it.
	Queue   string
	Service string
	// Spec is handed to the target with each task.
	Spec string
	// Steps are numbered from 0.
	Steps []Step
	// Priority 0 is the most urgent.
	Priority int
	// Attempts is how many runs of a task may fail before the job has.
	Attempts int
	// The objective is ObjectiveFactor times the longest chain of work, and
	// ObjectiveSlack more.
	ObjectiveFactor float64
	ObjectiveSlack  time.Duration
	// CallerTimeout is how long the caller waits for the answer; zero where it did
	// not say.
	CallerTimeout time.Duration
}

// Chain returns the estimate of the job's longest chain of tasks, on a target of the
// usual speed.
func (j Job) Chain() time.Duration {
	return j.ChainOf(func(int) bool { return true })
}

// ChainOf is Chain of the steps that counts reports; the others take no time.
func (j Job) ChainOf(counts func(step int) bool) time.Duration {
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

// Objective returns how long the job may take to count in full.
func (j Job) Objective() time.Duration {
	return time.Duration(j.ObjectiveFactor*float64(j.Chain())) + j.ObjectiveSlack
}

// LateObjective returns how long the job may take to count at all.
func (j Job) LateObjective() time.Duration {
	return lateObjectiveFactor * j.Objective()
}

// Work returns the estimate of all of the job's work, in core-seconds.
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

// ID names a task.
type ID struct {
	Job   string
	Step  int
	Index int
}

// Compare orders tasks by their job, step and index.
func (i ID) Compare(o ID) int {
	return cmp.Or(strings.Compare(i.Job, o.Job), cmp.Compare(i.Step, o.Step), cmp.Compare(i.Index, o.Index))
}

// String returns the name by which a target knows the task: job, repetition (always
// 0), step, index.
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

// End is how a run of a task ended. Its numbers go over the wire.
type End uint8

// Ends of a run.
const (
	// EndNone is an end of an unknown kind.
	EndNone End = iota
	// EndDone is success.
	EndDone
	// EndFailed is a failure of the task or of its target.
	EndFailed
	// EndStopped is a run that was ordered to stop.
	EndStopped
	// EndLapsed is a run whose target's lease expired.
	EndLapsed
	// EndLost is a run whose target is gone.
	EndLost
	// EndRejected is a run that never began.
	EndRejected
)

var endNames = [...]string{"none", "done", "failed", "stopped", "lapsed", "lost", "rejected"}

// String returns the end's name, as logs show it.
func (e End) String() string {
	if int(e) < len(endNames) {
		return endNames[e]
	}
	return "end-" + strconv.Itoa(int(e))
}

// Order asks an agent for a run of a task on its target.
type Order struct {
	Task ID
	// Run numbers the task's starts, rising from 1.
	Run  int
	Spec string
	// SpecKept says that Spec is left out: an earlier order of the job had it, and the
	// agent remembers it.
	SpecKept bool
	// SpecAt is the address of an agent that has the spec, where it is left out and the
	// agent that gets the order may not have it; empty: it is not left out so.
	SpecAt string
	// Needs is what the run takes of the target.
	Needs Needs
	// Estimate is how long the run is likely to take on a target of speed 1, Guess
	// what the caller said of that. Targets' speeds are learned against Guess.
	Estimate time.Duration
	Guess    time.Duration
	// FailedElsewhere says that a run of the job has failed on another target: a
	// failure here says nothing about this one.
	FailedElsewhere bool
	// TimeLeft is how long after this order the run may last; zero means any
	// time.
	TimeLeft time.Duration
}

// Ref names a run of a task.
type Ref struct {
	Task ID
	Run  int
}
