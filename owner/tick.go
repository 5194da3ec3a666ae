package owner

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Periodic work and its order.

// Tick performs periodic work: it clears lost agents, enforces the deadlines of jobs and runs,
// refuses jobs and starts waiting tasks. It should be called every TickInterval.
func (o *Owner) Tick(now time.Duration) {
	defer o.flush(now)
	o.checkSuspension(now)
	for _, a := range o.byName {
		if !a.connected && a.clearAt > 0 && now >= a.clearAt {
			o.clearAgent(now, a)
		}
	}
	o.adjustWatches(now)
	o.checkSilentHomes(now)
	o.checkContested(now)
	o.checkHalls(now)
	o.checkPendingCancels(now)
	o.releaseKeptReservations(now)
	for _, j := range o.sortedJobs() {
		o.checkDeadlines(now, j)
	}
	o.refuseEvacuated(now)
	o.requeueCrashSuspects(now)
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
func (o *Owner) sortedQueues() []*serviceQueue {
	return slices.SortedFunc(maps.Values(o.queues),
		func(a, b *serviceQueue) int { return strings.Compare(a.service, b.service) })
}

// sortedJobs returns the jobs by id, so that histories repeat exactly.
func (o *Owner) sortedJobs() []*job {
	return slices.SortedFunc(maps.Values(o.jobs), func(a, b *job) int { return strings.Compare(a.desc.ID, b.desc.ID) })
}
