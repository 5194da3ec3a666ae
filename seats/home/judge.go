package home

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/job"
)

// Limits of the retry times in refusals.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// refusal is the reason for which a job is not accepted.
type refusal struct {
	code  code.Code
	text  string
	retry time.Duration
}

// admitNew accepts, recovers or refuses a job without a record here. It requires
// that this entry owns the job, is confirmed, and knows the state of its jobs.
func (h *Home) admitNew(w waiter, sub job.Submission) {
	key, id := sub.Key(), sub.Job.ID
	if in := h.takeover.inherited[key]; in != nil {
		h.recoverJob(w, sub, in)
		return
	}
	if h.takeover.inDoubt(key, sub.Expiry()) && !h.rules.SkipDoubt {
		h.refuse(w, id, seats.RanMaybe, refusal{code.OwnerLost,
			"an entry and an agent that may know of the job were lost together", h.takeover.doubtRemaining(h.now)})
		return
	}
	if r, ok := h.admit(sub); !ok {
		h.refuse(w, id, h.ranWhenRefused(sub, r.code), r)
		return
	}
	r := newRecord(sub, h.expiryOf(sub), h.now.Mono)
	h.accept(w, r)
}

// ranWhenRefused returns whether a refused job may have run. It may if the job
// has expired, since its record could have been removed.
func (h *Home) ranWhenRefused(sub job.Submission, c code.Code) seats.Ran {
	if c == code.ExpiryPast && h.now.Wall.UnixMilli() >= sub.Expiry() {
		return seats.RanMaybe
	}
	return seats.RanNo
}

func (h *Home) refuse(w waiter, id string, ran seats.Ran, r refusal) {
	h.stats.Refused++
	h.deliver(w, refused(id, r.code, ran, r.text, r.retry))
}

// accept adds r and starts its tasks as far as agents have free slots.
func (h *Home) accept(w waiter, r *record) {
	r.waiters = append(r.waiters, w)
	h.records[r.key] = r
	h.expireAt(r, r.expiry)
	h.organisation(r.sub.Job.Organisation).inFlight += len(r.tasks)
	h.enqueue(r)
	h.startWaiting(r.sub.Service)
}

// expiryOf returns the job's expiry, or its deadline if the caller gave none.
func (h *Home) expiryOf(sub job.Submission) int64 {
	if e := sub.Expiry(); e != 0 {
		return e
	}
	return sub.Deadline
}

// admit checks a job against the configuration and the load.
func (h *Home) admit(sub job.Submission) (refusal, bool) {
	s := h.config.FindService(sub.Service)
	if s == nil {
		return refusal{code.UnknownService, "there is no service " + sub.Service, 0}, false
	}
	organisation := h.config.FindOrganisation(sub.Job.Organisation)
	if organisation == nil {
		return refusal{code.UnknownOrganisation, "there is no member " + sub.Job.Organisation, 0}, false
	}
	bounds := s.Bounds.WithDefaults()
	if r, ok := h.admitExpiry(sub, bounds); !ok {
		return r, false
	}
	if len(sub.Job.Tasks) > bounds.LargestJob {
		return refusal{code.TooManyTasks, "the job is larger than the service allows", 0}, false
	}
	return h.admitLoad(sub, bounds, organisation)
}

func (h *Home) admitExpiry(sub job.Submission, bounds config.Bounds) (refusal, bool) {
	left := h.left(sub.Deadline)
	if left <= 0 {
		return refusal{code.ExpiryPast, "the job's expiry has passed", 0}, false
	}
	if left > bounds.LongestExpiry()+h.cfg.Skew {
		return refusal{code.ExpiryTooFar, "the job's expiry is further away than " + bounds.LongestExpiry().String(), 0}, false
	}
	return refusal{}, true
}

func (h *Home) admitLoad(sub job.Submission, bounds config.Bounds, organisation *config.Organisation) (refusal, bool) {
	s := h.service(sub.Service)
	n := len(sub.Job.Tasks)
	queued := s.queue.Tasks()
	if !s.anyAvailable(h) {
		return refusal{code.NoTarget, "no target of the service takes work now", h.cfg.Heartbeat * 2}, false
	}
	if h.leaving && len(h.view.Seats) == 1 {
		return refusal{code.EntryStopping, "this entry is stopping", h.cfg.Heartbeat}, false
	}
	if queued+n > bounds.Queue && queued > 0 {
		return refusal{code.QueueFull, "the service's queue is full here", s.drain.staggeredRetryAfter(h.now.Mono, n)}, false
	}
	if 2*queued < bounds.Queue {
		s.drain.resetStagger()
	}
	left := h.left(sub.Deadline)
	s.countSlots()
	if wait := s.drain.drainTime(queued + n); wait > left {
		return refusal{code.CannotMeetExpiry, "the queue is longer than the job's expiry allows", s.drain.staggeredRetryAfter(h.now.Mono, n)}, false
	}
	return h.admitQuota(organisation, n, &s.drain)
}

// left returns the time until ms, in Unix milliseconds.
func (h *Home) left(ms int64) time.Duration {
	return time.Duration(ms-h.now.Wall.UnixMilli()) * time.Millisecond
}

// recoverJob rebuilds the record of a job whose previous owner is gone. Tasks
// with a record at an agent are awaited, the others are started.
func (h *Home) recoverJob(w waiter, sub job.Submission, in *inherited) {
	id := sub.Job.ID
	if in.digest != sub.Digest {
		h.refuse(w, id, seats.RanMaybe, refusal{code.Conflict, "another job with this id is known", 0})
		return
	}
	h.stats.Takeovers++
	r := newRecord(sub, in.expiry, h.now.Mono)
	r.knownStarted = true
	r.waitingTasks = r.waitingTasks[:0]
	for k := len(r.tasks) - 1; k >= 0; k-- {
		if agent, ok := in.tasks[k]; ok {
			r.tasks[k] = task{phase: sent, agent: agent}
			continue
		}
		r.waitingTasks = append(r.waitingTasks, k)
	}
	if len(r.waitingTasks) > 0 && h.takeover.inDoubt(sub.Key(), sub.Expiry()) && !h.rules.SkipDoubt {
		h.refuse(w, id, seats.RanYes, refusal{code.OwnerLost,
			"an entry and an agent that may know of the job were lost together", 0})
		return
	}
	h.accept(w, r)
	h.awaitStarted(r)
}

// awaitStarted requests the results of tasks that another entry started.
func (h *Home) awaitStarted(r *record) {
	for k := range r.tasks {
		if r.state != seats.Running {
			return
		}
		if r.tasks[k].phase != sent {
			continue
		}
		l := h.links[r.tasks[k].agent]
		if l == nil {
			h.handleLostTask(r, k)
			continue
		}
		h.await(l, r, k)
	}
}
