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

// forwardGrace is how long after a job's deadline its owner may still answer.
const forwardGrace = 500 * time.Millisecond

// Submit handles a submission by a caller of this entry. It is answered once, with
// the ticket, in Effects.Answers of this or a later call.
func (h *Home) Submit(now clock.Moment, ticket uint64, sub job.Submission) Effects {
	h.now = now
	h.stats.Submitted++
	sub.Deadline = h.deadline(sub)
	h.route(waiter{h.cfg.Self, ticket}, sub, false)
	return h.takeEffects()
}

// Lookup requests the state of a job. It is answered like a submission.
func (h *Home) Lookup(now clock.Moment, ticket uint64, service, id string) Effects {
	h.now = now
	sub := job.Submission{Service: service, Job: seats.Job{ID: id}}
	sub.Deadline = now.Wall.Add(h.cfg.Lease).UnixMilli()
	h.route(waiter{h.cfg.Self, ticket}, sub, true)
	return h.takeEffects()
}

// deadline returns the expiry given by the caller, or the service's longest one.
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

// route passes a submission to the job's record here, to this entry as the job's
// owner, or to the seat that owns the job.
func (h *Home) route(w waiter, sub job.Submission, lookup bool) {
	if r := h.records[sub.Key()]; r != nil {
		h.attach(w, sub, r, lookup)
		return
	}
	home := h.view.Home(sub.Key())
	switch {
	case home == h.cfg.Self && h.Seated():
		h.routeToSelf(w, sub, lookup)
	case w.seat == h.cfg.Self && !home.IsZero():
		h.forward(w.ticket, sub, lookup, home, false)
	default:
		h.postpone(w, sub, lookup)
	}
}

// routeToSelf handles a submission of a job that this entry owns. It is
// postponed until the entry is confirmed and knows the job's state.
func (h *Home) routeToSelf(w waiter, sub job.Submission, lookup bool) {
	if !h.Standing(h.now) || !h.takeover.knowsJob(sub.Key(), h.cfg.Self) {
		h.postpone(w, sub, lookup)
		return
	}
	if holder, ok := h.takeover.moved[sub.Key()]; ok {
		h.forwardToHolder(w, sub, lookup, holder.seat)
		return
	}
	if lookup {
		h.deliver(w, refused(sub.Job.ID, code.UnknownJob, seats.RanMaybe, "no record of this job is held", 0))
		return
	}
	h.admitNew(w, sub)
}

// postpone keeps a submission to be routed again, for two leases or until its
// deadline.
func (h *Home) postpone(w waiter, sub job.Submission, lookup bool) {
	until := h.now.Mono + 2*h.cfg.Lease
	if left := time.UnixMilli(sub.Deadline).Sub(h.now.Wall); h.now.Mono+left < until {
		until = h.now.Mono + left
	}
	h.pending = append(h.pending, pending{from: w, sub: sub, lookup: lookup, until: until})
}

// retryPending routes the postponed submissions again and refuses those whose
// time is over.
func (h *Home) retryPending() {
	waiting := h.pending
	h.pending = nil
	for _, p := range waiting {
		if h.now.Mono >= p.until {
			h.refusePending(p)
			continue
		}
		before := len(h.pending)
		h.route(p.from, p.sub, p.lookup)
		if len(h.pending) > before {
			h.pending[before].until = p.until
		}
	}
}

// refusePending refuses a postponed submission whose time is over.
func (h *Home) refusePending(p pending) {
	h.stats.Refused++
	h.deliver(p.from, refused(p.sub.Job.ID, code.NotConfirmed, seats.RanMaybe,
		"this entry can't speak for the job now", h.cfg.Lease))
}

