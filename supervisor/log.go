package supervisor

import (
	"context"
	"log/slog"
	"math"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/task"
)

// One function per kind of line; package event documents the kinds. Durations are in
// milliseconds.

// log writes a line of the given kind.
func (s *Supervisor) log(kind event.Kind, attrs ...slog.Attr) {
	s.Log.LogAttrs(context.Background(), slog.LevelInfo, kind, attrs...)
}

// cause returns an attribute with the error, or else the code, of an unsuccessful call.
func (r Reply) cause() slog.Attr {
	if r.Err != nil {
		return slog.String("error", r.Err.Error())
	}
	return slog.String("why", r.Outcome.Code().String())
}

// logIncarnation logs that the incarnation with the given id becomes the current one.
func (s *Supervisor) logIncarnation(id string) {
	s.log(event.TargetIncarnation,
		slog.String("target", id),
		slog.String("before", s.target.id()),
		slog.Int("runs", len(s.runs)))
}

// logIncarnationOver logs that the current incarnation is over, and what showed it: the kind of
// call, or a heartbeat.
func (s *Supervisor) logIncarnationOver(seenBy string) {
	s.log(event.TargetIncarnationOver,
		slog.String("target", s.target.id()),
		slog.String("seen_by", seenBy))
}

// logHeartbeatHeldUp logs a delayed heartbeat of an incarnation that is not current.
func (s *Supervisor) logHeartbeatHeldUp(id string) {
	s.log(event.HeartbeatHeldUp,
		slog.String("target", s.target.id()),
		slog.String("from", id))
}

// logServing logs that the target accepts work from now on.
func (s *Supervisor) logServing() {
	s.log(event.TargetServing,
		slog.String("target", s.target.id()),
		slog.Uint64("token", s.target.token),
		slog.Int("cpu", s.target.report.Capacity.CPU))
}

// logDraining logs the first heartbeat in which the target reports that it is draining.
func (s *Supervisor) logDraining(id string) {
	s.log(event.TargetDraining, slog.String("target", id))
}

// logEvacuated logs the beginning of the evacuation of the target's data hall.
func (s *Supervisor) logEvacuated() {
	s.log(event.TargetEvacuated,
		slog.String("target", s.target.id()),
		slog.String("hall", s.target.report.Hall),
		slog.Uint64("revision", s.evacuations.Revision),
		slog.Int("runs", len(s.runs)))
}

// logReturned logs the end of the evacuation.
func (s *Supervisor) logReturned(now time.Duration) {
	s.log(event.TargetReturned,
		slog.String("target", s.target.id()),
		slog.Uint64("revision", s.evacuations.Revision),
		event.Milliseconds("evacuated_ms", now-s.evacuatedSince))
}

// logEmpty logs that an evacuated target has no more runs.
func (s *Supervisor) logEmpty(now time.Duration) {
	s.log(event.TargetEmpty,
		slog.String("target", s.target.id()),
		slog.Uint64("revision", s.evacuations.Revision),
		event.Milliseconds("after_ms", now-s.evacuatedSince))
}

// logCold logs that the target is warming up.
func (s *Supervisor) logCold(r Report) {
	s.log(event.TargetCold,
		slog.String("target", r.ID),
		event.Milliseconds("left_ms", r.WarmupLeft),
		slog.Float64("slowdown", math.Exp(s.warmup.fullLogSlowdown)))
}

// logDeregistered logs that the target has announced its shutdown.
func (s *Supervisor) logDeregistered() {
	s.log(event.TargetDeregistered,
		slog.String("target", s.target.id()),
		slog.Int("runs", len(s.runs)))
}

// logHealth logs the ejection or recovery of the target.
func (s *Supervisor) logHealth() {
	s.log(event.TargetHealth,
		slog.String("target", s.target.id()),
		slog.Bool("ejected", s.health.ejected),
		slog.String("why", s.health.reason.String()),
		slog.Int("runs", len(s.runs)))
}

// logLosingReplies logs that the target is now marked as losing replies: it left a call
// unanswered while it answers others.
func (s *Supervisor) logLosingReplies() {
	s.log(event.TargetLosingReplies,
		slog.String("target", s.target.id()),
		slog.Int("runs", len(s.runs)))
}

