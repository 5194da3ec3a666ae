// Package event is the log of the processes: the kinds of lines, and a log that is
// bounded and never blocks.
//
// Each decision is one JSON line. The kinds are the typed constants here, and the
// catalogue says what each means; docs/log-events.md is made from it.
package event

import (
	"fmt"
	"strings"
)

// Kind is the message of a log line.
type Kind = string

// Kinds of the life of a process.
const (
	Start            Kind = "start"
	Stopping         Kind = "stopping"
	Stop             Kind = "stop"
	Fault            Kind = "fault"
	SettingsReloaded Kind = "settings-reloaded"
	SettingsRefused  Kind = "settings-refused"
	ConfigTaken      Kind = "config-taken"
	ConfigRefused    Kind = "config-refused"
	StoreLost        Kind = "store-lost"
	StoreBack        Kind = "store-back"
	ValueUnreadable  Kind = "value-unreadable"
	LinesDropped     Kind = "lines-dropped"
	DocumentAsked    Kind = "document-asked"
	DocumentDeferred Kind = "document-deferred"
	ConfigAwaited    Kind = "config-awaited"
	HallsEvacuated   Kind = "halls-evacuated"

	ConnectionEnded    Kind = "connection-ended"
	AgentUnreachable   Kind = "agent-unreachable"
	IntroductionFailed Kind = "introduction-failed"
	ForgetFailed       Kind = "forget-failed"
)

// Kinds of an entry's decisions.
const (
	AgentConnected     Kind = "agent-connected"
	AgentLost          Kind = "agent-lost"
	AgentMoved         Kind = "agent-moved"
	AgentForgotten     Kind = "agent-forgotten"
	AgentTargetEjected Kind = "agent-target-ejected"
	JobAccepted        Kind = "job-accepted"
	JobRefused         Kind = "job-refused"
	TaskPlaced         Kind = "task-placed"
	TaskMoved          Kind = "task-moved"
	TaskWaits          Kind = "task-waits"
	TaskSuspect        Kind = "task-suspect"
	JobAnswered        Kind = "job-answered"
	JobCancelled       Kind = "job-cancelled"
	JobJoined          Kind = "job-joined"
	JobYielded         Kind = "job-yielded"
	JobCancelPassed    Kind = "job-cancel-passed"
	HomeSilent         Kind = "home-silent"
	EntryIsolated      Kind = "entry-isolated"
	HallSuspected      Kind = "hall-suspected"
	HallFound          Kind = "hall-found"
	EntryStopped       Kind = "entry-stopped"
)

// Kinds of an agent's decisions.
const (
	EntryConnected        Kind = "entry-connected"
	EntryLost             Kind = "entry-lost"
	OwnerLeaseOver        Kind = "owner-lease-over"
	TargetIncarnation     Kind = "target-incarnation"
	TargetIncarnationOver Kind = "target-incarnation-over"
	HeartbeatHeldUp       Kind = "heartbeat-held-up"
	HeartbeatRefused      Kind = "heartbeat-refused"
	DocumentUnreadable    Kind = "document-unreadable"
	SpecNotFetched        Kind = "spec-not-fetched"
	SpecNotGiven          Kind = "spec-not-given"
	TargetServing         Kind = "target-serving"
	TargetDraining        Kind = "target-draining"
	TargetDeregistered    Kind = "target-deregistered"
	TargetEvacuated       Kind = "target-evacuated"
	TargetReturned        Kind = "target-returned"
	TargetEmpty           Kind = "target-empty"
	TargetCold            Kind = "target-cold"
	TargetHealth          Kind = "target-health"
	TargetLosingReplies   Kind = "target-losing-replies"
	RenewalFailed         Kind = "renewal-failed"
	StartRefused          Kind = "start-refused"
	StartUnanswered       Kind = "start-unanswered"
	StartRejected         Kind = "start-rejected"
	RunStopping           Kind = "run-stopping"
	RunEnded              Kind = "run-ended"
	StopFailed            Kind = "stop-failed"
	UnknownEnd            Kind = "unknown-end"
	ClaimHeld             Kind = "claim-held"
	ClaimTakenOver        Kind = "claim-taken-over"
	ClaimHolderSilent     Kind = "claim-holder-silent"
)

