package supervisor

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// maxEndedIncarnations is the number of ended incarnations that are remembered. A heartbeat
// may be delayed for seconds; a target does not restart this often in that time.
const maxEndedIncarnations = 8

// maxHeartbeatAge is the age at which the last heartbeat is too old for new work on the target.
// Targets send one each 1.5 s, so that two may be lost. Their room may have shrunk since: a smaller
// room must be respected within 4.5 s.
const maxHeartbeatAge = 4 * time.Second

// target is the current incarnation of the target.
type target struct {
	report   *Report       // latest report; nil while no incarnation is known
	reportAt time.Duration // when report was applied; a candidate's report is applied after its arrival
	profile  *peer.Profile // from the latest report; replaced, not modified, on a change
	// cleared is set once no run of an earlier agent is left on the incarnation.
	cleared bool
	// token is this agent's fencing token; zero until it has one.
	token uint64
	// lastSeen is the sequence number of the last end taken from the lists.
	lastSeen uint64
	// candidate is a report of another incarnation that arrived at candidateAt, or nil.
	// Either a new incarnation has started, or the heartbeat of an earlier one was delayed;
	// the next answer to a call decides.
	candidate   *Report
	candidateAt time.Duration
	// restartedID is the id under which the target has restarted, while runs of the
	// previous process have not certainly ended; otherwise empty.
	restartedID string
	// deregistered is set if report is draining only because of a deregistration, which may be a
	// delayed one of an earlier process with the same id.
	deregistered bool
	// ended holds the latest incarnations known to be over.
	ended []Incarnation
}

// id returns the id of the current incarnation, or an empty string.
func (t *target) id() string {
	if t.report == nil {
		return ""
	}
	return t.report.ID
}

// incarnation returns the current incarnation, or the zero value.
func (t *target) incarnation() Incarnation {
	if t.report == nil {
		return Incarnation{}
	}
	return t.report.incarnation()
}

// accepting reports whether the target may be given work: it is known, sends heartbeats,
// answers calls, is not draining and has no run of an earlier agent; its data hall is not
// evacuated, and its agent is not shutting down.
func (s *Supervisor) accepting(now time.Duration) bool {
	t := &s.target
	return t.report != nil && t.cleared && !t.report.Draining && !s.shuttingDown && !s.evacuated() &&
		now-t.reportAt < maxHeartbeatAge && !s.lease.silent(now)
}

// Heartbeat handles a report of a target. It rejects reports that arrive out of order or
// come from an incarnation that is over. While an incarnation is current, the report of a
// new one waits until the current one is shown to be over.
func (s *Supervisor) Heartbeat(now time.Duration, r Report) {
	defer s.flush(now)
	t := &s.target
	switch {
	case slices.Contains(t.ended, r.incarnation()):
		return
	case t.report == nil:
		s.beginIncarnation(now, r)
	case !t.incarnation().is(r.incarnation()):
		t.candidate = &r
		t.candidateAt = now
		return
	case r.Service != t.report.Service:
		return // a target does not change its service: sent by another process
	case r.Seq < t.report.Seq && now-t.reportAt < maxHeartbeatAge:
		// Out of order. Once the latest report has reached maxHeartbeatAge, any report replaces
		// it: its sequence number may come from another process and be higher than the target
		// ever reaches.
		return
	}
	if !t.report.Draining && r.Draining {
		s.logDraining(r.ID)
	}
	if r.HasClock && !s.lease.clock.known {
		s.lease.clock.update(r.Clock, now)
	}
	if before := s.warmup.coldFraction(now); r.WarmupLeft > 0 && before == 0 {
		s.logCold(r)
	}
	s.warmup.update(now, r.WarmupLeft)
	if t.deregistered && !r.Draining {
		t.report.Draining = false // a target sends no heartbeat after its deregistration
	}
	t.deregistered = false
	r.Draining = r.Draining || t.report.Draining // an incarnation that drains continues to do so
	t.report = &r
	t.reportAt = now
	if p := r.profile(); t.profile == nil || !t.profile.Equal(p) {
		t.profile = &p
	}
	s.markChanged()
	s.checkEvacuation(now)
}

