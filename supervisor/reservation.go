package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// reservationTime is how long room is reserved for an entry that requested it: a
// round trip and a lost packet. Half and double: no difference.
const reservationTime = 40 * time.Millisecond

// room is the use of the target's room. Invariant: what is used and reserved never
// exceeds the capacity at the time when it was taken.
type room struct {
	used         task.Needs
	reservations map[uint64]*reservation
	lastID       uint64 // of a reservation
}

// reservation is room that only one session may use.
type reservation struct {
	id      uint64
	session *session
	room    task.Needs
	until   time.Duration
}

// roomRequest is what an entry said last of its waiting tasks.
type roomRequest struct {
	// deadline is when the most urgent of them should start, on the agent's clock.
	deadline time.Duration
	needs    task.Needs // of that task
	total    task.Needs // of all of them
}

// reserve reserves room for c.
func (r *room) reserve(c *session, needs task.Needs, until time.Duration) *reservation {
	r.lastID++
	v := &reservation{id: r.lastID, session: c, room: needs, until: until}
	r.reservations[v.id] = v
	return v
}

// dropOf drops the reservations of a session.
func (r *room) dropOf(c *session) {
	for id, v := range r.reservations {
		if v.session == c {
			delete(r.reservations, id)
		}
	}
}

// freeFor returns what c may use of the capacity: what is neither in use nor
// reserved for another session.
func (r *room) freeFor(c *session, capacity task.Needs) task.Needs {
	free := capacity.Minus(r.used)
	for _, v := range r.reservations {
		if v.session != c {
			free = free.Minus(v.room)
		}
	}
	return task.Needs{CPU: max(0, free.CPU), MemoryMB: max(0, free.MemoryMB), GPU: max(0, free.GPU)}
}

// freeRoom returns the room that c may use now; c is nil for any session. A target
// that accepts no work has none, and an ejected one only for its probes.
func (s *Supervisor) freeRoom(now time.Duration, c *session) task.Needs {
	if !s.accepting(now) || !s.health.admits(now, s.probes()) {
		return task.Needs{}
	}
	return s.room.freeFor(c, s.target.report.Capacity)
}

// setRoomRequest replaces what the entry wants.
func (c *session) setRoomRequest(now time.Duration, r *peer.RoomRequest) {
	if r == nil {
		c.roomRequest = nil
		return
	}
	c.roomRequest = &roomRequest{deadline: now + r.Slack, needs: r.Needs, total: r.Total}
}

// reserveRoom reserves free room for the entries that requested it, the most urgent
// first, until none of the requests fits. Each entry decides what to start there
// when the reservation reaches it.
func (s *Supervisor) reserveRoom(now time.Duration) {
	for {
		c := s.mostUrgent(now)
		if c == nil {
			return
		}
		v := s.room.reserve(c, minNeeds(s.freeRoom(now, nil), c.roomRequest.total), now+reservationTime)
		c.roomRequest = nil
		c.out.Reservation = &peer.Reservation{ID: v.id, Room: v.room}
		c.dirty = true
	}
}

// mostUrgent returns the session whose request fits and has the earliest deadline,
// or nil.
func (s *Supervisor) mostUrgent(now time.Duration) *session {
	free := s.freeRoom(now, nil)
	var first *session
	for _, c := range s.ordered {
		if c.roomRequest == nil || c.out.Reservation != nil || !c.roomRequest.needs.Fits(free) || !s.leased(now, c) {
			continue
		}
		if first == nil || c.roomRequest.deadline < first.roomRequest.deadline {
			first = c
		}
	}
	return first
}

// dropExpiredReservations frees the room that was reserved and not used.
func (s *Supervisor) dropExpiredReservations(now time.Duration) {
	for id, v := range s.room.reservations {
		if now >= v.until {
			delete(s.room.reservations, id)
			s.markChanged()
		}
	}
}

// minNeeds returns the smaller of each part.
func minNeeds(a, b task.Needs) task.Needs {
	return task.Needs{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), GPU: min(a.GPU, b.GPU)}
}
