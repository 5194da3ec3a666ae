package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// reservationTTL is how long resources stay reserved for an entry. It covers a round trip with a
// retransmission.
const reservationTTL = 40 * time.Millisecond

// room accounts for the target's resources. Invariant: when a session's order is added, use
// plus the reservations of the other sessions does not exceed the capacity known then. The
// session's own reservations do not limit its orders, and remain until they expire unless the
// frame names them as used; use plus all reservations may therefore exceed the capacity.
type room struct {
	used         task.Resources
	reservations map[uint64]*reservation
	lastID       uint64 // id of the latest reservation
}

// reservation holds resources for the exclusive use of one session.
type reservation struct {
	id        uint64
	session   *session
	resources task.Resources
	until     time.Duration
}

// roomRequest is an entry's latest request for resources for its waiting tasks.
type roomRequest struct {
	// deadline is the latest start of the most urgent waiting task, on the agent's clock.
	deadline time.Duration
	needs    task.Resources // of the most urgent task
	total    task.Resources // of all waiting tasks
}

// reserve adds a reservation.
func (r *room) reserve(c *session, needs task.Resources, until time.Duration) *reservation {
	r.lastID++
	v := &reservation{id: r.lastID, session: c, resources: needs, until: until}
	r.reservations[v.id] = v
	return v
}

// dropSession drops the reservations of a session.
func (r *room) dropSession(c *session) {
	for id, v := range r.reservations {
		if v.session == c {
			delete(r.reservations, id)
		}
	}
}

// freeFor returns the part of the capacity that c may use: neither in use nor reserved for
// another session. A nil c stands for any session.
func (r *room) freeFor(c *session, capacity task.Resources) task.Resources {
	free := capacity.Minus(r.used)
	for _, v := range r.reservations {
		if v.session != c {
			free = free.Minus(v.resources)
		}
	}
	return task.Resources{CPU: max(0, free.CPU), MemoryMB: max(0, free.MemoryMB), GPU: max(0, free.GPU)}
}

// freeRoom returns the resources that c may use now; a nil c stands for any session. A
// target that accepts no work has none, and an ejected one has some only for its probes.
func (s *Supervisor) freeRoom(now time.Duration, c *session) task.Resources {
	if !s.accepting(now) || !s.health.admits(now, s.probes()) {
		return task.Resources{}
	}
	return s.room.freeFor(c, s.target.report.Capacity)
}

// setRoomRequest replaces the entry's request.
func (c *session) setRoomRequest(now time.Duration, r *peer.RoomRequest) {
	if r == nil {
		c.roomRequest = nil
		return
	}
	c.roomRequest = &roomRequest{deadline: now + r.Slack, needs: r.Needs, total: r.Total}
}

// reserveRoom reserves free resources for the requesting entries in order of urgency until
// no request fits. The entry decides what to start when it receives the reservation.
func (s *Supervisor) reserveRoom(now time.Duration) {
	for {
		c := s.mostUrgent(now)
		if c == nil {
			return
		}
		v := s.room.reserve(c, minResources(s.freeRoom(now, nil), c.roomRequest.total), now+reservationTTL)
		c.roomRequest = nil
		c.out.Reservation = &peer.Reservation{ID: v.id, Room: v.resources}
		c.dirty = true
	}
}

// mostUrgent returns the session with the earliest deadline among those whose request fits,
// or nil.
func (s *Supervisor) mostUrgent(now time.Duration) *session {
	free := s.freeRoom(now, nil)
	var first *session
	for _, c := range s.sortedSessions {
		if c.roomRequest == nil || c.out.Reservation != nil || !c.roomRequest.needs.Fits(free) || !s.leased(now, c) {
			continue
		}
		if first == nil || c.roomRequest.deadline < first.roomRequest.deadline {
			first = c
		}
	}
	return first
}

// dropExpiredReservations frees resources that were reserved and not used in time.
func (s *Supervisor) dropExpiredReservations(now time.Duration) {
	for id, v := range s.room.reservations {
		if now >= v.until {
			delete(s.room.reservations, id)
			s.markChanged()
		}
	}
}

// minResources returns the element-wise minimum.
func minResources(a, b task.Resources) task.Resources {
	return task.Resources{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), GPU: min(a.GPU, b.GPU)}
}
