package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
)

// workRate returns how much work the targets of a service that this entry watches take
// from it while jobs wait, in core-seconds a second: their whole capacity at their speeds,
// times this entry's share of the room in use, its first waiting job taken to be at work.
// Ejected targets don't count.
func (o *Owner) workRate(now time.Duration, q *queue) float64 {
	capacity := 0.0
	firstJob := q.firstJobCPU()
	used, own := firstJob, firstJob
	for _, a := range o.watched {
		if !a.usable(now, q.service) || a.state.Health == peer.Ejected {
			continue
		}
		capacity += a.profile.Capacity.Cores() * a.speed()
		used += a.profile.Capacity.CPU - a.freeRoom().CPU
		for id, j := range a.tasks {
			own += j.spec.Steps[id.Step].Needs.CPU
		}
	}
	if used <= 0 {
		return capacity
	}
	return capacity * min(1, float64(own)/float64(used))
}
