package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/backoff"
	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

const (
	// TargetLease is how long the target keeps its runs without a renewal. For how the
	// leases add up, see docs/design/platform.md.
	TargetLease = 800 * time.Millisecond
	// idleWait and busyWait limit how long the target may delay the answer to a renewal,
	// while no run is active and while some are. busyWait is short because a lost answer
	// delays all reports of ends until the next.
	idleWait = 250 * time.Millisecond
	busyWait = 30 * time.Millisecond
	// clearingWait limits the delay while the target is silent, or may have runs of an
	// earlier agent.
	clearingWait = 20 * time.Millisecond
	// silenceLimit is the time without an answer after which a target counts as silent: it
	// receives no more work, and its lease is not renewed. It covers one renewal and its timeout.
	silenceLimit = idleWait + 120*time.Millisecond
	// leaseMargin is the time that a run may take to stop after the end of the lease, including
	// delayed timers.
	leaseMargin = 70 * time.Millisecond
	// lossyDuration is how long the target is assumed to be losing replies after an
	// unanswered call.
	lossyDuration = 3 * time.Second
	// renewalRetry is the interval between a failed renewal and the next; it doubles with
	// each further failure up to renewalRetryMax, since every try may need a new
	// connection.
	renewalRetry    = 20 * time.Millisecond
	renewalRetryMax = 160 * time.Millisecond
)

// lease is the state of the target's lease and of the answers it depends on. Times are on
// the agent's clock unless stated otherwise.
type lease struct {
	clock clock
	// maxDeadline is the latest deadline granted to the target, on its own clock; until
	// then it may keep working.
	maxDeadline time.Duration
	// lastReplyAt is when the target last answered a call.
	lastReplyAt time.Duration
	// listedAt is when the last applied lists were requested; later ends are unknown.
	// previousListedAt is the same for the lists before them: a run that was first listed as
	// ended in the last lists was still active at previousListedAt.
	listedAt, previousListedAt time.Duration
	// failedRenewals is the number of consecutive renewals that were not accepted.
	failedRenewals int
	// lossyUntil is the end of the time in which the target is assumed to be losing replies.
	lossyUntil time.Duration
}

// begin resets the state for an incarnation that becomes the current one at now.
func (l *lease) begin(now time.Duration) {
	l.lastReplyAt = now
	l.failedRenewals = 0
	l.lossyUntil = 0
}

// end discards the deadlines and the clock of the incarnation.
func (l *lease) end() {
	l.clock = clock{}
	l.maxDeadline = 0
}

// grant returns a new deadline for the target, on the target's clock.
func (l *lease) grant(now, length time.Duration) time.Duration {
	deadline := l.clock.atLeast(now) + length
	l.maxDeadline = max(l.maxDeadline, deadline)
	return deadline
}

// silent reports whether the target has answered no call for longer than silenceLimit. A new
// incarnation counts as answering when it becomes the current one.
func (l *lease) silent(now time.Duration) bool {
	return now-l.lastReplyAt > silenceLimit
}

// expired reports whether the last deadline granted to the target has certainly passed, so
// that it has stopped all of its runs.
func (l *lease) expired(now time.Duration) bool {
	return l.clock.atLeast(now) >= l.maxDeadline+leaseMargin
}

// noteReply records the time and the clock reading of a reply.
func (l *lease) noteReply(now time.Duration, reply Reply) {
	if reply.Outcome != NoAnswer {
		l.lastReplyAt = now
	}
	if reply.HasClock {
		l.clock.update(reply.Clock, now)
	}
}

// markLossy marks the target as losing replies, unless it is silent altogether. It reports
// whether the mark is new.
func (l *lease) markLossy(now time.Duration) bool {
	if l.silent(now) {
		return false
	}
	before := l.losingReplies(now)
	l.lossyUntil = now + lossyDuration
	return !before
}

// losingReplies reports whether the target is marked as losing replies.
func (l *lease) losingReplies(now time.Duration) bool {
	return now < l.lossyUntil
}

// retryInterval returns the interval between the last renewal and the next; zero if the
// last one was accepted.
func (l *lease) retryInterval() time.Duration {
	if l.failedRenewals == 0 {
		return 0
	}
	return backoff.Interval(renewalRetry, renewalRetryMax, l.failedRenewals-1)
}

// recordReply records a reply to a call addressed to incarnation i, if i is current.
func (s *Supervisor) recordReply(now time.Duration, i Incarnation, reply Reply) {
	if i.is(s.target.incarnation()) {
		s.lease.noteReply(now, reply)
	}
}

// recordTimeout handles a call that the target left unanswered: it marks the target as losing
// replies and logs a new mark.
func (s *Supervisor) recordTimeout(now time.Duration) {
	if s.lease.markLossy(now) {
		s.logLosingReplies()
	}
}

// endLapsedRuns ends the runs of a silent target after its lease has expired, except those
// ordered before a restart under the same id.
func (s *Supervisor) endLapsedRuns(now time.Duration) {
	if len(s.runs) == 0 || !s.lease.silent(now) || !s.lease.expired(now) {
		return
	}
	for _, r := range s.sortedRuns() {
		if r.beforeRestart {
			continue // the lease of the restarted process is unknown
		}
		s.recordLapsed(r)
		s.finish(now, r, task.EndLapsed, code.RunTargetSilent)
	}
}
