// Package owner schedules the jobs of one entry. It decides whether a job is accepted, in which
// order waiting jobs are served, on which target each task runs, when a run is stopped and
// retried, and when a job is refused or given up.
//
// It owns the jobs whose callers are connected to this entry and caches the state of each
// agent. The agents (package supervisor) are authoritative for their targets: room, health and
// the end of every run.
//
// Owner is a state machine without goroutines, clock or sockets. Its process (package node)
// calls it under one lock and passes the time of a monotonic clock; package testutil/fleet
// calls it in virtual time. Most inputs and outputs are in five files:
//
//	callers.go     submission of jobs, and callers that no longer wait
//	cancel.go      cancellation of jobs, here or at another entry
//	connection.go  connections to agents and frames received from them
//	tick.go        periodic work
//	flush.go       frames sent to agents
//
// Each group of rules has a file of its own; docs/decisions.md lists the rules:
//
//	admission.go   whether a job is accepted
//	rank.go        the order in which waiting jobs are served
//	placement.go   the target on which a task runs
//	watch.go       the agents that this entry watches
//	reservation.go the agents from which room is requested
//	refusal.go     when a job is refused or given up
//	spec.go        whether an order carries its job's spec or a reference to it
//	retry_after.go when the caller of a job that was not done should submit it again
//	retry.go       when a run is stopped, and when and where its task runs again
//	crash.go       tasks under which targets crash
//	evacuation.go  data halls that get no work
//	claim.go       claims that keep a job at a single entry
//	home.go        the agents at which a job is claimed
//	settlement.go  notices to homes and remote waiters
//	suspension.go  recovery after this process was suspended
//	dropped.go     dropped jobs with runs that have not ended
//	hall_outage.go data halls that are suspected to be lost
//	release.go     connections that are no longer needed
//	isolation.go   whether this entry is cut off from most agents
//	estimates.go   estimates of task durations
//	rate.go        the rate at which targets accept this entry's work
//	goal.go        the refusal policy
//
// The state that the rules use is in job.go, queue.go and agent.go. answer.go ends jobs, and
// log.go writes most log lines.
//
// Invariants: a task has at most one run that may be active, either in the phases placed and
// uncertain or as a dropped run (dropped.go); a job is refused only while none of its orders has
// reached a target; every caller that still waits gets exactly one answer.
package owner

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/estimate"
	"github.com/beaconpoint/beaconpoint/evacuation"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/stage"
)

// ClearTime is how long after the last frame to a lost agent a run that this entry ordered
// there may still be active; see peer.ClearTime.
const ClearTime = peer.ClearTime

// TickInterval is the interval at which Tick should be called, and so the maximum delay of
// deadlines and refusals.
const TickInterval = 20 * time.Millisecond

