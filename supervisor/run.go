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
	order task.Order
	name  string // as the worker knows the task
	owner *owner

	began    time.Duration // when the start was answered, or first sent
	limit    time.Duration // when it must end at the latest; zero: no limit
	answered bool          // the start was answered: it is or was there
	// deadline is that of the last start sent, on the worker's clock: after
	// it no copy of that call can begin the run.
	deadline time.Duration
	tries    int
	sentAt   time.Duration // of the last start or stop
	inFlight int           // calls without an answer yet
	// settledAt is when it became sure that the run does not begin any more,
	// if it has not: a hold that is sent later tells whether it is there.
	settled   bool
	settledAt time.Duration
	stopping  bool
	stoppedAt time.Duration // when its stop was decided
	stopTries int
	reason    code.Code // of the stop
	trial     bool      // began while the worker was sick
}

// order judges an order to start a run.
func (s *Supervisor) order(now time.Duration, o *owner, order task.Order, f *peer.Frame) {
	name := order.Task.String()
	if reason := s.refuse(now, o, order, name); reason != code.OK {
		s.Log.Info(event.StartRefused, "task", name, "run", order.Run, "entry", o.name, "why", reason.String(),
			"needs", order.Needs.CPU, "free", s.free(now, o).CPU, "echo_age_ms", (now - o.echoed).Milliseconds())
		o.end(order, peer.Ended{End: task.EndRejected, Reason: reason, Blameless: true})
		return
	}
	r := &run{order: order, name: name, owner: o, began: now}
	if order.Limit > 0 {
		r.limit = now + order.Limit
	}
	s.runs[name] = r
	s.used = s.used.Plus(order.Needs)
	s.changed()
	r.trial = s.health.began(now)
	s.send(now, r)
}

// refuse returns why an order is not taken, or OK.
func (s *Supervisor) refuse(now time.Duration, o *owner, order task.Order, name string) code.Code {
	switch {
	case !s.leased(now, o):
		return code.RunStaleOwner
	case !s.taking(now):
		return code.RunNotTaking
	case s.runs[name] != nil:
		return code.RunPresent
	case !order.Needs.Fits(s.free(now, o)):
		return code.RunNoRoom
	}
	return code.OK
}

// send sends the start of r to the worker.
func (s *Supervisor) send(now time.Duration, r *run) {
	r.tries++
	r.inFlight++
	r.sentAt = now
	r.deadline = s.clock.least(now) + s.Rules.WorkerLease
	s.promised = max(s.promised, r.deadline)
	s.Start(StartCall{Life: s.life(), Order: r.order, Deadline: r.deadline, Token: s.token})
}

// StartAnswered takes the answer to a start.
func (s *Supervisor) StartAnswered(now time.Duration, c StartCall, reply Reply) {
	defer s.flush(now)
	s.takeClock(now, c.Life, reply)
	r := s.runs[c.Order.Task.String()]
	if r == nil || c.Life != s.life() || r.order.Run != c.Order.Run {
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
		r.settle(now)
		if r.stopping {
			return
		}
	case NoAnswer:
		s.unanswered(now)
		s.Log.Info(event.StartUnanswered, "task", r.name, "run", r.order.Run, "tries", r.tries)
		if !s.Rules.Settling {
			s.finish(now, r, task.EndRejected, code.RunAbsent)
		}
	case OtherLife:
		s.Log.Info(event.WorkerLifeOver, "worker", c.Life, "seen_by", "start")
		s.endLife(now)
	default:
		s.startRefused(now, r, reply.Outcome)
	}
}

// startRefused ends r where no earlier try can have begun it, and else waits
// for the worker's lists.
func (s *Supervisor) startRefused(now time.Duration, r *run, why Outcome) {
	s.Log.Info(event.StartRejected, "task", r.name, "run", r.order.Run, "why", why.Code().String(), "tries", r.tries)
	if why == RefusedSick && s.health.refused(now, r.order.Task.Job) {
		s.noteHealth()
	}
	if why == RefusedFence {
		s.renewToken(now)
	}
	if r.tries > 1 {
		r.settle(now)
		return
	}
	s.finish(now, r, task.EndRejected, why.Code())
}

