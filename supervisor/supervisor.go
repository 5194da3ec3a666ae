// Package supervisor is the authority on one target: it alone decides what starts
// there, renews the target's lease, and stops the runs whose entry is lost.
//
// It owns the truth about its target: room, runs, health, and which incarnation is
// up. It relies on the target for the end of each run, and on the entries (package
// owner) for what should run.
//
// Supervisor is a state machine without goroutines, clock or sockets. Its process
// (package node) calls it under one lock, passes the time of its steady clock and
// carries out its calls; package testutil/fleet calls it in virtual time. A method that
// handles something may send frames and begin calls before it returns; Stats, Idle,
// Pending, NextRenewal, LosingReplies and RenewalBackoff do not. The process
//
//   - passes on what comes: Heartbeat and Deregister from the target, Connected,
//     Receive and Disconnected from entries, StartAnswered and StopAnswered for the
//     calls that it was given;
//   - keeps one renewal under way: NextRenewal, the call, RenewalAnswered, a pause
//     of RenewalBackoff, and a second one beside it while LosingReplies;
//   - calls Tick each TickInterval, and StartRetry after each start;
//   - calls Flush when Pending says so, and Heartbeats.
//
// The parts, each with its own invariant:
//
//	incarnation.go  which incarnation of the target is up, and whether it may get work
//	reborn.go       a target that restarts under the id it had
//	lease.go        what the target was promised, and what its silence means
//	session.go      connections of entries, each with a lease of its own
//	run.go          one run, from its order until its end is certain
//	starting.go     calls that start it, and their answers
//	stopping.go     calls that stop it
//	spec.go         specs that orders leave out
//	reservation.go  room: never more in use and reserved than there is
//	health.go       when the target is ejected, and how it comes back
//	crash.go        runs that were at work when the target crashed
//	cold.go         how much slower the target is for being cold
//	renewal.go      the lists of the target, which alone tell of ends
//	state.go        what entries are told
//	evacuation.go   whether the target's data hall is evacuated
//	claim.go        jobs of which this agent is a home
//
// Invariant of them all: a run keeps its room, and its task stays taken, until it
// is certain that the target does not and will not work on it.
package supervisor

import (
	"log/slog"
	"math"
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/evacuation"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/stage"
)

// TickInterval is how often Tick should be called: it bounds how late leases and
// timeouts are noticed. Not measured.
const TickInterval = 30 * time.Millisecond

// Rules are the mechanisms that keep a task from running twice. They are as
// DefaultRules returns them, except in tests that show what happens without one.
type Rules struct {
	// OwnerLease is how long an entry may be silent before its runs are stopped.
	OwnerLease time.Duration
	// TargetLease is how long the target runs on without a renewal.
	TargetLease time.Duration
	// AwaitCleared has a new agent wait until no run of an earlier one is left.
	AwaitCleared bool
	// FencingTokens gives each agent a higher token than any before it.
	FencingTokens bool
	// KeepUnanswered keeps the room and the task of a start that was not answered
	// until it is certain that it can't take effect any more.
	KeepUnanswered bool
	// StopUnknown has runs stopped that this agent did not order.
	StopUnknown bool
	// RefuseEvacuated has nothing start on a target whose data hall is evacuated.
	RefuseEvacuated bool
}

// DefaultRules returns the rules of a real system.
func DefaultRules() Rules {
	return Rules{
		OwnerLease:     OwnerLease,
		TargetLease:    TargetLease,
		AwaitCleared:   true,
		FencingTokens:  true,
		KeepUnanswered: true,
		StopUnknown:    true,

		RefuseEvacuated: true,
	}
}

// Supervisor guards one target.
type Supervisor struct {
	// Start and Stop begin a call to the target. The process answers each with
	// StartAnswered or StopAnswered, at any later time.
	Start func(StartCall)
	Stop  func(StopCall)
	// FetchSpec asks the agent at an address for the spec of a job. The process answers
	// with SpecFetched.
	FetchSpec func(job, addr string)
	// Send sends a frame to an entry.
	Send func(ConnID, *peer.Frame)
	// ObserveStage is called with the duration of each stage of a run. May be nil.
	ObserveStage stage.Observer
	// Log receives one line for each decision.
	Log *slog.Logger
	// Rules are as DefaultRules returns them, except in tests.
	Rules Rules

	target  target
	lease   lease
	health  health
	warmth  warmth
	room    room
	leaving bool // the agent itself is stopping

	claims *claim.Registry // of the jobs of which this agent is a home

	evacuations evacuation.Set // the newest that was heard of
	// evacuatedSince is since when the target's hall is evacuated, zero: it is not.
	evacuatedSince time.Duration

	fleet  int         // the most agents that an entry has said to know of
	lapsed []lapsedRun // since the target was last heard from: see crash.go

	runs     map[string]*run // by the name that the target knows
	sessions map[ConnID]*session
	ordered  []*session // the same, by id
	// orphanRuns counts, by entry, the runs that were ordered by an earlier
	// connection and whose end is not certain yet.
	orphanRuns map[string]int
}

// NewSupervisor returns a supervisor that knows no target yet.
func NewSupervisor(log *slog.Logger) *Supervisor {
	s := &Supervisor{
		Log:        log,
		Rules:      DefaultRules(),
		health:     newHealth(),
		warmth:     newWarmth(),
		room:       room{reservations: make(map[uint64]*reservation)},
		runs:       make(map[string]*run),
		sessions:   make(map[ConnID]*session),
		orphanRuns: make(map[string]int),
	}
	s.claims = s.newClaims()
	return s
}

// Stats is what a supervisor tells for its process's metrics.
type Stats struct {
	Runs    int
	FreeCPU int     // in thousandths of a core
	Ejected int     // 1 while the target is ejected, else 0
	Speed   float64 // learned, 1 being usual
	// Evacuated is 1 while the target's data hall is evacuated, else 0.
	Evacuated int
}

// Stats returns the present counts.
func (s *Supervisor) Stats(now time.Duration) Stats {
	st := Stats{Runs: len(s.runs), FreeCPU: s.freeRoom(now, nil).CPU, Speed: s.speed(now)}
	if s.health.ejected {
		st.Ejected = 1
	}
	if s.evacuated() {
		st.Evacuated = 1
	}
	return st
}

// speed returns how fast a run that begins now is likely to be, 1 being as guessed.
func (s *Supervisor) speed(now time.Duration) float64 {
	return s.health.speed() * math.Exp(-s.warmth.slowness(now))
}

// Idle reports whether no run is left.
func (s *Supervisor) Idle() bool {
	return len(s.runs) == 0
}

// Leave makes the agent accept no new work because it is stopping itself. Runs go
// on.
func (s *Supervisor) Leave(now time.Duration) {
	defer s.flush(now)
	s.leaving = true
	s.markChanged()
}

// Tick acts on everything whose time has come: leases, timeouts of calls,
// reservations, overdue runs. It should be called each TickInterval.
func (s *Supervisor) Tick(now time.Duration) {
	defer s.flush(now)
	for _, r := range s.sortedRuns() {
		s.checkRun(now, r)
	}
	s.dropLapsed(now)
	s.checkCandidate(now)
	s.dropExpiredReservations(now)
	if s.health.checkOverdue(s.lease.listedAt, s.activeRuns()) {
		s.announceHealth(now)
	}
	if s.health.checkTrial(now) {
		s.markChanged()
	}
	s.reserveRoom(now)
	s.checkEssentials(now)
	s.claims.Tick(now)
}
