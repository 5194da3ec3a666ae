package claim

import (
	"log/slog"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/event"
)

const (
	// AnswerRetention is how long an answer is retained, for callers that retry after a broken
	// connection, 1.3 s later, and for copies of a request, which arrive up to seconds after its
	// answer.
	AnswerRetention = 10 * time.Second
	// maxRecords is the number of records of a home beyond which the oldest answers are
	// evicted. A record takes about 200 bytes.
	maxRecords = 8192
	// interestTimeout is how long the holder of a job may stay silent after an Interest
	// before it counts as lost: some ten round trips, and three ticks.
	interestTimeout = 100 * time.Millisecond
	// retryMargin is how much earlier than requested a caller may retry: the delay of the
	// caller begins before the refusal reaches the home.
	retryMargin = 50 * time.Millisecond
	// expiryMargin is the time from the end of a claim's duration to its expiry. It covers the
	// time that runs take to stop, and delayed timers.
	expiryMargin = 200 * time.Millisecond
)

// Holder identifies one process of an entry.
type Holder struct {
	Name string
	// Boot differs between restarts of an entry; zero if unknown.
	Boot uint64
}

// ConnID identifies a connection of an entry.
type ConnID = uint64

// record is the state of one job at a home: its holder or, once answered, its answer.
type record struct {
	job       string
	holder    Holder
	conn      ConnID        // connection of the holder; zero after its loss
	expiresAt time.Duration // when the claim expires; zero if unknown
	// clearAt is when the runs of a lost holder are certain to be over; zero while it is
	// connected.
	clearAt time.Duration
	// interestSentAt is the send time of the first Interest since the holder's last frame;
	// zero if there is none.
	interestSentAt time.Duration
	// released is set when the holder has given up the job without an answer; its runs may
	// continue until it reports that they have ended. mayHaveRun is set if a run of the job
	// may have started.
	released, mayHaveRun bool
	losses               int // as in Reply
	waiting              []waiter

	answer     Reply         // valid if its state is Answered
	retainedAt time.Duration // when the record became answered or unowned
	// unowned is set if the job has neither a holder nor an answer but may have run.
	unowned bool
}

// waiter is an entry that waits for a job held by another.
type waiter struct {
	holder      Holder
	conn        ConnID
	maxDuration time.Duration
	begun       bool // the entry has started tasks of the job
}

// Registry is the state of one home. It is a state machine without goroutines, clock or
// sockets; its methods are called under one lock with the current time.
type Registry struct {
	// Reply and Tell send a reply or an interest on a connection.
	Reply func(ConnID, Reply)
	Tell  func(ConnID, Interest)
	// HeardAt returns when the last frame arrived on a connection.
	HeardAt func(ConnID) time.Duration
	// ClearTime is the longest time for which the runs of an entry may continue after the
	// end of its connection.
	ClearTime time.Duration
	// Log receives a line whenever an entry begins to wait for a job or takes one over, or the
	// holder of a job is found silent.
	Log *slog.Logger

	records map[string]*record
	// held are the claimed records, in the order of their claims. Tick removes those that are
	// answered, unowned or deleted.
	held     []*record
	retained []*record // answered or unowned records, in the order of retainedAt
	stats    Stats
}

// Stats holds the counters of a home.
type Stats struct {
	// Claims counts the claims for which a record is added. Joined counts the claims of a job
	// that another entry holds or that is answered. TakenOver counts the grants of a job whose
	// holder has given it up or was lost, or whose claim has expired. Forgotten counts the
	// retained records evicted for lack of space, including stale ones that had already been
	// replaced or deleted.
	Claims, Joined, TakenOver, Forgotten uint64
	// Records is the current number of records.
	Records int
}

// NewRegistry returns an empty registry.
func NewRegistry(clearTime time.Duration, log *slog.Logger) *Registry {
	return &Registry{ClearTime: clearTime, Log: log, records: make(map[string]*record)}
}

// Stats returns the counters.
func (g *Registry) Stats() Stats {
	s := g.stats
	s.Records = len(g.records)
	return s
}

