package fleet

import "fmt"

// Promise is something that must hold in every history. docs/guarantees.md says which
// rule of the users each stands for.
type Promise string

// Promises.
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

// breaks records the first promise that is broken, and how.
func (w *World) breaks(p Promise, format string, args ...any) {
	if w.Broken != "" {
		return
	}
	w.BrokenPromise = p
	w.Broken = fmt.Sprintf("%.4f s: not true that %s: ", w.now().Seconds(), p) + fmt.Sprintf(format, args...)
}
