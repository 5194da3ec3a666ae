package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// roomRequest is what an entry last said it has waiting.
type roomRequest struct {
	deadline time.Duration // on the agent's clock: the most urgent start
	needs    task.Needs
	total    task.Needs
}

// reservation is room held for one entry.
type reservation struct {
	id      uint64
	session *session
	room    task.Needs
	until   time.Duration
}

// setRoomRequest replaces what o wants.
func (o *session) setRoomRequest(now time.Duration, w *peer.RoomRequest) {
	if w == nil {
		o.roomRequest = nil
		return
	}
	o.roomRequest = &roomRequest{deadline: now + w.Slack, needs: w.Needs, total: w.Total}
}

// freeRoom returns the room that o may use now: what neither runs nor is held for
// another entry.
func (s *Supervisor) freeRoom(now time.Duration, o *session) task.Needs {
	if !s.accepting(now) || !s.health.admits(now, s.probes()) {
		return task.Needs{}
	}
	free := s.report.Capacity.Minus(s.used)
	for _, f := range s.reservations {
		if f.session != o {
			free = free.Minus(f.room)
		}
	}
	return task.Needs{CPU: max(0, free.CPU), MemoryMB: max(0, free.MemoryMB), GPU: max(0, free.GPU)}
}

// reserveRoom offers free room to the entry whose want is the most urgent, as long as
// there is a want that fits.
func (s *Supervisor) reserveRoom(now time.Duration) {
	for {
		o := s.mostUrgent(now)
		if o == nil {
			return
		}
		s.reservationID++
		room := minNeeds(s.freeRoom(now, nil), o.roomRequest.total)
		f := &reservation{id: s.reservationID, session: o, room: room, until: now + reservationTime}
		s.reservations[f.id] = f
		o.roomRequest = nil
		o.out.Reservation = &peer.Reservation{ID: f.id, Room: room}
		o.dirty = true
	}
}

// mostUrgent returns the entry whose want fits and comes first, or nil.
func (s *Supervisor) mostUrgent(now time.Duration) *session {
	free := s.freeRoom(now, nil)
	var first *session
	for _, o := range s.sortedSessions() {
		if o.roomRequest == nil || o.out.Reservation != nil || !o.roomRequest.needs.Fits(free) || !s.leased(now, o) {
			continue
		}
		if first == nil || o.roomRequest.deadline < first.roomRequest.deadline {
			first = o
		}
	}
	return first
}

// minNeeds returns the smaller of each part.
func minNeeds(a, b task.Needs) task.Needs {
	return task.Needs{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), GPU: min(a.GPU, b.GPU)}
}
