// Package supervisor controls one target: it decides which runs start there, renews the
// target's lease, and stops the runs of entries that are lost.
//
// The package holds the authoritative state of the target: its free resources, runs, health
// and incarnation. Entries (package owner) order runs and stops; the target reports the end
// of each run.
//
// Supervisor is a state machine without goroutines, clock or sockets. Its process (package
// node) calls it under one lock, passes the time of a monotonic clock and carries out its
// calls; package testutil/fleet runs it in virtual time. Methods that handle an input may
// send frames and begin calls before they return; Stats, Claims, Idle, Pending, NextRenewal,
// NeedsSecondRenewal, RenewalBackoff, Spec and SilentTooLong do not. The process
//
//   - passes on every input: Heartbeat and Deregister from the target, Connected,
//     Receive and Disconnected from entries, StartAnswered, StopAnswered and SpecFetched
//     for the calls it was asked to make, Evacuate for the evacuated halls, and BeginShutdown
//     when the agent shuts down;
//   - keeps one renewal in progress: NextRenewal, the call, RenewalAnswered, a pause
//     of RenewalBackoff; and a second renewal in parallel while NeedsSecondRenewal is true;
//   - calls Tick every TickInterval, and additionally at StartRetry after each start;
//   - calls Flush after the delay that Pending returns, and SendHeartbeats regularly.
//
// The files, by responsibility:
//
//	call.go         calls to the target, their results, and the content of its heartbeat
//	incarnation.go  which incarnation of the target is current, and whether it accepts work
//	restart.go      restarts of a target under the same id
//	lease.go        the target's lease, and detection of a silent target
//	clock.go        lower bound of the target's clock
//	session.go      connections of entries, each with its own lease
//	run.go          the life of a run, from its order until its end is certain
//	starting.go     start calls and their answers
//	tries.go        the start calls of one run
//	stopping.go     stop calls and their answers
//	spec.go         specs that an order omits
//	reservation.go  resource accounting: resources in use, and reservations of sessions
//	health.go       ejection and recovery of the target
//	baseline.go     the target's normal ratio of run time to learned estimate
//	crash.go        runs that were active when the target crashed
//	warmup.go       slowdown of a target that is warming up
//	renewal.go      lists of runs that the target returns with each renewal
//	state.go        target state sent to entries
//	evacuation.go   evacuation of the target's data hall
//	claim.go        claims of jobs that have this agent as a home
//	log.go          one function per log line
//
// Invariant: a run keeps its resources, and no other run of its task starts here, until it
// is certain that the target is not working on it and will not start to.
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

// TickInterval is how often Tick should be called. It bounds the delay in noticing expired
// leases and timeouts.
const TickInterval = 30 * time.Millisecond

// Rules are the mechanisms that keep a task from running twice, or from starting in an
// evacuated hall. They have the values of DefaultRules, except in tests that show what fails
// without one of them.
type Rules struct {
	// OwnerLease is how long an entry may be silent before its runs are stopped.
	OwnerLease time.Duration
	// TargetLease is how long the target keeps its runs without a renewal.
	TargetLease time.Duration
	// AwaitCleared makes a new agent reject all starts until no run of an earlier agent is left.
	AwaitCleared bool
	// FencingTokens gives each agent a higher token than any agent before it.
	FencingTokens bool
	// KeepUnansweredStarts keeps the resources and the task of an unanswered start until it is
	// certain that the start can no longer take effect.
	KeepUnansweredStarts bool
	// AwaitOpenStarts keeps a run while one of its starts may still take effect, although another
	// one was rejected.
	AwaitOpenStarts bool
	// StopUnknownRuns stops runs that this agent did not order.
	StopUnknownRuns bool
	// RefuseEvacuated rejects all starts on a target whose data hall is evacuated.
	RefuseEvacuated bool
}

// DefaultRules returns the rules for production use.
func DefaultRules() Rules {
	return Rules{
		OwnerLease:           OwnerLease,
		TargetLease:          TargetLease,
		AwaitCleared:         true,
		FencingTokens:        true,
		KeepUnansweredStarts: true,
		AwaitOpenStarts:      true,
		StopUnknownRuns:      true,

		RefuseEvacuated: true,
	}
}

