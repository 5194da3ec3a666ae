// Package supervisor is the authority on one worker: it decides what starts there,
// keeps the worker's lease, and stops what has lost its owner. It is a state
// machine without goroutines, clock or sockets; its process drives it under one
// lock and carries out its calls.
package supervisor

import (
	"log/slog"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// Times of leases. docs/design/platform.md has their sum.
const (
	// OwnerLease is how long an entry may be silent, counted from the stamp
	// that it echoed, before its runs are stopped.
	OwnerLease = 500 * time.Millisecond
	// TargetLease is how long the worker runs on without a renewal.
	TargetLease = 800 * time.Millisecond
	// idleWait is how long the worker may wait with an answer for an end
	// while nothing runs; busyWait while something does: an answer that is
	// lost hides all ends until the next.
	idleWait = 250 * time.Millisecond
	busyWait = 30 * time.Millisecond
	// StartRetry is how long after it was sent a start without an answer is
	// sent again: Tick should be called then. callRetry is that of a stop.
	StartRetry = 20 * time.Millisecond
	stopRetry  = 100 * time.Millisecond
	// reservationTime is how long room is held for an entry that wants it.
	reservationTime = 40 * time.Millisecond
	// stateInterval is the shortest time between two states for one entry, or
	// stateShare for each connected entry, where that is more: a change costs a
	// frame to each of them, and who needs to know at once has a want here.
	stateInterval = 8 * time.Millisecond
	stateShare    = 5 * time.Millisecond
	// maxHeartbeatAge is how long after its last heartbeat a worker counts as
	// gone, in which case it gets no more work.
	maxHeartbeatAge = 6 * time.Second
)

// Rules are the mechanisms that keep a task from running twice, each with a
// switch so that a test can show what happens without it.
type Rules struct {
	// OwnerLease is how long an entry may be silent.
	OwnerLease time.Duration
	// TargetLease is how long the worker runs on without a renewal.
	TargetLease time.Duration
	// AwaitCleared has a new agent wait until nothing of an earlier one is left.
	AwaitCleared bool
	// FencingTokens gives each agent a higher fencing token than any before.
	FencingTokens bool
	// KeepUnanswered keeps the room of an unanswered start until it is sure that it
	// is not done any more.
	KeepUnanswered bool
}

// DefaultRules returns the rules that hold in a real system.
func DefaultRules() Rules {
	return Rules{OwnerLease: OwnerLease, TargetLease: TargetLease, AwaitCleared: true, FencingTokens: true, KeepUnanswered: true}
}

// ConnID names one connection of an entry. An entry that comes back by another
// connection owns nothing of the earlier one.
type ConnID uint64

// session is an entry by one connection.
type session struct {
	id           ConnID
	name         string
	leaseFrom    time.Duration // the latest own stamp that it sent back
	seenSeq      uint64        // its last frame
	roomRequest  *roomRequest
	out          peer.Frame    // what is to be sent
	profile      *peer.Profile // the one that it was told last
	dirty        bool          // out has something
	stateChanged bool          // the state has changed since it was told
	stateSentAt  time.Duration
	sentAt       time.Duration // when the last frame was sent
}

// Supervisor guards one worker.
type Supervisor struct {
	// Call starts a call to the worker; its answer comes back by
	// StartAnswered or StopAnswered.
	Start func(StartCall)
	Stop  func(StopCall)
	// Send sends a frame to an entry.
	Send func(ConnID, *peer.Frame)
	// ObserveStage, where it is set, is told how long each stage of a run took.
	ObserveStage func(Stage, time.Duration)
	// Log takes a line for each decision.
	Log *slog.Logger
	// Rules are as DefaultRules returns them, but in tests.
	Rules Rules

	report   *Report
	reportAt time.Duration
	profile  *peer.Profile // of the report; another one each time it changes
	cleared  bool          // the worker is known to run nothing of an earlier agent
	leaving  bool          // the agent itself stops
	token    uint64
	lastSeen uint64
	clock    clock
	health   health
	// losingRepliesUntil is until when the worker counts as one whose answers get lost.
	losingRepliesUntil time.Duration
	// failedRenewals is how many holds in a row were not answered well.
	failedRenewals int
	// lastReplyAt is when the worker last answered a call.
	lastReplyAt time.Duration
	// listedAt is when it was asked for the lists that were last taken: what
	// has ended since is not known.
	// listedBefore is that of the lists before: a run that is listed as
	// ended now was at work then.
	listedAt, listedBefore time.Duration
	// maxDeadline is the latest deadline that the worker was ever given, on its
	// own clock.
	maxDeadline time.Duration

	runs          map[string]*run
	used          task.Needs
	sessions      map[ConnID]*session
	orphanRuns    map[string]int // by name: entries whose earlier connections have runs here
	reservations  map[uint64]*reservation
	reservationID uint64
}

// NewSupervisor returns a supervisor that knows no worker yet.
func NewSupervisor(log *slog.Logger) *Supervisor {
	return &Supervisor{
		Log:          log,
		Rules:        DefaultRules(),
		runs:         make(map[string]*run),
		sessions:     make(map[ConnID]*session),
		orphanRuns:   make(map[string]int),
		reservations: make(map[uint64]*reservation),
		health:       newHealth(),
	}
}

// Stats is what a supervisor tells for its process's metrics.
type Stats struct {
	Runs, FreeCPU, Ejected int
	Speed                  float64
}

// Stats returns the present counts.
func (s *Supervisor) Stats(now time.Duration) Stats {
	st := Stats{Runs: len(s.runs), FreeCPU: s.freeRoom(now, nil).CPU, Speed: s.health.speed()}
	if s.health.ejected {
		st.Ejected = 1
	}
	return st
}

// Idle reports whether nothing runs.
func (s *Supervisor) Idle() bool {
	return len(s.runs) == 0
}

// Connected takes note of a new connection of an entry.
func (s *Supervisor) Connected(now time.Duration, id ConnID, name string) {
	defer s.flush(now)
	for _, o := range s.sortedSessions() {
		if o.name == name {
			s.disconnect(now, o) // its end may not have been noticed yet
		}
	}
	s.sessions[id] = &session{id: id, name: name, leaseFrom: now, stateChanged: true, stateSentAt: -time.Hour}
	s.Log.Info(event.EntryConnected, "entry", name, "conn", uint64(id))
}

// Disconnected stops what a lost connection's entry had running.
func (s *Supervisor) Disconnected(now time.Duration, id ConnID) {
	defer s.flush(now)
	if o := s.sessions[id]; o != nil {
		s.disconnect(now, o)
	}
}

func (s *Supervisor) disconnect(now time.Duration, o *session) {
	delete(s.sessions, o.id)
	stopped := 0
	for _, r := range s.sortedRuns() {
		if r.session != o {
			continue
		}
		stopped++
		s.orphanRuns[o.name]++
		s.stop(now, r, code.RunOwnerGone)
	}
	for _, f := range s.reservations {
		if f.session == o {
			delete(s.reservations, f.id)
		}
	}
	s.Log.Info(event.EntryLost, "entry", o.name, "conn", uint64(o.id), "stopped", stopped)
	s.markChanged()
}

// Receive takes an entry's frame.
func (s *Supervisor) Receive(now time.Duration, id ConnID, f *peer.Frame) {
	defer s.flush(now)
	o := s.sessions[id]
	if o == nil {
		return
	}
	o.leaseFrom = max(o.leaseFrom, f.Echo)
	o.seenSeq = f.Seq
	delete(s.reservations, f.UsedReservation)
	for _, order := range f.Starts {
		s.takeOrder(now, o, order, f)
	}
	for _, ref := range f.Stops {
		s.stopRef(now, o, ref)
	}
	if f.RoomRequest != nil || f.UsedReservation != 0 {
		o.setRoomRequest(now, f.RoomRequest)
	}
	if len(f.Starts) > 0 || f.UsedReservation != 0 {
		o.stateChanged = true
	}
	s.reserveRoom(now)
}

// Tick looks at what has run out of time. It should be called each 50 ms.
func (s *Supervisor) Tick(now time.Duration) {
	defer s.flush(now)
	for _, r := range s.sortedRuns() {
		s.checkRun(now, r)
	}
	s.dropLapsed(now)
	for id, f := range s.reservations {
		if now >= f.until {
			delete(s.reservations, id)
			s.markChanged()
		}
	}
	if s.health.checkOverdue(s.listedAt, s.running()) {
		s.announceHealth()
	}
	s.reserveRoom(now)
}

// leased reports whether o's lease still runs.
func (s *Supervisor) leased(now time.Duration, o *session) bool {
	return now-o.leaseFrom <= s.Rules.OwnerLease
}
