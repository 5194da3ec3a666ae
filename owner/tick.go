package owner

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// What happens because time has passed, and in which order.

// Tick acts on everything whose time has come: lost agents that are clear, jobs
// and runs past their deadlines, refusals, and waiting tasks. It should be called
// each TickInterval.
func (o *Owner) Tick(now time.Duration) {
	defer o.flush(now)
	o.checkStopped(now)
	for _, a := range o.byName {
		if !a.connected && a.clearAt > 0 && now >= a.clearAt {
			o.clearAgent(now, a)
		}
	}
	o.adjustWatches(now)
	o.checkSilentHomes(now)
	o.checkContested(now)
	o.checkHalls(now)
	o.checkLookups(now)
	o.releaseHeldReservations(now)
	for _, j := range o.sortedJobs() {
		o.checkDeadlines(now, j)
	}
	o.refuseEvacuated(now)
	o.requeueSuspects(now)
	for _, q := range o.sortedQueues() {
		q.usualSpeed = o.usualSpeed(q.service)
		q.setWorkRate(o.workRate(now, q))
		o.refuseBacklogged(now, q)
	}
	for _, q := range o.sortedQueues() {
		o.schedule(now, q)
	}
}

// sortedQueues returns the queues by service, so that histories repeat exactly.
func (o *Owner) sortedQueues() []*queue {
	return slices.SortedFunc(maps.Values(o.queues), func(a, b *queue) int { return strings.Compare(a.service, b.service) })
}

// sortedJobs returns the jobs by id, so that histories repeat exactly.
func (o *Owner) sortedJobs() []*job {
	return slices.SortedFunc(maps.Values(o.jobs), func(a, b *job) int { return strings.Compare(a.spec.ID, b.spec.ID) })
}