// Supervisor controls one target.
type Supervisor struct {
	// Start and Stop begin a call to the target. The process passes the result of each to
	// StartAnswered or StopAnswered at any later time.
	Start func(StartCall)
	Stop  func(StopCall)
	// FetchSpec requests the spec of a job from the agent at an address. The process passes
	// the result to SpecFetched.
	FetchSpec func(job, addr string)
	// Send sends a frame to an entry.
	Send func(ConnID, *peer.Frame)
	// ObserveStage receives the duration of each stage of a run; may be nil.
	ObserveStage stage.Observer
	// Log receives one line per decision.
	Log *slog.Logger
	// Rules has the value of DefaultRules, except in tests.
	Rules Rules

	target       target
	lease        lease
	health       health
	warmup       warmup
	room         room
	shuttingDown bool // set while the agent itself shuts down

	claims *claim.Registry // claims of the jobs that have this agent as a home

	evacuations evacuation.Set // newest set received
	// evacuatedSince is when the evacuation of the target's hall began; zero if it is not
	// evacuated.
	evacuatedSince time.Duration

	fleetSize int         // highest number of agents reported by an entry
	lapsed    []lapsedRun // since the target's last answer; see crash.go

	runs           map[string]*run // by the task name used by the target
	sessions       map[ConnID]*session
	sortedSessions []*session // the same sessions, sorted by id
	// orphanRuns counts, by entry name, the runs that were ordered on an earlier connection
	// and have not certainly ended.
	orphanRuns map[string]int
}

// NewSupervisor returns a supervisor with no known target.
func NewSupervisor(log *slog.Logger) *Supervisor {
	s := &Supervisor{
		Log:        log,
		Rules:      DefaultRules(),
		health:     newHealth(),
		warmup:     newWarmup(),
		room:       room{reservations: make(map[uint64]*reservation)},
		runs:       make(map[string]*run),
		sessions:   make(map[ConnID]*session),
		orphanRuns: make(map[string]int),
	}
	s.claims = s.newClaims()
	return s
}

// Stats holds the figures that a supervisor exposes as metrics.
type Stats struct {
	Runs    int
	FreeCPU int     // thousandths of a core
	Ejected int     // 1 while the target is ejected, else 0
	Speed   float64 // expected speed, including the warm-up; 1 is nominal
	// Evacuated is 1 while starts are rejected because the target's data hall is evacuated,
	// else 0.
	Evacuated int
}

// Stats returns the current figures.
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

// speed returns the expected speed of a run that starts at now; at 1, it takes as long as
// the caller's estimate.
func (s *Supervisor) speed(now time.Duration) float64 {
	return s.health.speed() * math.Exp(-s.warmup.logSlowdown(now))
}

// Idle reports whether there are no runs.
func (s *Supervisor) Idle() bool {
	return len(s.runs) == 0
}

// BeginShutdown makes the agent reject new work because it is shutting down. Active runs continue.
func (s *Supervisor) BeginShutdown(now time.Duration) {
	defer s.flush(now)
	s.shuttingDown = true
	s.markChanged()
}

// Tick handles everything that is due: expired leases of entries and of the target, retries
// of starts and stops, time limits of runs, specs that have not arrived, a candidate for the
// current incarnation, expired reservations, overdue runs, the trial of an ejected target,
// and claims. It should be called every TickInterval.
func (s *Supervisor) Tick(now time.Duration) {
	defer s.flush(now)
	for _, r := range s.sortedRuns() {
		s.checkRun(now, r)
	}
	s.endLapsedRuns(now)
	s.checkCandidate(now)
	s.dropExpiredReservations(now)
	if s.health.checkOverdue(s.lease.listedAt, s.activeRuns()) {
		s.healthChanged(now)
	}
	if s.health.checkTrial(now) {
		s.markChanged()
	}
	s.reserveRoom(now)
	s.checkCoreState(now)
	s.claims.Tick(now)
}