// beginIncarnation resets the state for a new incarnation.
func (s *Supervisor) beginIncarnation(now time.Duration, r Report) {
	s.logIncarnation(r.ID)
	if s.target.restartedID != r.ID {
		s.endIncarnation(now)
	}
	s.target.report = &r
	s.lease.begin(now)
}

// checkCandidate replaces the current incarnation by the candidate if the current one does
// not answer and its lease has certainly expired.
func (s *Supervisor) checkCandidate(now time.Duration) {
	if s.target.candidate == nil || !s.lease.silent(now) || !s.lease.expired(now) {
		return
	}
	if s.target.candidate.ID == s.target.id() {
		s.targetRestarted(now, "heartbeat")
		return
	}
	s.endIncarnation(now)
	s.beginCandidate(now)
}

// beginCandidate makes the candidate, if any, the current incarnation.
func (s *Supervisor) beginCandidate(now time.Duration) {
	if r := s.target.candidate; r != nil {
		s.target.candidate = nil
		s.Heartbeat(now, *r)
	}
}

// dropCandidate discards a candidate whose report arrived before the sending of a call that
// the current incarnation has answered: the report was delayed.
func (s *Supervisor) dropCandidate(sent time.Duration) {
	if t := &s.target; t.candidate != nil && t.candidateAt <= sent {
		s.logHeartbeatHeldUp(t.candidate.ID)
		t.candidate = nil
	}
}

// endIncarnation ends the current incarnation and all of its runs.
func (s *Supervisor) endIncarnation(now time.Duration) {
	s.reportCrashed()
	for _, r := range s.sortedRuns() {
		s.finish(now, r, task.EndLost, s.target.lossReason(r))
	}
	s.target.restartedID = ""
	s.resetIncarnation(now)
}

// resetIncarnation discards all state of the current incarnation.
func (s *Supervisor) resetIncarnation(now time.Duration) {
	s.target.report = nil
	s.target.deregistered = false
	s.target.cleared = false
	s.target.token = 0
	s.target.lastSeen = 0
	s.lease.end()
	s.health = newHealth()
	s.warmup.update(now, 0) // the learned cold slowdown is kept
	s.markChanged()
}

// wrongIncarnation ends the current incarnation because another one answered a call addressed
// to it, and begins the candidate, if any. seenBy is the kind of that call.
func (s *Supervisor) wrongIncarnation(now time.Duration, seenBy string) {
	s.logIncarnationOver(seenBy)
	t := &s.target
	t.recordEnded()
	s.endIncarnation(now)
	s.beginCandidate(now)
}

// recordEnded adds the current incarnation to those that are over.
func (t *target) recordEnded() {
	t.ended = append(t.ended, t.incarnation())
	t.ended = t.ended[max(0, len(t.ended)-maxEndedIncarnations):]
}

// Deregister handles the target's announcement that it is shutting down.
func (s *Supervisor) Deregister(now time.Duration, id string) {
	defer s.flush(now)
	if s.target.id() == id {
		s.logDeregistered()
		s.target.deregistered = !s.target.report.Draining
		s.target.report.Draining = true
		s.markChanged()
	}
}

// checkCleared marks the target as cleared once a list requested under this agent's own
// fencing token is empty: from then on the target rejects calls of earlier agents, and none
// of their runs is left. Without a token it first chooses one.
func (s *Supervisor) checkCleared(now time.Duration, c RenewCall, l *RunLists) {
	if s.target.token == 0 && s.Rules.FencingTokens {
		s.renewToken(now)
		return
	}
	if s.Rules.AwaitCleared && (c.Token != s.target.token || len(l.Running) > 0) {
		return
	}
	s.endRunsBeforeRestart(now)
	s.target.cleared = true
	s.logServing()
	s.markChanged()
}

// renewToken chooses a fencing token higher than any that this agent has used for the
// incarnation. It is derived from the target's clock, which continues across restarts of the
// agent, so that it also exceeds the tokens of earlier agents. The token is discarded with
// the incarnation, except after a restart under the same id (targetRestarted).
func (s *Supervisor) renewToken(now time.Duration) {
	reading := uint64(max(0, s.lease.clock.atLeast(now)).Milliseconds()) + 1
	s.target.token = max(s.target.token+1, reading)
}
