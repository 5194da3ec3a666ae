package owner

import (
	"context"
	"log/slog"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// Each function logs one kind of event; package event documents the kinds. Durations are in
// milliseconds.

// log writes an event with attributes.
func (o *Owner) log(kind event.Kind, attrs ...slog.Attr) {
	o.Log.LogAttrs(context.Background(), slog.LevelInfo, kind, attrs...)
}

// logRefusedJob logs that a job was refused before it was accepted.
func (o *Owner) logRefusedJob(desc task.Job, why code.Code) {
	o.log(event.JobRefused,
		slog.String("job", desc.ID),
		slog.String("request", desc.Request),
		slog.Int("jobs", len(o.jobs)),
		slog.String("why", why.String()))
}

// logAccepted logs that a job was accepted. guess is the caller's estimate of its critical path.
func (o *Owner) logAccepted(j *job, guess time.Duration) {
	o.log(event.JobAccepted,
		slog.String("job", j.desc.ID),
		slog.String("request", j.desc.Request),
		slog.String("queue", j.desc.Queue),
		slog.Int("tasks", j.desc.Tasks()),
		event.Milliseconds("objective_ms", j.desc.Objective()),
		event.Milliseconds("chain_ms", j.desc.CriticalPath()),
		event.Milliseconds("guess_ms", guess),
		event.Milliseconds("patience_ms", j.desc.CallerTimeout),
		slog.Int("waiting", len(j.queue.waiting)))
}

// logPlaced logs that a run was ordered.
func (o *Owner) logPlaced(now time.Duration, j *job, id task.ID, t *taskState, a *agent) {
	o.log(event.TaskPlaced,
		slog.String("task", id.String()),
		slog.Int("run", t.run),
		slog.String("agent", a.name),
		slog.String("target", a.profile.Target),
		event.Milliseconds("state_age_ms", now-a.lastFrameAt),
		slog.Int("free_cpu", a.freeRoom().CPU),
		event.Milliseconds("waited_ms", now-j.arrived),
		event.Milliseconds("claim_ms", max(0, j.claimedAt-j.arrived)))
}

// logMoved logs that a run was ordered to stop and will be retried elsewhere.
func (o *Owner) logMoved(now time.Duration, id task.ID, t *taskState, a *agent, why code.Code) {
	o.log(event.TaskMoved,
		slog.String("task", id.String()),
		slog.Int("run", t.run),
		slog.String("agent", a.name),
		slog.String("why", why.String()),
		event.Milliseconds("age_ms", now-t.sentAt))
}

// logWaits logs that a task waits again after the end of a run.
func (o *Owner) logWaits(t *taskState, a *agent, e peer.RunEnd) {
	o.log(event.TaskWaits,
		slog.String("task", e.Ref.Task.String()),
		slog.Int("run", e.Ref.Run),
		slog.String("agent", a.name),
		slog.String("end", e.End.String()),
		slog.String("why", e.Reason.String()),
		slog.Int("failures", t.failures),
		slog.Int("tries", t.tries))
}

// logCrash logs that a target crashed during a run of a task.
func (o *Owner) logCrash(ref task.Ref, t *taskState, a *agent) {
	o.log(event.TaskSuspect, slog.String("task", ref.Task.String()), slog.Int("run", ref.Run),
		slog.String("agent", a.name), slog.Int("crashes", len(t.crashes)))
}

// logAnswered logs the answer to a job.
func (o *Owner) logAnswered(now time.Duration, j *job, a Answer) {
	o.log(event.JobAnswered,
		slog.String("job", j.desc.ID),
		slog.String("queue", j.desc.Queue),
		slog.Int("kind", int(a.Kind)),
		slog.String("why", a.Why.String()),
		slog.Bool("begun", j.started()),
		event.Milliseconds("age_ms", now-j.arrived),
		event.Milliseconds("objective_ms", j.desc.Objective()),
		event.Milliseconds("retry_ms", a.Retry),
		slog.Int("undone", j.unfinished))
}

// logCancelled logs that no caller waits for a job any more.
func (o *Owner) logCancelled(now time.Duration, j *job) {
	o.log(event.JobCancelled,
		slog.String("job", j.desc.ID),
		slog.Bool("begun", j.started()),
		event.Milliseconds("age_ms", now-j.arrived))
}

// logJoined logs that another entry holds a job or has its answer, as reported by a home.
func (o *Owner) logJoined(j *job, a *agent, how string) {
	o.log(event.JobJoined, slog.String("job", j.desc.ID), slog.String("home", a.name), slog.String("state", how))
}

// logSuspended logs how long the process was suspended.
func (o *Owner) logSuspended(now time.Duration) {
	o.log(event.EntrySuspended, slog.Int64("stopped_ms", (now-o.lastTickAt).Milliseconds()),
		slog.Int("jobs", len(o.jobs)))
}

// logYielded logs that the runs of a job are stopped because another entry holds it.
func (o *Owner) logYielded(now time.Duration, j *job) {
	o.log(event.JobYielded, slog.String("job", j.desc.ID), event.Milliseconds("age_ms", now-j.arrived))
}

// logCancelPassed logs the result of a cancellation that was forwarded to the job's homes.
func (o *Owner) logCancelPassed(id string, cancelled bool, took time.Duration) {
	o.log(event.JobCancelPassed, slog.String("job", id), slog.Bool("known", cancelled),
		event.Milliseconds("took_ms", took))
}

// logIsolation logs that this entry became isolated or is no longer isolated.
func (o *Owner) logIsolation(known, missing int) {
	o.log(event.EntryIsolated, slog.Bool("isolated", o.isolated), slog.Int("agents", known),
		slog.Int("missing", missing))
}

// logHomeSilent logs that an agent left a claim unanswered.
func (o *Owner) logHomeSilent(now time.Duration, a *agent) {
	o.log(event.HomeSilent, slog.String("agent", a.name), event.Milliseconds("heard_ms", now-a.lastFrameAt))
}

// logAgentConnected logs a new connection to an agent.
func (o *Owner) logAgentConnected(a *agent) {
	o.log(event.AgentConnected, slog.String("agent", a.name))
}

// logAgentLost logs the loss of the connection to an agent.
func (o *Owner) logAgentLost(now time.Duration, a *agent) {
	o.log(event.AgentLost,
		slog.String("agent", a.name),
		slog.Int("runs", len(a.tasks)),
		event.Milliseconds("clear_in_ms", a.clearAt-now))
}

// logTargetEjected logs that an agent has ejected its target.
func (o *Owner) logTargetEjected(a *agent) {
	o.log(event.AgentTargetEjected,
		slog.String("agent", a.name),
		slog.String("target", a.profile.Target),
		slog.Int("runs", len(a.tasks)))
}
