package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
)

// stateInterval is the shortest time between two states to one entry, or stateShare
// for each connected entry where that is more: a change costs a frame to each of
// them, and an entry that needs room at once has a request here. Measured at 85%
// load with 12 entries: 15.2 frames a run with 8 ms an entry, 16.5 with 5 ms, 19.5
// with 2.5 ms.
const (
	stateInterval = 8 * time.Millisecond
	stateShare    = 5 * time.Millisecond
)

// Flush sends the states that are due. It should be called when Pending says so.
func (s *Supervisor) Flush(now time.Duration) {
	s.flush(now)
}

// Pending reports whether a state waits to be sent, and after what time Flush
// should be called for it.
func (s *Supervisor) Pending(now time.Duration) (time.Duration, bool) {
	var due time.Duration
	found := false
	for _, c := range s.sessions {
		if at := c.stateSentAt + s.stateInterval(); c.stateChanged && (!found || at < due) {
			due, found = at, true
		}
	}
	return max(0, due-now), found
}

// stateInterval returns the shortest time between two states to one entry.
func (s *Supervisor) stateInterval() time.Duration {
	return max(stateInterval, time.Duration(len(s.sessions))*stateShare)
}

// Heartbeats sends an empty frame to each entry that has got none since the given
// time, so that it has a fresh stamp to send back.
func (s *Supervisor) Heartbeats(now, since time.Duration) {
	for _, c := range s.sessions {
		c.dirty = c.dirty || c.sentAt <= since
	}
	s.flush(now)
}

// flush sends each entry the frame that has collected for it. A changed state goes
// with any frame, and makes one of its own when stateInterval has passed.
func (s *Supervisor) flush(now time.Duration) {
	for _, c := range s.sortedSessions() {
		if c.stateChanged && (c.dirty || now-c.stateSentAt >= s.stateInterval()) {
			c.out.State = s.state(now, c)
			c.stateSentAt = now
			c.stateChanged = false
			c.dirty = true
		}
		if !c.dirty {
			continue
		}
		f := c.out
		f.Stamp = now
		c.sentAt = now
		c.out = peer.Frame{}
		c.dirty = false
		s.Send(c.id, &f)
	}
}

// state returns what the entry of c is told of the target. The profile is in it
// only when it has changed.
func (s *Supervisor) state(now time.Duration, c *session) *peer.State {
	st := &peer.State{
		Cleared:   s.orphanRuns[c.name] == 0 && s.target.cleared,
		SeenSeq:   c.seenSeq,
		Accepting: s.accepting(now),
	}
	if s.target.report == nil {
		return st
	}
	if c.profile != s.target.profile {
		c.profile = s.target.profile
		st.Profile = s.target.profile
	}
	st.Free = s.freeRoom(now, c)
	st.Speed = s.health.speed()
	if s.health.ejected {
		st.Health = peer.Ejected
	}
	return st
}

// markChanged has every entry told of the target's state.
func (s *Supervisor) markChanged() {
	for _, c := range s.sessions {
		c.stateChanged = true
	}
}

// announceHealth logs a change of the target's health and has it told.
func (s *Supervisor) announceHealth() {
	s.logHealth()
	s.markChanged()
}
