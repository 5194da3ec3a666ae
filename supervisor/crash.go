package supervisor

import (
	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// A task may crash every target that starts it. Entries therefore limit the runs of a task that
// end with the loss of their target. An incarnation has crashed if it ended without
// having announced a shutdown. A target that crashes and does not restart at once is first
// treated as silent, and its runs as lapsed. If a later answer or heartbeat shows that their
// incarnation is over, the entries are sent a late report that these runs ended by a crash.

// lapsedRun is a run that was ended because its target was silent.
type lapsedRun struct {
	session *session
	ref     task.Ref
}

// shutdownAnnounced reports whether the target has announced its shutdown.
func (t *target) shutdownAnnounced() bool {
	return t.report != nil && t.report.Draining
}

// lossReason returns the reason for the end of r, whose incarnation is over. A run that is
// not known to have started may never have done so.
func (t *target) lossReason(r *run) code.Code {
	switch {
	case r.beforeRestart:
		return r.lossReason
	case t.shutdownAnnounced():
		return code.RunTargetShutDown
	case !r.started:
		return code.RunAbsent
	}
	return code.RunTargetGone
}

// recordLapsed records a run that is known to have started, until a renewal is accepted or
// the incarnation ends.
func (s *Supervisor) recordLapsed(r *run) {
	if r.started {
		s.lapsed = append(s.lapsed, lapsedRun{r.session, task.Ref{Task: r.order.Task, Run: r.order.Run}})
	}
}

// reportCrashed reports the lapsed runs to their entries as ended by a crash, and discards
// the list. It reports nothing if the target had announced its shutdown, or to entries that
// have disconnected or do not support the report.
func (s *Supervisor) reportCrashed() {
	for _, l := range s.lapsed {
		if !s.target.shutdownAnnounced() &&
			s.sessions[l.session.id] == l.session && l.session.level >= peer.LevelClaim {
			l.session.out.Crashed = append(l.session.out.Crashed, l.ref)
			l.session.dirty = true
		}
	}
	s.lapsed = nil
}
