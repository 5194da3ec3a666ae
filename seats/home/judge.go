package home

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/job"
)

// Bounds of the times to come back that refusals give.
const (
	shortestRetry = 50 * time.Millisecond
	longestRetry  = 30 * time.Second
)

// refusal is why a job is not accepted.
type refusal struct {
	code  code.Code
	text  string
	retry time.Duration
}

// judge accepts or refuses a job that is not known here, speaking as its
// home: confirmed, and with all that can be known of its share.
func (h *Home) judge(w waiter, sub job.Submission) {
	key, id := sub.Key(), sub.Job.ID
	if in := h.take.inherited[key]; in != nil {
		h.rebuild(w, sub, in)
		return
	}
	if h.take.inDoubt(key, sub.Expiry()) && !h.rules.SkipDoubt {
		h.refuse(w, id, seats.RanMaybe, refusal{code.OwnerLost,
			"an entry and an agent that may know of the job were lost together", h.take.doubtLeft(h.now)})
		return
	}
	if r, ok := h.admit(sub); !ok {
		h.refuse(w, id, h.ranOf(sub, r.code), r)
		return
	}
	r := newRecord(sub, h.expiryOf(sub), h.now.Mono)
	h.keep(w, r)
}

// ranOf tells whether a job that is refused may have run: of one so old that
// its record would have been forgotten nothing is known.
func (h *Home) ranOf(sub job.Submission, c code.Code) seats.Ran {
	if c == code.ExpiryPast && h.now.Wall.UnixMilli() >= sub.Expiry() {
		return seats.RanMaybe
	}
	return seats.RanNo
}

func (h *Home) refuse(w waiter, id string, ran seats.Ran, r refusal) {
	h.stats.Refused++
	h.tell(w, refused(id, r.code, ran, r.text, r.retry))
}

// keep makes r known and starts its tasks as places are free.
func (h *Home) keep(w waiter, r *record) {
	r.waiters = append(r.waiters, w)
	h.records[r.key] = r
	h.expireAt(r, r.expiry)
	h.organisation(r.sub.Job.Organisation).inFlight += len(r.tasks)
	h.enqueue(r)
	h.pump(r.sub.Service)
}

// expiryOf returns when the job's records may be forgotten, less the skew.
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
	m := h.config.FindOrganisation(sub.Job.Organisation)
	if m == nil {
		return refusal{code.UnknownOrganisation, "there is no member " + sub.Job.Organisation, 0}, false
	}
	bounds := s.Bounds.WithDefaults()
	if r, ok := h.admitExpiry(sub, bounds); !ok {
		return r, false
	}
	if len(sub.Job.Tasks) > bounds.LargestJob {
		return refusal{code.TooManyTasks, "the job is larger than the service allows", 0}, false
	}
	return h.admitLoad(sub, bounds, m)
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

func (h *Home) admitLoad(sub job.Submission, bounds config.Bounds, m *config.Organisation) (refusal, bool) {
	s := h.service(sub.Service)
	n := len(sub.Job.Tasks)
	queued := s.queue.Tasks()
	if !s.anyOpen(h) {
		return refusal{code.NoTarget, "no target of the service takes work now", h.cfg.Heartbeat * 2}, false
	}
	if h.leaving && len(h.view.Seats) == 1 {
		return refusal{code.EntryStopping, "this entry is stopping", h.cfg.Heartbeat}, false
	}
	if queued+n > bounds.Queue && queued > 0 {
		return refusal{code.QueueFull, "the service's queue is full here", s.drain.turnFor(h.now.Mono, n)}, false
	}
	if 2*queued < bounds.Queue {
		s.drain.roomAgain()
	}
	left := h.left(sub.Deadline)
	s.countSlots()
	if wait := s.drain.drainTime(queued + n); wait > left {
		return refusal{code.CannotMeetExpiry, "the queue is longer than the job's expiry allows", s.drain.turnFor(h.now.Mono, n)}, false
	}
	return h.admitQuota(m, n, &s.drain)
}

// left returns how long it is until the calendar reads ms.
func (h *Home) left(ms int64) time.Duration {
	return time.Duration(ms-h.now.Wall.UnixMilli()) * time.Millisecond
}

// rebuild takes up a job whose former home is gone, from the agents' records:
// tasks that were started are awaited, the others are started now.
func (h *Home) rebuild(w waiter, sub job.Submission, in *inherited) {
	id := sub.Job.ID
	if in.digest != sub.Digest {
		h.refuse(w, id, seats.RanMaybe, refusal{code.Conflict, "another job with this id is known", 0})
		return
	}
	h.stats.Takeovers++
	r := newRecord(sub, in.expiry, h.now.Mono)
	r.began = true
	r.order = r.order[:0]
	for k := len(r.tasks) - 1; k >= 0; k-- {
		if agent, ok := in.tasks[k]; ok {
			r.tasks[k] = task{phase: sent, agent: agent}
			continue
		}
		r.order = append(r.order, k)
	}
	if len(r.order) > 0 && h.take.inDoubt(sub.Key(), sub.Expiry()) && !h.rules.SkipDoubt {
		h.refuse(w, id, seats.RanYes, refusal{code.OwnerLost,
			"an entry and an agent that may know of the job were lost together", 0})
		return
	}
	h.keep(w, r)
	h.awaitAll(r)
}

// awaitAll asks the agents for the results of tasks that others started.
func (h *Home) awaitAll(r *record) {
	for k := range r.tasks {
		if r.state != seats.Running {
			return
		}
		if r.tasks[k].phase != sent {
			continue
		}
		l := h.links[r.tasks[k].agent]
		if l == nil {
			h.loseTask(r, k)
			continue
		}
		h.await(l, r, k)
	}
}
