package supervisor

import (
	"slices"
	"strings"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// run is a run of a task that may be on the worker. It takes room until its
// end is sure.
type run struct {
	order   task.Order
	name    string // as the worker knows the task
	session *session

	began    time.Duration // when the start was answered, or first sent
	endBy    time.Duration // when it must end at the latest; zero: no limit
	answered bool          // the start was answered: it is or was there
	// deadline is that of the last start sent, on the worker's clock: after
	// it no copy of that call can begin the run.
	deadline time.Duration
	tries    int
	sentAt   time.Duration // of the last start or stop
	inFlight int           // calls without an answer yet
	// settledAt is when it became sure that the run does not begin any more,
	// if it has not: a hold that is sent later tells whether it is there.
	cannotBegin      bool
	cannotBeginSince time.Duration
	stopping         bool
	stoppedAt        time.Duration // when its stop was decided
	stopTries        int
	reason           code.Code // of the stop
	probe            bool      // began while the worker was sick
}

// takeOrder judges an order to start a run.
func (s *Supervisor) takeOrder(now time.Duration, o *session, order task.Order, f *peer.Frame) {
	name := order.Task.String()
	if reason := s.rejection(now, o, order, name); reason != code.OK {
		s.Log.Info(event.StartRefused, "task", name, "run", order.Run, "entry", o.name, "why", reason.String(),
			"needs", order.Needs.CPU, "free", s.freeRoom(now, o).CPU, "echo_age_ms", (now - o.leaseFrom).Milliseconds())
		o.reportEnd(order, peer.Ended{End: task.EndRejected, Reason: reason, TargetFault: true})
		return
	}
	r := &run{order: order, name: name, session: o, began: now}
	if order.TimeLeft > 0 {
		r.endBy = now + order.TimeLeft
	}
	s.runs[name] = r
	s.used = s.used.Plus(order.Needs)
	s.markChanged()
	r.probe = s.health.recordStart(now)
	s.sendStart(now, r)
}

// rejection returns why an order is not taken, or OK.
func (s *Supervisor) rejection(now time.Duration, o *session, order task.Order, name string) code.Code {
	switch {
	case !s.leased(now, o):
		return code.RunStaleOwner
	case !s.accepting(now):
		return code.RunNotTaking
	case s.runs[name] != nil:
		return code.RunPresent
	case !order.Needs.Fits(s.freeRoom(now, o)):
		return code.RunNoRoom
	}
	return code.OK
}

// sendStart sends the start of r to the worker.
func (s *Supervisor) sendStart(now time.Duration, r *run) {
	r.tries++
	r.inFlight++
	r.sentAt = now
	r.deadline = s.clock.atLeast(now) + s.Rules.TargetLease
	s.maxDeadline = max(s.maxDeadline, r.deadline)
	s.Start(StartCall{Incarnation: s.incarnation(), Order: r.order, Deadline: r.deadline, Token: s.token})
}

// StartAnswered takes the answer to a start.
func (s *Supervisor) StartAnswered(now time.Duration, c StartCall, reply Reply) {
	defer s.flush(now)
	s.recordReply(now, c.Incarnation, reply)
	r := s.runs[c.Order.Task.String()]
	if r == nil || c.Incarnation != s.incarnation() || r.order.Run != c.Order.Run {
		return
	}
	r.inFlight--
	switch reply.Outcome {
	case Accepted:
		if !r.answered {
			r.answered = true
			s.observe(StageStarting, now-r.began)
			r.began = now
		}
		r.markCannotBegin(now)
		if r.stopping {
			return
		}
	case NoAnswer:
		s.recordTimeout(now)
		s.Log.Info(event.StartUnanswered, "task", r.name, "run", r.order.Run, "tries", r.tries)
		if !s.Rules.KeepUnanswered {
			s.finish(now, r, task.EndRejected, code.RunAbsent)
		}
	case WrongIncarnation:
		s.Log.Info(event.TargetIncarnationOver, "worker", c.Incarnation, "seen_by", "start")
		s.endIncarnation(now)
	default:
		s.startRefused(now, r, reply.Outcome)
	}
}

// startRefused ends r where no earlier try can have begun it, and else waits
// for the worker's lists.
func (s *Supervisor) startRefused(now time.Duration, r *run, why Outcome) {
	s.Log.Info(event.StartRejected, "task", r.name, "run", r.order.Run, "why", why.Code().String(), "tries", r.tries)
	if why == RefusedUnhealthy && s.health.recordRefusal(now, r.order.Task.Job) {
		s.announceHealth()
	}
	if why == RefusedToken {
		s.renewToken(now)
	}
	if r.tries > 1 {
		r.markCannotBegin(now)
		return
	}
	s.finish(now, r, task.EndRejected, why.Code())
}

// markCannotBegin notes that r begins no more, if it has not begun.
func (r *run) markCannotBegin(now time.Duration) {
	if !r.cannotBegin {
		r.cannotBegin = true
		r.cannotBeginSince = now
	}
}

// stopRef stops a run on its owner's word.
func (s *Supervisor) stopRef(now time.Duration, o *session, ref task.Ref) {
	r := s.runs[ref.Task.String()]
	if r == nil || r.session != o || r.order.Run != ref.Run {
		return // its end is under way
	}
	s.stop(now, r, code.RunOwnerStops)
}

// stop has the worker stop r.
func (s *Supervisor) stop(now time.Duration, r *run, reason code.Code) {
	if r.stopping {
		return
	}
	r.stopping = true
	r.stoppedAt = now
	r.reason = reason
	s.Log.Info(event.RunStopping, "task", r.name, "run", r.order.Run, "entry", r.session.name, "why", reason.String(),
		"age_ms", (now - r.began).Milliseconds())
	s.sendStop(now, r)
}

func (s *Supervisor) sendStop(now time.Duration, r *run) {
	r.stopTries++
	r.sentAt = now
	s.Stop(StopCall{Incarnation: s.incarnation(), Ref: task.Ref{Task: r.order.Task, Run: r.order.Run}, Name: r.name, Token: s.token})
}

// StopAnswered takes the answer to a stop.
func (s *Supervisor) StopAnswered(now time.Duration, c StopCall, reply Reply) {
	defer s.flush(now)
	s.recordReply(now, c.Incarnation, reply)
	if reply.Outcome == WrongIncarnation && c.Incarnation == s.incarnation() {
		s.Log.Info(event.TargetIncarnationOver, "worker", c.Incarnation, "seen_by", "stop")
		s.endIncarnation(now)
		return
	}
	r := s.runs[c.Name]
	if r == nil || c.Incarnation != s.incarnation() || r.order.Run != c.Ref.Run {
		return
	}
	switch reply.Outcome {
	case Accepted:
		r.markCannotBegin(now)
	case RefusedToken:
		s.renewToken(now)
	}
}

// checkRun looks at what has run out of time in r.
func (s *Supervisor) checkRun(now time.Duration, r *run) {
	if r.session != nil && s.sessions[r.session.id] == r.session && !s.leased(now, r.session) && !r.stopping {
		s.Log.Info(event.OwnerLeaseOver, "entry", r.session.name, "task", r.name, "run", r.order.Run,
			"echo_age_ms", (now - r.session.leaseFrom).Milliseconds())
		s.stop(now, r, code.RunOwnerSilent)
	}
	if r.endBy > 0 && now >= r.endBy && !r.stopping {
		s.stop(now, r, code.RunOverLimit)
	}
	if r.stopping && now-r.sentAt >= stopRetry {
		s.sendStop(now, r) // until its end is listed: the call may not have been done
	}
	if r.stopping || r.cannotBegin {
		return
	}
	if s.clock.known && s.clock.atLeast(now) > r.deadline {
		r.markCannotBegin(now) // no copy of the start can be taken any more
		return
	}
	if !r.answered && now-r.sentAt >= StartRetry && r.tries < maxStartTries {
		s.sendStart(now, r)
	}
}

// maxStartTries is how often a start is sent before only the worker's lists
// tell what became of it.
const maxStartTries = 5

// finish ends r and tells its owner.
func (s *Supervisor) finish(now time.Duration, r *run, end task.End, reason code.Code) {
	delete(s.runs, r.name)
	s.used = s.used.Minus(r.order.Needs)
	if r.stopping {
		s.observe(StageEnding, now-r.stoppedAt)
	}
	blameless := end != task.EndFailed
	if r.answered && (end == task.EndDone || end == task.EndFailed) {
		if s.health.recordEnd(r, end, max(0, s.listedBefore-r.began), now-r.began) {
			s.announceHealth()
		}
		blameless = blameless || s.health.ejected
	}
	if s.sessions[r.session.id] == r.session {
		r.session.reportEnd(r.order, peer.Ended{End: end, Reason: reason, Took: now - r.began, TargetFault: blameless})
	} else if s.orphanRuns[r.session.name]--; s.orphanRuns[r.session.name] <= 0 {
		delete(s.orphanRuns, r.session.name)
	}
	s.Log.Info(event.RunEnded, "task", r.name, "run", r.order.Run, "entry", r.session.name, "end", end.String(),
		"why", reason.String(), "took_ms", (now - r.began).Milliseconds(), "estimate_ms", r.order.Estimate.Milliseconds())
	s.markChanged()
}

// reportEnd tells the entry how a run ended.
func (o *session) reportEnd(order task.Order, e peer.Ended) {
	e.Ref = task.Ref{Task: order.Task, Run: order.Run}
	o.out.Ended = append(o.out.Ended, e)
	o.dirty = true
}

// probes returns how many runs were begun while the worker was sick.
func (s *Supervisor) probes() int {
	count := 0
	for _, r := range s.runs {
		if r.probe {
			count++
		}
	}
	return count
}

// running returns the runs that are at work.
func (s *Supervisor) running() []*run {
	var list []*run
	for _, r := range s.sortedRuns() {
		if r.answered && !r.stopping {
			list = append(list, r)
		}
	}
	return list
}

func (s *Supervisor) sortedRuns() []*run {
	list := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return strings.Compare(a.name, b.name) })
	return list
}
