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

// OwnerLease is how long an entry may be silent before its runs are stopped,
// counted from the reading of the agent's own clock that the entry echoed. A shorter one
// would stop more runs on links that lose packets, where a second loss in a row takes
// 600 ms to repair. docs/design/platform.md has the sum of the leases.
const OwnerLease = 500 * time.Millisecond

// ConnID names one connection of an entry. An entry that connects again owns
// nothing of its earlier connection.
type ConnID uint64

// session is one connection of an entry.
type session struct {
	id    ConnID
	name  string     // of the entry
	boot  uint64     // of the entry's life
	level peer.Level // that the entry understands
	// watching says that the entry watches the target, and watchedSince since when.
	watching     bool
	watchedSince time.Duration
	heardAt      time.Duration // when the last frame came
	runs         int           // ordered on this connection, whose end is not certain
	specs        peer.Specs    // of jobs
	// leaseFrom is what this agent's clock read at the least when the entry sent its
	// last frame, as the entry reckons from this agent's stamps: its lease counts from
	// there.
	leaseFrom time.Duration
	seenSeq   uint64 // of the last frame that came
	// roomRequest is what the entry wants, nil where nothing waits there.
	roomRequest *roomRequest

	// heardEvacuations is the revision of the evacuated halls that the entry was told of
	// here or has told.
	heardEvacuations uint64

	told         essentials // that it was sent last
	stateChanged bool       // since the state was sent last
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

// used reports whether the connection is in use: its entry watches the target, or has
// runs here. One that understands no watches uses it always.
func (c *session) used() bool {
	return c.level < peer.LevelWatch || c.watching || c.runs > 0
}

// toldAll reports whether the entry is told of each change of the target's room.
func (c *session) toldAll() bool {
	return c.level < peer.LevelWatch || c.watching
}

// Connected records a new connection of an entry, by its introduction. It replaces an earlier
// one of the same entry, whose end may not have been noticed yet. The entry is told of this
// agent's level.
func (s *Supervisor) Connected(now time.Duration, id ConnID, entry peer.Hello) {
	defer s.flush(now)
	for _, c := range slices.Clone(s.ordered) {
		if c.name == entry.Name {
			s.disconnect(now, c)
		}
	}
	c := &session{
		id: id, name: entry.Name, boot: entry.Boot, level: entry.Level,
		leaseFrom: now, heardAt: now, stateChanged: true, stateSentAt: -time.Hour,
	}
	s.fleet = max(s.fleet, entry.Fleet)
	c.out.Hello = &peer.Hello{Role: peer.RoleAgent, Level: peer.LevelNewest, Fleet: s.fleet}
	s.sessions[id] = c
	s.ordered = append(s.ordered, c)
	slices.SortFunc(s.ordered, func(a, b *session) int { return cmp.Compare(a.id, b.id) })
	s.logEntryConnected(entry.Name, id)
}

// SilentTooLong reports whether a connection should be given up.
func (s *Supervisor) SilentTooLong(now time.Duration, id ConnID) bool {
	c := s.sessions[id]
	return c != nil && peer.SilentTooLong(now, c.heardAt, c.used(), c.watchedSince)
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
	s.ordered = slices.DeleteFunc(s.ordered, func(o *session) bool { return o == c })
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
	s.claims.Lost(now, claim.ConnID(c.id))
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
	c.heardAt = now
	if f.Evacuations != nil {
		c.heardEvacuations = max(c.heardEvacuations, f.Evacuations.Revision)
		s.Evacuate(now, *f.Evacuations)
	}
	s.receiveClaims(now, c, f)
	c.setWatch(now, f.Watch)
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

// setWatch begins or ends the entry's watch. One that begins is told the state at once;
// one that ends wants no room any more.
func (c *session) setWatch(now time.Duration, w peer.Watch) {
	switch w {
	case peer.WatchBegins:
		c.watching = true
		c.watchedSince = now
		c.stateChanged = true
		c.stateSentAt = now - time.Hour
	case peer.WatchEnds:
		c.watching = false
		c.roomRequest = nil
	}
}
