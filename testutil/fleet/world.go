// Package fleet simulates a fleet of entries and agents as discrete events in virtual time. It
// drives their state machines with emulated targets, callers and links, and injects faults:
// process kills, freezes, network cuts, lost and delayed calls, crashing and failing targets.
// It checks every run start and every answer against the invariants, records the first
// violation, and computes what the jobs of a workload earned. The same seed always produces the
// same history. The checks at its end run in random order, so that the first violation found by
// them may differ.
package fleet

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/beaconpoint/beaconpoint/owner"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/supervisor"
	"github.com/beaconpoint/beaconpoint/task"
	"github.com/beaconpoint/beaconpoint/testutil/vtime"
)

const service = "trackd"

// Delays of the emulated platform, as the platform's documentation and package node define
// them.
const (
	minLatency        = time.Millisecond        // one way
	resendDelay       = 1300 * time.Millisecond // of a caller after a broken connection
	heartbeatInterval = 1500 * time.Millisecond // of a target
	redialDelay       = 50 * time.Millisecond   // of an entry to an agent
	minRestartDelay   = 20 * time.Millisecond   // of a process
)

// Config configures a World.
type Config struct {
	Seed            uint64
	Entries, Agents int
	// Uptime is the reading of all clocks at the start of the history; zero means one second.
	Uptime time.Duration
	// Jobs arrive every Interval on average for Length. The last fault begins at least FaultFreeTail
	// before the end of Length.
	Length, Interval, FaultFreeTail time.Duration
	// Faults is the number of injected faults. Kinds limits their kinds; if empty, all kinds
	// before randomKinds are used.
	Faults int
	Kinds  []FaultKind
	// KeepSilentConnections keeps silent connections open forever. NothingLeft and Recovery are then not
	// checked at the end of the history.
	KeepSilentConnections bool
	// Classes replaces the default jobs with a workload, and Shape has the properties common to
	// its jobs. CPU is the capacity of each target; Speeds are assigned to the targets round
	// robin.
	Classes []Class
	Shape   Shape
	CPU     int
	Speeds  []float64
	// Rules are the rules of the supervisors. ClearTime is the ClearTime of the owners.
	Rules     supervisor.Rules
	ClearTime time.Duration
	// OmitStartTime makes targets omit their start time from reports.
	OmitStartTime bool
	// ClocksStop makes the clocks of processes stop during suspensions.
	ClocksStop bool
	// Crashing is the share of the jobs whose tasks crash each target that starts them.
	// BackAfter is the minimum time before a crashed target restarts. UntellingAgents
	// has no effect.
	Crashing        float64
	BackAfter       time.Duration
	UntellingAgents bool
	// HoldMax is the longest lease that targets grant.
	HoldMax time.Duration
	// LinkMbps is the bandwidth of each entry's link in Mbit/s; zero means unlimited.
	// SpecBytes is the length of job specs.
	LinkMbps  float64
	SpecBytes int
	// PreviousVersionEntries and PreviousVersionAgents are the numbers of processes that run the
	// previous version, which does not support watches.
	PreviousVersionEntries, PreviousVersionAgents int
	// Halls is the number of data halls, to which targets are assigned round robin; zero means
	// that targets report no hall. Evacuations is the number of hall evacuations.
	Halls, Evacuations int
	// DuplicateShare is the share of submissions that are duplicated to another entry, either at once,
	// as after a broken connection, or seconds later. Homes is the number of homes that the
	// entries assign to a job.
	DuplicateShare float64
	Homes          int
	// SkipDroppedRunWait disables waiting for the runs of a dropped job to end.
	SkipDroppedRunWait bool
	// SkipSuspendRecovery disables renewing the claims of an entry after it was suspended.
	SkipSuspendRecovery bool
	// Goal is the objective that entries optimise.
	Goal owner.Goal
	// AbandonShare is the share of callers that abandon their job before it completes.
	AbandonShare float64
	// CallerTimeout is the timeout of callers. Guess is the typical task estimate of two thirds of
	// the jobs, LongGuess that of the others.
	CallerTimeout, Guess, LongGuess time.Duration
	// RetryFor is how long callers retry refused jobs. Each retry follows after the delay given
	// in the refusal. Zero disables retries.
	RetryFor time.Duration
	// Log receives the log records of all processes.
	Log *slog.Logger
}

