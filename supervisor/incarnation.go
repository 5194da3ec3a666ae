package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/task"
)

// Heartbeat takes a worker's report.
func (s *Supervisor) Heartbeat(now time.Duration, r Report) {
	defer s.flush(now)
	if s.report != nil && s.report.ID == r.ID && r.Seq < s.report.Seq {
		return // passed by a later one
	}
	if s.report == nil || s.report.ID != r.ID {
		s.beginIncarnation(now, r)
	}
	if !s.report.Draining && r.Draining {
		s.Log.Info(event.TargetDraining, "worker", r.ID)
	}
	if r.HasClock && !s.clock.known {
		s.clock.update(r.Clock, now)
	}
	r.Draining = r.Draining || s.report.Draining
	s.report = &r
	s.reportAt = now
	if p := r.profile(); s.profile == nil || !s.profile.Equal(p) {
		s.profile = &p
	}
	s.markChanged()
}

// beginIncarnation begins anew with a worker that runs nothing of ours.
func (s *Supervisor) beginIncarnation(now time.Duration, r Report) {
	s.Log.Info(event.TargetIncarnation, "worker", r.ID, "before", s.incarnation(), "runs", len(s.runs))
	s.endIncarnation(now)
	s.report = &r
	s.lastReplyAt = now
	s.failedRenewals = 0
	s.losingRepliesUntil = 0
}

// endIncarnation ends all that the worker's present life ran.
func (s *Supervisor) endIncarnation(now time.Duration) {
	for _, r := range s.sortedRuns() {
		s.finish(now, r, task.EndLost, code.RunTargetGone)
	}
	s.report = nil
	s.cleared = false
	s.token = 0
	s.lastSeen = 0
	s.clock = clock{}
	s.maxDeadline = 0
	s.health = newHealth()
	s.markChanged()
}

// Deregister takes a worker's word that it ends now.
func (s *Supervisor) Deregister(now time.Duration, id string) {
	defer s.flush(now)
	if s.incarnation() == id {
		s.Log.Info(event.TargetDeregistered, "worker", id, "runs", len(s.runs))
		s.report.Draining = true
		s.markChanged()
	}
}

// Leave makes the agent take no new work, because it stops itself.
func (s *Supervisor) Leave(now time.Duration) {
	defer s.flush(now)
	s.leaving = true
	s.markChanged()
}

// incarnation returns the id of the worker's life, empty where none is known.
func (s *Supervisor) incarnation() string {
	if s.report == nil {
		return ""
	}
	return s.report.ID
}

// accepting reports whether the worker may be given work.
func (s *Supervisor) accepting(now time.Duration) bool {
	return s.report != nil && s.cleared && !s.report.Draining && !s.leaving && now-s.reportAt < maxHeartbeatAge && !s.silent(now)
}
