package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/task"
)

// Endings: the runs of a job that was dropped go on until their stops are carried out, which
// may take as long as a lease. Until the agents have told all their ends, or are surely clear,
// the job starts anew neither here nor, since its homes hear of it only then, elsewhere.

// ending is a dropped job with runs whose end is not known.
type droppedJob struct {
	pendingRuns int
	homes       []*agent // that are told when the last one has ended
	// wanted says that another entry waits for it.
	remoteWaiter bool
	losses       int // of a task, as the homes are to remember: see suspect.go
}

// addEnding records a run at a of a job that is dropped.
func (o *Owner) addDroppedRun(a *agent, id task.ID, run int) {
	if !o.AwaitEndings {
		return
	}
	a.droppedRuns[id] = run
	e := o.dropped[id.Job]
	if e == nil {
		e = new(droppedJob)
		o.dropped[id.Job] = e
	}
	e.pendingRuns++
}

// endingOver records that such a run has ended. With the last one the job's homes are told,
// and the job itself may start if it was submitted again meanwhile.
func (o *Owner) droppedRunEnded(now time.Duration, a *agent, id task.ID) {
	delete(a.droppedRuns, id)
	e := o.dropped[id.Job]
	e.pendingRuns--
	if e.pendingRuns > 0 {
		return
	}
	delete(o.dropped, id.Job)
	for _, home := range e.homes {
		o.sendSettlement(home, claim.Settlement{Job: id.Job, Clear: true, Ran: true, Losses: e.losses}, e.remoteWaiter)
	}
	if j := o.jobs[id.Job]; j != nil {
		o.reclaim(now, j)
	}
}

// reclaim claims j again at its homes, which were just told that nothing of it is left.
func (o *Owner) reclaim(now time.Duration, j *job) {
	homes := j.homes
	j.homes = nil
	for _, h := range homes {
		if h.state == held {
			j.homes = append(j.homes, h)
			continue
		}
		o.addHome(now, j, h.agent)
	}
	o.claimsChanged(now, j)
}

// clearEndings records that no run of this entry is left at a.
func (o *Owner) clearDroppedRuns(now time.Duration, a *agent) {
	for _, id := range slices.SortedFunc(maps.Keys(a.droppedRuns), task.ID.Compare) {
		o.droppedRunEnded(now, a, id)
	}
}
