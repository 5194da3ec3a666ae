package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/evacuation"
)

// Evacuation of the target's data hall. Nothing new starts on the target while its hall is
// evacuated, whatever the entries know: the agent alone starts runs there, so that it
// alone must have heard. Runs that are there go on to their end.

// Evacuate applies what is heard of evacuated halls, unless it is older than what is known.
// Entries are told with the next frame to each, so that those which can't reach the store
// hear of it from here.
func (s *Supervisor) Evacuate(now time.Duration, set evacuation.Set) {
	if !set.NewerThan(s.evacuations) {
		return
	}
	defer s.flush(now)
	s.evacuations = set
	s.checkEvacuation(now)
}

// evacuated reports whether the target's hall is evacuated.
func (s *Supervisor) evacuated() bool {
	return s.Rules.RefuseEvacuated && s.target.report != nil && s.evacuations.Has(s.target.report.Hall)
}

// checkEvacuation begins or ends the evacuation of the target where what is known of it, or
// its hall, has changed. Room that is reserved is not used any more, and runs whose start
// was not sent yet are rejected.
func (s *Supervisor) checkEvacuation(now time.Duration) {
	evacuated := s.evacuated()
	if evacuated == (s.evacuatedSince > 0) {
		return
	}
	s.markChanged()
	if !evacuated {
		s.logReturned(now)
		s.evacuatedSince = 0
		s.reserveRoom(now)
		return
	}
	s.evacuatedSince = now
	s.logEvacuated()
	clear(s.room.reservations)
	s.logIfEmpty(now)
	for _, r := range s.sortedRuns() {
		if r.awaitsSpecUntil > 0 && !r.stopping {
			s.rejectWaiting(now, r, code.RunHallEvacuated)
		}
	}
}

// logIfEmpty says that the last run on an evacuated target has ended.
func (s *Supervisor) logIfEmpty(now time.Duration) {
	if s.evacuatedSince > 0 && len(s.runs) == 0 {
		s.logEmpty(now)
	}
}

// tellEvacuations adds what is known of evacuated halls to the next frame to an entry, if
// that entry is not known to have heard as much.
func (s *Supervisor) tellEvacuations(c *session) {
	if c.heardEvacuations < s.evacuations.Revision {
		c.heardEvacuations = s.evacuations.Revision
		set := s.evacuations
		c.out.Evacuations = &set
	}
}
