package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// stopOrdered stops a run at its entry's request. A run that is unknown has ended, and its
// end is being reported.
func (s *Supervisor) stopOrdered(now time.Duration, c *session, ref task.Ref) {
	r := s.runs[ref.Task.String()]
	if r == nil || r.session != c || r.order.Run != ref.Run {
		return
	}
	s.stop(now, r, code.RunOwnerStops)
}

// stop makes the target stop r. The run is kept until its end is certain; a run whose start
// has not been sent ends at once.
func (s *Supervisor) stop(now time.Duration, r *run, reason code.Code) {
	if r.stopping {
		return
	}
	r.stopping = true
	r.stoppedAt = now
	r.reason = reason
	s.logStopping(now, r)
	if r.specDeadline > 0 {
		s.finish(now, r, task.EndRejected, reason) // no start was sent
		return
	}
	s.sendStop(now, r)
}

// sendStop sends a stop of r to the target.
func (s *Supervisor) sendStop(now time.Duration, r *run) {
	r.sentAt = now
	s.Stop(StopCall{
		Incarnation: s.target.incarnation(),
		Ref:         task.Ref{Task: r.order.Task, Run: r.order.Run},
		Name:        r.name,
		Token:       s.target.token,
	})
}

// StopAnswered handles the result of a stop call. An accepted stop also prevents a later
// start of the run. Whatever the result, checkRun repeats the stop until the end of the run
// is certain.
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
		r.markCannotStart(now)
	case RejectedToken:
		s.renewToken(now)
	default:
		s.logStopFailed(r, reply)
	}
}
