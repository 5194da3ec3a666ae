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

// One function a kind of line; package event says what each kind means. Durations
// are in milliseconds.

// log writes a line with the attributes.
func (s *Supervisor) log(kind event.Kind, attrs ...slog.Attr) {
	s.Log.LogAttrs(context.Background(), slog.LevelInfo, kind, attrs...)
}

// cause returns an attribute with why the target did not do what it was asked.
func (r Reply) cause() slog.Attr {
	if r.Err != nil {
		return slog.String("error", r.Err.Error())
	}
	return slog.String("why", r.Outcome.Code().String())
}

// logIncarnation says that a heartbeat came from an incarnation that is new here.
func (s *Supervisor) logIncarnation(id string) {
	s.log(event.TargetIncarnation,
		slog.String("target", id),
		slog.String("before", s.target.id()),
		slog.Int("runs", len(s.runs)))
}

// logIncarnationOver says which call was answered by another incarnation.
func (s *Supervisor) logIncarnationOver(call string) {
	s.log(event.TargetIncarnationOver,
		slog.String("target", s.target.id()),
		slog.String("seen_by", call))
}

// logHeartbeatHeldUp says that a heartbeat came from an incarnation that is not up.
func (s *Supervisor) logHeartbeatHeldUp(id string) {
	s.log(event.HeartbeatHeldUp,
		slog.String("target", s.target.id()),
		slog.String("from", id))
}

// logServing says that the target takes work from now on.
func (s *Supervisor) logServing() {
	s.log(event.TargetServing,
		slog.String("target", s.target.id()),
		slog.Uint64("token", s.target.token),
		slog.Int("cpu", s.target.report.Capacity.CPU))
}

// logDraining says that the target reports that it drains.
func (s *Supervisor) logDraining(id string) {
	s.log(event.TargetDraining, slog.String("target", id))
}

// logEvacuated says that the target's data hall is evacuated from now on.
func (s *Supervisor) logEvacuated() {
	s.log(event.TargetEvacuated,
		slog.String("target", s.target.id()),
		slog.String("hall", s.target.report.Hall),
		slog.Uint64("revision", s.evacuations.Revision),
		slog.Int("runs", len(s.runs)))
}

// logReturned says that the evacuation is over.
func (s *Supervisor) logReturned(now time.Duration) {
	s.log(event.TargetReturned,
		slog.String("target", s.target.id()),
		slog.Uint64("revision", s.evacuations.Revision),
		event.Milliseconds("evacuated_ms", now-s.evacuatedSince))
}

// logEmpty says that no run is left on an evacuated target.
func (s *Supervisor) logEmpty(now time.Duration) {
	s.log(event.TargetEmpty,
		slog.String("target", s.target.id()),
		slog.Uint64("revision", s.evacuations.Revision),
		event.Milliseconds("after_ms", now-s.evacuatedSince))
}

// logCold says that the target is slow for a while.
func (s *Supervisor) logCold(r Report) {
	s.log(event.TargetCold,
		slog.String("target", r.ID),
		event.Milliseconds("left_ms", r.Cold),
		slog.Float64("slowdown", math.Exp(s.warmth.slowdown)))
}

// logDeregistered says that the target is shutting down.
func (s *Supervisor) logDeregistered() {
	s.log(event.TargetDeregistered,
		slog.String("target", s.target.id()),
		slog.Int("runs", len(s.runs)))
}

// logHealth says that the target was ejected, or has recovered.
func (s *Supervisor) logHealth() {
	s.log(event.TargetHealth,
		slog.String("target", s.target.id()),
		slog.Bool("ejected", s.health.ejected),
		slog.String("why", s.health.why.String()),
		slog.Int("runs", len(s.runs)))
}

// logLosingReplies says that the target left a call unanswered while it answers
// others.
func (s *Supervisor) logLosingReplies() {
	s.log(event.TargetLosingReplies,
		slog.String("target", s.target.id()),
		slog.Int("runs", len(s.runs)))
}

// logRenewalFailed says that a renewal was not accepted, the first in a row.
func (s *Supervisor) logRenewalFailed(reply Reply) {
	s.log(event.RenewalFailed, slog.String("target", s.target.id()), reply.cause())
}

// logEntryConnected says that an entry has connected.
func (s *Supervisor) logEntryConnected(name string, id ConnID) {
	s.log(event.EntryConnected,
		slog.String("entry", name),
		slog.Uint64("conn", uint64(id)))
}

// logEntryLost says that a connection is over, and how many runs are stopped.
func (s *Supervisor) logEntryLost(c *session, stopped int) {
	s.log(event.EntryLost,
		slog.String("entry", c.name),
		slog.Uint64("conn", uint64(c.id)),
		slog.Int("stopped", stopped))
}

// logOwnerLeaseOver says that a run is stopped because its entry is silent.
func (s *Supervisor) logOwnerLeaseOver(now time.Duration, r *run) {
	s.log(event.OwnerLeaseOver,
		slog.String("entry", r.session.name),
		slog.String("task", r.name),
		slog.Int("run", r.order.Run),
		event.Milliseconds("echo_age_ms", now-r.session.leaseFrom))
}

// logOrderRejected says why an order was not taken.
func (s *Supervisor) logOrderRejected(now time.Duration, c *session, order task.Order, why code.Code) {
	s.log(event.StartRefused,
		slog.String("task", order.Task.String()),
		slog.Int("run", order.Run),
		slog.String("entry", c.name),
		slog.String("why", why.String()),
		slog.Int("needs", order.Needs.CPU),
		slog.Int("free", s.freeRoom(now, c).CPU),
		event.Milliseconds("echo_age_ms", now-c.leaseFrom))
}

// logStartUnanswered says that a start was not answered.
func (s *Supervisor) logStartUnanswered(r *run, reply Reply) {
	s.log(event.StartUnanswered,
		slog.String("task", r.name),
		slog.Int("run", r.order.Run),
		slog.Int("tries", r.tries),
		reply.cause())
}

// logStartRejected says that the target rejected a start.
func (s *Supervisor) logStartRejected(r *run, reply Reply) {
	s.log(event.StartRejected,
		slog.String("task", r.name),
		slog.Int("run", r.order.Run),
		slog.String("why", reply.Outcome.Code().String()),
		slog.Int("tries", r.tries))
}

// logStopping says why a run is stopped.
func (s *Supervisor) logStopping(now time.Duration, r *run) {
	s.log(event.RunStopping,
		slog.String("task", r.name),
		slog.Int("run", r.order.Run),
		slog.String("entry", r.session.name),
		slog.String("why", r.reason.String()),
		event.Milliseconds("age_ms", now-r.began))
}

// logStopFailed says that a stop was not accepted; it is sent again.
func (s *Supervisor) logStopFailed(r *run, reply Reply) {
	s.log(event.StopFailed,
		slog.String("task", r.name),
		slog.Int("run", r.order.Run),
		reply.cause())
}

// logUnknownEnd says that the target listed an end of a kind that is not known.
func (s *Supervisor) logUnknownEnd(r *run) {
	s.log(event.UnknownEnd,
		slog.String("task", r.name),
		slog.Int("run", r.order.Run))
}

// logEnded says how a run ended, and how that is known.
func (s *Supervisor) logEnded(now time.Duration, r *run, end task.End, why code.Code) {
	s.log(event.RunEnded,
		slog.String("task", r.name),
		slog.Int("run", r.order.Run),
		slog.String("entry", r.session.name),
		slog.String("end", end.String()),
		slog.String("why", why.String()),
		event.Milliseconds("took_ms", now-r.began),
		event.Milliseconds("estimate_ms", r.order.Estimate))
}
