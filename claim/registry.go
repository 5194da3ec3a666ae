package claim

import (
	"log/slog"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/event"
)

const (
	// AnswerTime is how long an answer is remembered. Callers come back 1.3 s after a
	// broken connection, and copies of a request arrive seconds after its answer (the
	// platform's pages). Not measured.
	AnswerTime = 10 * time.Second
	// maxRecords bounds what a home remembers; beyond it the oldest answers go first. A
	// record takes about 200 bytes. Not measured.
	maxRecords = 8192
	// interestTime is how long an entry that is told of another one's interest may be
	// silent before it counts as lost: some ten round trips, and three ticks. Not measured.
	interestTime = 100 * time.Millisecond
	// comeBackMargin is how much sooner than asked a caller may come back: the way of the
	// refusal to it is shorter than that to a home. Not measured.
	comeBackMargin = 50 * time.Millisecond
	// lapseMargin is how long after the end of its time a claim counts as over: the stop
	// (50 ms) and late timers, as at the target's lease (package supervisor).
	lapseMargin = 200 * time.Millisecond
)

// Holder is one life of an entry.
type Holder struct {
	Name string
	// Boot differs between the lives of an entry; zero where it is not known.
	Boot uint64
}

// ConnID names one connection of an entry.
type ConnID = uint64

// record is what a home knows of one job: which entry has it or, once it was answered, how.
type record struct {
	job     string
	holder  Holder
	conn    ConnID        // of the holder; zero where it is lost
	lapseAt time.Duration // when the claim's own time is over; zero: not known
	// clearAt is when no run of a lost holder can be at work any more; zero while it is
	// connected.
	clearAt time.Duration
	// askedAt is when the holder was told that another entry waits, zero when it has
	// been heard from since.
	askedAt time.Duration
	// released says that the holder has given the job up without an answer; its runs may
	// go on until it says that they have ended. ran says that a run of it may have begun.
	released, ran bool
	losses        int // of a task, over all submissions so far
	waiting       []waiter

	answer     Reply // remembered, where its state is Answered
	answeredAt time.Duration
	// over says that nobody has the job, but it may have run; since answeredAt.
	over bool
}

// waiter is an entry that wants a job which another one has.
type waiter struct {
	holder Holder
	conn   ConnID
	lasts  time.Duration
	begun  bool // tasks of the job have been started there
}

// Registry is what one home knows of jobs. It is a state machine without goroutines, clock or
// sockets, called under one lock with the time.
type Registry struct {
	// Reply sends a reply to an entry, Tell an interest.
	Reply func(ConnID, Reply)
	Tell  func(ConnID, Interest)
	// HeardAt returns when the last frame came on a connection.
	HeardAt func(ConnID) time.Duration
	// ClearTime is how long after the end of an entry's connection a run of it may be at
	// work.
	ClearTime time.Duration
	// Log receives one line for each job that another entry joins or takes over.
	Log *slog.Logger

	records  map[string]*record
	held     []*record // not answered, in the order of their claims
	answered []*record // in the order of their answers
	stats    Stats
}

// Stats counts what a home has done.
type Stats struct {
	// Claims were granted at once, Joined found another entry or the answer, TakenOver
	// were granted after another entry had given the job up or was lost, Forgotten answers
	// had no room.
	Claims, Joined, TakenOver, Forgotten uint64
	// Records is how many jobs are known now.
	Records int
}

// NewRegistry returns a registry that knows no job.
func NewRegistry(clearTime time.Duration, log *slog.Logger) *Registry {
	return &Registry{ClearTime: clearTime, Log: log, records: make(map[string]*record)}
}

// Stats returns the counts.
func (g *Registry) Stats() Stats {
	s := g.stats
	s.Records = len(g.records)
	return s
}

// Claim handles a claim of an entry.
func (g *Registry) Claim(now time.Duration, from Holder, conn ConnID, c Claim) {
	r := g.records[c.Job]
	ran, losses := false, 0
	if r != nil && (r.over || r.mayComeBack(now)) {
		ran, losses = r.ran, r.losses
		delete(g.records, c.Job)
		r = nil
	}
	if c.Cancel {
		g.cancel(now, conn, c.Job, r)
		return
	}
	w := waiter{holder: from, conn: conn, lasts: c.Lasts, begun: c.Begun}
	switch {
	case r == nil:
		r = g.add(c.Job)
		r.ran, r.losses = ran, losses
		g.held = append(g.held, r)
		g.stats.Claims++
		g.grant(now, r, w)
	case r.answer.State == Answered:
		g.stats.Joined++
		g.Reply(conn, r.answerAt(now))
	case r.holder == from:
		g.removeWaiter(r, from)
		g.grant(now, r, w)
		g.tellInterest(now, r)
	case g.free(now, r):
		g.takeOver(now, r, w)
	default:
		g.join(now, r, w)
	}
}

