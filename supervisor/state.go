package supervisor

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
)

// Flush sends the states that wait to be told.
func (s *Supervisor) Flush(now time.Duration) {
	s.flush(now)
}

// flush sends what is due to the entries.
func (s *Supervisor) flush(now time.Duration) {
	for _, o := range s.sortedSessions() {
		if o.stateChanged && (o.dirty || now-o.stateSentAt >= s.stateInterval()) {
			o.out.State = s.state(now, o)
			o.stateSentAt = now
			o.stateChanged = false
			o.dirty = true
		}
		if !o.dirty {
			continue
		}
		f := o.out
		f.Stamp = now
		o.sentAt = now
		o.out = peer.Frame{}
		o.dirty = false
		s.Send(o.id, &f)
	}
}

// Pending reports whether a state waits to be told, so that Flush should be
// called after the returned time.
func (s *Supervisor) Pending(now time.Duration) (time.Duration, bool) {
	var due time.Duration
	found := false
	for _, o := range s.sessions {
		if at := o.stateSentAt + s.stateInterval(); o.stateChanged && (!found || at < due) {
			due, found = at, true
		}
	}
	return max(0, due-now), found
}

// stateInterval returns the shortest time between two states for one entry.
func (s *Supervisor) stateInterval() time.Duration {
	return max(stateInterval, time.Duration(len(s.sessions))*stateShare)
}

// Heartbeats sends each entry a frame that has got none since the given time, so
// that it has a fresh stamp to echo.
func (s *Supervisor) Heartbeats(now, since time.Duration) {
	for _, o := range s.sessions {
		o.dirty = o.dirty || o.sentAt <= since
	}
	s.flush(now)
}

// state returns what o is told of the worker.
func (s *Supervisor) state(now time.Duration, o *session) *peer.State {
	st := &peer.State{Cleared: s.orphanRuns[o.name] == 0 && s.cleared, SeenSeq: o.seenSeq, Accepting: s.accepting(now)}
	if s.report == nil {
		return st
	}
	if o.profile != s.profile {
		o.profile = s.profile
		st.Profile = s.profile
	}
	st.Free = s.freeRoom(now, o)
	st.Speed = s.health.speed()
	if s.health.ejected {
		st.Health = peer.Ejected
	}
	return st
}

// markChanged has every entry told of the worker's state.
func (s *Supervisor) markChanged() {
	for _, o := range s.sessions {
		o.stateChanged = true
	}
}

// announceHealth logs a change of the worker's health and has it told.
func (s *Supervisor) announceHealth() {
	s.Log.Info(event.TargetHealth, "worker", s.incarnation(), "sick", s.health.ejected, "why", s.health.why.String(), "runs", len(s.runs))
	s.markChanged()
}

func (s *Supervisor) sortedSessions() []*session {
	list := make([]*session, 0, len(s.sessions))
	for _, o := range s.sessions {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *session) int { return int(a.id) - int(b.id) })
	return list
}
