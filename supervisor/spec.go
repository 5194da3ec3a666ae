package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// specTimeout bounds the fetch of a spec from another agent. Meanwhile the order keeps its
// resources; if the fetch times out, the order is rejected.
const specTimeout = 150 * time.Millisecond

// specState is the availability of the spec of an order.
type specState uint8

const (
	specKnown  specState = iota
	specRemote           // to be fetched from another agent
	specUnknown
)

// completeSpec fills in the job's spec if the order omits it. Otherwise it stores the spec of
// the order, except from entries below LevelWatch, whose orders always contain the spec. It
// returns the availability of the spec.
func (s *Supervisor) completeSpec(c *session, order *task.Order) specState {
	switch {
	case c.level < peer.LevelWatch:
		return specKnown
	case order.SpecAt != "":
		spec, known := s.Spec(order.Task.Job)
		order.Spec = spec
		if !known {
			return specRemote
		}
		return specKnown
	case order.SpecKept:
		spec, known := c.specs.Find(order.Task.Job)
		order.Spec = spec
		if !known {
			return specUnknown
		}
		return specKnown
	}
	c.specs.Add(order.Task.Job, order.Spec)
	return specKnown
}

// Spec returns the spec of a job if a connected entry has sent it, for an order that omits it
// or for another agent that fetches it.
func (s *Supervisor) Spec(job string) (string, bool) {
	for _, c := range s.sortedSessions {
		if spec, known := c.specs.Find(job); known {
			return spec, true
		}
	}
	return "", false
}

// awaitSpec fetches the spec of r from the agent named in its order.
func (s *Supervisor) awaitSpec(now time.Duration, r *run) {
	r.specDeadline = now + specTimeout
	s.FetchSpec(r.order.Task.Job, r.order.SpecAt)
}

// SpecFetched handles the result of FetchSpec: it starts the runs that wait for the spec. It
// rejects those whose entry's lease has expired, and all of them if the spec was not obtained.
func (s *Supervisor) SpecFetched(now time.Duration, job, spec string, known bool) {
	defer s.flush(now)
	for _, r := range s.sortedRuns() {
		if r.order.Task.Job != job || r.specDeadline == 0 {
			continue
		}
		switch {
		case !known:
			s.rejectUnstarted(now, r, code.RunSpecUnknown)
		case !s.leased(now, r.session):
			s.rejectUnstarted(now, r, code.RunStaleOwner)
		default:
			r.specDeadline = 0
			r.order.Spec = spec
			r.startedAt = now
			s.sendStart(now, r)
		}
	}
}

// checkSpec rejects r if its spec has not arrived in time. It reports whether r was waiting
// for its spec.
func (s *Supervisor) checkSpec(now time.Duration, r *run) bool {
	if r.specDeadline == 0 {
		return false
	}
	if now >= r.specDeadline && !r.stopping {
		s.rejectUnstarted(now, r, code.RunSpecUnknown)
	}
	return true
}

// rejectUnstarted ends r, for which no start was sent, as rejected.
func (s *Supervisor) rejectUnstarted(now time.Duration, r *run, reason code.Code) {
	s.logOrderRejected(now, r.session, r.order, reason)
	s.finish(now, r, task.EndRejected, reason)
}
