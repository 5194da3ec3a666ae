package home

import (
	"sort"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/job"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// phase is where a task stands at its home.
type phase uint8

const (
	waiting phase = iota
	sent
	done
)

// task is one task of a record.
type task struct {
	phase  phase
	agent  roster.ID
	output []byte
}

// record is a job as its home knows it. It is kept until the job's expiry and
// the allowed skew have passed.
type record struct {
	key        string // names it among the jobs of all services
	id         string
	sub        job.Submission
	digest     uint64
	expiry     int64 // Unix milliseconds
	state      seats.State
	tasks      []task
	order      []int // tasks that wait, the next one last
	unfinished int
	began      bool // a task is known to have been started
	answer     seats.Answer
	outputs    int // bytes, of the tasks that are done
	size       int
	waiters    []waiter
	since      time.Duration
}

// newRecord returns the record of a job with every task waiting, the longest
// expected first.
func newRecord(sub job.Submission, expiry int64, now time.Duration) *record {
	r := &record{
		key:        sub.Key(),
		id:         sub.Job.ID,
		sub:        sub,
		digest:     sub.Digest,
		expiry:     expiry,
		state:      seats.Running,
		tasks:      make([]task, len(sub.Job.Tasks)),
		unfinished: len(sub.Job.Tasks),
		since:      now,
	}
	for k := range r.tasks {
		r.order = append(r.order, len(r.tasks)-1-k)
	}
	expected := func(k int) int64 { return sub.Job.Tasks[r.order[k]].ExpectedMS }
	sort.SliceStable(r.order, func(a, b int) bool { return expected(a) < expected(b) })
	return r
}

// next takes the task that is to be started next.
func (r *record) next() int {
	k := r.order[len(r.order)-1]
	r.order = r.order[:len(r.order)-1]
	return k
}

// again puts a task back in front of those that wait.
func (r *record) again(k int) {
	r.tasks[k] = task{}
	r.order = append(r.order, k)
}

// started reports what is known of the job's starts.
func (r *record) started() seats.Ran {
	if r.began {
		return seats.RanYes
	}
	for _, t := range r.tasks {
		if t.phase != waiting {
			return seats.RanMaybe
		}
	}
	return seats.RanNo
}

// complete makes the whole answer from the tasks' outputs.
func (r *record) complete() seats.Answer {
	results := make([]seats.Result, len(r.tasks))
	for k, t := range r.tasks {
		results[k] = seats.Result{ID: r.sub.Job.Tasks[k].ID, Output: t.output}
		r.size += len(t.output) + len(results[k].ID)
	}
	return seats.Answer{ID: r.id, State: seats.Complete, Results: results}
}

// finish ends a job with its answer and tells everybody who waits. A job of
// which nothing was started is forgotten, so that it may be submitted again. A
// home that is not confirmed can't say so: another may have taken the job up.
func (h *Home) finish(r *record, a seats.Answer) {
	if a.Ran == seats.RanNo && !h.Standing(h.now) && !h.rules.SkipLastWord {
		a.Ran = seats.RanMaybe
	}
	r.state = a.State
	r.answer = a
	h.release(r)
	h.count(a)
	for _, w := range r.waiters {
		h.tell(w, a)
	}
	r.waiters = nil
	if a.Ran == seats.RanNo && a.State != seats.Complete {
		delete(h.records, r.key)
		return
	}
	h.hold(r)
}

// release frees what a job holds of queue and quota.
func (h *Home) release(r *record) {
	if s := h.services[r.sub.Service]; s != nil {
		s.queue.Put(r.key, r.sub.Job.Organisation, 0, r.since)
	}
	h.organisation(r.sub.Job.Organisation).inFlight -= len(r.tasks)
	r.sub.Job.Tasks = nil
	r.tasks = nil
	r.order = nil
}

// hold counts an answer against the bound and drops the oldest beyond it: what
// is left of those says that the job ran.
func (h *Home) hold(r *record) {
	h.held = append(h.held, r)
	h.heldSize += r.size
	for h.heldSize > h.cfg.AnswerBytes && len(h.held) > 0 {
		h.dropAnswer(h.held[0])
		h.held = h.held[1:]
	}
}

func (h *Home) dropAnswer(r *record) {
	h.heldSize -= r.size
	r.size = 0
	if r.answer.State == seats.Complete {
		r.answer = failed(r.id, code.AnswerDropped, seats.RanYes, "the job ran; its answer is no longer held")
	}
}

// fail ends a job with a failure.
func (h *Home) fail(r *record, c code.Code, text string) {
	h.finish(r, failed(r.id, c, r.started(), text))
}

// tell hands an answer to whoever waits for it.
func (h *Home) tell(w waiter, a seats.Answer) {
	if w.seat == h.cfg.Self {
		h.out.Answers = append(h.out.Answers, Answered{Ticket: w.ticket, Answer: a})
		return
	}
	if l := h.peer(w.seat); l != nil {
		h.send(l, wire.Reply{Ticket: w.ticket, Answer: a})
	}
}

func (h *Home) count(a seats.Answer) {
	switch a.State {
	case seats.Complete:
		h.stats.Completed++
	case seats.Refused:
		h.stats.Refused++
	default:
		h.stats.Failed++
	}
}

func failed(id string, c code.Code, ran seats.Ran, text string) seats.Answer {
	return seats.Answer{
		ID: id, State: seats.Failed,
		Code: uint16(c), Name: c.Name(), Message: text, Ran: ran,
	}
}

func refused(id string, c code.Code, ran seats.Ran, text string, retry time.Duration) seats.Answer {
	return seats.Answer{
		ID: id, State: seats.Refused,
		Code: uint16(c), Name: c.Name(), Message: text, Ran: ran,
		RetryAfterMS: retry.Milliseconds(),
	}
}
