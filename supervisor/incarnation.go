package supervisor

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// keptEnded is how many incarnations that are over an agent remembers: a heartbeat may be
// held up for seconds, in which a target hardly restarts so often. Not measured.
const keptEnded = 8

// maxHeartbeatAge is how long after its last heartbeat a target gets no more work.
// Targets send one each 1.5 s, so that two may be lost. Their room may have shrunk since: the
// platform's pages allow 4.5 s until that must hold. 3 s and 12 s: no difference.
const maxHeartbeatAge = 4 * time.Second

// target is the incarnation of the target that is up.
type target struct {
	report   *Report       // the newest, nil while no incarnation is known
	reportAt time.Duration // when it came
	profile  *peer.Profile // of the newest report; another pointer when it changes
	// cleared says that no run of an earlier agent is left on the incarnation.
	cleared bool
	// token is this agent's fencing token, zero before it has one.
	token uint64
	// lastSeen is the number of the last end that was taken from the lists.
	lastSeen uint64
	// candidate is a report of another incarnation, nil where there is none: either a new
	// one is up, or a heartbeat of an earlier one was held up. The next answer to a call
	// tells. candidateAt is when it came.
	candidate   *Report
	candidateAt time.Duration
	// rebornID is the id under which the target has restarted, while runs of the life before
	// are left whose end is not certain; else empty.
	rebornID string
	// ended are the last incarnations that are known to be over.
	ended []Incarnation
}

// id returns the id of the incarnation, empty where none is known.
func (t *target) id() string {
	if t.report == nil {
		return ""
	}
	return t.report.ID
}

// incarnation returns the incarnation that is up, the zero one where none is known.
func (t *target) incarnation() Incarnation {
	if t.report == nil {
		return Incarnation{}
	}
	return t.report.incarnation()
}

// accepting reports whether the target may be given work: it is known, reports
// itself, answers, is not draining, holds no run of an earlier agent, its data hall is not
// evacuated, and its agent does not stop.
func (s *Supervisor) accepting(now time.Duration) bool {
	t := &s.target
	return t.report != nil && t.cleared && !t.report.Draining && !s.leaving && !s.evacuated() &&
		now-t.reportAt < maxHeartbeatAge && !s.lease.silent(now)
}

// Heartbeat handles a target's report of itself. Reports that were overtaken by a later
// one are ignored, and so are those of incarnations that are over. While an incarnation is
// known, one that is new here waits until that one is shown to be over.
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
		return // no target changes it: another writer's
	case r.Seq < t.report.Seq && now-t.reportAt < maxHeartbeatAge:
		return // after that a number which nobody can reach must not shut the target out
	}
	if !t.report.Draining && r.Draining {
		s.logDraining(r.ID)
	}
	if r.HasClock && !s.lease.clock.known {
		s.lease.clock.update(r.Clock, now)
	}
	if before := s.warmth.coldness(now); r.Cold > 0 && before == 0 {
		s.logCold(r)
	}
	s.warmth.report(now, r.Cold)
	r.Draining = r.Draining || t.report.Draining
	t.report = &r
	t.reportAt = now
	if p := r.profile(); t.profile == nil || !t.profile.Equal(p) {
		t.profile = &p
	}
	s.markChanged()
	s.checkEvacuation(now)
}

// beginIncarnation starts over with an incarnation that is new here.
func (s *Supervisor) beginIncarnation(now time.Duration, r Report) {
	s.logIncarnation(r.ID)
	if s.target.rebornID != r.ID {
		s.endIncarnation(now)
	}
	s.target.report = &r
	s.lease.begin(now)
}

// checkCandidate begins the incarnation that has reported itself beside the present one,
// where that one leaves its calls unanswered and has surely stopped all of its runs.
func (s *Supervisor) checkCandidate(now time.Duration) {
	if s.target.candidate == nil || !s.lease.silent(now) || !s.lease.expired(now) {
		return
	}
	if s.target.candidate.ID == s.target.id() {
		s.reborn(now, "heartbeat")
		return
	}
	s.endIncarnation(now)
	s.beginCandidate(now)
}

// beginCandidate begins the incarnation whose report was waiting, if any.
func (s *Supervisor) beginCandidate(now time.Duration) {
	if r := s.target.candidate; r != nil {
		s.target.candidate = nil
		s.Heartbeat(now, *r)
	}
}

// dropCandidate forgets a report of another incarnation that came before a call was sent
// which the present one has answered: it was held up on its way.
func (s *Supervisor) dropCandidate(sent time.Duration) {
	if t := &s.target; t.candidate != nil && t.candidateAt <= sent {
		s.logHeartbeatHeldUp(t.candidate.ID)
		t.candidate = nil
	}
}

// endIncarnation ends the present incarnation and with it all of its runs.
func (s *Supervisor) endIncarnation(now time.Duration) {
	s.tellCrashed()
	for _, r := range s.sortedRuns() {
		s.finish(now, r, task.EndLost, s.target.endOf(r))
	}
	s.target.rebornID = ""
	s.forgetIncarnation(now)
}

// forgetIncarnation forgets all that held for the present incarnation.
func (s *Supervisor) forgetIncarnation(now time.Duration) {
	s.target.report = nil
	s.target.cleared = false
	s.target.token = 0
	s.target.lastSeen = 0
	s.lease.end()
	s.health = newHealth()
	s.warmth.report(now, 0) // what was learned of cold targets stays
	s.markChanged()
}

// wrongIncarnation ends the present incarnation because another one answered a
// call that was meant for it.
func (s *Supervisor) wrongIncarnation(now time.Duration, call string) {
	s.logIncarnationOver(call)
	t := &s.target
	t.recordEnded()
	s.endIncarnation(now)
	s.beginCandidate(now)
}

// recordEnded remembers that the present incarnation is over.
func (t *target) recordEnded() {
	t.ended = append(t.ended, t.incarnation())
	t.ended = t.ended[max(0, len(t.ended)-keptEnded):]
}

// Deregister handles the target's notice that it is shutting down.
func (s *Supervisor) Deregister(now time.Duration, id string) {
	defer s.flush(now)
	if s.target.id() == id {
		s.logDeregistered()
		s.target.report.Draining = true
		s.markChanged()
	}
}

// awaitCleared makes the target cleared once a list that was asked for under this
// agent's own fencing token is empty: orders of an earlier agent are refused from
// then on, and none of its runs is left.
func (s *Supervisor) awaitCleared(now time.Duration, c RenewCall, l *RunLists) {
	if s.target.token == 0 && s.Rules.FencingTokens {
		s.renewToken(now)
		return
	}
	if s.Rules.AwaitCleared && (c.Token != s.target.token || len(l.Running) > 0) {
		return
	}
	s.endReborn(now)
	s.target.cleared = true
	s.logServing()
	s.markChanged()
}

// renewToken takes a fencing token that is higher than any given before: the
// target's own clock rises over restarts of the agent, and no token outlives the
// incarnation.
func (s *Supervisor) renewToken(now time.Duration) {
	reading := uint64(max(0, s.lease.clock.atLeast(now)).Milliseconds()) + 1
	s.target.token = max(s.target.token+1, reading)
}
