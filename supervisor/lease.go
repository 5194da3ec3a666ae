package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/backoff"
	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

const (
	// TargetLease is how long the target runs on without a renewal.
	// docs/design/platform.md has the sum of the leases.
	TargetLease = 800 * time.Millisecond
	// idleWait is how long the target may hold back the answer to a renewal until
	// a run ends, while nothing runs, and busyWait while something does: an answer
	// that is lost hides all ends until the next. Shorter ones were part of the
	// round that raised the trackers' trouble-1 from 0.644 to 0.894
	// (docs/measurements/platform.md); not measured alone.
	idleWait = 250 * time.Millisecond
	busyWait = 30 * time.Millisecond
	// clearingWait is that wait while the target holds runs of an earlier agent or
	// is silent. Double: no difference.
	clearingWait = 20 * time.Millisecond
	// silenceLimit is how long a target may leave calls unanswered before it gets
	// no more work and its lease is left to expire: one renewal and its timeout.
	// Half and double: no difference.
	silenceLimit = idleWait + 120*time.Millisecond
	// lapseMargin is how long after its lease a run may still take to end: the
	// stop (50 ms) and late timers.
	lapseMargin = 70 * time.Millisecond
	// losingRepliesTime is how long after a call was not answered, while others
	// were, the target's replies are taken to get lost. Half and double: no difference.
	losingRepliesTime = 3 * time.Second
	// renewalRetry is how long after a failed renewal was sent the next is due; it
	// doubles with each further one up to renewalRetryMax, since every try may
	// cost a new connection. Half and double: no difference.
	renewalRetry    = 20 * time.Millisecond
	renewalRetryMax = 160 * time.Millisecond
)

// lease is what the target was promised, and what is known of its answers. Times
// are on the agent's clock but where it says otherwise.
type lease struct {
	clock clock
	// maxDeadline is the latest deadline that the target was ever given, on its
	// own clock: until then it may work on.
	maxDeadline time.Duration
	// lastReplyAt is when the target last answered a call.
	lastReplyAt time.Duration
	// listedAt is when the lists that were last applied were asked for: what ended
	// since is not known. listedBefore is that of the lists before: a run whose
	// end is in the last lists was at work then.
	listedAt, listedBefore time.Duration
	// failedRenewals counts the renewals in a row that were not accepted.
	failedRenewals int
	// losingRepliesUntil is until when the target's replies are taken to get lost.
	losingRepliesUntil time.Duration
}

// begin prepares for a new incarnation, which has just sent its heartbeat.
func (l *lease) begin(now time.Duration) {
	l.lastReplyAt = now
	l.failedRenewals = 0
	l.losingRepliesUntil = 0
}

// end forgets what the incarnation was promised, and its clock.
func (l *lease) end() {
	l.clock = clock{}
	l.maxDeadline = 0
}

// grant returns a deadline that the target may work until, on its own clock.
func (l *lease) grant(now, length time.Duration) time.Duration {
	deadline := l.clock.atLeast(now) + length
	l.maxDeadline = max(l.maxDeadline, deadline)
	return deadline
}

// silent reports whether the target has not answered for too long.
func (l *lease) silent(now time.Duration) bool {
	return now-l.lastReplyAt > silenceLimit
}

// expired reports whether the last deadline that the target was given has passed
// for certain, so that it has stopped all of its runs.
func (l *lease) expired(now time.Duration) bool {
	return l.clock.atLeast(now) >= l.maxDeadline+lapseMargin
}

// recordReply notes the target's reply to a call, and its clock.
func (l *lease) recordReply(now time.Duration, reply Reply) {
	if reply.Outcome != NoAnswer {
		l.lastReplyAt = now
	}
	if reply.HasClock {
		l.clock.update(reply.Clock, now)
	}
}

// recordTimeout marks the target as losing replies, unless it has stopped replying
// altogether. It reports whether it was not marked before.
func (l *lease) recordTimeout(now time.Duration) bool {
	if l.silent(now) {
		return false
	}
	before := l.losingReplies(now)
	l.losingRepliesUntil = now + losingRepliesTime
	return !before
}

// losingReplies reports whether the target is marked as losing replies.
func (l *lease) losingReplies(now time.Duration) bool {
	return now < l.losingRepliesUntil
}

// retryInterval returns how long after the last renewal was sent the next is due, zero
// where that one was accepted.
func (l *lease) retryInterval() time.Duration {
	if l.failedRenewals == 0 {
		return 0
	}
	return backoff.Interval(renewalRetry, renewalRetryMax, l.failedRenewals-1)
}

// recordReply notes a reply to a call that was meant for an incarnation, if that
// one is still up.
func (s *Supervisor) recordReply(now time.Duration, i Incarnation, reply Reply) {
	if i.is(s.target.incarnation()) {
		s.lease.recordReply(now, reply)
	}
}

// recordTimeout notes a call that was not answered.
func (s *Supervisor) recordTimeout(now time.Duration) {
	if s.lease.recordTimeout(now) {
		s.logLosingReplies()
	}
}

// dropLapsed ends all runs of a silent target once its lease has expired.
func (s *Supervisor) dropLapsed(now time.Duration) {
	if len(s.runs) == 0 || !s.lease.silent(now) || !s.lease.expired(now) {
		return
	}
	for _, r := range s.sortedRuns() {
		if r.reborn {
			continue // the lease of the new life is not known
		}
		s.recordLapsed(r)
		s.finish(now, r, task.EndLapsed, code.RunTargetSilent)
	}
}
