package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/task"
)

// A target may restart under its old id. Calls that name the id then reach the new process,
// and a delayed start that was sent to the old process may still start its run in the new
// one. The deadline of the start does not prevent that: it is a reading of the old process's
// clock, which the clock of the new process may reach much later. A run is therefore not over
// when the restart is detected. The new process is queried under a higher fencing token: the
// runs it lists are active there, and those it does not list can no longer start.

// restartedSince reports whether a list requested from the current incarnation was returned
// by another process with the same id: the start times differ. While a candidate has the same
// id, a list without a start time also counts as one of another process.
func (s *Supervisor) restartedSince(l *RunLists) bool {
	t := &s.target
	if t.candidate != nil && t.candidate.ID == t.id() {
		return l.StartedUnixMS != t.report.StartedUnixMS
	}
	return l.StartedUnixMS != 0 && t.report.StartedUnixMS != 0 && l.StartedUnixMS != t.report.StartedUnixMS
}

// targetRestarted ends the current incarnation because its target has restarted under the
// same id.
func (s *Supervisor) targetRestarted(now time.Duration, seenBy string) {
	s.logIncarnationOver(seenBy)
	for _, r := range s.runs {
		r.lossReason = s.target.lossReason(r)
		r.beforeRestart = true
	}
	s.reportCrashed()
	id, token := s.target.id(), s.target.token
	s.target.recordEnded()
	s.resetIncarnation(now)
	s.target.restartedID, s.target.token = id, token+1
	s.beginCandidate(now)
}

// endRunsBeforeRestart ends the remaining runs of the previous process, which are certain not
// to exist in the current one. Those that could no longer start, such as all runs known to
// have started, have been ended by dropAbsent.
func (s *Supervisor) endRunsBeforeRestart(now time.Duration) {
	for _, r := range s.sortedRuns() {
		if r.beforeRestart {
			s.finish(now, r, task.EndLost, s.target.lossReason(r))
		}
	}
	s.target.restartedID = ""
}
