// Package owner decides about the jobs of one entry: whether a job is taken, in
// which order waiting jobs are served, on which target each task runs, when a run
// is stopped and retried, and when a job is refused or given up.
//
// It owns the jobs whose callers are connected to this entry, and what the entry
// believes of each agent. It relies on the agents (package supervisor) for the
// truth about their targets: room, health, and the end of every run.
//
// Owner is a state machine without goroutines, clock or sockets. Its process
// (package node) calls it under one lock and passes the time of its steady clock;
// package testutil/fleet calls it in virtual time. What happens to it is in four files:
//
//	callers.go     jobs come, callers leave
//	connection.go  what agents tell
//	tick.go        time has passed
//	flush.go       what is decided goes out to the agents
//
// Each rule that decides is a small function of plain values in a file of its own;
// docs/decisions.md lists them:
//
//	admission.go   whether a job is taken at all
//	order.go       which waiting job is served first
//	placement.go   on which target a task runs
//	watch.go       which agents this entry uses
//	reservation.go which agents are asked for room
//	refusal.go     when a job is refused or given up
//	spec.go        what orders say of a job's spec
//	comeback.go    when the caller of a job that was not done should come back
//	retry.go       when a run is stopped, and when and where its task runs again
//	suspect.go     tasks under which targets crash
//	evacuation.go  which data halls get no work
//	claim.go       whether another entry has a job
//	home.go        at which agents a job is claimed
//	settlement.go  what homes are told of it, and tell of others
//	stopped.go     this process was stopped for a while
//	ending.go      whether runs of a dropped job are left
//	outage.go      which data halls are suspected to be lost
//	release.go     which connections are not needed, and whether more are
//	isolation.go   whether this entry is cut off
//	cancel.go      jobs that callers cancel, here or at another entry
//	estimates.go   how long the tasks of a job are likely to take
//
// Invariants: a task has at most one run that may still be at work (phases placed
// and uncertain); a job is refused only while no order of it has reached a target;
// every caller that still waits gets exactly one answer.
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

// ClearTime is how long after the last frame to a lost agent a run that this entry
// ordered there may still be at work: the entry's lease at the agent (500 ms), the
// target's lease on a clock that is 2% slow (816 ms), the stop (50 ms) and late
// timers (84 ms). docs/design/platform.md has the sum.
const ClearTime = peer.ClearTime

// TickInterval is how often Tick should be called: deadlines and refusals are
// noticed that late at the most. Not measured.
const TickInterval = 20 * time.Millisecond

