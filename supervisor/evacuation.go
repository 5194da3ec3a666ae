package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/evacuation"
)

// Evacuation of the target's data hall. While the hall is evacuated, nothing new starts on
// the target, even if the entry that sends an order has not received the evacuation. Active
// runs continue to their end.

// Evacuate applies a set of evacuated halls unless it is older than the current one.
// Entries receive it with their next frame, so that those without access to the store get
// it from here.
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

// checkEvacuation begins or ends the evacuation of the target after the set of evacuated
// halls or the target's hall has changed. At the beginning it drops all reservations and
// rejects the runs whose start has not been sent.
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
		if r.specDeadline > 0 && !r.stopping {
			s.rejectUnstarted(now, r, code.RunHallEvacuated)
		}
	}
}

// logIfEmpty logs when the last run on an evacuated target has ended.
func (s *Supervisor) logIfEmpty(now time.Duration) {
	if s.evacuatedSince > 0 && len(s.runs) == 0 {
		s.logEmpty(now)
	}
}

// addEvacuations adds the evacuated halls to the next frame to an entry, unless the entry
// already has this revision.
func (s *Supervisor) addEvacuations(c *session) {
	if c.evacuationRevision < s.evacuations.Revision {
		c.evacuationRevision = s.evacuations.Revision
		set := s.evacuations
		c.out.Evacuations = &set
	}
}
