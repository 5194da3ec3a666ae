package supervisor

import (
	"maps"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// OwnerLease is how long an entry may be silent before its runs are stopped,
// counted from the agent's own stamp that the entry echoed. A shorter one would stop
// more runs on links that lose packets, where a second loss in a row takes 600 ms to
// repair. docs/design/platform.md has the sum of the leases.
const OwnerLease = 500 * time.Millisecond

// ConnID names one connection of an entry. An entry that connects again owns
// nothing of its earlier connection.
type ConnID uint64

// session is one connection of an entry.
type session struct {
	id   ConnID
	name string // of the entry
	// leaseFrom is the latest of this agent's own stamps that the entry has sent
	// back: its lease counts from there.
	leaseFrom time.Duration
	seenSeq   uint64 // of the last frame that came
	// roomRequest is what the entry wants, nil where nothing waits there.
	roomRequest *roomRequest

	profile      *peer.Profile // that it was sent last
	stateChanged bool          // since the state was sent last
	stateSentAt  time.Duration
	sentAt       time.Duration // when the last frame was sent

	out   peer.Frame // collects what the next frame says
	dirty bool       // out has something, or a heartbeat is due
}

// reportEnd adds the end of a run to the next frame.
func (c *session) reportEnd(order task.Order, e peer.Ended) {
	e.Ref = task.Ref{Task: order.Task, Run: order.Run}
	c.out.Ended = append(c.out.Ended, e)
	c.dirty = true
}

// leased reports whether the entry's lease still runs.
func (s *Supervisor) leased(now time.Duration, c *session) bool {
	return now-c.leaseFrom <= s.Rules.OwnerLease
}

// Connected records a new connection of an entry. It replaces an earlier one of the
// same entry, whose end may not have been noticed yet.
func (s *Supervisor) Connected(now time.Duration, id ConnID, name string) {
	defer s.flush(now)
	for _, c := range s.sortedSessions() {
		if c.name == name {
			s.disconnect(now, c)
		}
	}
	s.sessions[id] = &session{id: id, name: name, leaseFrom: now, stateChanged: true, stateSentAt: -time.Hour}
	s.logEntryConnected(name, id)
}

// Disconnected records the end of a connection and stops its runs.
func (s *Supervisor) Disconnected(now time.Duration, id ConnID) {
	defer s.flush(now)
	if c := s.sessions[id]; c != nil {
		s.disconnect(now, c)
	}
}

// disconnect ends a session: its runs are stopped, its reservations dropped.
func (s *Supervisor) disconnect(now time.Duration, c *session) {
	delete(s.sessions, c.id)
	stopped := 0
	for _, r := range s.sortedRuns() {
		if r.session != c {
			continue
		}
		stopped++
		s.orphanRuns[c.name]++
		s.stop(now, r, code.RunOwnerGone)
	}
	s.room.dropOf(c)
	s.logEntryLost(c, stopped)
	s.markChanged()
}

// Receive handles a frame of an entry.
func (s *Supervisor) Receive(now time.Duration, id ConnID, f *peer.Frame) {
	defer s.flush(now)
	c := s.sessions[id]
	if c == nil {
		return
	}
	c.leaseFrom = max(c.leaseFrom, f.Echo)
	c.seenSeq = f.Seq
	delete(s.room.reservations, f.UsedReservation)
	for _, order := range f.Starts {
		s.takeOrder(now, c, order)
	}
	for _, ref := range f.Stops {
		s.stopOrdered(now, c, ref)
	}
	if f.RoomRequest != nil || f.UsedReservation != 0 {
		c.setRoomRequest(now, f.RoomRequest)
	}
	if len(f.Starts) > 0 || f.UsedReservation != 0 {
		c.stateChanged = true
	}
	s.reserveRoom(now)
}

// sortedSessions returns the sessions by id, so that histories repeat exactly.
func (s *Supervisor) sortedSessions() []*session {
	return slices.SortedFunc(maps.Values(s.sessions), func(a, b *session) int { return int(a.id) - int(b.id) })
}
