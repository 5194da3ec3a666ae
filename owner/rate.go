package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
)

// workRate returns the rate at which the watched targets of a service accept this entry's work
// during a backlog, in core-seconds per second: their total capacity at their speeds, times
// this entry's share of the room in use. The waiting tasks of the first job count as running. Ejected
// targets don't count.
func (o *Owner) workRate(now time.Duration, q *serviceQueue) float64 {
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
			own += j.desc.Steps[id.Step].Needs.CPU
		}
	}
	if used <= 0 {
		return capacity
	}
	return capacity * min(1, float64(own)/float64(used))
}
