package supervisor

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/stage"
	"github.com/beaconpoint/beaconpoint/task"
)

const (
	// StartRetry is how long after it was sent a start without an answer is sent
	// again; Tick should be called then. Measured with the second renewal: see
	// LosingReplies.
	StartRetry = 20 * time.Millisecond
	// maxStartTries is how often a start is sent before only the target's lists
	// tell what became of it. Half and double: no difference.
	maxStartTries = 5
	// stopRetry is how long after it was sent a stop is sent again, until the end
	// of the run is listed. Half and double: no difference.
	stopRetry = 100 * time.Millisecond
)

// run is a run that may be on the target. It keeps its room until its end is
// certain: the target lists the end, or does not list the run though it can't begin
// any more, or the target's lease has expired or its incarnation is over.
type run struct {
	order   task.Order
	name    string // as the target knows the task
	session *session

	// answered says that the start took effect: the run is or was on the target.
	answered bool
	began    time.Duration // when the start was answered; before, when it was ordered
	endBy    time.Duration // when it is stopped at the latest; zero: never
	probe    bool          // it began while the target was ejected
	// coldness is how cold the target was when it began, and coldSlowness the logarithm of
	// how many times as long it was expected to take for that.
	coldness, coldSlowness float64
	// awaitsSpecUntil is until when the spec may take to come from another agent; zero
	// where it is known. Until then no start is sent.
	awaitsSpecUntil time.Duration

	// deadline is that of the last start sent, on the target's clock: afterwards
	// no copy of the call can begin the run.
	deadline time.Duration
	tries    int           // starts that were sent
	sentAt   time.Duration // when the last start or stop was sent
	// cannotBegin says that the run does not begin any more if it has not:
	// a renewal sent after cannotBeginSince tells whether it is there.
	cannotBegin      bool
	cannotBeginSince time.Duration

	// reborn says that the target has restarted under the same id since: the run may be over,
	// or begin in the new life.
	reborn bool

	stopping  bool
	stoppedAt time.Duration // when its stop was decided
	reason    code.Code     // of the stop
}

// markCannotBegin records that r does not begin any more if it has not.
func (r *run) markCannotBegin(now time.Duration) {
	if !r.cannotBegin {
		r.cannotBegin = true
		r.cannotBeginSince = now
	}
}

// takeOrder begins a run that an entry ordered, or rejects it.
func (s *Supervisor) takeOrder(now time.Duration, c *session, order task.Order) {
	name := order.Task.String()
	spec := s.completeSpec(c, &order)
	if why := s.rejection(now, c, order, name, spec); why != code.OK {
		s.logOrderRejected(now, c, order, why)
		c.reportEnd(order, peer.Ended{End: task.EndRejected, Reason: why, TargetFault: true})
		return
	}
	r := &run{order: order, name: name, session: c, began: now}
	if order.TimeLeft > 0 {
		r.endBy = now + order.TimeLeft
	}
	s.runs[name] = r
	c.runs++
	s.room.used = s.room.used.Plus(order.Needs)
	s.markChanged()
	r.probe = s.health.recordStart(now)
	r.coldness, r.coldSlowness = s.warmth.coldness(now), s.warmth.slowness(now)
	if spec == specElsewhere {
		s.awaitSpec(now, r)
		return
	}
	s.sendStart(now, r)
}

// rejection decides whether an order is taken: code.OK, or why not. The entry's
// lease comes first, since an order under an old one may belong to a run that was
// stopped already.
func (s *Supervisor) rejection(now time.Duration, c *session, order task.Order, name string, spec specState) code.Code {
	switch {
	case spec == specUnknown:
		return code.RunSpecUnknown
	case !s.leased(now, c):
		return code.RunStaleOwner
	case s.evacuated():
		return code.RunHallEvacuated
	case !s.accepting(now):
		return code.RunNotTaking
	case s.runs[name] != nil:
		return code.RunPresent
	case !order.Needs.Fits(s.freeRoom(now, c)):
		return code.RunNoRoom
	}
	return code.OK
}

// checkRun acts on what has run out of time for r: its entry's lease, its own
// limit, a stop or a start that was not answered.
func (s *Supervisor) checkRun(now time.Duration, r *run) {
	if r.reborn {
		return // the new life's lists tell
	}
	if s.sessions[r.session.id] == r.session && !s.leased(now, r.session) && !r.stopping {
		s.logOwnerLeaseOver(now, r)
		s.stop(now, r, code.RunOwnerSilent)
	}
	if r.endBy > 0 && now >= r.endBy && !r.stopping {
		s.stop(now, r, code.RunOverLimit)
	}
	if s.checkSpec(now, r) {
		return
	}
	if r.stopping {
		if now-r.sentAt >= stopRetry {
			s.sendStop(now, r)
		}
		return
	}
	if r.cannotBegin {
		return
	}
	if s.lease.clock.known && s.lease.clock.atLeast(now) > r.deadline {
		r.markCannotBegin(now)
		return
	}
	if !r.answered && now-r.sentAt >= StartRetry && r.tries < maxStartTries {
		s.sendStart(now, r)
	}
}

// finish ends r: its end is certain. Its entry is told, if the connection that
// ordered it is still there.
func (s *Supervisor) finish(now time.Duration, r *run, end task.End, why code.Code) {
	delete(s.runs, r.name)
	r.session.runs--
	s.room.used = s.room.used.Minus(r.order.Needs)
	if r.stopping {
		s.ObserveStage.Observe(stage.Ending, now-r.stoppedAt)
	}
	targetFault := s.recordHealth(now, r, end)
	if s.sessions[r.session.id] == r.session {
		r.session.reportEnd(r.order, peer.Ended{End: end, Reason: why, Took: now - r.began, TargetFault: targetFault})
	} else if s.orphanRuns[r.session.name]--; s.orphanRuns[r.session.name] <= 0 {
		delete(s.orphanRuns, r.session.name)
	}
	s.logEnded(now, r, end, why)
	s.logIfEmpty(now)
	s.markChanged()
}

// recordHealth takes the end of a run into the target's health. It reports whether
// the end is the target's fault and not the task's.
func (s *Supervisor) recordHealth(now time.Duration, r *run, end task.End) bool {
	targetFault := end != task.EndFailed
	if r.answered && end == task.EndDone && !s.health.ejected {
		s.warmth.learn(r.coldness, logRatio(max(now-r.began, minRunTime), r.order.Guess)-s.health.slowness)
	}
	if r.answered && (end == task.EndDone || end == task.EndFailed) {
		if s.health.recordEnd(r, end, max(0, s.lease.listedBefore-r.began), now-r.began) {
			s.announceHealth(now)
		}
		targetFault = targetFault || s.health.ejected
	}
	if r.probe && s.health.ejected && (end != task.EndDone || s.health.goodProbes == 0) {
		s.health.bad(now)
	}
	return targetFault
}

// probes returns how many runs were begun while the target was ejected.
func (s *Supervisor) probes() int {
	count := 0
	for _, r := range s.runs {
		if r.probe {
			count++
		}
	}
	return count
}

// activeRuns returns the runs that are at work on the target and not being stopped.
func (s *Supervisor) activeRuns() []*run {
	var list []*run
	for _, r := range s.sortedRuns() {
		if r.answered && !r.stopping {
			list = append(list, r)
		}
	}
	return list
}

// sortedRuns returns the runs by name, so that histories repeat exactly.
func (s *Supervisor) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(s.runs), func(a, b *run) int { return strings.Compare(a.name, b.name) })
}
