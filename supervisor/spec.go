package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// specTime is how long the spec of an order may take to come from another agent: a
// connection and a round trip, after the bytes have come there through a slow link. Its
// room is held meanwhile; afterwards the order is rejected. Half: no difference.
const specTime = 150 * time.Millisecond

// specState says what is known of the spec of an order.
type specState uint8

const (
	specKnown     specState = iota
	specElsewhere           // another agent has it
	specUnknown
)

// completeSpec puts the job's spec into an order that leaves it out, and remembers the one
// of an order that has it.
func (s *Supervisor) completeSpec(c *session, order *task.Order) specState {
	switch {
	case c.level < peer.LevelWatch:
		return specKnown
	case order.SpecAt != "":
		spec, known := s.Spec(order.Task.Job)
		order.Spec = spec
		if !known {
			return specElsewhere
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

// Spec returns the spec of a job, where an entry has sent it here: other agents ask for it.
func (s *Supervisor) Spec(job string) (string, bool) {
	for _, c := range s.ordered {
		if spec, known := c.specs.Find(job); known {
			return spec, true
		}
	}
	return "", false
}

// awaitSpec has the spec of r fetched from the agent that its order names.
func (s *Supervisor) awaitSpec(now time.Duration, r *run) {
	r.awaitsSpecUntil = now + specTime
	s.FetchSpec(r.order.Task.Job, r.order.SpecAt)
}

// SpecFetched handles another agent's answer to FetchSpec, or that there is none: the runs
// that wait for the spec are started, or their orders rejected.
func (s *Supervisor) SpecFetched(now time.Duration, job, spec string, known bool) {
	defer s.flush(now)
	for _, r := range s.sortedRuns() {
		if r.order.Task.Job != job || r.awaitsSpecUntil == 0 {
			continue
		}
		switch {
		case !known:
			s.rejectWaiting(now, r, code.RunSpecUnknown)
		case !s.leased(now, r.session):
			s.rejectWaiting(now, r, code.RunStaleOwner)
		default:
			r.awaitsSpecUntil = 0
			r.order.Spec = spec
			r.began = now
			s.sendStart(now, r)
		}
	}
}

// checkSpec rejects the order of r whose spec has not come in time. It reports whether r
// waits for its spec, or did until now.
func (s *Supervisor) checkSpec(now time.Duration, r *run) bool {
	if r.awaitsSpecUntil == 0 {
		return false
	}
	if now >= r.awaitsSpecUntil && !r.stopping {
		s.rejectWaiting(now, r, code.RunSpecUnknown)
	}
	return true
}

// rejectWaiting ends r, of which no start was sent, since its spec has not come.
func (s *Supervisor) rejectWaiting(now time.Duration, r *run, why code.Code) {
	s.logOrderRejected(now, r.session, r.order, why)
	s.finish(now, r, task.EndRejected, why)
}