// Row describes a kind of line: docs/log-events.md is made from these.
type Row struct {
	Kind Kind
	// Routine lines are the first to be dropped where there are too many.
	Routine bool
	Meaning string
}

// Catalogue lists every kind.
var Catalogue = []Row{
	{Start, false, "A process begins: its role, name and data hall; an entry also what counts most for its callers."},
	{Stopping, false, "It was told to stop, and finishes what it has."},
	{Stop, false, "It ends."},
	{Fault, false, "It ends because of an error."},
	{SettingsReloaded, false, "The settings were read again after a SIGHUP."},
	{SettingsRefused, false, "They have an error; the earlier ones stay in force."},
	{ConfigTaken, false, "A newer configuration is in force, by its version."},
	{ConfigRefused, false, "A configuration could not be read."},
	{StoreLost, false, "A call to the platform's store has failed; it is repeated."},
	{StoreBack, false, "The store answers again."},
	{ValueUnreadable, false, "A value in the platform's store could not be read; it is passed over."},
	{LinesDropped, false, "How many lines of a kind were not written in the last second."},
	{DocumentAsked, false, "A peer knows a newer configuration and was asked for it."},
	{DocumentDeferred, false, "A peer asked for the configuration and did not get it: too much was sent just before."},
	{HallsEvacuated, false, "Which data halls are evacuated has changed: all of them, the revision of the operators' request, and from whom it was heard."},
	{ConnectionEnded, false, "A connection between an entry and an agent ended, and why; agent-lost or entry-lost follows."},
	{AgentUnreachable, false, "An entry can't connect to an agent, the first failure in a row; it tries again, ever less often."},
	{IntroductionFailed, false, "An agent could not make itself known to an entry; it tries again, ever less often."},
	{ForgetFailed, false, "The address of an agent that can't be reached could not be removed; it is tried again."},
	{ConfigAwaited, false, "A request came before the first configuration; it waits for it, as do those after it."},

	{AgentConnected, false, "An entry has a connection to an agent."},
	{AgentLost, false, "It has lost it: runs there may go on for the given time."},
	{AgentMoved, false, "An agent is at another address."},
	{AgentForgotten, false, "An agent could not be reached for minutes: its address is removed."},
	{AgentTargetEjected, false, "An agent has ejected its target: the runs there are moved."},
	{JobAccepted, true, "A job has come: its objective, the estimate and the caller's guess of its longest chain, how long the caller waits, how many jobs wait."},
	{JobRefused, false, "A job was refused before it was accepted."},
	{TaskPlaced, true, "A task was ordered at an agent: the age of the agent's state, the room that is left there, how long the job had waited."},
	{TaskMoved, false, "A run is stopped to be retried elsewhere."},
	{TaskWaits, true, "A task waits again: how its last run ended."},
	{TaskSuspect, false, "A target crashed with a run of the task at work: how often that was so. The task runs alone next, and is given up after the second time."},
	{JobAnswered, false, "The final answer to a job, its age and objective."},
	{JobCancelled, false, "Nobody waits for the job any more: its runs are stopped."},
	{JobJoined, false, "Another entry has the job already, or its answer: this one starts nothing and waits for it. From which home it was heard."},
	{JobYielded, false, "Another entry has the job, by the home of a lower rank: this one stops its runs and waits."},
	{JobCancelPassed, false, "A caller cancels a job that this entry does not have: whether a home knew of it."},
	{EntryIsolated, false, "Most agents are silent or lost: the entry takes itself to be cut off and starts no job that it has not claimed; or that is over."},
	{EntryStopped, false, "The process stood still for so long that its agents have given it up: it connects and claims anew."},
	{HallSuspected, false, "Several agents of a data hall are silent and none there is heard from: the hall counts as lost, and its connections are closed."},
	{HallFound, false, "An agent of such a hall was heard from: the hall gets work again."},
	{HomeSilent, false, "An agent left a claim unanswered: jobs get other homes until it is heard from."},

	{EntryConnected, false, "An agent has a connection of an entry."},
	{EntryLost, false, "It has lost it: the entry's runs are stopped."},
	{OwnerLeaseOver, false, "An entry was silent for its lease: its run is stopped."},
	{TargetIncarnation, false, "A heartbeat came from an incarnation of the target that is new here."},
	{TargetIncarnationOver, false, "A call was answered by another incarnation of the target."},
	{HeartbeatHeldUp, false, "A heartbeat came late: its incarnation of the target is not the one that answers."},
	{HeartbeatRefused, false, "A heartbeat could not be read, or lacks or misnames what every target sends, and why: nothing of it counts, and the last one stays."},
	{DocumentUnreadable, false, "A configuration could not be compressed or decompressed."},
	{SpecNotFetched, false, "The spec of an order did not come from the agent that the entry named: the order is rejected."},
	{SpecNotGiven, false, "Another agent asked for a spec, and the answer could not be sent."},
	{TargetServing, false, "No run of an earlier agent is left on the target: it takes work."},
	{TargetDraining, false, "The target drains: it gets no more work."},
	{TargetDeregistered, false, "The target is shutting down."},
	{TargetEvacuated, false, "The target's data hall is evacuated, by the request of that revision: it gets no new run; those there go on."},
	{TargetReturned, false, "The evacuation was taken back, after so long: the target takes work again."},
	{TargetEmpty, false, "The last run on a target in an evacuated hall has ended, so long after the request came into force here."},
	{TargetCold, false, "The target is cold for so long: it counts as slower, ever less, by what was learned of cold targets."},
	{TargetHealth, false, "The target was ejected, or has recovered."},
	{TargetLosingReplies, false, "The target left a call unanswered and answers others: a second renewal is kept under way."},
	{RenewalFailed, false, "A renewal of the target's lease was not accepted, the first in a row: why, or the error."},
	{StartRefused, true, "An order was not taken: what it needs, what is free, the age of the entry's lease."},
	{StartUnanswered, false, "The target did not answer a start: it may take effect yet. The error says why."},
	{StartRejected, false, "The target rejected a start."},
	{RunStopping, false, "A run is being stopped."},
	{RunEnded, true, "A run's end is certain: its time and estimate."},
	{StopFailed, false, "The target did not accept a stop: why, or the error. It is sent again until the end is listed."},
	{ClaimHeld, false, "An entry claims a job that another one has: it waits for the answer, or for the job."},
	{ClaimTakenOver, false, "A job goes to an entry that waited for it or came later: the other one gave it up and all its runs have ended, or it is lost and they are surely over."},
	{ClaimHolderSilent, false, "An entry was told that another one waits for its job, and was silent: it counts as lost."},
	{UnknownEnd, false, "The target listed an end of a kind that is not known; the task is started again."},
}

// routine has the kinds whose lines are dropped first.
var routine = index()

// index returns the routine kinds of the catalogue.
func index() map[Kind]bool {
	m := make(map[Kind]bool)
	for _, e := range Catalogue {
		if e.Routine {
			m[e.Kind] = true
		}
	}
	return m
}

// Markdown returns the catalogue as docs/log-events.md holds it.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n")
	b.WriteString("Made by `beaconpoint events`; a test compares this page with the code. Each line is JSON\n")
	b.WriteString("on standard output; `why` holds a numbered code of result-codes.md. Routine lines are the\n")
	b.WriteString("first to be dropped where a process writes too many.\n\n")
	b.WriteString("| event | routine | meaning |\n| --- | --- | --- |\n")
	for _, e := range Catalogue {
		mark := ""
		if e.Routine {
			mark = "yes"
		}
		fmt.Fprintf(&b, "| %s | %s | %s |\n", e.Kind, mark, e.Meaning)
	}
	return b.String()
}
