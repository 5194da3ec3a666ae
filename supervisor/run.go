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
	// StartRetry is the time after which an unanswered start is sent again; Tick should be
	// called then. For what it gains, see NeedsSecondRenewal.
	StartRetry = 20 * time.Millisecond
	// maxStartTries is how often a start is sent; afterwards only the target's lists
	// decide.
	maxStartTries = 5
	// stopRetry is the interval at which a stop is repeated until the end of the run is
	// listed.
	stopRetry = 100 * time.Millisecond
)

// run is a run that may exist on the target. It keeps its resources until its end is
// certain: the target lists the end, or does not list the run although it can no longer
// start, or the target's lease has expired or its incarnation is over.
type run struct {
	order   task.Order
	name    string // task name used by the target
	session *session

	// started is set once the start is known to have taken effect: the target has accepted
	// it or lists the run.
	started bool
	// startedAt is when the order arrived, its spec arrived, or the start was first known to
	// have taken effect, whichever was last.
	startedAt time.Duration
	endBy     time.Duration // when the run is stopped for exceeding its time limit; zero: no limit
	probe     bool          // ordered while the target was ejected
	// coldFraction is the target's cold fraction at the start of the run, and
	// coldLogSlowdown the logarithm of the slowdown expected from it.
	coldFraction, coldLogSlowdown float64
	// specDeadline is the latest time at which the spec may arrive from another agent; zero
	// if the spec is known. Before it arrives, no start is sent, and a stop ends the run at
	// once.
	specDeadline time.Duration

	tries  startTries
	sentAt time.Duration // send time of the last start or stop
	// cannotStart is set once no call can start the run any more. From then on, the absence of
	// the run from lists requested at or after cannotStartSince proves that it does not exist.
	cannotStart      bool
	cannotStartSince time.Duration

	// beforeRestart is set when the target has restarted under the same id since the order:
	// the run may be over, or may start in the new process. lossReason is the reason for its end
	// if it is over.
	beforeRestart bool
	lossReason    code.Code

	stopping  bool
	stoppedAt time.Duration // when the stop was decided
	reason    code.Code     // reason for the stop
}

// markCannotStart records that no call can start r any more.
func (r *run) markCannotStart(now time.Duration) {
	if !r.cannotStart {
		r.cannotStart = true
		r.cannotStartSince = now
	}
}

// handleOrder begins the run of an order, or rejects the order.
func (s *Supervisor) handleOrder(now time.Duration, c *session, order task.Order) {
	name := order.Task.String()
	spec := s.completeSpec(c, &order)
	if reason := s.rejection(now, c, order, name, spec); reason != code.OK {
		s.logOrderRejected(now, c, order, reason)
		c.reportEnd(order, peer.RunEnd{End: task.EndRejected, Reason: reason, TargetFault: true})
		return
	}
	r := &run{order: order, name: name, session: c, startedAt: now}
	if order.TimeLeft > 0 {
		r.endBy = now + order.TimeLeft
	}
	s.runs[name] = r
	c.runs++
	s.room.used = s.room.used.Plus(order.Needs)
	s.markChanged()
	r.probe = s.health.recordStart(now)
	r.coldFraction, r.coldLogSlowdown = s.warmup.coldFraction(now), s.warmup.logSlowdown(now)
	if spec == specRemote {
		s.awaitSpec(now, r)
		return
	}
	s.sendStart(now, r)
}

// rejection returns the reason for rejecting an order, or code.OK. The entry's lease is
// checked before the state of the target, since an order under an expired lease may belong
// to a run that was already stopped.
func (s *Supervisor) rejection(now time.Duration, c *session, order task.Order, name string, spec specState) code.Code {
	switch {
	case spec == specUnknown:
		return code.RunSpecUnknown
	case !s.leased(now, c):
		return code.RunStaleOwner
	case s.evacuated():
		return code.RunHallEvacuated
	case !s.accepting(now):
		return code.RunTargetNotAccepting
	case s.runs[name] != nil:
		return code.RunPresent
	case !order.Needs.Fits(s.freeRoom(now, c)):
		return code.RunNoRoom
	}
	return code.OK
}