// settle notes that r begins no more, if it has not begun.
func (r *run) settle(now time.Duration) {
	if !r.settled {
		r.settled = true
		r.settledAt = now
	}
}

// stopRef stops a run on its owner's word.
func (s *Supervisor) stopRef(now time.Duration, o *owner, ref task.Ref) {
	r := s.runs[ref.Task.String()]
	if r == nil || r.owner != o || r.order.Run != ref.Run {
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
	s.Log.Info(event.RunStopping, "task", r.name, "run", r.order.Run, "entry", r.owner.name, "why", reason.String(),
		"age_ms", (now - r.began).Milliseconds())
	s.sendStop(now, r)
}

func (s *Supervisor) sendStop(now time.Duration, r *run) {
	r.stopTries++
	r.sentAt = now
	s.Stop(StopCall{Life: s.life(), Ref: task.Ref{Task: r.order.Task, Run: r.order.Run}, Name: r.name, Token: s.token})
}

// StopAnswered takes the answer to a stop.
func (s *Supervisor) StopAnswered(now time.Duration, c StopCall, reply Reply) {
	defer s.flush(now)
	s.takeClock(now, c.Life, reply)
	if reply.Outcome == OtherLife && c.Life == s.life() {
		s.Log.Info(event.WorkerLifeOver, "worker", c.Life, "seen_by", "stop")
		s.endLife(now)
		return
	}
	r := s.runs[c.Name]
	if r == nil || c.Life != s.life() || r.order.Run != c.Ref.Run {
		return
	}
	switch reply.Outcome {
	case Accepted:
		r.settle(now)
	case RefusedFence:
		s.renewToken(now)
	}
}

// tickRun looks at what has run out of time in r.
func (s *Supervisor) tickRun(now time.Duration, r *run) {
	if r.owner != nil && s.owners[r.owner.id] == r.owner && !s.leased(now, r.owner) && !r.stopping {
		s.Log.Info(event.OwnerLeaseOver, "entry", r.owner.name, "task", r.name, "run", r.order.Run,
			"echo_age_ms", (now - r.owner.echoed).Milliseconds())
		s.stop(now, r, code.RunOwnerSilent)
	}
	if r.limit > 0 && now >= r.limit && !r.stopping {
		s.stop(now, r, code.RunOverLimit)
	}
	if r.stopping && now-r.sentAt >= callRetry {
		s.sendStop(now, r) // until its end is listed: the call may not have been done
	}
	if r.stopping || r.settled {
		return
	}
	if s.clock.known && s.clock.least(now) > r.deadline {
		r.settle(now) // no copy of the start can be taken any more
		return
	}
	if !r.answered && now-r.sentAt >= StartRetry && r.tries < maxStartTries {
		s.send(now, r)
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
		if s.health.ended(r, end, max(0, s.listedBefore-r.began), now-r.began) {
			s.noteHealth()
		}
		blameless = blameless || s.health.sick
	}
	if s.owners[r.owner.id] == r.owner {
		r.owner.end(r.order, peer.Ended{End: end, Reason: reason, Took: now - r.began, Blameless: blameless})
	} else if s.orphans[r.owner.name]--; s.orphans[r.owner.name] <= 0 {
		delete(s.orphans, r.owner.name)
	}
	s.Log.Info(event.RunEnded, "task", r.name, "run", r.order.Run, "entry", r.owner.name, "end", end.String(),
		"why", reason.String(), "took_ms", (now - r.began).Milliseconds(), "estimate_ms", r.order.Estimate.Milliseconds())
	s.changed()
}

// end tells the entry how a run ended.
func (o *owner) end(order task.Order, e peer.Ended) {
	e.Ref = task.Ref{Task: order.Task, Run: order.Run}
	o.out.Ended = append(o.out.Ended, e)
	o.dirty = true
}

// trials returns how many runs were begun while the worker was sick.
func (s *Supervisor) trials() int {
	count := 0
	for _, r := range s.runs {
		if r.trial {
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
