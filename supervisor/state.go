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
	for _, o := range s.sortedOwners() {
		if o.changed && (o.dirty || now-o.toldAt >= s.stateInterval()) {
			o.out.State = s.state(now, o)
			o.toldAt = now
			o.changed = false
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
	for _, o := range s.owners {
		if at := o.toldAt + s.stateInterval(); o.changed && (!found || at < due) {
			due, found = at, true
		}
	}
	return max(0, due-now), found
}

// stateInterval returns the shortest time between two states for one entry.
func (s *Supervisor) stateInterval() time.Duration {
	return max(stateInterval, time.Duration(len(s.owners))*stateShare)
}

// Heartbeats sends each entry a frame that has got none since the given time, so
// that it has a fresh stamp to echo.
func (s *Supervisor) Heartbeats(now, since time.Duration) {
	for _, o := range s.owners {
		o.dirty = o.dirty || o.sentAt <= since
	}
	s.flush(now)
}

// state returns what o is told of the worker.
func (s *Supervisor) state(now time.Duration, o *owner) *peer.State {
	st := &peer.State{Cleared: s.orphans[o.name] == 0 && s.empty, Seen: o.seen, Taking: s.taking(now)}
	if s.report == nil {
		return st
	}
	if o.profile != s.profile {
		o.profile = s.profile
		st.Profile = s.profile
	}
	st.Free = s.free(now, o)
	st.Speed = s.health.speed()
	if s.health.sick {
		st.Health = peer.Sick
	}
	return st
}

// changed has every entry told of the worker's state.
func (s *Supervisor) changed() {
	for _, o := range s.owners {
		o.changed = true
	}
}

// noteHealth logs a change of the worker's health and has it told.
func (s *Supervisor) noteHealth() {
	s.Log.Info(event.WorkerHealth, "worker", s.life(), "sick", s.health.sick, "why", s.health.why.String(), "runs", len(s.runs))
	s.changed()
}

func (s *Supervisor) sortedOwners() []*owner {
	list := make([]*owner, 0, len(s.owners))
	for _, o := range s.owners {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *owner) int { return int(a.id) - int(b.id) })
	return list
}
