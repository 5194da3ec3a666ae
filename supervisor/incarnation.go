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
		s.newLife(now, r)
	}
	if !s.report.Draining && r.Draining {
		s.Log.Info(event.WorkerDraining, "worker", r.ID)
	}
	if r.HasClock && !s.clock.known {
		s.clock.told(r.Clock, now)
	}
	r.Draining = r.Draining || s.report.Draining
	s.report = &r
	s.reportAt = now
	if p := r.profile(); s.profile == nil || !s.profile.Equal(p) {
		s.profile = &p
	}
	s.changed()
}

// newLife begins anew with a worker that runs nothing of ours.
func (s *Supervisor) newLife(now time.Duration, r Report) {
	s.Log.Info(event.WorkerLife, "worker", r.ID, "before", s.life(), "runs", len(s.runs))
	s.endLife(now)
	s.report = &r
	s.answeredAt = now
	s.holdFaults = 0
	s.shakyUntil = 0
}

// endLife ends all that the worker's present life ran.
func (s *Supervisor) endLife(now time.Duration) {
	for _, r := range s.sortedRuns() {
		s.finish(now, r, task.EndLost, code.RunWorkerGone)
	}
	s.report = nil
	s.empty = false
	s.token = 0
	s.lastSeen = 0
	s.clock = clock{}
	s.promised = 0
	s.health = newHealth()
	s.changed()
}

// Deregister takes a worker's word that it ends now.
func (s *Supervisor) Deregister(now time.Duration, id string) {
	defer s.flush(now)
	if s.life() == id {
		s.Log.Info(event.WorkerDeregistered, "worker", id, "runs", len(s.runs))
		s.report.Draining = true
		s.changed()
	}
}

// Leave makes the agent take no new work, because it stops itself.
func (s *Supervisor) Leave(now time.Duration) {
	defer s.flush(now)
	s.leaving = true
	s.changed()
}

// life returns the id of the worker's life, empty where none is known.
func (s *Supervisor) life() string {
	if s.report == nil {
		return ""
	}
	return s.report.ID
}

// taking reports whether the worker may be given work.
func (s *Supervisor) taking(now time.Duration) bool {
	return s.report != nil && s.empty && !s.report.Draining && !s.leaving && now-s.reportAt < staleReport && !s.silent(now)
}
