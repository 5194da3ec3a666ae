package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// maxListedEnds is how many ends the target lists at once. A full list may
// not be whole. The platform's pages set it.
const maxListedEnds = 500

// NextRenewal returns the next call that renews the target's lease and asks what
// runs and what has ended; false where no target is known. A silent target is asked
// without a renewal, so that its lease expires for certain.
func (s *Supervisor) NextRenewal(now time.Duration) (RenewCall, bool) {
	if s.target.report == nil {
		return RenewCall{}, false
	}
	c := RenewCall{Incarnation: s.target.incarnation(), Token: s.target.token, LastSeen: s.target.lastSeen, sent: now}
	switch {
	case !s.lease.clock.known: // the answer tells it
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

// RenewalAnswered handles the answer to a renewal; lists is nil unless it was
// accepted.
func (s *Supervisor) RenewalAnswered(now time.Duration, c RenewCall, reply Reply, lists *RunLists) {
	defer s.flush(now)
	if !c.Incarnation.is(s.target.incarnation()) {
		return
	}
	s.lease.recordReply(now, reply)
	s.lease.failedRenewals++
	switch reply.Outcome {
	case NoAnswer:
		s.recordTimeout(now)
	case Accepted:
		s.lease.failedRenewals = 0
		if s.rebornSince(lists) {
			s.reborn(now, "renewal")
			break
		}
		s.dropCandidate(c.sent)
		s.lapsed = nil // it was silent and has not crashed
		s.applyLists(now, c, lists)
	case RefusedToken:
		s.renewToken(now)
	case WrongIncarnation:
		s.wrongIncarnation(now, "renewal")
	}
	if s.lease.failedRenewals == 1 {
		s.logRenewalFailed(reply)
	}
	s.reserveRoom(now)
}

// LosingReplies reports whether a second renewal should be kept under way beside
// the first, so that a lost reply hides no ends. Measured with 6% of all calls
// late: 0.899 earned without it, 0.975 with it and starts repeated after 20 ms
// (docs/measurements/policy-platform.md).
func (s *Supervisor) LosingReplies(now time.Duration) bool {
	return s.lease.losingReplies(now) && len(s.runs) > 0
}

// RenewalBackoff returns how long after the last renewal was sent the next is due
// at the earliest, zero where that one was accepted.
func (s *Supervisor) RenewalBackoff() time.Duration {
	return s.lease.retryInterval()
}

// applyLists applies the target's lists: first the ends, then what runs, then what
// is in neither.
func (s *Supervisor) applyLists(now time.Duration, c RenewCall, l *RunLists) {
	s.lease.listedBefore = s.lease.listedAt
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
		s.awaitCleared(now, c, l)
	}
}

// applyEnded applies one listed end. Each is listed until a renewal names it as
// seen.
func (s *Supervisor) applyEnded(now time.Duration, e EndedRow) {
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
	r.answered = true
	reason := code.RunListed
	if r.stopping {
		reason = r.reason
	}
	s.finish(now, r, e.End, reason)
}

// applyRunning applies one listed run: a start that was not answered has taken
// effect all the same. What this agent did not order is stopped.
func (s *Supervisor) applyRunning(now time.Duration, row RunningRow) {
	r := s.runs[row.Name]
	if r == nil || r.order.Run != row.Run {
		if !s.Rules.StopUnknown {
			return
		}
		s.Stop(StopCall{Incarnation: s.target.incarnation(), Name: row.Name, Ref: task.Ref{Run: row.Run}, Token: s.target.token})
		return
	}
	r.reborn = false
	if !r.answered {
		r.answered = true
		r.began = now
		r.markCannotBegin(now)
	}
}

// dropAbsent ends the runs that are in neither list, if the lists were asked for
// after those runs could not begin any more.
func (s *Supervisor) dropAbsent(now time.Duration, c RenewCall, present map[string]int) {
	for _, r := range s.sortedRuns() {
		if present[r.name] == r.order.Run || !r.cannotBegin || r.cannotBeginSince > c.sent {
			continue
		}
		end := task.EndRejected
		if r.answered {
			end = task.EndLost
		}
		s.finish(now, r, end, code.RunAbsent)
	}
}