// DefaultConfig returns the configuration of a small fleet with all mechanisms enabled.
func DefaultConfig(seed uint64) Config {
	return Config{
		Seed: seed, Entries: 2, Agents: 3,
		Length: 14 * time.Second, Interval: 180 * time.Millisecond, FaultFreeTail: 8 * time.Second,
		CPU: 8000, Faults: 5, HoldMax: time.Second, BackAfter: 500 * time.Millisecond,
		Rules: supervisor.DefaultRules(), ClearTime: owner.ClearTime,
		Homes:         owner.DefaultHomes,
		CallerTimeout: 3 * time.Second, Guess: 150 * time.Millisecond, LongGuess: 700 * time.Millisecond,
		Log: slog.New(slog.DiscardHandler),
	}
}

// Counts holds counters of a history.
type Counts struct {
	Jobs, Completed, Failed, GivenUp, Refused, Resent, Starts int
	// RefusedFullAfterFaults counts refusals of jobs submitted after the faults while no target had room for
	// any of their tasks.
	RefusedFullAfterFaults int
	// SubmittedAfterFaults counts the jobs submitted after the faults, CompletedAfterFaults the completed ones.
	SubmittedAfterFaults, CompletedAfterFaults int
	// Duplicates counts duplicate submissions that reached another entry. Rerun counts jobs with a
	// task that started again after it had completed.
	Duplicates, Rerun int
}

// Crashes holds counters on jobs that crash targets.
type Crashes struct {
	// Jobs counts the jobs that crash targets, Targets the crashes, InnocentRuns the runs of
	// other jobs lost in them, and InnocentFailed the other jobs answered with JobCrashes.
	Jobs, Targets, InnocentRuns, InnocentFailed int
}

// settleDuration is how long a history continues after the last job has arrived.
const settleDuration = 22 * time.Second

// World is one history: processes, targets, callers and the links between them.
type World struct {
	cfg          Config
	queue        *vtime.Queue
	rng          *rand.Rand
	workloadRand *rand.Rand // separate, so that the jobs do not depend on decisions
	ownerRand    *rand.Rand // passed to the entries' state machines
	crashRand    *rand.Rand // for jobs that crash targets
	entries      []*entryProcess
	agents       []*agentProcess
	links        []*link
	linkOf       map[linkKey]*link
	lastInstance int
	lastConn     uint64
	operator     *operator
	alwaysFails  map[string]bool // by job ID
	jobs         map[string]*caller
	Counts       Counts
	// Credits holds the earnings of each class of a workload. Surge multiplies the arrival rate
	// of its jobs; zero means no change.
	Credits []Credit
	Surge   float64
	Crashes Crashes
	// Connections counts the connections that were opened.
	Connections int
	Frames      int // sent between entries and agents
	// HealthyEjectedTime is the total time, while jobs arrived, for which healthy targets were
	// ejected.
	HealthyEjectedTime time.Duration
	// Retries holds the results of callers that retry refused jobs.
	Retries RetryStats
	// OnFrame, if set, is called with each frame that a process sends.
	OnFrame   func(from string, f *peer.Frame)
	pastStats owner.Stats // of earlier incarnations of the entries
	// Violation describes the first violation, ViolatedInvariant names the violated invariant. Both
	// are empty if there was none.
	Violation         string
	ViolatedInvariant Invariant
}

