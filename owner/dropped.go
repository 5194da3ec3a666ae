package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/task"
)

// Runs of a dropped job continue until their stops take effect, which may take as long as a
// lease. The job must not start again, here or at another entry, until all these runs are known
// to have ended. Its homes are therefore informed only then.

// droppedJob is a dropped job with runs that are not known to have ended.
type droppedJob struct {
	pendingRuns int
	homes       []*agent // to be informed when the last run has ended
	// remoteWaiter reports whether another entry waits for the job.
	remoteWaiter bool
	losses       int // runs of a task that were lost with their targets, for the homes to store
}

// addDroppedRun records a run at a of a job that is being dropped.
func (o *Owner) addDroppedRun(a *agent, id task.ID, run int) {
	if !o.WaitForDroppedRuns {
		return
	}
	a.droppedRuns[id] = run
	d := o.dropped[id.Job]
	if d == nil {
		d = new(droppedJob)
		o.dropped[id.Job] = d
	}
	d.pendingRuns++
}

// droppedRunEnded records the end of a run of a dropped job. After the last one, the homes are
// informed, and the job is claimed again if it was resubmitted in the meantime.
func (o *Owner) droppedRunEnded(now time.Duration, a *agent, id task.ID) {
	delete(a.droppedRuns, id)
	d := o.dropped[id.Job]
	d.pendingRuns--
	if d.pendingRuns > 0 {
		return
	}
	delete(o.dropped, id.Job)
	for _, home := range d.homes {
		o.sendSettlement(home, claim.Settlement{Job: id.Job, Clear: true, Ran: true, Losses: d.losses}, d.remoteWaiter)
	}
	if j := o.jobs[id.Job]; j != nil {
		o.reclaim(now, j)
	}
}

// reclaim claims j again at its homes, except those where another entry holds the claim and those
// that have not replied yet. The homes were just informed that no earlier run of j is left.
func (o *Owner) reclaim(now time.Duration, j *job) {
	homes := j.homes
	j.homes = nil
	for _, h := range homes {
		switch h.state {
		case held:
			j.homes = append(j.homes, h)
		case asked:
			j.voidIfAsked(h)
		default:
			o.addHome(now, j, h.agent)
		}
	}
	o.claimsChanged(now, j)
}

// clearDroppedRuns records that all runs of dropped jobs at a have ended.
func (o *Owner) clearDroppedRuns(now time.Duration, a *agent) {
	for _, id := range slices.SortedFunc(maps.Keys(a.droppedRuns), task.ID.Compare) {
		o.droppedRunEnded(now, a, id)
	}
}
