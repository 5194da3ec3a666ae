package fleet

import "fmt"

// Invariant is an invariant that must hold in every history. docs/guarantees.md maps each
// invariant to a requirement of the customers.
type Invariant string

// Invariants.
const (
	OneRun                Invariant = "a task has one run at a time"
	WithinCapacity        Invariant = "a target is not given more than its capacity"
	NoStartsWhileDraining Invariant = "no run starts on a draining target"
	Evacuated             Invariant = "no run starts in an evacuated hall"
	AbandonedRunsEnd      Invariant = "runs of abandoned jobs end"
	OnlySubmittedRuns     Invariant = "only submitted jobs run"
	StepsInOrder          Invariant = "a step starts after the steps that it depends on"
	TrueCompletion        Invariant = "the tasks of a completed job are done"
	TrueRefusal           Invariant = "a refused job has not run"
	CrashBudget           Invariant = "a task that was running in three target crashes is started at most twice more"
	FailedWithCause       Invariant = "a job fails only after a task has used up its attempts"
	NoRunsLeft            Invariant = "no run is left at the end of the history"
	Recovery              Invariant = "jobs are completed after the faults"
)

// recordViolation records a violation of an invariant, unless one was recorded before.
func (w *World) recordViolation(p Invariant, format string, args ...any) {
	if w.Violation != "" {
		return
	}
	w.ViolatedInvariant = p
	w.Violation = fmt.Sprintf("%.4f s: invariant violated: %s: ", w.now().Seconds(), p) + fmt.Sprintf(format, args...)
}
