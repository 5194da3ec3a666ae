package supervisor

import (
	"cmp"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// OwnerLease is how long an entry may be silent before its runs are stopped, counted from
// the agent timestamp that the entry echoed. A shorter lease would stop more runs on links that lose
// packets, where the repair of a second loss in a row takes 600 ms. For how the leases add up, see
// docs/design/platform.md.
const OwnerLease = 500 * time.Millisecond

// ConnID identifies a connection of an entry. Runs and reservations belong to a connection
// and do not carry over to a later one of the same entry.
type ConnID uint64

// session is one connection of an entry.
type session struct {
	id    ConnID
	name  string             // entry name
	boot  uint64             // identifies the entry's process
	level peer.ProtocolLevel // protocol level of the entry
	// watching is set while the entry watches this agent, since watchedSince.
	watching     bool
	watchedSince time.Duration
	lastFrameAt  time.Duration  // arrival of the last frame
	runs         int            // runs of this connection that have not certainly ended
	specs        peer.SpecCache // specs received, by job
	// leaseStart is the start of the entry's lease: the latest agent timestamp echoed by
	// the entry, a lower bound of the agent's clock when the entry sent its last frame.
	leaseStart time.Duration
	seenSeq    uint64 // sequence number of the last frame received
	// roomRequest is the entry's request for resources; nil if no task is waiting.
	roomRequest *roomRequest

	// evacuationRevision is the latest revision of the evacuated halls sent to or received
	// from the entry.
	evacuationRevision uint64

	lastSent     coreState // core state last sent
	stateChanged bool      // since the last state was sent
	stateSentAt  time.Duration
	sentAt       time.Duration // send time of the last frame

	out   peer.Frame // next frame to send
	dirty bool       // out is not empty, or a heartbeat is due
}

// reportEnd adds the end of a run to the next frame.
func (c *session) reportEnd(order task.Order, e peer.RunEnd) {
	e.Ref = task.Ref{Task: order.Task, Run: order.Run}
	c.out.Ended = append(c.out.Ended, e)
	c.dirty = true
}

// leased reports whether the entry's lease is valid.
func (s *Supervisor) leased(now time.Duration, c *session) bool {
	return now-c.leaseStart <= s.Rules.OwnerLease
}

// inUse reports whether the connection is in use: its entry watches this agent or has runs
// here. Entries that do not support watches always count as using it.
func (c *session) inUse() bool {
	return c.level < peer.LevelWatch || c.watching || c.runs > 0
}

// receivesAllChanges reports whether the entry receives every change of the target's free
// resources.
func (c *session) receivesAllChanges() bool {
	return c.level < peer.LevelWatch || c.watching
}

// Connected adds a connection of an entry, given its handshake. It replaces an earlier
// connection of the same entry whose end has not been noticed yet, and replies with the
// agent's handshake.
func (s *Supervisor) Connected(now time.Duration, id ConnID, entry peer.Hello) {
	defer s.flush(now)
	for _, c := range slices.Clone(s.sortedSessions) {
		if c.name == entry.Name {
			s.disconnect(now, c)
		}
	}
	c := &session{
		id: id, name: entry.Name, boot: entry.Boot, level: entry.Level,
		leaseStart: now, lastFrameAt: now, stateChanged: true, stateSentAt: -time.Hour,
	}
	s.fleetSize = max(s.fleetSize, entry.Fleet)
	c.out.Hello = &peer.Hello{Role: peer.RoleAgent, Level: peer.LevelNewest, Fleet: s.fleetSize}
	s.sessions[id] = c
	s.sortedSessions = append(s.sortedSessions, c)
	slices.SortFunc(s.sortedSessions, func(a, b *session) int { return cmp.Compare(a.id, b.id) })
	s.logEntryConnected(entry.Name, id)
}

// SilentTooLong reports whether a connection should be closed for lack of traffic.
func (s *Supervisor) SilentTooLong(now time.Duration, id ConnID) bool {
	c := s.sessions[id]
	return c != nil && peer.SilentTooLong(now, c.lastFrameAt, c.inUse(), c.watchedSince)
}

// Disconnected removes a connection and stops its runs.
func (s *Supervisor) Disconnected(now time.Duration, id ConnID) {
	defer s.flush(now)
	if c := s.sessions[id]; c != nil {
		s.disconnect(now, c)
	}
}

// disconnect removes a session, stops its runs and drops its reservations.
func (s *Supervisor) disconnect(now time.Duration, c *session) {
	delete(s.sessions, c.id)
	s.sortedSessions = slices.DeleteFunc(s.sortedSessions, func(o *session) bool { return o == c })
	stopped := 0
	for _, r := range s.sortedRuns() {
		if r.session != c {
			continue
		}
		stopped++
		s.orphanRuns[c.name]++
		s.stop(now, r, code.RunOwnerGone)
	}
	s.room.dropSession(c)
	s.claims.Disconnected(now, claim.ConnID(c.id))
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
	c.leaseStart = max(c.leaseStart, f.Echo)
	c.seenSeq = f.Seq
	c.lastFrameAt = now
	if f.Evacuations != nil {
		c.evacuationRevision = max(c.evacuationRevision, f.Evacuations.Revision)
		s.Evacuate(now, *f.Evacuations)
	}
	s.receiveClaims(now, c, f)
	c.setWatch(now, f.Watch)
	delete(s.room.reservations, f.UsedReservation)
	for _, order := range f.Starts {
		s.handleOrder(now, c, order)
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

// setWatch begins or ends the entry's watch of this agent. At the beginning the state is
// sent at once; at the end the entry's request for resources is dropped.
func (c *session) setWatch(now time.Duration, w peer.Watch) {
	switch w {
	case peer.WatchStart:
		c.watching = true
		c.watchedSince = now
		c.stateChanged = true
		c.stateSentAt = now - time.Hour
	case peer.WatchStop:
		c.watching = false
		c.roomRequest = nil
	}
}