// Claim handles a claim of an entry, or a cancellation. A claim replaces the record of a job that
// is unowned, or refused and may be retried or has started at the claiming entry; the new record
// keeps whether the job may have run, and its losses.
func (g *Registry) Claim(now time.Duration, from Holder, conn ConnID, c Claim) {
	r := g.records[c.Job]
	if c.Cancel {
		g.cancel(now, conn, c.Job, r)
		return
	}
	mayHaveRun, losses := false, 0
	if r != nil && (r.claimable(now) || c.Begun && r.answer.Outcome == Refused) {
		mayHaveRun, losses = r.mayHaveRun || c.Begun, r.losses
		delete(g.records, c.Job)
		r = nil
	}
	w := waiter{holder: from, conn: conn, maxDuration: c.MaxDuration, begun: c.Begun}
	switch {
	case r == nil:
		r = g.add(c.Job)
		r.mayHaveRun, r.losses = mayHaveRun, losses
		g.held = append(g.held, r)
		g.stats.Claims++
		g.grant(now, r, w)
	case r.answer.State == Answered:
		g.stats.Joined++
		g.Reply(conn, r.answerAt(now))
	case r.holder == from:
		g.removeWaiter(r, from)
		g.grant(now, r, w)
		g.sendInterest(now, r)
	case g.claimExpired(now, r):
		r.mayHaveRun = true // the holder may be lost
		g.takeOver(now, r, w)
	default:
		g.enqueue(now, r, w)
	}
}

// add returns a new record. While the registry is full it evicts the oldest retained ones.
func (g *Registry) add(job string) *record {
	for len(g.records) >= maxRecords && len(g.retained) > 0 {
		g.evictOldest()
		g.stats.Forgotten++
	}
	r := &record{job: job}
	g.records[job] = r
	return r
}

// evictOldest evicts the oldest retained record, unless its job has a new record by now.
func (g *Registry) evictOldest() {
	oldest := g.retained[0]
	g.retained = g.retained[1:]
	if g.records[oldest.job] == oldest {
		delete(g.records, oldest.job)
	}
}

// claimable reports whether the job has neither a holder nor an answer that is still valid.
func (r *record) claimable(now time.Duration) bool {
	return r.unowned || r.retryAllowed(now)
}

// retryAllowed reports whether the job was refused and its caller may retry at now.
func (r *record) retryAllowed(now time.Duration) bool {
	return r.answer.Outcome == Refused && now-r.retainedAt >= r.answer.Retry-retryMargin
}

// answerAt returns the answer with the remaining retry delay.
func (r *record) answerAt(now time.Duration) Reply {
	a := r.answer
	if a.Retry > 0 {
		a.Retry = max(time.Millisecond, a.Retry-(now-r.retainedAt))
	}
	return a
}

// grant makes an entry the holder of the job.
func (g *Registry) grant(now time.Duration, r *record, w waiter) {
	r.holder, r.conn = w.holder, w.conn
	r.clearAt, r.interestSentAt, r.released = 0, 0, false
	r.expiresAt = 0
	if w.maxDuration > 0 {
		r.expiresAt = now + w.maxDuration + expiryMargin
	}
	g.Reply(w.conn, Reply{Job: r.job, State: Granted, Ran: r.mayHaveRun, Losses: r.losses})
}

// takeOver transfers the job to another entry after its claim has expired, or its holder was
// lost or gave it up.
func (g *Registry) takeOver(now time.Duration, r *record, w waiter) {
	g.stats.TakenOver++
	g.Log.Info(event.ClaimTakenOver, "job", r.job, "from", r.holder.Name, "by", w.holder.Name, "released", r.released)
	g.removeWaiter(r, w.holder)
	g.grant(now, r, w)
	g.sendInterest(now, r)
}

// enqueue adds an entry to those that wait for a job held by another.
func (g *Registry) enqueue(now time.Duration, r *record, w waiter) {
	g.stats.Joined++
	g.Log.Info(event.ClaimHeld, "job", r.job, "held_by", r.holder.Name, "by", w.holder.Name)
	g.removeWaiter(r, w.holder)
	r.waiting = append(r.waiting, w)
	g.Reply(w.conn, Reply{Job: r.job, State: Held})
	g.sendInterest(now, r)
}

