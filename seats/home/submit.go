package home

import (
	"maps"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/job"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// forwardGrace is how long after a job's deadline its home is still waited for.
const forwardGrace = 500 * time.Millisecond

// Submit takes a submission from a caller of this entry. The answer comes with
// the ticket, once.
func (h *Home) Submit(now clock.Moment, ticket uint64, sub job.Submission) Effects {
	h.now = now
	h.stats.Submitted++
	sub.Deadline = h.deadline(sub)
	h.route(waiter{h.cfg.Self, ticket}, sub, false)
	return h.drain()
}

// Lookup asks where a job stands.
func (h *Home) Lookup(now clock.Moment, ticket uint64, service, id string) Effects {
	h.now = now
	sub := job.Submission{Service: service, Job: seats.Job{ID: id}}
	sub.Deadline = now.Wall.Add(h.cfg.Lease).UnixMilli()
	h.route(waiter{h.cfg.Self, ticket}, sub, true)
	return h.drain()
}

// deadline returns the caller's expiry or the service's default.
func (h *Home) deadline(sub job.Submission) int64 {
	if e := sub.Expiry(); e != 0 {
		return e
	}
	longest := config.DefaultLongestExpiry
	if s := h.config.FindService(sub.Service); s != nil {
		longest = s.Bounds.LongestExpiry()
	}
	return h.now.Wall.Add(longest).UnixMilli()
}

// route brings a submission to whoever can answer it: the record held here,
// this home, or the one that is home to it.
func (h *Home) route(w waiter, sub job.Submission, lookup bool) {
	if r := h.records[sub.Key()]; r != nil {
		h.attach(w, sub, r, lookup)
		return
	}
	home := h.view.Home(sub.Key())
	switch {
	case home == h.cfg.Self && h.Seated():
		h.own(w, sub, lookup)
	case w.seat == h.cfg.Self && !home.IsZero():
		h.forward(w.ticket, sub, lookup, home, false)
	default:
		h.postpone(w, sub, lookup)
	}
}

// own answers for a job that this home is home to, once it can speak for it.
func (h *Home) own(w waiter, sub job.Submission, lookup bool) {
	if !h.Standing(h.now) || !h.take.knows(sub.Key(), h.cfg.Self) {
		h.postpone(w, sub, lookup)
		return
	}
	if holder, ok := h.take.moved[sub.Key()]; ok {
		h.forwardFor(w, sub, lookup, holder.seat)
		return
	}
	if lookup {
		h.tell(w, refused(sub.Job.ID, code.UnknownJob, seats.RanMaybe, "no record of this job is held", 0))
		return
	}
	h.judge(w, sub)
}

// postpone keeps a submission until this home can speak for it, or its time ends.
func (h *Home) postpone(w waiter, sub job.Submission, lookup bool) {
	until := h.now.Mono + 2*h.cfg.Lease
	if left := time.UnixMilli(sub.Deadline).Sub(h.now.Wall); h.now.Mono+left < until {
		until = h.now.Mono + left
	}
	h.pending = append(h.pending, pending{from: w, sub: sub, lookup: lookup, until: until})
}

// retryPending routes every kept submission again.
func (h *Home) retryPending() {
	waiting := h.pending
	h.pending = nil
	for _, p := range waiting {
		if h.now.Mono >= p.until {
			h.giveUp(p)
			continue
		}
		before := len(h.pending)
		h.route(p.from, p.sub, p.lookup)
		if len(h.pending) > before {
			h.pending[before].until = p.until
		}
	}
}

// giveUp tells a caller that nothing can be said of its job now.
func (h *Home) giveUp(p pending) {
	h.stats.Refused++
	h.tell(p.from, refused(p.sub.Job.ID, code.NotConfirmed, seats.RanMaybe,
		"this entry can't speak for the job now", h.cfg.Lease))
}

// attach adds a caller to a job that is known here.
func (h *Home) attach(w waiter, sub job.Submission, r *record, lookup bool) {
	if !lookup && sub.Digest != r.digest {
		h.stats.Refused++
		h.tell(w, refused(r.id, code.Conflict, seats.RanMaybe,
			"another job with this id is known", 0))
		return
	}
	switch {
	case r.state != seats.Running:
		h.tell(w, r.answer)
	case lookup:
		h.tell(w, seats.Answer{ID: r.id, State: seats.Running, Code: uint16(code.Running),
			Name: code.Running.Name(), Ran: r.started(), Message: "the job is not finished"})
	default:
		r.waiters = append(r.waiters, w)
	}
}

// forwardUntil returns until when the home of a submission is waited for: forwardGrace
// after its deadline, or after now where that has passed, since the home must be asked
// all the same what became of the job.
func forwardUntil(now clock.Moment, sub job.Submission) time.Duration {
	left := time.UnixMilli(sub.Deadline).Sub(now.Wall)
	return now.Mono + max(0, left) + forwardGrace
}

// forward sends a caller's submission to the seat to.
func (h *Home) forward(ticket uint64, sub job.Submission, lookup bool, to roster.ID, pointed bool) {
	h.tickets++
	f := &forward{
		sub: sub, lookup: lookup, to: to, local: ticket, pointed: pointed,
		until: forwardUntil(h.now, sub),
	}
	h.forwards[h.tickets] = f
	h.sendForward(h.tickets, f)
}

// forwardFor sends a submission on to the seat that holds the job's record.
func (h *Home) forwardFor(w waiter, sub job.Submission, lookup bool, holder roster.ID) {
	if w.seat == h.cfg.Self {
		h.forward(w.ticket, sub, lookup, holder, true)
		return
	}
	if l := h.peer(holder); l != nil {
		h.relay(l, w, sub, lookup)
		return
	}
	h.postpone(w, sub, lookup)
}

// relay passes a forwarded submission on; the answer comes back through here.
func (h *Home) relay(l *link, w waiter, sub job.Submission, lookup bool) {
	h.tickets++
	f := &forward{
		sub: sub, lookup: lookup, to: l.id, origin: w, pointed: true,
		until: forwardUntil(h.now, sub),
	}
	h.forwards[h.tickets] = f
	h.sendForward(h.tickets, f)
}

func (h *Home) sendForward(ticket uint64, f *forward) {
	l := h.peer(f.to)
	if l == nil {
		return
	}
	h.stats.Forwards++
	h.send(l, wire.Forward{Ticket: ticket, Submission: f.sub, Lookup: f.lookup, Pointed: f.pointed})
}

// forwarded handles a submission that another seat sent here.
func (h *Home) forwarded(l *link, m wire.Forward) {
	w := waiter{l.id, m.Ticket}
	if m.Pointed && h.records[m.Submission.Key()] == nil {
		if in := h.take.inherited[m.Submission.Key()]; in != nil && in.whole && !m.Lookup {
			h.rebuild(w, m.Submission, in)
			return
		}
		h.tell(w, refused(m.Submission.Job.ID, code.UnknownJob, seats.RanMaybe,
			"the job's record is no longer held", 0))
		return
	}
	h.route(w, m.Submission, m.Lookup)
}

// replied hands the home's answer to the caller. A late or doubled one finds
// nobody waiting.
func (h *Home) replied(m wire.Reply) {
	f := h.forwards[m.Ticket]
	if f == nil || m.Answer.ID != f.sub.Job.ID {
		h.stats.LateResults++
		return
	}
	delete(h.forwards, m.Ticket)
	h.tell(f.waiter(h.cfg.Self), m.Answer)
}

// expireForwards gives up on homes that have not answered in time.
func (h *Home) expireForwards() {
	for _, t := range slices.Sorted(maps.Keys(h.forwards)) {
		f := h.forwards[t]
		if h.now.Mono < f.until {
			continue
		}
		delete(h.forwards, t)
		h.stats.Refused++
		h.tell(f.waiter(h.cfg.Self), refused(f.sub.Job.ID, code.HomeUnreachable, seats.RanMaybe,
			"the job's home did not answer in time", h.cfg.Lease))
	}
}

// reroute sends those forwards on whose home has changed.
func (h *Home) reroute() {
	for _, t := range slices.Sorted(maps.Keys(h.forwards)) {
		f := h.forwards[t]
		home := h.view.Home(f.sub.Key())
		if home == f.to || (f.pointed && h.view.HasSeat(f.to)) {
			continue
		}
		delete(h.forwards, t)
		h.route(f.waiter(h.cfg.Self), f.sub, f.lookup)
	}
	h.retryPending()
}
