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
	// WorkerLease is how long the worker runs on without a renewal.
	WorkerLease = 800 * time.Millisecond
	// holdWait is how long the worker may wait with an answer for an end
	// while nothing runs; busyWait while something does: an answer that is
	// lost hides all ends until the next.
	holdWait = 250 * time.Millisecond
	busyWait = 30 * time.Millisecond
	// StartRetry is how long after it was sent a start without an answer is
	// sent again: Tick should be called then. callRetry is that of a stop.
	StartRetry = 20 * time.Millisecond
	callRetry  = 100 * time.Millisecond
	// offerTime is how long room is held for an entry that wants it.
	offerTime = 40 * time.Millisecond
	// stateInterval is the shortest time between two states for one entry, or
	// stateShare for each connected entry, where that is more: a change costs a
	// frame to each of them, and who needs to know at once has a want here.
	stateInterval = 8 * time.Millisecond
	stateShare    = 5 * time.Millisecond
	// staleReport is how long after its last heartbeat a worker counts as
	// gone, in which case it gets no more work.
	staleReport = 6 * time.Second
)

// Rules are the mechanisms that keep a task from running twice, each with a
// switch so that a test can show what happens without it.
type Rules struct {
	// OwnerLease is how long an entry may be silent.
	OwnerLease time.Duration
	// WorkerLease is how long the worker runs on without a renewal.
	WorkerLease time.Duration
	// Emptying has a new agent wait until nothing of an earlier one is left.
	Emptying bool
	// Fences gives each agent a higher fencing token than any before.
	Fences bool
	// Settling keeps the room of an unanswered start until it is sure that it
	// is not done any more.
	Settling bool
}

// DefaultRules returns the rules that hold in a real system.
func DefaultRules() Rules {
	return Rules{OwnerLease: OwnerLease, WorkerLease: WorkerLease, Emptying: true, Fences: true, Settling: true}
}

// ConnID names one connection of an entry. An entry that comes back by another
// connection owns nothing of the earlier one.
type ConnID uint64

// owner is an entry by one connection.
type owner struct {
	id      ConnID
	name    string
	echoed  time.Duration // the latest own stamp that it sent back
	seen    uint64        // its last frame
	want    *want
	out     peer.Frame    // what is to be sent
	profile *peer.Profile // the one that it was told last
	dirty   bool          // out has something
	changed bool          // the state has changed since it was told
	toldAt  time.Duration
	sentAt  time.Duration // when the last frame was sent
}

// Supervisor guards one worker.
type Supervisor struct {
	// Call starts a call to the worker; its answer comes back by
	// StartAnswered or StopAnswered.
	Start func(StartCall)
	Stop  func(StopCall)
	// Send sends a frame to an entry.
	Send func(ConnID, *peer.Frame)
	// Observe, where it is set, is told how long each stage of a run took.
	Observe func(Stage, time.Duration)
	// Log takes a line for each decision.
	Log *slog.Logger
	// Rules are as DefaultRules returns them, but in tests.
	Rules Rules

	report   *Report
	reportAt time.Duration
	profile  *peer.Profile // of the report; another one each time it changes
	empty    bool          // the worker is known to run nothing of an earlier agent
	leaving  bool          // the agent itself stops
	token    uint64
	lastSeen uint64
	clock    clock
	health   health
	// shakyUntil is until when the worker counts as one whose answers get lost.
	shakyUntil time.Duration
	// holdFaults is how many holds in a row were not answered well.
	holdFaults int
	// answeredAt is when the worker last answered a call.
	answeredAt time.Duration
	// listedAt is when it was asked for the lists that were last taken: what
	// has ended since is not known.
	// listedBefore is that of the lists before: a run that is listed as
	// ended now was at work then.
	listedAt, listedBefore time.Duration
	// promised is the latest deadline that the worker was ever given, on its
	// own clock.
	promised time.Duration

	runs    map[string]*run
	used    task.Needs
	owners  map[ConnID]*owner
	orphans map[string]int // by name: entries whose earlier connections have runs here
	offers  map[uint64]*offer
	offered uint64
}

// NewSupervisor returns a supervisor that knows no worker yet.
func NewSupervisor(log *slog.Logger) *Supervisor {
	return &Supervisor{
		Log:     log,
		Rules:   DefaultRules(),
		runs:    make(map[string]*run),
		owners:  make(map[ConnID]*owner),
		orphans: make(map[string]int),
		offers:  make(map[uint64]*offer),
		health:  newHealth(),
	}
}

// Stats is what a supervisor tells for its process's metrics.
type Stats struct {
	Runs, FreeCPU, Sick int
	Speed               float64
}

// Stats returns the present counts.
func (s *Supervisor) Stats(now time.Duration) Stats {
	st := Stats{Runs: len(s.runs), FreeCPU: s.free(now, nil).CPU, Speed: s.health.speed()}
	if s.health.sick {
		st.Sick = 1
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
	for _, o := range s.sortedOwners() {
		if o.name == name {
			s.disconnect(now, o) // its end may not have been noticed yet
		}
	}
	s.owners[id] = &owner{id: id, name: name, echoed: now, changed: true, toldAt: -time.Hour}
	s.Log.Info(event.EntryConnected, "entry", name, "conn", uint64(id))
}

// Disconnected stops what a lost connection's entry had running.
func (s *Supervisor) Disconnected(now time.Duration, id ConnID) {
	defer s.flush(now)
	if o := s.owners[id]; o != nil {
		s.disconnect(now, o)
	}
}

func (s *Supervisor) disconnect(now time.Duration, o *owner) {
	delete(s.owners, o.id)
	stopped := 0
	for _, r := range s.sortedRuns() {
		if r.owner != o {
			continue
		}
		stopped++
		s.orphans[o.name]++
		s.stop(now, r, code.RunOwnerGone)
	}
	for _, f := range s.offers {
		if f.owner == o {
			delete(s.offers, f.id)
		}
	}
	s.Log.Info(event.EntryLost, "entry", o.name, "conn", uint64(o.id), "stopped", stopped)
	s.changed()
}

// Heard takes an entry's frame.
func (s *Supervisor) Heard(now time.Duration, id ConnID, f *peer.Frame) {
	defer s.flush(now)
	o := s.owners[id]
	if o == nil {
		return
	}
	o.echoed = max(o.echoed, f.Echo)
	o.seen = f.Seq
	delete(s.offers, f.Offer)
	for _, order := range f.Starts {
		s.order(now, o, order, f)
	}
	for _, ref := range f.Stops {
		s.stopRef(now, o, ref)
	}
	if f.Want != nil || f.Offer != 0 {
		o.take(now, f.Want)
	}
	if len(f.Starts) > 0 || f.Offer != 0 {
		o.changed = true
	}
	s.deal(now)
}

// Tick looks at what has run out of time. It should be called each 50 ms.
func (s *Supervisor) Tick(now time.Duration) {
	defer s.flush(now)
	for _, r := range s.sortedRuns() {
		s.tickRun(now, r)
	}
	s.dropLapsed(now)
	for id, f := range s.offers {
		if now >= f.until {
			delete(s.offers, id)
			s.changed()
		}
	}
	if s.health.tick(s.listedAt, s.running()) {
		s.noteHealth()
	}
	s.deal(now)
}

// leased reports whether o's lease still runs.
func (s *Supervisor) leased(now time.Duration, o *owner) bool {
	return now-o.echoed <= s.Rules.OwnerLease
}
