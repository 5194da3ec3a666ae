package owner

import "time"

// Stage is a part of a job's way through an entry.
type Stage uint8

// Stages of a job.
const (
	// StageWaiting lasts from the coming of a job to its first order.
	StageWaiting Stage = iota
	// StagePlacing lasts from the first order of a completed job to its last:
	// it is long where room comes one task at a time, or runs were tried again.
	StagePlacing
	// StageRunning lasts from the order of a task that ended well to the word of
	// its end.
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

// observe tells how long a stage of a job took.
func (o *Owner) observe(s Stage, took time.Duration) {
	if o.ObserveStage != nil {
		o.ObserveStage(s, took)
	}
}
