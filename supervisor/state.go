package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
)

// A changed state is sent in a frame of its own once minStateInterval has passed since the
// last state to the same entry; earlier it is only added to other frames. With many entries
// that receive all changes the interval is stateIntervalPerWatcher for each of them, since
// every change costs one frame per entry.
const (
	minStateInterval        = 25 * time.Millisecond
	stateIntervalPerWatcher = 10 * time.Millisecond
)

// Flush sends the states that are due. It should be called after the delay that Pending
// returns.
func (s *Supervisor) Flush(now time.Duration) {
	s.flush(now)
}

// Pending returns the delay after which Flush should be called; false if no state is waiting
// to be sent.
func (s *Supervisor) Pending(now time.Duration) (time.Duration, bool) {
	var due time.Duration
	found := false
	for _, c := range s.sortedSessions {
		if at := c.stateSentAt + s.stateInterval(); c.stateChanged && (!found || at < due) {
			due, found = at, true
		}
	}
	return max(0, due-now), found
}

// stateInterval returns the time since the last state to an entry after which a changed state
// is sent to it in a frame of its own.
func (s *Supervisor) stateInterval() time.Duration {
	watching := 0
	for _, c := range s.sortedSessions {
		if c.receivesAllChanges() {
			watching++
		}
	}
	return max(minStateInterval, time.Duration(watching)*stateIntervalPerWatcher)
}

// SendHeartbeats sends a frame, empty if nothing is pending, to each entry that has received none
// for the interval of its connection. The entry echoes its timestamp.
func (s *Supervisor) SendHeartbeats(now time.Duration) {
	for _, c := range s.sortedSessions {
		c.dirty = c.dirty || now-c.sentAt >= peer.Interval(c.inUse())
	}
	s.flush(now)
}

// flush sends each entry its pending frame. A changed state is added to any pending frame,
// and is sent in a frame of its own once the interval has passed.
func (s *Supervisor) flush(now time.Duration) {
	interval := s.stateInterval()
	for _, c := range s.sortedSessions {
		if c.stateChanged && (c.dirty || now-c.stateSentAt >= interval) {
			c.out.State = s.stateToSend(now, c)
			c.stateSentAt = now
			c.stateChanged = false
			c.dirty = true
		}
		if !c.dirty {
			continue
		}
		s.addEvacuations(c)
		f := c.out
		f.Stamp = now
		c.sentAt = now
		c.out = peer.Frame{}
		c.dirty = false
		s.Send(c.id, &f)
	}
}

// stateToSend returns the state of the target for the entry of c and records its core as
// sent. The state contains the profile only if that has changed since the last one.
func (s *Supervisor) stateToSend(now time.Duration, c *session) *peer.State {
	core := s.currentCoreState(now, c)
	defer func() { c.lastSent = core }()
	st := &peer.State{
		Cleared:   core.cleared,
		SeenSeq:   c.seenSeq,
		Accepting: core.accepting,
	}
	if s.target.report == nil {
		return st
	}
	if c.lastSent.profile != s.target.profile {
		st.Profile = s.target.profile
	}
	st.Free = s.freeRoom(now, c)
	st.Speed = s.speed(now)
	if core.ejected {
		st.Health = peer.Ejected
	}
	return st
}

// coreState is the part of the state whose changes are also sent to entries that do not watch
// this agent.
type coreState struct {
	profile            *peer.Profile
	cleared, accepting bool
	ejected            bool // and not on trial
}

// currentCoreState returns the core state for the entry of c.
func (s *Supervisor) currentCoreState(now time.Duration, c *session) coreState {
	return coreState{
		profile:   s.target.profile,
		cleared:   s.orphanRuns[c.name] == 0 && s.target.cleared,
		accepting: s.accepting(now),
		ejected:   s.health.ejected && !s.health.onTrial,
	}
}

// checkCoreState schedules a state for each entry that does not receive all changes, if its
// core state has changed.
func (s *Supervisor) checkCoreState(now time.Duration) {
	for _, c := range s.sortedSessions {
		if !c.receivesAllChanges() && c.lastSent != s.currentCoreState(now, c) {
			c.stateChanged = true
		}
	}
}

// markChanged schedules a state for every entry that receives all changes.
func (s *Supervisor) markChanged() {
	for _, c := range s.sortedSessions {
		c.stateChanged = c.stateChanged || c.receivesAllChanges()
	}
}

// healthChanged handles an ejection or recovery of the target: it logs the change and schedules
// states for the entries. On an ejection it also restarts the delay until the trial.
func (s *Supervisor) healthChanged(now time.Duration) {
	if s.health.ejected {
		s.health.resetTrial(now)
	}
	s.logHealth()
	s.markChanged()
}