// add returns a new record, for which the oldest answer is forgotten where too much is known.
func (g *Registry) add(job string) *record {
	for len(g.records) >= maxRecords && len(g.answered) > 0 {
		g.forgetOldest()
		g.stats.Forgotten++
	}
	r := &record{job: job}
	g.records[job] = r
	return r
}

// forgetOldest forgets the answer that was given first.
func (g *Registry) forgetOldest() {
	oldest := g.answered[0]
	g.answered = g.answered[1:]
	if g.records[oldest.job] == oldest {
		delete(g.records, oldest.job)
	}
}

// mayComeBack reports whether the job was refused and its caller was asked to come back by now.
func (r *record) mayComeBack(now time.Duration) bool {
	return r.answer.Outcome == Refused && now-r.answeredAt >= r.answer.Retry-comeBackMargin
}

// answerAt returns the answer with the time that is left until the caller should come back.
func (r *record) answerAt(now time.Duration) Reply {
	a := r.answer
	if a.Retry > 0 {
		a.Retry = max(time.Millisecond, a.Retry-(now-r.answeredAt))
	}
	return a
}

// grant gives the job to an entry.
func (g *Registry) grant(now time.Duration, r *record, w waiter) {
	r.holder, r.conn = w.holder, w.conn
	r.clearAt, r.askedAt, r.released = 0, 0, false
	r.lapseAt = 0
	if w.lasts > 0 {
		r.lapseAt = now + w.lasts + lapseMargin
	}
	g.Reply(w.conn, Reply{Job: r.job, State: Granted, Ran: r.ran, Losses: r.losses})
}

// takeOver gives the job of an entry that is lost, or has given it up, to another one.
func (g *Registry) takeOver(now time.Duration, r *record, w waiter) {
	g.stats.TakenOver++
	r.ran = r.ran || !r.released
	g.Log.Info(event.ClaimTakenOver, "job", r.job, "from", r.holder.Name, "by", w.holder.Name, "released", r.released)
	g.removeWaiter(r, w.holder)
	g.grant(now, r, w)
	g.tellInterest(now, r)
}

// join has an entry wait for a job that another one has.
func (g *Registry) join(now time.Duration, r *record, w waiter) {
	g.stats.Joined++
	g.Log.Info(event.ClaimHeld, "job", r.job, "held_by", r.holder.Name, "by", w.holder.Name)
	g.removeWaiter(r, w.holder)
	r.waiting = append(r.waiting, w)
	g.Reply(w.conn, Reply{Job: r.job, State: Held})
	g.tellInterest(now, r)
}

// tellInterest tells the holder of a job that others wait for it, if any do.
func (g *Registry) tellInterest(now time.Duration, r *record) {
	if len(r.waiting) == 0 || r.conn == 0 {
		return
	}
	if r.askedAt == 0 {
		r.askedAt = now
	}
	begun := slices.ContainsFunc(r.waiting, func(w waiter) bool { return w.begun })
	g.Tell(r.conn, Interest{Job: r.job, Waits: true, Begun: begun})
}

// free reports whether nobody has the job and no run of it can be at work.
func (g *Registry) free(now time.Duration, r *record) bool {
	switch {
	case r.lapseAt > 0 && now >= r.lapseAt:
		return true
	case r.clearAt > 0 && now >= r.clearAt:
		return true
	}
	return false
}

// cancel passes a caller's cancellation on to the entry that has the job, and remembers it.
func (g *Registry) cancel(now time.Duration, conn ConnID, job string, r *record) {
	switch {
	case r == nil || g.free(now, r) && r.answer.State != Answered:
		g.Reply(conn, Reply{Job: job, State: Unknown})
		return
	case r.answer.State == Answered:
		g.Reply(conn, r.answer)
		return
	}
	if r.conn != 0 {
		g.Tell(r.conn, Interest{Job: job, Cancel: true})
	}
	g.Reply(conn, Reply{Job: job, State: Cancelling})
	g.answerWith(now, r, Settlement{Job: job, Outcome: Cancelled, Why: code.JobCancelled})
}