// logRenewalFailed logs the first in a series of renewals that were not accepted. The target
// is empty if another incarnation answered and no report of that one has arrived.
func (s *Supervisor) logRenewalFailed(reply Reply) {
	s.log(event.RenewalFailed, slog.String("target", s.target.id()), reply.cause())
}

// logEntryConnected logs a new connection of an entry.
func (s *Supervisor) logEntryConnected(name string, id ConnID) {
	s.log(event.EntryConnected,
		slog.String("entry", name),
		slog.Uint64("conn", uint64(id)))
}

// logEntryLost logs the end of a connection and the number of runs that are stopped.
func (s *Supervisor) logEntryLost(c *session, stopped int) {
	s.log(event.EntryLost,
		slog.String("entry", c.name),
		slog.Uint64("conn", uint64(c.id)),
		slog.Int("stopped", stopped))
}

// logOwnerLeaseOver logs that a run is stopped because its entry's lease has expired.
func (s *Supervisor) logOwnerLeaseOver(now time.Duration, r *run) {
	s.log(event.OwnerLeaseOver,
		slog.String("entry", r.session.name),
		slog.String("task", r.name),
		slog.Int("run", r.order.Run),
		event.Milliseconds("echo_age_ms", now-r.session.leaseStart))
}

// logOrderRejected logs the reason for the rejection of an order.
func (s *Supervisor) logOrderRejected(now time.Duration, c *session, order task.Order, reason code.Code) {
	s.log(event.OrderRejected,
		slog.String("task", order.Task.String()),
		slog.Int("run", order.Run),
		slog.String("entry", c.name),
		slog.String("why", reason.String()),
		slog.Int("needs", order.Needs.CPU),
		slog.Int("free", s.freeRoom(now, c).CPU),
		event.Milliseconds("echo_age_ms", now-c.leaseStart))
}

// logStartUnanswered logs a try of a start without an answer.
func (s *Supervisor) logStartUnanswered(r *run, try int, reply Reply) {
	open, _ := r.tries.open()
	s.log(event.StartUnanswered,
		slog.String("task", r.name),
		slog.Int("run", r.order.Run),
		slog.Int("try", try),
		slog.Int("tries", len(r.tries)),
		slog.Int("open", open),
		reply.cause())
}

// logStartRejected logs that the target rejected a try of a start.
func (s *Supervisor) logStartRejected(r *run, try int, reply Reply) {
	open, _ := r.tries.open()
	s.log(event.StartRejectedByTarget,
		slog.String("task", r.name),
		slog.Int("run", r.order.Run),
		slog.String("why", reply.Outcome.Code().String()),
		slog.Int("try", try),
		slog.Int("tries", len(r.tries)),
		slog.Int("open", open))
}

// logStopping logs the reason for stopping a run.
func (s *Supervisor) logStopping(now time.Duration, r *run) {
	s.log(event.RunStopping,
		slog.String("task", r.name),
		slog.Int("run", r.order.Run),
		slog.String("entry", r.session.name),
		slog.String("why", r.reason.String()),
		event.Milliseconds("age_ms", now-r.startedAt))
}

// logStopFailed logs a stop that was not accepted and will be sent again.
func (s *Supervisor) logStopFailed(r *run, reply Reply) {
	s.log(event.StopFailed,
		slog.String("task", r.name),
		slog.Int("run", r.order.Run),
		reply.cause())
}

// logUnknownEnd logs an end whose kind is unknown.
func (s *Supervisor) logUnknownEnd(r *run) {
	s.log(event.UnknownEnd,
		slog.String("task", r.name),
		slog.Int("run", r.order.Run))
}

// logEnded logs the end of a run and its reason.
func (s *Supervisor) logEnded(now time.Duration, r *run, end task.End, reason code.Code) {
	s.log(event.RunEnded,
		slog.String("task", r.name),
		slog.Int("run", r.order.Run),
		slog.String("entry", r.session.name),
		slog.String("end", end.String()),
		slog.String("why", reason.String()),
		event.Milliseconds("took_ms", now-r.startedAt),
		event.Milliseconds("estimate_ms", r.order.Estimate))
}
