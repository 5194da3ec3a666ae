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

// phase is the state of a task at the entry that owns its job.
type phase uint8

const (
	waiting phase = iota
	sent
	done
)

type task struct {
	phase  phase
	agent  roster.ID
	output []byte
}

// record is the state of a job at the entry that owns it. It is kept until the
// job's expiry plus Config.Skew.
type record struct {
	key          string // service and id
	id           string
	sub          job.Submission
	digest       uint64
	expiry       int64 // Unix milliseconds
	state        seats.State
	tasks        []task
	waitingTasks []int // indices of waiting tasks, the next one last
	unfinished   int
	knownStarted bool // a task is known to have been started
	answer       seats.Answer
	outputBytes  int // total output size of the tasks that are done
	answerBytes  int
	waiters      []waiter
	acceptedAt   time.Duration
}

// newRecord returns the record of a job with all tasks waiting, in descending
// order of their expected time.
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
		acceptedAt: now,
	}
	for k := range r.tasks {
		r.waitingTasks = append(r.waitingTasks, len(r.tasks)-1-k)
	}
	expected := func(k int) int64 { return sub.Job.Tasks[r.waitingTasks[k]].ExpectedMS }
	sort.SliceStable(r.waitingTasks, func(a, b int) bool { return expected(a) < expected(b) })
	return r
}

// nextTask removes the next waiting task and returns its index.
func (r *record) nextTask() int {
	k := r.waitingTasks[len(r.waitingTasks)-1]
	r.waitingTasks = r.waitingTasks[:len(r.waitingTasks)-1]
	return k
}

// requeue puts a task back in front of the waiting tasks.
func (r *record) requeue(k int) {
	r.tasks[k] = task{}
	r.waitingTasks = append(r.waitingTasks, k)
}

// ran reports whether a task of the job was started, as far as is known.
func (r *record) ran() seats.Ran {
	if r.knownStarted {
		return seats.RanYes
	}
	for _, t := range r.tasks {
		if t.phase != waiting {
			return seats.RanMaybe
		}
	}
	return seats.RanNo
}

// complete returns the answer with the outputs of all tasks.
func (r *record) complete() seats.Answer {
	results := make([]seats.Result, len(r.tasks))
	for k, t := range r.tasks {
		results[k] = seats.Result{ID: r.sub.Job.Tasks[k].ID, Output: t.output}
		r.answerBytes += len(t.output) + len(results[k].ID)
	}
	return seats.Answer{ID: r.id, State: seats.Complete, Results: results}
}

// finish ends a job and delivers its answer to all waiters. The record of a job
// without started tasks is removed, so that it can be submitted again. An
// unconfirmed entry never answers RanNo, since another entry may have taken the
// job over.
func (h *Home) finish(r *record, a seats.Answer) {
	if a.Ran == seats.RanNo && !h.Standing(h.now) && !h.rules.SkipLastWord {
		a.Ran = seats.RanMaybe
	}
	r.state = a.State
	r.answer = a
	h.release(r)
	h.countAnswer(a)
	for _, w := range r.waiters {
		h.deliver(w, a)
	}
	r.waiters = nil
	if a.Ran == seats.RanNo && a.State != seats.Complete {
		delete(h.records, r.key)
		return
	}
	h.storeAnswer(r)
}

// release frees the job's queue entry and quota.
func (h *Home) release(r *record) {
	if s := h.services[r.sub.Service]; s != nil {
		s.queue.Put(r.key, r.sub.Job.Organisation, 0, r.acceptedAt)
	}
	h.organisation(r.sub.Job.Organisation).inFlight -= len(r.tasks)
	r.sub.Job.Tasks = nil
	r.tasks = nil
	r.waitingTasks = nil
}

// storeAnswer keeps an answer and drops the oldest ones beyond
// Config.AnswerBytes.
func (h *Home) storeAnswer(r *record) {
	h.answered = append(h.answered, r)
	h.answeredBytes += r.answerBytes
	for h.answeredBytes > h.cfg.AnswerBytes && len(h.answered) > 0 {
		h.dropAnswer(h.answered[0])
		h.answered = h.answered[1:]
	}
}

// dropAnswer replaces a complete answer by one that states that the job ran.
func (h *Home) dropAnswer(r *record) {
	h.answeredBytes -= r.answerBytes
	r.answerBytes = 0
	if r.answer.State == seats.Complete {
		r.answer = failed(r.id, code.AnswerDropped, seats.RanYes, "the job ran; its answer is no longer held")
	}
}

// fail finishes a job with a failure.
func (h *Home) fail(r *record, c code.Code, text string) {
	h.finish(r, failed(r.id, c, r.ran(), text))
}

// deliver passes an answer to a waiter here or at another seat.
func (h *Home) deliver(w waiter, a seats.Answer) {
	if w.seat == h.cfg.Self {
		h.effects.Answers = append(h.effects.Answers, Answered{Ticket: w.ticket, Answer: a})
		return
	}
	if l := h.peer(w.seat); l != nil {
		h.send(l, wire.Reply{Ticket: w.ticket, Answer: a})
	}
}

func (h *Home) countAnswer(a seats.Answer) {
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