// Settle handles what an entry says of a job that it has or waits for. An answer stands
// also where the job was taken over or forgotten meanwhile: who has it now is told.
func (g *Registry) Settle(now time.Duration, from Holder, s Settlement) {
	r := g.records[s.Job]
	if s.Outcome.remembered() {
		if r == nil {
			r = g.add(s.Job)
		}
		if r.holder != from && r.conn != 0 && r.answer.State != Answered {
			g.Reply(r.conn, s.reply())
		}
		g.answerWith(now, r, s)
		return
	}
	switch {
	case r == nil || r.answer.State == Answered:
		return
	case r.holder != from:
		g.stopWaiting(r, from)
		return
	case s.Outcome == GivenUp:
		g.replyWaiting(r, s.reply())
	}
	r.released = true
	r.ran = r.ran || s.Ran
	r.losses = max(r.losses, s.Losses)
	if s.Clear {
		g.clear(now, r)
	}
}

// replyWaiting gives an answer to all entries that wait for a job.
func (g *Registry) replyWaiting(r *record, answer Reply) {
	for _, w := range r.waiting {
		g.Reply(w.conn, answer)
	}
	r.waiting = nil
}

// stopWaiting removes an entry that does not wait any more.
func (g *Registry) stopWaiting(r *record, from Holder) {
	if g.removeWaiter(r, from) {
		g.tellUnwanted(r)
	}
}

// tellUnwanted tells the holder of a job that nobody else waits for it, if so.
func (g *Registry) tellUnwanted(r *record) {
	if len(r.waiting) == 0 && r.conn != 0 {
		r.askedAt = 0
		g.Tell(r.conn, Interest{Job: r.job})
	}
}

// reply returns the answer that a settlement holds.
func (s Settlement) reply() Reply {
	return Reply{Job: s.Job, State: Answered, Outcome: s.Outcome, Why: s.Why, Retry: s.Retry}
}

// answerWith remembers an answer and gives it to all who wait. The first answer stays.
func (g *Registry) answerWith(now time.Duration, r *record, s Settlement) {
	if r.answer.State == Answered {
		return
	}
	r.answer = s.reply()
	r.answeredAt = now
	g.replyWaiting(r, r.answer)
	g.answered = append(g.answered, r)
}

// clear records that no run of a job that was not answered is left: the next entry that
// waits gets it, or it is forgotten.
func (g *Registry) clear(now time.Duration, r *record) {
	switch {
	case len(r.waiting) > 0:
		g.takeOver(now, r, r.waiting[0])
	case r.ran:
		r.over = true
		r.answeredAt = now
		g.answered = append(g.answered, r)
	default:
		delete(g.records, r.job)
	}
}

// Lost records the end of a connection. What its entry has may be at work for ClearTime; an
// entry that connects again claims it again.
func (g *Registry) Lost(now time.Duration, conn ConnID) {
	for _, r := range g.held {
		if r.conn == conn {
			r.conn, r.askedAt = 0, 0
			r.clearAt = now + g.ClearTime
		}
		waited := len(r.waiting)
		r.waiting = slices.DeleteFunc(r.waiting, func(w waiter) bool { return w.conn == conn })
		if waited > 0 {
			g.tellUnwanted(r)
		}
	}
}

// Tick acts on what has run out of time: claims that lapse, entries that are lost, answers
// that are remembered no longer.
func (g *Registry) Tick(now time.Duration) {
	g.held = slices.DeleteFunc(g.held, func(r *record) bool {
		return g.records[r.job] != r || r.answer.State == Answered || r.over
	})
	for _, r := range g.held {
		g.checkHolder(r, now)
		if g.free(now, r) {
			r.ran = true // its entry may be lost
			g.clear(now, r)
		}
	}
	for len(g.answered) > 0 && now-g.answered[0].answeredAt >= AnswerTime {
		g.forgetOldest()
	}
}

// checkHolder takes an entry for lost that was told of another one's interest and has been
// silent since.
func (g *Registry) checkHolder(r *record, now time.Duration) {
	switch {
	case r.askedAt == 0:
	case g.HeardAt(r.conn) > r.askedAt:
		r.askedAt = 0
	case now-r.askedAt >= interestTime:
		g.Log.Info(event.ClaimHolderSilent, "job", r.job, "entry", r.holder.Name)
		r.clearAt = r.askedAt + g.ClearTime
		r.askedAt, r.conn = 0, 0
	}
}

// removeWaiter removes an entry from those that wait and reports whether it did.
func (g *Registry) removeWaiter(r *record, h Holder) bool {
	before := len(r.waiting)
	r.waiting = slices.DeleteFunc(r.waiting, func(w waiter) bool { return w.holder == h })
	return len(r.waiting) < before
}
