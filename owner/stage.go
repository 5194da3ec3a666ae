package owner

import "time"

// Stage is a part of a job's way through an entry, as metrics count it.
type Stage uint8

// Stages of a job.
const (
	// StageWaiting lasts from the arrival of a job to its first order.
	StageWaiting Stage = iota
	// StagePlacing lasts from the first to the last order of a completed job. It
	// is long where room comes one task at a time, or runs were retried.
	StagePlacing
	// StageRunning lasts from the order of a task that ended with success to the
	// report of its end.
	StageRunning

	// Stages is the number of stages.
	Stages
)

// stageNames are the stages' names in metrics.
var stageNames = [Stages]string{"waiting", "placing", "running"}

// String returns the stage's name in metrics.
func (s Stage) String() string {
	return stageNames[s]
}

// observe passes on the duration of a stage.
func (o *Owner) observe(s Stage, took time.Duration) {
	if o.ObserveStage != nil {
		o.ObserveStage(s, took)
	}
}
