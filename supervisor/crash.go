package supervisor

import (
	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// A task may crash every target that starts it. A crash is recognised by runs that were
// active when their incarnation ended without having announced a shutdown. A target that
// restarts after some seconds is first treated as silent and its runs as lapsed; their
// entries are informed once it turns out that the target crashed.

// lapsedRun is a run that was ended because its target was silent.
type lapsedRun struct {
	session *session
	ref     task.Ref
}

// shutdownAnnounced reports whether the target has announced its shutdown.
func (t *target) shutdownAnnounced() bool {
	return t.report != nil && t.report.Draining
}

// lossReason returns the reason for the end of r, whose incarnation is over. A run whose
// start was not answered may never have started.
func (t *target) lossReason(r *run) code.Code {
	switch {
	case t.shutdownAnnounced():
		return code.RunTargetLeft
	case !r.answered:
		return code.RunAbsent
	}
	return code.RunTargetGone
}

// recordLapsed keeps a run until the target answers again.
func (s *Supervisor) recordLapsed(r *run) {
	if r.answered {
		s.lapsed = append(s.lapsed, lapsedRun{r.session, task.Ref{Task: r.order.Task, Run: r.order.Run}})
	}
}

// reportCrashed informs the entries of lapsed runs that the incarnation has ended.
func (s *Supervisor) reportCrashed() {
	for _, l := range s.lapsed {
		if !s.target.shutdownAnnounced() && s.sessions[l.session.id] == l.session && l.session.level >= peer.LevelClaim {
			l.session.out.Crashed = append(l.session.out.Crashed, l.ref)
			l.session.dirty = true
		}
	}
	s.lapsed = nil
}
