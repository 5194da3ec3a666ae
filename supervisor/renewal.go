package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/task"
)

// maxEnds is how many ends the worker lists at once; with so many the list may
// not be whole.
const maxEnds = 500

// emptyingWait is how often the worker is asked while it still has runs of an
// earlier agent.
const emptyingWait = 20 * time.Millisecond

// After a hold that the worker did not answer well, the next is sent holdRetry
// later, and each further one after twice the time, up to holdRetryMax: every try
// may cost a new connection.
const (
	holdRetry    = 20 * time.Millisecond
	holdRetryMax = 160 * time.Millisecond
)

// shakyTime is how long after a call was left unanswered, while others were not,
// a worker's answers are taken to get lost.
const shakyTime = 3 * time.Second

// silence is how long a worker may leave calls unanswered before it gets no
// more work and its lease is left to run out.
const silence = holdWait + 120*time.Millisecond

// lapseTime is how long after its deadline a run may still take to end.
const lapseTime = 70 * time.Millisecond

// NextHold returns the next call that renews the lease, if there is a worker.
func (s *Supervisor) NextHold(now time.Duration) (HoldCall, bool) {
	if s.report == nil {
		return HoldCall{}, false
	}
	c := HoldCall{Life: s.life(), Token: s.token, LastSeen: s.lastSeen, sent: now}
	switch {
	case !s.clock.known:
	case !s.empty:
		c.Wait = emptyingWait
	case s.silent(now):
		c.Wait = emptyingWait // no renewal: what runs there is to lapse for sure
	default:
		c.Wait = holdWait
		if len(s.runs) > 0 {
			c.Wait = busyWait
		}
		c.Deadline = s.clock.least(now) + s.Rules.WorkerLease
		s.promised = max(s.promised, c.Deadline)
	}
	return c, true
}

// HoldAnswered takes the answer to a hold; a is nil unless it was accepted.
func (s *Supervisor) HoldAnswered(now time.Duration, c HoldCall, reply Reply, a *HoldAnswer) {
	defer s.flush(now)
	if c.Life != s.life() {
		return
	}
	s.takeClock(now, c.Life, reply)
	s.holdFaults++
	switch reply.Outcome {
	case NoAnswer:
		s.unanswered(now)
	case Accepted:
		s.holdFaults = 0
		s.listed(now, c, a)
	case RefusedFence:
		s.renewToken(now)
	case OtherLife:
		s.Log.Info(event.WorkerLifeOver, "worker", c.Life, "seen_by", "hold")
		s.endLife(now)
	}
	s.deal(now)
}

// unanswered takes note of a call that the worker left without an answer. One
// that answers none at all is silent; of one that answers others, the answer of
// the next hold may get lost as well, and with it for a while the word of what
// has ended.
func (s *Supervisor) unanswered(now time.Duration) {
	if !s.silent(now) {
		s.shakyUntil = now + shakyTime
	}
}

// Shaky reports whether a second hold should be kept under way beside the first,
// so that a lost answer hides no ends.
func (s *Supervisor) Shaky(now time.Duration) bool {
	return now < s.shakyUntil && len(s.runs) > 0
}

// HoldPause returns how long after the last hold was sent the next is due at the
// earliest, zero where that one was answered well.
func (s *Supervisor) HoldPause() time.Duration {
	if s.holdFaults == 0 {
		return 0
	}
	return min(holdRetry<<min(s.holdFaults-1, maxDoublings), holdRetryMax)
}

// maxDoublings bounds how often holdRetry is doubled.
const maxDoublings = 8

// silent reports whether the worker has not answered for too long.
func (s *Supervisor) silent(now time.Duration) bool {
	return now-s.answeredAt > silence
}

// dropLapsed ends all runs of a silent worker once the last deadline that it
// was ever given has surely passed.
func (s *Supervisor) dropLapsed(now time.Duration) {
	if len(s.runs) == 0 || !s.silent(now) || s.clock.least(now) < s.promised+lapseTime {
		return
	}
	for _, r := range s.sortedRuns() {
		s.finish(now, r, task.EndLapsed, code.RunWorkerSilent)
	}
}

// listed takes the worker's lists.
func (s *Supervisor) listed(now time.Duration, c HoldCall, a *HoldAnswer) {
	s.listedBefore = s.listedAt
	s.listedAt = max(s.listedAt, c.sent)
	for _, e := range a.Ended {
		s.takeEnd(now, e)
	}
	present := make(map[string]int, len(a.Running))
	for _, row := range a.Running {
		present[row.Name] = row.Run
		s.takeRunning(now, row)
	}
	if len(a.Ended) < maxEnds {
		s.dropAbsent(now, c, present)
	}
	if !s.empty {
		s.emptying(now, c, a)
	}
}

// takeEnd takes note of one end.
func (s *Supervisor) takeEnd(now time.Duration, e EndedRow) {
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

// takeRunning takes note that a run is at work: a start without an answer may
// have been done all the same. What nobody here ordered is stopped.
func (s *Supervisor) takeRunning(now time.Duration, row RunningRow) {
	r := s.runs[row.Name]
	if r == nil || r.order.Run != row.Run {
		s.Stop(StopCall{Life: s.life(), Name: row.Name, Ref: task.Ref{Run: row.Run}, Token: s.token})
		return
	}
	if !r.answered {
		r.answered = true
		r.began = now
		r.settle(now)
	}
}

// dropAbsent ends the runs that a whole list, asked for after they were sure
// not to begin any more, does not hold.
func (s *Supervisor) dropAbsent(now time.Duration, c HoldCall, present map[string]int) {
	for _, r := range s.sortedRuns() {
		if present[r.name] == r.order.Run || !r.settled || r.settledAt > c.sent {
			continue
		}
		end := task.EndRejected
		if r.answered {
			end = task.EndLost
		}
		s.finish(now, r, end, code.RunAbsent)
	}
}

// emptying waits until nothing of an earlier agent is left on the worker.
func (s *Supervisor) emptying(now time.Duration, c HoldCall, a *HoldAnswer) {
	if s.token == 0 && s.Rules.Fences {
		s.renewToken(now)
		return // orders of an earlier agent are fenced off from the next hold on
	}
	if s.Rules.Emptying && (c.Token != s.token || len(a.Running) > 0) {
		return
	}
	s.empty = true
	s.Log.Info(event.WorkerServing, "worker", s.life(), "token", s.token, "cpu", s.report.Capacity.CPU)
	s.changed()
}

// renewToken takes a fencing token that is higher than any given before: the
// worker's own clock rises over restarts of the agent, and no token outlives
// the worker's life.
func (s *Supervisor) renewToken(now time.Duration) {
	reading := uint64(max(0, s.clock.least(now)).Milliseconds()) + 1
	s.token = max(s.token+1, reading)
}

// takeClock takes the worker's clock from an answer of its present life.
func (s *Supervisor) takeClock(now time.Duration, life string, reply Reply) {
	if life != s.life() {
		return
	}
	if reply.Outcome != NoAnswer {
		s.answeredAt = now
	}
	if reply.HasClock {
		s.clock.told(reply.Clock, now)
	}
}