// sendInterest informs the holder of a job that others are waiting for it, if any are.
func (g *Registry) sendInterest(now time.Duration, r *record) {
	if len(r.waiting) == 0 || r.conn == 0 {
		return
	}
	if r.interestSentAt == 0 {
		r.interestSentAt = now
	}
	begun := slices.ContainsFunc(r.waiting, func(w waiter) bool { return w.begun })
	g.Tell(r.conn, Interest{Job: r.job, Waits: true, Begun: begun})
}

// claimExpired reports whether the claim has expired, or its holder is lost and the holder's
// runs are certain to be over.
func (g *Registry) claimExpired(now time.Duration, r *record) bool {
	switch {
	case r.expiresAt > 0 && now >= r.expiresAt:
		return true
	case r.clearAt > 0 && now >= r.clearAt:
		return true
	}
	return false
}

// cancel forwards a caller's cancellation to the holder of the job and retains it as the
// answer. If the job is answered, the reply is that answer with the remaining retry delay. The
// record of a job without a holder is kept: a later claim needs to know whether the job may have
// run.
func (g *Registry) cancel(now time.Duration, conn ConnID, job string, r *record) {
	switch {
	case r == nil || r.claimable(now) || g.claimExpired(now, r) && r.answer.State != Answered:
		g.Reply(conn, Reply{Job: job, State: Unknown})
		return
	case r.answer.State == Answered:
		g.Reply(conn, r.answerAt(now))
		return
	}
	if r.conn != 0 {
		g.Tell(r.conn, Interest{Job: job, Cancel: true})
	}
	g.Reply(conn, Reply{Job: job, State: Cancelling})
	g.recordAnswer(now, r, Settlement{Job: job, Outcome: Cancelled, Why: code.JobCancelled})
}

// Settle handles an entry's report on a job that it holds or waits for. An outcome that is
// retained is recorded as the answer even if the job was taken over or evicted meanwhile; the
// current holder receives it too. With any other outcome, a sender that holds the job releases
// it: the next waiting entry is granted the job once the sender reports that its runs have
// ended. A sender that only waits for the job is removed from the waiting entries. If the home has
// no record of a job that may have run, it adds one.
//
// Losses are recorded whoever reports them. Ran is not recorded from an entry that waits, which
// sets it also for runs that only the holder may have started.
func (g *Registry) Settle(now time.Duration, from Holder, s Settlement) {
	r := g.records[s.Job]
	if s.Outcome.retained() {
		if r == nil {
			r = g.add(s.Job)
		}
		if r.holder != from && r.conn != 0 && r.answer.State != Answered {
			g.Reply(r.conn, s.reply())
		}
		r.addLosses(s)
		g.recordAnswer(now, r, s)
		return
	}
	if r == nil {
		g.addUnowned(now, s)
		return
	}
	r.addLosses(s)
	switch {
	case r.answer.State == Answered:
		return
	case r.holder != from:
		g.withdrawWaiter(r, from)
		return
	case s.Outcome == GivenUp:
		g.replyWaiting(r, s.reply())
	}
	r.released = true
	r.mayHaveRun = r.mayHaveRun || s.Ran
	if s.Clear {
		g.runsEnded(now, r)
	}
}

// addLosses records the losses in a settlement. A job with losses has run.
func (r *record) addLosses(s Settlement) {
	r.losses = max(r.losses, s.Losses)
	r.mayHaveRun = r.mayHaveRun || s.Losses > 0
}

// addUnowned adds the record of a job that was dropped elsewhere, if it may have run.
func (g *Registry) addUnowned(now time.Duration, s Settlement) {
	if !s.Ran {
		return
	}
	r := g.add(s.Job)
	r.mayHaveRun, r.losses = true, s.Losses
	g.retainUnowned(now, r)
}

// replyWaiting sends an answer to all entries that wait for a job.
func (g *Registry) replyWaiting(r *record, answer Reply) {
	for _, w := range r.waiting {
		g.Reply(w.conn, answer)
	}
	r.waiting = nil
}