// New returns a world at the start of its history.
func New(cfg Config) *World {
	w := &World{
		cfg:          cfg,
		queue:        vtime.NewQueue(cmp.Or(cfg.Uptime, time.Second)),
		rng:          rand.New(rand.NewPCG(cfg.Seed, 7)),
		workloadRand: rand.New(rand.NewPCG(cfg.Seed, 11)),
		crashRand:    rand.New(rand.NewPCG(cfg.Seed, 17)),
		ownerRand:    rand.New(rand.NewPCG(cfg.Seed, 13)),
		alwaysFails:  make(map[string]bool),
		jobs:         make(map[string]*caller),
		linkOf:       make(map[linkKey]*link),
	}
	w.operator = newOperator(w)
	for k := range cfg.Entries {
		w.entries = append(w.entries, w.newEntry(k))
	}
	for k := range cfg.Agents {
		w.agents = append(w.agents, w.newAgent(k))
	}
	for _, e := range w.entries {
		for _, a := range w.agents {
			l := &link{w: w, e: e, a: a}
			w.links = append(w.links, l)
			w.linkOf[linkKey{e.name, a.name}] = l
			a.links = append(a.links, l)
			l.dial()
		}
	}
	if len(cfg.Classes) > 0 {
		w.scheduleWorkload()
	} else {
		w.scheduleJobs()
	}
	for range cfg.Faults {
		w.after(w.randomUpTo(cfg.Length-cfg.FaultFreeTail), w.injectFault)
	}
	return w
}

// At schedules do after t. Before Run is called, this is the time since the start of the
// history.
func (w *World) At(t time.Duration, do func()) {
	w.after(t, do)
}

// Run plays the history until it ends or an invariant is violated.
func (w *World) Run() {
	w.queue.Run(w.queue.Now()+w.cfg.Length+settleDuration, func() bool { return w.Violation != "" })
	if w.Violation == "" {
		w.checkFinalState()
	}
}

// specOf returns the spec of a job, padded to SpecBytes.
func (w *World) specOf(id string) string {
	return id + strings.Repeat(".", max(0, w.cfg.SpecBytes-len(id)))
}

func (w *World) now() time.Duration {
	return w.queue.Now()
}

// after schedules do after a delay.
func (w *World) after(d time.Duration, do func()) {
	w.queue.After(d, do)
}

// randomUpTo returns a random duration between zero and d.
func (w *World) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d) + 1))
}

// recordFrame counts a sent frame and passes it to the OnFrame hook.
func (w *World) recordFrame(from string, f *peer.Frame) {
	w.Frames++
	if w.OnFrame != nil {
		w.OnFrame(from, f)
	}
}

// checkRunStart checks the invariants that apply when a run starts on a target.
func (w *World) checkRunStart(t *emulatedTarget, r *emulatedRun) {
	w.Counts.Starts++
	c := w.jobs[r.order.Task.Job]
	if c == nil {
		w.recordViolation(OnlySubmittedRuns, "%s started for an unknown job", r.name)
		return
	}
	c.started = true
	if c.done[r.order.Task] && !c.startedAgain {
		c.startedAgain = true
		w.Counts.Rerun++
	}
	if r.order.Spec != c.spec.Spec {
		w.recordViolation(OnlySubmittedRuns, "%s started with a spec other than the submitted one", r.name)
	}
	c.checkStepOrder(r.order.Task)
	if c.targetCrashes[r.order.Task] >= crashLimit {
		c.startsAfterLimit[r.order.Task]++
		if c.startsAfterLimit[r.order.Task] > startsAfterCrashLimit {
			w.recordViolation(CrashBudget,
				"%s started again although its task has used up the starts allowed after target crashes", r.name)
		}
	}
	used := r.order.Needs
	for _, o := range t.runs {
		used = used.Plus(o.order.Needs)
	}
	if !used.Fits(t.capacity) && w.now()-t.shrunkAt > shrinkGrace {
		w.recordViolation(WithinCapacity, "starting %s on %s raises the used CPU to %d of %d", r.name, t.id, used.CPU,
			t.capacity.CPU)
	}
	if t.drainingSince > 0 && w.now() > t.drainingSince+drainGrace {
		w.recordViolation(NoStartsWhileDraining, "%s started on draining target %s", r.name, t.id)
	}
	w.checkAbandoned(r)
	for _, a := range w.agents {
		if a.target == t {
			w.operator.checkRunStart(a, r.name)
		}
		if a.target.up && a.target.runs[r.name] != nil {
			w.recordViolation(OneRun, "%s started on %s while running on %s", r.name, t.id, a.target.id)
		}
	}
}

