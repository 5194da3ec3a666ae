package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/task"
)

// maxListedEnds is how many ends the worker lists at once; with so many the list may
// not be whole.
const maxListedEnds = 500

// clearingWait is how often the worker is asked while it still has runs of an
// earlier agent.
const clearingWait = 20 * time.Millisecond

// After a hold that the worker did not answer well, the next is sent holdRetry
// later, and each further one after twice the time, up to holdRetryMax: every try
// may cost a new connection.
const (
	renewalRetry    = 20 * time.Millisecond
	renewalRetryMax = 160 * time.Millisecond
)

// losingRepliesTime is how long after a call was left unanswered, while others were not,
// a worker's answers are taken to get lost.
const losingRepliesTime = 3 * time.Second

// silenceLimit is how long a worker may leave calls unanswered before it gets no
// more work and its lease is left to run out.
const silenceLimit = idleWait + 120*time.Millisecond

// lapseMargin is how long after its deadline a run may still take to end.
const lapseMargin = 70 * time.Millisecond

// NextRenewal returns the next call that renews the lease, if there is a worker.
func (s *Supervisor) NextRenewal(now time.Duration) (RenewCall, bool) {
	if s.report == nil {
		return RenewCall{}, false
	}
	c := RenewCall{Incarnation: s.incarnation(), Token: s.token, LastSeen: s.lastSeen, sent: now}
	switch {
	case !s.clock.known:
	case !s.cleared:
		c.Wait = clearingWait
	case s.silent(now):
		c.Wait = clearingWait // no renewal: what runs there is to lapse for sure
	default:
		c.Wait = idleWait
		if len(s.runs) > 0 {
			c.Wait = busyWait
		}
		c.Deadline = s.clock.atLeast(now) + s.Rules.TargetLease
		s.maxDeadline = max(s.maxDeadline, c.Deadline)
	}
	return c, true
}

// RenewalAnswered takes the answer to a hold; a is nil unless it was accepted.
func (s *Supervisor) RenewalAnswered(now time.Duration, c RenewCall, reply Reply, a *RunLists) {
	defer s.flush(now)
	if c.Incarnation != s.incarnation() {
		return
	}
	s.recordReply(now, c.Incarnation, reply)
	s.failedRenewals++
	switch reply.Outcome {
	case NoAnswer:
		s.recordTimeout(now)
	case Accepted:
		s.failedRenewals = 0
		s.applyLists(now, c, a)
	case RefusedToken:
		s.renewToken(now)
	case WrongIncarnation:
		s.Log.Info(event.TargetIncarnationOver, "worker", c.Incarnation, "seen_by", "hold")
		s.endIncarnation(now)
	}
	s.reserveRoom(now)
}

// recordTimeout takes note of a call that the worker left without an answer. One
// that answers none at all is silent; of one that answers others, the answer of
// the next hold may get lost as well, and with it for a while the word of what
// has ended.
func (s *Supervisor) recordTimeout(now time.Duration) {
	if !s.silent(now) {
		s.losingRepliesUntil = now + losingRepliesTime
	}
}

// LosingReplies reports whether a second hold should be kept under way beside the first,
// so that a lost answer hides no ends.
func (s *Supervisor) LosingReplies(now time.Duration) bool {
	return now < s.losingRepliesUntil && len(s.runs) > 0
}

// RenewalBackoff returns how long after the last hold was sent the next is due at the
// earliest, zero where that one was answered well.
func (s *Supervisor) RenewalBackoff() time.Duration {
	if s.failedRenewals == 0 {
		return 0
	}
	return min(renewalRetry<<min(s.failedRenewals-1, maxDoublings), renewalRetryMax)
}

// maxDoublings bounds how often holdRetry is doubled.
const maxDoublings = 8

// silent reports whether the worker has not answered for too long.
func (s *Supervisor) silent(now time.Duration) bool {
	return now-s.lastReplyAt > silenceLimit
}

// dropLapsed ends all runs of a silent worker once the last deadline that it
// was ever given has surely passed.
func (s *Supervisor) dropLapsed(now time.Duration) {
	if len(s.runs) == 0 || !s.silent(now) || s.clock.atLeast(now) < s.maxDeadline+lapseMargin {
		return
	}
	for _, r := range s.sortedRuns() {
		s.finish(now, r, task.EndLapsed, code.RunTargetSilent)
	}
}

// applyLists takes the worker's lists.
func (s *Supervisor) applyLists(now time.Duration, c RenewCall, a *RunLists) {
	s.listedBefore = s.listedAt
	s.listedAt = max(s.listedAt, c.sent)
	for _, e := range a.Ended {
		s.applyEnded(now, e)
	}
	present := make(map[string]int, len(a.Running))
	for _, row := range a.Running {
		present[row.Name] = row.Run
		s.applyRunning(now, row)
	}
	if len(a.Ended) < maxListedEnds {
		s.dropAbsent(now, c, present)
	}
	if !s.cleared {
		s.awaitCleared(now, c, a)
	}
}

// applyEnded takes note of one end.
func (s *Supervisor) applyEnded(now time.Duration, e EndedRow) {
	if e.N <= s.lastSeen {
		return
	}
	s.lastSeen = e.N
	r := s.runs[e.Name]
	if r == nil || r.order.Run != e.Run {
		return
	}
	r.answered = true
	reason := code.RunListed
	if r.stopping {
		reason = r.reason
	}
	s.finish(now, r, e.End, reason)
}

// applyRunning takes note that a run is at work: a start without an answer may
// have been done all the same. What nobody here ordered is stopped.
func (s *Supervisor) applyRunning(now time.Duration, row RunningRow) {
	r := s.runs[row.Name]
	if r == nil || r.order.Run != row.Run {
		s.Stop(StopCall{Incarnation: s.incarnation(), Name: row.Name, Ref: task.Ref{Run: row.Run}, Token: s.token})
		return
	}
	if !r.answered {
		r.answered = true
		r.began = now
		r.markCannotBegin(now)
	}
}

// dropAbsent ends the runs that a whole list, asked for after they were sure
// not to begin any more, does not hold.
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

// awaitCleared waits until nothing of an earlier agent is left on the worker.
func (s *Supervisor) awaitCleared(now time.Duration, c RenewCall, a *RunLists) {
	if s.token == 0 && s.Rules.FencingTokens {
		s.renewToken(now)
		return // orders of an earlier agent are fenced off from the next hold on
	}
	if s.Rules.AwaitCleared && (c.Token != s.token || len(a.Running) > 0) {
		return
	}
	s.cleared = true
	s.Log.Info(event.TargetServing, "worker", s.incarnation(), "token", s.token, "cpu", s.report.Capacity.CPU)
	s.markChanged()
}

// renewToken takes a fencing token that is higher than any given before: the
// worker's own clock rises over restarts of the agent, and no token outlives
// the worker's life.
func (s *Supervisor) renewToken(now time.Duration) {
	reading := uint64(max(0, s.clock.atLeast(now)).Milliseconds()) + 1
	s.token = max(s.token+1, reading)
}

// recordReply takes the worker's clock from an answer of its present life.
func (s *Supervisor) recordReply(now time.Duration, life string, reply Reply) {
	if life != s.incarnation() {
		return
	}
	if reply.Outcome != NoAnswer {
		s.lastReplyAt = now
	}
	if reply.HasClock {
		s.clock.update(reply.Clock, now)
	}
}
