package fleet

import "fmt"

// Promise is an invariant that must hold in every history. docs/guarantees.md maps each
// invariant to a requirement of the customers.
type Promise string

// Invariants.
const (
	OneRun          Promise = "a task has one run at a time"
	WithinRoom      Promise = "a target is not given more than its capacity"
	DrainedInPeace  Promise = "no run starts on a draining target"
	Evacuated       Promise = "no run starts in an evacuated hall"
	EndsWhenLeft    Promise = "runs of abandoned jobs end"
	AskedFor        Promise = "only submitted jobs run"
	StepsInOrder    Promise = "a step starts after the steps that it depends on"
	TrueCompletion  Promise = "the tasks of a completed job are done"
	TrueRefusal     Promise = "a refused job has not run"
	CrashBudget     Promise = "a task that was running in three target crashes is started at most twice more"
	FailedWithCause Promise = "a job fails only after a task has used up its attempts"
	NothingLeft     Promise = "no run is left at the end of the history"
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