// Owner holds the jobs of one entry.
type Owner struct {
	// Send sends a frame to an agent and returns its sequence number, or zero without a
	// connection. It must be set.
	Send func(agent string, f *peer.Frame) uint64
	// ObserveStage is called with the duration of each stage of a job. It may be nil.
	ObserveStage stage.Observer
	// CountAnswer is called with the cause of each answer. It may be nil.
	CountAnswer func(code.Code)
	// Log receives the events of package event that an Owner writes. Watches, room requests and
	// reservations are not logged.
	Log *slog.Logger
	// ClearTime overrides the constant of the same name in tests.
	ClearTime time.Duration
	// FarFactor is the factor by which a task takes longer on a target without its data.
	FarFactor float64
	// Addr returns the address at which an agent accepts connections of other agents. It must
	// be set if SetLink sets a rate.
	Addr func(agent string) string
	// ClaimTimeout overrides DefaultClaimTimeout in tests.
	ClaimTimeout time.Duration
	// Homes is the number of homes of a job. If zero, jobs are not claimed.
	Homes int
	// WaitForDroppedRuns makes a dropped job wait for its runs to end before it may start again. Only
	// tests unset it.
	WaitForDroppedRuns bool
	// SkipSuspendRecovery disables the recovery after a suspension of this process. Only tests set it.
	SkipSuspendRecovery bool
	// Goal selects the refusal policy.
	Goal Goal
	// IsHome reports whether jobs may be claimed at an agent. If nil, jobs may be claimed at
	// every agent.
	IsHome func(agent string) bool
	// IsPreferred reports whether an agent is one that this entry prefers while it has room. If
	// nil, every agent is preferred.
	IsPreferred func(agent string) bool
	// PartiallyConnected is set if there are agents to which the process does not connect.
	PartiallyConnected bool
	// Random returns a random number in [0, n).
	Random func(n int) int

	jobs   map[string]*job          // by id
	queues map[string]*serviceQueue // by service

	agents  map[string]*agent // by name; only Release deletes
	byName  []*agent          // the same agents, sorted by name
	watched []*agent          // watched agents, sorted by name
	dirty   []*agent          // agents with a frame to send
	// lastJobAt is when the last job was submitted.
	lastJobAt time.Duration

	estimators map[string]*estimate.Estimator // by configured queue

	dropped        map[string]*droppedJob    // by id: dropped jobs with runs that have not ended
	pendingCancels map[string]*pendingCancel // by id: pending cancellations of jobs that this entry does not own
	shuttingDown   bool                      // the process is about to exit
	suspectedHalls map[string]bool           // data halls that are suspected to be lost
	// missingLabel records that a job requires a label which no connected agent has.
	missingLabel bool
	// lastNoContactAt is the last tick at which the latest frame from any agent was older than
	// maxContactAge.
	lastNoContactAt time.Duration
	// isolated reports whether most agents are silent or lost and no data hall is mostly
	// reachable, or isolatedUntil has not passed.
	isolated bool
	// partitioned reports whether most agents are silent or lost, but a data hall is mostly
	// reachable.
	partitioned bool
	// isolatedUntil is the end of the isolation that follows the first connection or a
	// suspension.
	isolatedUntil time.Duration
	// lastTickAt is the time of the last tick, lastLateTickAt that of the last late one.
	lastTickAt, lastLateTickAt time.Duration
	// resumedAt is when the process last resumed after a suspension.
	resumedAt time.Duration

	link uplink

	evacuations evacuation.Set // latest known
	// firstConnectedAt is when the first agent connected, zero before that.
	firstConnectedAt time.Duration

	callers uint64 // last number assigned to a caller
	stats   Stats
}

// Stats counts events since the start of the process.
type Stats struct {
	// Accepted counts accepted jobs; each ends as one of the next five. Refused also counts
	// jobs that were not accepted.
	Accepted, Completed, Failed, GivenUp, Refused, Cancelled uint64
	// Starts counts orders sent to agents, Rejected the orders whose run did not begin, Moved
	// the runs stopped to be retried elsewhere, and Relayed the orders that refer to another
	// agent for the spec.
	Starts, Rejected, Moved, Relayed uint64
	// Joined counts jobs that another entry held or had answered, and the replies
	// claim.Held that contest a job started here. Yielded counts the jobs stopped here because
	// another entry holds them, and SilentHomes the agents that left a claim unanswered.
	Joined, Yielded, SilentHomes uint64
	// HallsSuspected counts how often a data hall was suspected to be lost.
	HallsSuspected uint64
}

// NewOwner returns an owner without jobs or agents.
func NewOwner(log *slog.Logger) *Owner {
	return &Owner{
		Log:                log,
		FarFactor:          1,
		Random:             rand.IntN,
		ClearTime:          ClearTime,
		jobs:               make(map[string]*job),
		queues:             make(map[string]*serviceQueue),
		agents:             make(map[string]*agent),
		estimators:         make(map[string]*estimate.Estimator),
		dropped:            make(map[string]*droppedJob),
		pendingCancels:     make(map[string]*pendingCancel),
		suspectedHalls:     make(map[string]bool),
		Homes:              DefaultHomes,
		ClaimTimeout:       DefaultClaimTimeout,
		WaitForDroppedRuns: true,
	}
}

// Stats returns the counters.
func (o *Owner) Stats() Stats {
	return o.stats
}

// Watched returns the number of watched agents.
func (o *Owner) Watched() int {
	return len(o.watched)
}

// LinkDelay returns the estimated time that the host's link needs to drain its send queue.
func (o *Owner) LinkDelay(now time.Duration) time.Duration {
	return o.link.delay(now, 0)
}

// Jobs returns the number of owned jobs.
func (o *Owner) Jobs() int {
	return len(o.jobs)
}

// queue returns the queue of a service and creates it if necessary.
func (o *Owner) queue(service string) *serviceQueue {
	q := o.queues[service]
	if q == nil {
		q = &serviceQueue{service: service, usualSpeed: o.usualSpeed(service)}
		o.queues[service] = q
	}
	return q
}

// requeue puts j back into its queue if j is still owned and has a task to start.
func (o *Owner) requeue(now time.Duration, j *job) {
	if o.jobs[j.desc.ID] == j && j.startable() {
		j.queue.add(now, j)
	}
}
