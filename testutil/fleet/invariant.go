package fleet

import "fmt"

// Invariant is an invariant that must hold in every history. docs/guarantees.md maps each to the
// customers' requirement.
type Invariant string

// Invariants.
const (
	OneRun                Invariant = "a task has one run at a time"
	WithinCapacity        Invariant = "a target gets no more than its room"
	NoStartsWhileDraining Invariant = "a draining target gets nothing new"
	Evacuated             Invariant = "an evacuated hall gets nothing new"
	AbandonedRunsEnd      Invariant = "what nobody waits for ends"
	OnlySubmittedRuns     Invariant = "only what a caller asked for runs"
	StepsInOrder          Invariant = "a step waits for those that it depends on"
	TrueCompletion        Invariant = "the tasks of a completed job are done"
	TrueRefusal           Invariant = "a refused job has not run"
	CrashBudget           Invariant = "a task under which three targets have crashed is started twice more at the most"
	FailedWithCause       Invariant = "a job fails only after as many failed runs as it may have"
	NoRunsLeft            Invariant = "no run is left when all is over"
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