// attach answers a submission from the job's record, or adds its caller to the
// waiters of a running job.
func (h *Home) attach(w waiter, sub job.Submission, r *record, lookup bool) {
	if !lookup && sub.Digest != r.digest {
		h.stats.Refused++
		h.deliver(w, refused(r.id, code.Conflict, seats.RanMaybe,
			"another job with this id is known", 0))
		return
	}
	switch {
	case r.state != seats.Running:
		h.deliver(w, r.answer)
	case lookup:
		h.deliver(w, seats.Answer{ID: r.id, State: seats.Running, Code: uint16(code.Running),
			Name: code.Running.Name(), Ran: r.ran(), Message: "the job is not finished"})
	default:
		r.waiters = append(r.waiters, w)
	}
}

// forwardDeadline returns until when the owner of a job may answer: forwardGrace
// after the job's deadline, or after now if that has passed, since the owner may
// hold the outcome of an expired job.
func forwardDeadline(now clock.Moment, sub job.Submission) time.Duration {
	left := time.UnixMilli(sub.Deadline).Sub(now.Wall)
	return now.Mono + max(0, left) + forwardGrace
}

// forward sends the submission of a caller of this entry to the seat to.
func (h *Home) forward(ticket uint64, sub job.Submission, lookup bool, to roster.ID, toHolder bool) {
	h.tickets++
	f := &forward{
		sub: sub, lookup: lookup, to: to, localTicket: ticket, toHolder: toHolder,
		until: forwardDeadline(h.now, sub),
	}
	h.forwards[h.tickets] = f
	h.sendForward(h.tickets, f)
}

// forwardToHolder sends a submission to the seat that holds the job's record.
func (h *Home) forwardToHolder(w waiter, sub job.Submission, lookup bool, holder roster.ID) {
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

// relay sends a submission received from another seat on to l. The answer
// returns through this entry.
func (h *Home) relay(l *link, w waiter, sub job.Submission, lookup bool) {
	h.tickets++
	f := &forward{
		sub: sub, lookup: lookup, to: l.id, origin: w, toHolder: true,
		until: forwardDeadline(h.now, sub),
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
	h.send(l, wire.Forward{Ticket: ticket, Submission: f.sub, Lookup: f.lookup, Pointed: f.toHolder})
}

// handleForward handles a submission sent by another seat.
func (h *Home) handleForward(l *link, m wire.Forward) {
	w := waiter{l.id, m.Ticket}
	if m.Pointed && h.records[m.Submission.Key()] == nil {
		if in := h.takeover.inherited[m.Submission.Key()]; in != nil && in.complete && !m.Lookup {
			h.recoverJob(w, m.Submission, in)
			return
		}
		h.deliver(w, refused(m.Submission.Job.ID, code.UnknownJob, seats.RanMaybe,
			"the job's record is no longer held", 0))
		return
	}
	h.route(w, m.Submission, m.Lookup)
}

// handleReply delivers the answer to a forwarded submission. Late and duplicate
// replies are counted and ignored.
func (h *Home) handleReply(m wire.Reply) {
	f := h.forwards[m.Ticket]
	if f == nil || m.Answer.ID != f.sub.Job.ID {
		h.stats.LateResults++
		return
	}
	delete(h.forwards, m.Ticket)
	h.deliver(f.waiter(h.cfg.Self), m.Answer)
}

// expireForwards refuses the forwarded submissions that were not answered in
// time.
func (h *Home) expireForwards() {
	for _, t := range slices.Sorted(maps.Keys(h.forwards)) {
		f := h.forwards[t]
		if h.now.Mono < f.until {
			continue
		}
		delete(h.forwards, t)
		h.stats.Refused++
		h.deliver(f.waiter(h.cfg.Self), refused(f.sub.Job.ID, code.HomeUnreachable, seats.RanMaybe,
			"the job's home did not answer in time", h.cfg.Lease))
	}
}

// reroute routes forwarded submissions again whose owner has changed.
func (h *Home) reroute() {
	for _, t := range slices.Sorted(maps.Keys(h.forwards)) {
		f := h.forwards[t]
		home := h.view.Home(f.sub.Key())
		if home == f.to || (f.toHolder && h.view.HasSeat(f.to)) {
			continue
		}
		delete(h.forwards, t)
		h.route(f.waiter(h.cfg.Self), f.sub, f.lookup)
	}
	h.retryPending()
}
