// Package event names what the processes log: one line a decision, in JSON, by
// a log that is bounded and never blocks.
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
	LinesDropped     Kind = "lines-dropped"
)

// Kinds of an entry's decisions.
const (
	AgentConnected     Kind = "agent-connected"
	AgentLost          Kind = "agent-lost"
	AgentMoved         Kind = "agent-moved"
	AgentForgotten     Kind = "agent-forgotten"
	AgentTargetEjected Kind = "worker-sick"
	JobAccepted        Kind = "job-accepted"
	JobRefused         Kind = "job-refused"
	TaskPlaced         Kind = "task-placed"
	TaskMoved          Kind = "task-moved"
	TaskWaits          Kind = "task-waits"
	JobAnswered        Kind = "job-answered"
	JobCancelled       Kind = "job-cancelled"
)

// Kinds of an agent's decisions.
const (
	EntryConnected        Kind = "entry-connected"
	EntryLost             Kind = "entry-lost"
	OwnerLeaseOver        Kind = "owner-lease-over"
	TargetIncarnation     Kind = "worker-life"
	TargetIncarnationOver Kind = "worker-life-over"
	TargetServing         Kind = "worker-serving"
	TargetDraining        Kind = "worker-draining"
	TargetDeregistered    Kind = "worker-deregistered"
	TargetHealth          Kind = "worker-health"
	StartRefused          Kind = "start-refused"
	StartUnanswered       Kind = "start-unanswered"
	StartRejected         Kind = "start-rejected"
	RunStopping           Kind = "run-stopping"
	RunEnded              Kind = "run-ended"
)

// Entry describes a kind of line for people: docs/log-events.md is made from
// these.
type Entry struct {
	Kind Kind
	// Routine lines are the first to be dropped where there are too many.
	Routine bool
	Meaning string
}

// Catalogue lists every kind.
var Catalogue = []Entry{
	{Start, false, "A process begins: its role, name and zone."},
	{Stopping, false, "It was told to stop, and finishes what it has."},
	{Stop, false, "It ends."},
	{Fault, false, "It ends because of a fault."},
	{SettingsReloaded, false, "The settings were read again after a SIGHUP."},
	{SettingsRefused, false, "They have a fault; the earlier ones stay in force."},
	{ConfigTaken, false, "A newer configuration is in force, by its version."},
	{ConfigRefused, false, "A configuration could not be read."},
	{StoreLost, false, "A call to the platform's store has failed; it is repeated."},
	{StoreBack, false, "The store answers again."},
	{LinesDropped, false, "So many lines of a kind were not written in the last second."},

	{AgentConnected, false, "An entry has a connection to an agent."},
	{AgentLost, false, "It has lost it: its runs there are in doubt for the given time."},
	{AgentMoved, false, "An agent is at another address."},
	{AgentForgotten, false, "An agent could not be reached for minutes: its address is removed."},
	{AgentTargetEjected, false, "An agent tells that its worker is sick: runs there are moved."},
	{JobAccepted, true, "A job has come: its objective, the estimate and the caller's guess of its longest chain, how long the caller waits, how many jobs wait."},
	{JobRefused, false, "A job was turned away at the door."},
	{TaskPlaced, true, "A task was ordered at an agent: how old the agent's state was, the room it is believed to have left, how long the job had waited."},
	{TaskMoved, false, "A run is stopped to be tried elsewhere."},
	{TaskWaits, true, "A task that had no run any more waits again: how its last run ended."},
	{JobAnswered, false, "The final word on a job, its age and objective."},
	{JobCancelled, false, "Nobody waits for the job any more: its runs are stopped."},

	{EntryConnected, false, "An agent has a connection of an entry."},
	{EntryLost, false, "It has lost it: the entry's runs are stopped."},
	{OwnerLeaseOver, false, "An entry was silent for its lease: its run is stopped."},
	{TargetIncarnation, false, "A worker's heartbeat tells of a life that is new here."},
	{TargetIncarnationOver, false, "A call was answered by another life of the worker."},
	{TargetServing, false, "Nothing of an earlier agent is left on the worker: it takes work."},
	{TargetDraining, false, "The worker leaves: it gets no more work."},
	{TargetDeregistered, false, "The worker ends."},
	{TargetHealth, false, "The worker is judged sick, or well again."},
	{StartRefused, true, "An order was not taken: what it needs, what is free, the age of the entry's lease."},
	{StartUnanswered, false, "The worker did not answer a start: it may be done yet."},
	{StartRejected, false, "The worker rejected a start."},
	{RunStopping, false, "A run is being stopped."},
	{RunEnded, true, "A run's end is sure: its time and estimate."},
}

var routine = index()

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
