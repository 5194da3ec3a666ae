package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/evacuation"
)

// Evacuate applies a set of evacuated halls if it is newer than the current one. While the
// target's hall is evacuated, all starts are rejected, even if the entry that orders them has
// not received the evacuation; active runs continue to their end. Entries receive the set
// with their next frame, so that those without access to the store obtain it as well.
func (s *Supervisor) Evacuate(now time.Duration, set evacuation.Set) {
	if !set.NewerThan(s.evacuations) {
		return
	}
	defer s.flush(now)
	s.evacuations = set
	s.checkEvacuation(now)
}

// evacuated reports whether starts are rejected because the target's hall is evacuated. It
// is false without the rule RefuseEvacuated.
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

// logIfEmpty logs if the target is evacuated and has no runs left.
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