// withdrawWaiter removes an entry from those that wait. If none is left, it informs the holder.
func (g *Registry) withdrawWaiter(r *record, from Holder) {
	if g.removeWaiter(r, from) {
		g.sendNoInterest(r)
	}
}

// sendNoInterest informs the holder of a job if no other entry waits for it any more.
func (g *Registry) sendNoInterest(r *record) {
	if len(r.waiting) == 0 && r.conn != 0 {
		r.interestSentAt = 0
		g.Tell(r.conn, Interest{Job: r.job})
	}
}

// reply returns the answer contained in a settlement.
func (s Settlement) reply() Reply {
	return Reply{Job: s.Job, State: Answered, Outcome: s.Outcome, Why: s.Why, Retry: s.Retry}
}

// recordAnswer stores an answer and sends it to all waiting entries. Only the first answer
// counts.
func (g *Registry) recordAnswer(now time.Duration, r *record, s Settlement) {
	if r.answer.State == Answered {
		return
	}
	r.answer = s.reply()
	r.unowned = false
	r.retainedAt = now
	g.replyWaiting(r, r.answer)
	g.retained = append(g.retained, r)
}

// runsEnded handles the end of all runs of an unanswered job: the next waiting entry is
// granted it. If none waits, the job becomes unowned if it may have run, and its record is
// deleted otherwise.
func (g *Registry) runsEnded(now time.Duration, r *record) {
	switch {
	case len(r.waiting) > 0:
		g.takeOver(now, r, r.waiting[0])
	case r.mayHaveRun:
		g.retainUnowned(now, r)
	default:
		delete(g.records, r.job)
	}
}

// retainUnowned retains the record of a job that has neither a holder nor an answer.
func (g *Registry) retainUnowned(now time.Duration, r *record) {
	r.unowned = true
	r.retainedAt = now
	g.retained = append(g.retained, r)
}

// Disconnected handles the end of a connection. Runs of its entry may continue for ClearTime; an
// entry that reconnects claims its jobs again.
func (g *Registry) Disconnected(now time.Duration, conn ConnID) {
	for _, r := range g.held {
		if r.conn == conn {
			r.conn, r.interestSentAt = 0, 0
			r.clearAt = now + g.ClearTime
		}
		waited := len(r.waiting)
		r.waiting = slices.DeleteFunc(r.waiting, func(w waiter) bool { return w.conn == conn })
		if waited > 0 {
			g.sendNoInterest(r)
		}
	}
}

// Tick handles what is due: expired claims, silent and lost holders, and records past their
// retention.
func (g *Registry) Tick(now time.Duration) {
	g.held = slices.DeleteFunc(g.held, func(r *record) bool {
		return g.records[r.job] != r || r.answer.State == Answered || r.unowned
	})
	for _, r := range g.held {
		g.checkHolder(r, now)
		if g.claimExpired(now, r) {
			r.mayHaveRun = true // the holder may be lost
			g.runsEnded(now, r)
		}
	}
	for len(g.retained) > 0 && now-g.retained[0].retainedAt >= AnswerRetention {
		g.evictOldest()
	}
}

// checkHolder treats a holder as lost if no frame of it has arrived within interestTimeout
// after an Interest was sent to it.
func (g *Registry) checkHolder(r *record, now time.Duration) {
	switch {
	case r.interestSentAt == 0:
	case g.HeardAt(r.conn) > r.interestSentAt:
		r.interestSentAt = 0
	case now-r.interestSentAt >= interestTimeout:
		g.Log.Info(event.ClaimHolderSilent, "job", r.job, "entry", r.holder.Name)
		r.clearAt = r.interestSentAt + g.ClearTime
		r.interestSentAt, r.conn = 0, 0
	}
}

// removeWaiter removes an entry from those that wait, and reports whether it was one of them.
func (g *Registry) removeWaiter(r *record, h Holder) bool {
	before := len(r.waiting)
	r.waiting = slices.DeleteFunc(r.waiting, func(w waiter) bool { return w.holder == h })
	return len(r.waiting) < before
}
