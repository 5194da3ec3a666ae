// Package stage defines the stages of jobs and runs whose durations are exposed as metrics.
package stage

import "time"

// Stage is a stage of the processing of a job or of one of its runs.
type Stage uint8

const (
	// Waiting is the time from the arrival of a job to its first order.
	Waiting Stage = iota
	// Placing is the time from the first to the last order of a completed job. It grows
	// when resources become free one task at a time or runs are retried.
	Placing
	// Running is the time from the order of a successful task to the report of its end.
	Running
	// Starting is the time from the order of a run until the target accepts it.
	Starting
	// Ending is the time from the decision to stop a run until its end is certain.
	Ending
	// Claiming is the time from the arrival of a job at an entry until all its homes have
	// granted the claim.
	Claiming
)

// EntryStages and AgentStages are the stages observed by each kind of process.
var (
	EntryStages = []Stage{Waiting, Placing, Running, Claiming}
	AgentStages = []Stage{Starting, Ending}
)

// names are the stages' names in metrics.
var names = [...]string{"waiting", "placing", "running", "starting", "ending", "claiming"}

// String returns the stage's name in metrics.
func (s Stage) String() string {
	return names[s]
}

// Observer receives the duration of each stage. A nil Observer discards it.
type Observer func(Stage, time.Duration)

// Observe passes on the duration of a stage.
func (o Observer) Observe(s Stage, took time.Duration) {
	if o != nil {
		o(s, took)
	}
}