// Owner holds the jobs of one entry.
type Owner struct {
	// Send sends a frame to an agent and returns the frame's sequence number,
	// zero where there is no connection.
	Send func(agent string, f *peer.Frame) uint64
	// ObserveStage is called with the duration of each stage of a job. May be
	// nil.
	ObserveStage stage.Observer
	// CountAnswer is called with the cause of each answer. May be nil.
	CountAnswer func(code.Code)
	// Log receives one line for each decision.
	Log *slog.Logger
	// ClearTime is the constant of that name, except in tests.
	ClearTime time.Duration
	// FarFactor is how many times as long a task takes away from its data.
	FarFactor float64
	// Addr returns the address at which an agent takes connections of other agents.
	Addr func(agent string) string
	// ClaimTimeout is DefaultClaimTimeout, except in tests.
	ClaimTimeout time.Duration
	// Homes is how many homes a job has; zero: jobs are not claimed.
	Homes int
	// AwaitEndings has a dropped job wait for the ends of its runs before it may start anew,
	// except in tests that show what happens without.
	AwaitEndings bool
	// TrustStopped has the process go on after it was stopped as if nothing had happened, in such
	// tests.
	TrustStopped bool
	// Term is what counts most.
	Term Term
	// IsHome reports whether jobs may be claimed at an agent; nil: at each.
	IsHome func(agent string) bool
	// IsOwn reports whether an agent is one of those in which this entry's tasks run, as long as
	// they have room; nil: each is.
	IsOwn func(agent string) bool
	// Partial says that there are agents which the process does not connect to.
	Partial bool
	// Random returns a random number from 0 to below n.
	Random func(n int) int

	jobs   map[string]*job   // by id
	queues map[string]*queue // by service

	agents  map[string]*agent // by name; removed by Release alone
	byName  []*agent          // the same, sorted
	watched []*agent          // those that are watched, sorted: see watch.go
	dirty   []*agent          // those that a frame is due to
	// lastJobAt is when the last job came.
	lastJobAt time.Duration

	estimators map[string]*estimate.Estimator // by queue of the configuration

	dropped      map[string]*droppedJob // by id: jobs that were dropped and have runs
	lookups      map[string]*lookup     // by id: cancellations of jobs that are not owned
	shuttingDown bool                   // the process is about to end
	suspected    map[string]bool        // halls that are suspected to be lost
	// missingLabel says that a job asks for a label which no connected agent has.
	missingLabel    bool
	lastNoContactAt time.Duration // when no agent had been heard from for freshTime
	// isolated says that most agents are silent or lost: see isolation.go.
	isolated bool
	// partitioned says that so are most, but a whole hall is reached.
	partitioned   bool
	isolatedUntil time.Duration // until when it counts as isolated since its first connection
	// tickedAt is when the last tick was, lateTickAt when the last one that was late.
	lastTickAt, lastLateTickAt time.Duration
	// stoppedUntil is when the process went on after it was stopped: see stopped.go.
	stoppedUntil time.Duration

	link uplink

	evacuations evacuation.Set // the newest that was heard of
	// firstConnectedAt is when the first agent connected, zero before.
	firstConnectedAt time.Duration

	callers uint64 // the last number given to a caller
	stats   Stats
}

// Stats counts outcomes since the start.
type Stats struct {
	// Submitted jobs were accepted; each ends as one of the next five. Refused
	// counts those that were not accepted, too.
	Submitted, Completed, Failed, GivenUp, Refused, Cancelled uint64
	// Starts are orders sent to agents, Rejected those that did not begin, Moved
	// the runs that were stopped to be retried elsewhere, Relayed the orders that named
	// an agent which has the spec.
	Starts, Rejected, Moved, Relayed uint64
	// Joined jobs were at another entry or answered already, Yielded ones were stopped
	// here since another entry has them; SilentHomes are agents that left a claim
	// unanswered.
	Joined, Yielded, SilentHomes uint64
	// HallsSuspected counts how often a data hall was suspected to be lost.
	HallsSuspected uint64
}

// NewOwner returns an owner without jobs and agents.
func NewOwner(log *slog.Logger) *Owner {
	return &Owner{
		Log:          log,
		FarFactor:    1,
		Random:       rand.IntN,
		ClearTime:    ClearTime,
		jobs:         make(map[string]*job),
		queues:       make(map[string]*queue),
		agents:       make(map[string]*agent),
		estimators:   make(map[string]*estimate.Estimator),
		dropped:      make(map[string]*droppedJob),
		lookups:      make(map[string]*lookup),
		suspected:    make(map[string]bool),
		Homes:        DefaultHomes,
		ClaimTimeout: DefaultClaimTimeout,
		AwaitEndings: true,
	}
}

// Stats returns the counts.
func (o *Owner) Stats() Stats {
	return o.stats
}

// Watched returns how many agents are watched.
func (o *Owner) Watched() int {
	return len(o.watched)
}

// LinkQueue returns how long the host's link takes for what it has queued, as estimated.
func (o *Owner) LinkQueue(now time.Duration) time.Duration {
	return o.link.delay(now, 0)
}

// Jobs returns how many jobs are owned.
func (o *Owner) Jobs() int {
	return len(o.jobs)
}

// queue returns the queue of a service.
func (o *Owner) queue(service string) *queue {
	q := o.queues[service]
	if q == nil {
		q = &queue{service: service, usualSpeed: o.usualSpeed(service)}
		o.queues[service] = q
	}
	return q
}

// requeue puts j back into its queue if it is still owned and has a task to start.
func (o *Owner) requeue(now time.Duration, j *job) {
	if o.jobs[j.spec.ID] == j && j.startable() {
		j.queue.add(now, j)
	}
}
