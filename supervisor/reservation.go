package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// want is what an entry last said it has waiting.
type want struct {
	by    time.Duration // on the agent's clock: the most urgent start
	needs task.Needs
	total task.Needs
}

// offer is room held for one entry.
type offer struct {
	id    uint64
	owner *owner
	room  task.Needs
	until time.Duration
}

// take replaces what o wants.
func (o *owner) take(now time.Duration, w *peer.Want) {
	if w == nil {
		o.want = nil
		return
	}
	o.want = &want{by: now + w.Slack, needs: w.Needs, total: w.Total}
}

// free returns the room that o may use now: what neither runs nor is held for
// another entry.
func (s *Supervisor) free(now time.Duration, o *owner) task.Needs {
	if !s.taking(now) || !s.health.mayTry(now, s.trials()) {
		return task.Needs{}
	}
	free := s.report.Capacity.Minus(s.used)
	for _, f := range s.offers {
		if f.owner != o {
			free = free.Minus(f.room)
		}
	}
	return task.Needs{CPU: max(0, free.CPU), MemoryMB: max(0, free.MemoryMB), GPU: max(0, free.GPU)}
}

// deal offers free room to the entry whose want is the most urgent, as long as
// there is a want that fits.
func (s *Supervisor) deal(now time.Duration) {
	for {
		o := s.mostUrgent(now)
		if o == nil {
			return
		}
		s.offered++
		room := least(s.free(now, nil), o.want.total)
		f := &offer{id: s.offered, owner: o, room: room, until: now + offerTime}
		s.offers[f.id] = f
		o.want = nil
		o.out.Room = &peer.Offer{ID: f.id, Room: room}
		o.dirty = true
	}
}

// mostUrgent returns the entry whose want fits and comes first, or nil.
func (s *Supervisor) mostUrgent(now time.Duration) *owner {
	free := s.free(now, nil)
	var first *owner
	for _, o := range s.sortedOwners() {
		if o.want == nil || o.out.Room != nil || !o.want.needs.Fits(free) || !s.leased(now, o) {
			continue
		}
		if first == nil || o.want.by < first.want.by {
			first = o
		}
	}
	return first
}

// least returns the smaller of each part.
func least(a, b task.Needs) task.Needs {
	return task.Needs{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), GPU: min(a.GPU, b.GPU)}
}
