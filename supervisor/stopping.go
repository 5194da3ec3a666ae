package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// Stops: a run that is to end stays until its end is certain.

// stopOrdered stops a run on its entry's order. A run that is not there has ended,
// and its end is on its way.
func (s *Supervisor) stopOrdered(now time.Duration, c *session, ref task.Ref) {
	r := s.runs[ref.Task.String()]
	if r == nil || r.session != c || r.order.Run != ref.Run {
		return
	}
	s.stop(now, r, code.RunOwnerStops)
}

// stop has the target stop r. The run stays until its end is certain.
func (s *Supervisor) stop(now time.Duration, r *run, why code.Code) {
	if r.stopping {
		return
	}
	r.stopping = true
	r.stoppedAt = now
	r.reason = why
	s.logStopping(now, r)
	if r.awaitsSpecUntil > 0 {
		s.finish(now, r, task.EndRejected, why) // no start was sent
		return
	}
	s.sendStop(now, r)
}

// sendStop sends the stop of r to the target.
func (s *Supervisor) sendStop(now time.Duration, r *run) {
	r.sentAt = now
	s.Stop(StopCall{
		Incarnation: s.target.incarnation(),
		Ref:         task.Ref{Task: r.order.Task, Run: r.order.Run},
		Name:        r.name,
		Token:       s.target.token,
	})
}

// StopAnswered handles the answer to a stop. An accepted stop keeps the run from
// beginning, too. One without an answer is sent again by checkRun.
func (s *Supervisor) StopAnswered(now time.Duration, c StopCall, reply Reply) {
	defer s.flush(now)
	s.recordReply(now, c.Incarnation, reply)
	if reply.Outcome == WrongIncarnation && c.Incarnation.is(s.target.incarnation()) {
		s.wrongIncarnation(now, "stop")
		return
	}
	r := s.runs[c.Name]
	if r == nil || !c.Incarnation.is(s.target.incarnation()) || r.order.Run != c.Ref.Run {
		return
	}
	switch reply.Outcome {
	case Accepted:
		r.markCannotBegin(now)
	case RefusedToken:
		s.renewToken(now)
	default:
		s.logStopFailed(r, reply)
	}
}
