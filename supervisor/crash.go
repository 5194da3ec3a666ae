package supervisor

import (
	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// A task may crash each target that starts it. What shows it is that a run was at work when its
// incarnation ended, without a word before. A target that is back only seconds later counts as
// silent first, and its runs as lapsed: their entries are told once it shows that it crashed.

// lapsedRun is a run that was taken for over because its target was silent.
type lapsedRun struct {
	session *session
	ref     task.Ref
}

// leaves reports whether the target has announced its end.
func (t *target) leaves() bool {
	return t.report != nil && t.report.Draining
}

// endOf returns why r is over, whose incarnation has ended. A run whose start was not answered
// may never have been at work.
func (t *target) endOf(r *run) code.Code {
	switch {
	case t.leaves():
		return code.RunTargetLeft
	case !r.answered:
		return code.RunAbsent
	}
	return code.RunTargetGone
}

// recordLapsed remembers a run until its target is heard from again.
func (s *Supervisor) recordLapsed(r *run) {
	if r.answered {
		s.lapsed = append(s.lapsed, lapsedRun{r.session, task.Ref{Task: r.order.Task, Run: r.order.Run}})
	}
}

// tellCrashed tells the entries of lapsed runs that their incarnation has ended.
func (s *Supervisor) tellCrashed() {
	for _, l := range s.lapsed {
		if !s.target.leaves() && s.sessions[l.session.id] == l.session && l.session.level >= peer.LevelClaim {
			l.session.out.Crashed = append(l.session.out.Crashed, l.ref)
			l.session.dirty = true
		}
	}
	s.lapsed = nil
}