// Bounds on the starts of a task that crashes targets, according to the platform's
// documentation.
const (
	crashLimit            = 3 // target crashes after which the further starts are limited
	startsAfterCrashLimit = 2 // starts after crashLimit crashes
)

// shrinkGrace is how long a target may be overcommitted after its capacity has shrunk:
// contact_ms of the platform's documentation, at least 3 s, plus one heartbeat interval.
const shrinkGrace = 3*time.Second + heartbeatInterval

// abandonedRunLimit is how long a run may continue after its caller has left or, if later,
// after its start. The platform's documentation allows at least 4 s.
const abandonedRunLimit = 3 * time.Second

// checkAbandoned checks periodically that a run ends after its caller has abandoned the job.
func (w *World) checkAbandoned(r *emulatedRun) {
	c := w.jobs[r.order.Task.Job]
	if w.cfg.AbandonShare == 0 {
		return
	}
	var check func()
	check = func() {
		if r.ended {
			return
		}
		if c.abandonedAt > 0 && w.now()-c.abandonedAt > abandonedRunLimit {
			w.recordViolation(AbandonedRunsEnd, "%s still runs %s after its caller abandoned the job", r.name,
				w.now()-c.abandonedAt)
			return
		}
		w.after(abandonedRunLimit, check)
	}
	w.after(abandonedRunLimit, check)
}

// hasRoomFor reports whether some target has room for a task of a step without dependencies.
// Targets in evacuated halls and ejected targets, which get single probe tasks only, don't
// count.
func (w *World) hasRoomFor(spec task.Job) bool {
	for _, a := range w.agents {
		if w.operator.set.Has(a.target.hall) || a.supervisor.Stats(w.now()).Ejected > 0 {
			continue
		}
		free := a.target.capacity
		for _, r := range a.target.runs {
			free = free.Minus(r.order.Needs)
		}
		for _, s := range spec.Steps {
			if len(s.DependsOn) == 0 && a.target.up && s.Needs.Fits(free) {
				return true
			}
		}
	}
	return false
}

// recordRunEnd records completed and failed runs in the caller of their job.
func (w *World) recordRunEnd(r *emulatedRun, end task.End) {
	c := w.jobs[r.order.Task.Job]
	if c == nil {
		return
	}
	switch end {
	case task.EndDone:
		c.done[r.order.Task] = true
	case task.EndFailed:
		c.failedRuns[r.order.Task]++
	}
}

// checkFinalState checks the invariants that apply at the end of the history. Recovery requires
// that, of the jobs submitted after the faults, nine in ten completed or were refused without
// room, and five in six completed.
func (w *World) checkFinalState() {
	for id, c := range w.jobs {
		if c.started && c.refusedTries == c.tries && c.refusedDuplicates == c.duplicates && c.tries > 0 && c.answered {
			w.recordViolation(TrueRefusal, "%s has started although all %d tries were refused", id, c.refusedTries)
		}
	}
	for _, a := range w.agents {
		if !w.cfg.KeepSilentConnections && len(a.target.runs) > 0 && a.target.up {
			w.recordViolation(NoRunsLeft, "%d runs are left on %s", len(a.target.runs), a.target.id)
		}
	}
	if n := w.Counts; !w.cfg.KeepSilentConnections && ((n.CompletedAfterFaults+n.RefusedFullAfterFaults)*10 < n.SubmittedAfterFaults*9 || n.CompletedAfterFaults*6 < n.SubmittedAfterFaults*5) {
		w.recordViolation(Recovery,
			"%d of %d jobs submitted after the faults completed, %d were refused while no target had room",
			n.CompletedAfterFaults, n.SubmittedAfterFaults, n.RefusedFullAfterFaults)
	}
}
