package fleet

import "fmt"

// Promise is an invariant that must hold in every history. docs/guarantees.md maps each to the
// customers' requirement.
type Promise string

// Invariants.
const (
	OneRun          Promise = "a task has one run at a time"
	WithinRoom      Promise = "a target gets no more than its room"
	DrainedInPeace  Promise = "a draining target gets nothing new"
	Evacuated       Promise = "an evacuated hall gets nothing new"
	EndsWhenLeft    Promise = "what nobody waits for ends"
	AskedFor        Promise = "only what a caller asked for runs"
	StepsInOrder    Promise = "a step waits for those that it depends on"
	TrueCompletion  Promise = "the tasks of a completed job are done"
	TrueRefusal     Promise = "a refused job has not run"
	CrashBudget     Promise = "a task under which three targets have crashed is started twice more at the most"
	FailedWithCause Promise = "a job fails only after as many failed runs as it may have"
	NothingLeft     Promise = "no run is left when all is over"
	Recovery        Promise = "jobs are completed after the faults"
)

// recordViolation records a violation of an invariant, unless one was recorded before.
func (w *World) recordViolation(p Promise, format string, args ...any) {
	if w.Broken != "" {
		return
	}
	w.BrokenPromise = p
	w.Broken = fmt.Sprintf("%.4f s: invariant violated: %s: ", w.now().Seconds(), p) + fmt.Sprintf(format, args...)
}
