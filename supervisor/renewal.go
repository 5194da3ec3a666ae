package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// maxListedEnds is the platform's limit on ends per list; a list of this length may be
// incomplete.
const maxListedEnds = 500

// NextRenewal returns the next call that renews the target's lease and requests its runs;
// false if no target is known. The call has no deadline, and so does not renew the lease,
// while the target's clock is unknown, the target is not cleared, or it is silent: the lease
// of a silent target expires.
func (s *Supervisor) NextRenewal(now time.Duration) (RenewCall, bool) {
	if s.target.report == nil {
		return RenewCall{}, false
	}
	c := RenewCall{Incarnation: s.target.incarnation(), Token: s.target.token, LastSeen: s.target.lastSeen, sent: now}
	switch {
	case !s.lease.clock.known: // the answer supplies the clock
	case !s.target.cleared, s.lease.silent(now):
		c.Wait = clearingWait
	default:
		c.Wait = idleWait
		if len(s.runs) > 0 {
			c.Wait = busyWait
		}
		c.Deadline = s.lease.grant(now, s.Rules.TargetLease)
	}
	return c, true
}

// RenewalAnswered handles the result of a renewal; lists is nil unless it was accepted.
func (s *Supervisor) RenewalAnswered(now time.Duration, c RenewCall, reply Reply, lists *RunLists) {
	defer s.flush(now)
	if !c.Incarnation.is(s.target.incarnation()) {
		return
	}
	s.lease.noteReply(now, reply)
	s.lease.failedRenewals++
	switch reply.Outcome {
	case NoAnswer:
		s.recordTimeout(now)
	case Accepted:
		s.lease.failedRenewals = 0
		if s.restartedSince(lists) {
			s.targetRestarted(now, "renewal")
			break
		}
		s.dropCandidate(c.sent)
		s.lapsed = nil // the target was silent but has not crashed
		s.applyLists(now, c, lists)
	case RejectedToken:
		s.renewToken(now)
	case WrongIncarnation:
		s.wrongIncarnation(now, "renewal")
	}
	if s.lease.failedRenewals == 1 {
		s.logRenewalFailed(reply)
	}
	s.reserveRoom(now)
}

// NeedsSecondRenewal reports whether a second renewal should be in progress in parallel, so that
// one lost reply does not delay the reports of ends. It is false while there are no runs. With 6% of
// all calls late, 0.899 was earned without second renewals and repeated starts (StartRetry), 0.975
// with them.
func (s *Supervisor) NeedsSecondRenewal(now time.Duration) bool {
	return s.lease.losingReplies(now) && len(s.runs) > 0
}

// RenewalBackoff returns the shortest time from the last renewal to the next; zero if the
// last one was accepted.
func (s *Supervisor) RenewalBackoff() time.Duration {
	return s.lease.retryInterval()
}

// applyLists applies the target's lists: first the ends, then the active runs, then the
// absence of runs from both.
func (s *Supervisor) applyLists(now time.Duration, c RenewCall, l *RunLists) {
	s.lease.previousListedAt = s.lease.listedAt
	s.lease.listedAt = max(s.lease.listedAt, c.sent)
	for _, e := range l.Ended {
		s.applyEnded(now, e)
	}
	present := make(map[string]int, len(l.Running))
	for _, row := range l.Running {
		present[row.Name] = row.Run
		s.applyRunning(now, row)
	}
	if len(l.Ended) < maxListedEnds {
		s.dropAbsent(now, c, present)
	}
	if !s.target.cleared {
		s.checkCleared(now, c, l)
	}
}

// applyEnded applies one listed end, unless that was done before: the target lists an end
// until a renewal acknowledges it.
func (s *Supervisor) applyEnded(now time.Duration, e ListedEnd) {
	if e.N <= s.target.lastSeen {
		return
	}
	s.target.lastSeen = e.N
	r := s.runs[e.Name]
	if r == nil || r.order.Run != e.Run {
		return
	}
	if e.End == task.EndNone {
		s.logUnknownEnd(r)
	}
	r.started = true
	reason := code.RunListed
	if r.stopping {
		reason = r.reason
	}
	s.finish(now, r, e.End, reason)
}

// applyRunning applies one listed run: an unanswered start has taken effect. Runs that this
// agent did not order are stopped.
func (s *Supervisor) applyRunning(now time.Duration, row ListedRun) {
	r := s.runs[row.Name]
	if r == nil || r.order.Run != row.Run {
		if !s.Rules.StopUnknownRuns {
			return
		}
		s.Stop(StopCall{
			Incarnation: s.target.incarnation(), Name: row.Name, Ref: task.Ref{Run: row.Run}, Token: s.target.token,
		})
		return
	}
	r.beforeRestart = false
	if !r.started {
		r.started = true
		r.startedAt = now
		r.markCannotStart(now)
	}
}

// dropAbsent ends the runs that are in neither list, if the lists were requested after
// those runs could no longer start.
func (s *Supervisor) dropAbsent(now time.Duration, c RenewCall, present map[string]int) {
	for _, r := range s.sortedRuns() {
		if present[r.name] == r.order.Run || !r.cannotStart || r.cannotStartSince > c.sent {
			continue
		}
		s.finishAbsent(now, r)
	}
}

// finishAbsent ends a run that is certain not to exist on the target.
func (s *Supervisor) finishAbsent(now time.Duration, r *run) {
	switch {
	case !r.started:
		s.finish(now, r, task.EndRejected, code.RunAbsent)
	case r.beforeRestart:
		s.finish(now, r, task.EndLost, s.target.lossReason(r))
	default:
		s.finish(now, r, task.EndLost, code.RunAbsent)
	}
}