// checkRun handles what is due for r: its entry's lease, its time limit, and the retry of a
// stop or start.
func (s *Supervisor) checkRun(now time.Duration, r *run) {
	if r.beforeRestart {
		return // decided by the lists of the new process
	}
	if s.sessions[r.session.id] == r.session && !s.leased(now, r.session) && !r.stopping {
		s.logOwnerLeaseOver(now, r)
		s.stop(now, r, code.RunOwnerSilent)
	}
	if r.endBy > 0 && now >= r.endBy && !r.stopping {
		s.stop(now, r, code.RunCallerTimeout)
	}
	if s.checkSpec(now, r) {
		return
	}
	s.checkStartDeadlines(now, r)
	if r.stopping {
		if now-r.sentAt >= stopRetry {
			s.sendStop(now, r)
		}
		return
	}
	if !r.cannotStart && now-r.sentAt >= StartRetry && len(r.tries) < maxStartTries {
		s.sendStart(now, r)
	}
}

// checkStartDeadlines marks r as unable to start if the deadlines of all open starts have passed.
func (s *Supervisor) checkStartDeadlines(now time.Duration, r *run) {
	if _, deadline := r.tries.open(); s.lease.clock.known && s.lease.clock.atLeast(now) > deadline {
		r.markCannotStart(now)
	}
}

// finish removes r, whose end is certain, and reports the end to its entry if the ordering
// connection still exists.
func (s *Supervisor) finish(now time.Duration, r *run, end task.End, reason code.Code) {
	delete(s.runs, r.name)
	r.session.runs--
	s.room.used = s.room.used.Minus(r.order.Needs)
	if r.stopping {
		s.ObserveStage.Observe(stage.Ending, now-r.stoppedAt)
	}
	targetFault := s.recordHealth(now, r, end)
	if s.sessions[r.session.id] == r.session {
		r.session.reportEnd(r.order,
			peer.RunEnd{End: end, Reason: reason, Took: now - r.startedAt, TargetFault: targetFault})
	} else if s.orphanRuns[r.session.name]--; s.orphanRuns[r.session.name] <= 0 {
		delete(s.orphanRuns, r.session.name)
	}
	s.logEnded(now, r, end, reason)
	s.logIfEmpty(now)
	s.markChanged()
}

// recordHealth updates the target's health with the end of a run. It returns TargetFault of the
// end (peer.RunEnd): false for EndFailed unless the target is ejected afterwards, true for all
// other ends.
func (s *Supervisor) recordHealth(now time.Duration, r *run, end task.End) bool {
	targetFault := end != task.EndFailed
	if r.started && end == task.EndDone && !s.health.ejected {
		s.warmup.learn(r.coldFraction, logRatio(max(now-r.startedAt, minRunTime), r.order.Guess)-s.health.logSlowdown)
	}
	if r.started && (end == task.EndDone || end == task.EndFailed) {
		if s.health.recordEnd(r, end, max(0, s.lease.previousListedAt-r.startedAt), now-r.startedAt) {
			s.healthChanged(now)
		}
		targetFault = targetFault || s.health.ejected
	}
	if r.probe && s.health.ejected && (end != task.EndDone || s.health.goodProbes == 0) {
		s.health.resetTrial(now)
	}
	return targetFault
}

// probes returns the number of runs that were ordered while the target was ejected and have
// not certainly ended.
func (s *Supervisor) probes() int {
	count := 0
	for _, r := range s.runs {
		if r.probe {
			count++
		}
	}
	return count
}

// activeRuns returns the runs that are known to have started and are not being stopped.
func (s *Supervisor) activeRuns() []*run {
	var list []*run
	for _, r := range s.sortedRuns() {
		if r.started && !r.stopping {
			list = append(list, r)
		}
	}
	return list
}

// sortedRuns returns the runs sorted by name, so that histories repeat exactly.
func (s *Supervisor) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(s.runs), func(a, b *run) int { return strings.Compare(a.name, b.name) })
}
