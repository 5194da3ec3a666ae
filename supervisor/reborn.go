package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/task"
)

// A target may restart under the id that it had. Calls that name the id reach the new life,
// too, and a start that was sent to the old one may begin there: its deadline is reckoned on
// the old life's clock, which read more, so that neither the deadline nor the lease keeps it
// from running for as long as the target grants any lease. So no run is over when a rebirth is
// noticed. The new life is asked under a higher fencing token: what it lists then is at work
// there, and what it does not list can't begin any more.

// rebornSince reports whether a list that was asked of the present incarnation came from a
// later life under the same id. Where lists do not tell, a heartbeat has told of it.
func (s *Supervisor) rebornSince(l *RunLists) bool {
	t := &s.target
	if t.candidate != nil && t.candidate.ID == t.id() {
		return l.Born != t.report.Born
	}
	return l.Born != 0 && t.report.Born != 0 && l.Born != t.report.Born
}

// reborn ends the present incarnation because its target has restarted under the same id.
func (s *Supervisor) reborn(now time.Duration, seenBy string) {
	s.logIncarnationOver(seenBy)
	for _, r := range s.runs {
		r.reborn = true
	}
	s.tellCrashed()
	id, token := s.target.id(), s.target.token
	s.target.recordEnded()
	s.forgetIncarnation(now)
	s.target.rebornID, s.target.token = id, token+1
	s.beginCandidate(now)
}

// endReborn ends the runs of the life before that are not in the present one, once that is
// certain.
func (s *Supervisor) endReborn(now time.Duration) {
	for _, r := range s.sortedRuns() {
		if r.reborn {
			s.finish(now, r, task.EndLost, s.target.endOf(r))
		}
	}
	s.target.rebornID = ""
}
