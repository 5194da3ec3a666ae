package supervisor

import "time"

// Stage is a part of a run's way through an agent, as metrics count it.
type Stage uint8

// Stages of a run.
const (
	// StageStarting lasts from the order of a run until the target accepts it.
	StageStarting Stage = iota
	// StageEnding lasts from the decision to stop a run until its end is certain.
	StageEnding

	// Stages is the number of stages.
	Stages
)

// stageNames are the stages' names in metrics.
var stageNames = [Stages]string{"starting", "ending"}

// String returns the stage's name in metrics.
func (s Stage) String() string {
	return stageNames[s]
}

// observe passes on the duration of a stage.
func (s *Supervisor) observe(stage Stage, took time.Duration) {
	if s.ObserveStage != nil {
		s.ObserveStage(stage, took)
	}
}
