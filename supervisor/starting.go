package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/stage"
	"github.com/beaconpoint/beaconpoint/task"
)

// sendStart sends a start of r to the target.
func (s *Supervisor) sendStart(now time.Duration, r *run) {
	r.sentAt = now
	deadline := s.lease.grant(now, s.Rules.TargetLease)
	r.tries = append(r.tries, startTry{deadline: deadline})
	s.Start(StartCall{
		Incarnation: s.target.incarnation(), Order: r.order, Try: len(r.tries), Deadline: deadline, Token: s.target.token,
		run: r,
	})
}

// StartAnswered handles the result of a start call. A rejection concerns this call alone: the run
// ends once all of its starts are rejected. An unanswered start is sent again by checkRun, up to
// maxStartTries times in all.
func (s *Supervisor) StartAnswered(now time.Duration, c StartCall, reply Reply) {
	defer s.flush(now)
	s.recordReply(now, c.Incarnation, reply)
	r := c.run
	if s.runs[r.name] != r || !c.Incarnation.is(s.target.incarnation()) {
		return
	}
	switch reply.Outcome {
	case Accepted:
		s.startAccepted(now, r)
	case NoAnswer:
		s.recordTimeout(now)
		s.startUnanswered(now, r, c.Try, reply)
	case Undefined:
		s.startUnanswered(now, r, c.Try, reply)
	case WrongIncarnation:
		s.wrongIncarnation(now, "start")
	default:
		s.startRejected(now, r, c.Try, reply)
	}
}

// startAccepted records that r has started.
func (s *Supervisor) startAccepted(now time.Duration, r *run) {
	if !r.started {
		r.started = true
		s.ObserveStage.Observe(stage.Starting, now-r.startedAt)
		r.startedAt = now
	}
	r.markCannotStart(now)
}

// startUnanswered handles a try that may or may not start r.
func (s *Supervisor) startUnanswered(now time.Duration, r *run, try int, reply Reply) {
	s.logStartUnanswered(r, try, reply)
	if !s.Rules.KeepUnansweredStarts {
		s.finish(now, r, task.EndRejected, code.RunAbsent)
	}
}

// startRejected records the rejection of a try, and ends r if none of its tries can start it any
// more. While others are open, r is stopped, so that its task need not wait for their deadlines.
func (s *Supervisor) startRejected(now time.Duration, r *run, try int, reply Reply) {
	outcome := reply.Outcome
	r.tries.reject(try)
	s.logStartRejected(r, try, reply)
	if outcome == RejectedUnhealthy && s.health.recordRejection(now, r.order.Task.Job) {
		s.healthChanged(now)
	}
	if outcome == RejectedToken {
		s.renewToken(now)
	}
	open, _ := r.tries.open()
	switch {
	case r.started: // the lists decide
	case open == 0:
		s.finish(now, r, task.EndRejected, outcome.Code())
	case r.cannotStart || outcome == RejectedStaleRun || !s.Rules.AwaitOpenStarts:
		r.markCannotStart(now)
	default:
		s.stop(now, r, outcome.Code())
	}
}
