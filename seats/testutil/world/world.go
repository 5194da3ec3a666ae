// Package world runs the state machines of entries and agents in virtual time
// and injects process, network and store failures. It checks safety invariants
// at every start and answer and reports the first violation.
package world

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/guard"
	"github.com/beaconpoint/beaconpoint/seats/home"
	"github.com/beaconpoint/beaconpoint/seats/job"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
	"github.com/beaconpoint/beaconpoint/testutil/vtime"
)

// Timing and limits of a world.
const (
	homeTick      = 150 * time.Millisecond
	guardTick     = time.Second
	lease         = 3 * time.Second
	skew          = 500 * time.Millisecond
	service       = "trackd"
	organisation  = "port-gate"
	queue         = 4 // short, so that many jobs are refused as not run
	jobLifetime   = 20 * time.Second
	shortLifetime = 3 * time.Second // equal to the lease
	longestExpiry = 30 * time.Second
	delayJitter   = 3 * time.Millisecond
)

// Config configures a World.
type Config struct {
	Entries, Agents int
	// Shards is the initial number of shards of the service's jobs.
	Shards int
	Seed   uint64
	// Loss, Double and Late are the probabilities that a frame is lost,
	// duplicated, or delayed by up to LateBy.
	Loss, Double, Late float64
	LateBy             time.Duration
	// RosterLoss is the probability that a roster frame is lost, so that
	// processes receive frames of roster revisions that they do not have.
	RosterLoss float64
	HomeRules  home.Rules
	GuardRules guard.Rules
}

// Counts holds the number of starts, of answers by state and of takeovers.
type Counts struct {
	Starts, Complete, Failed, Refused, NotRun, Takeovers int
}

// World is a simulated system.
type World struct {
	cfg          Config
	rng          *rand.Rand
	events       *vtime.Queue
	base         time.Time
	procs        []*process
	byID         map[roster.ID]*process
	cuts         map[pair]bool
	epochs       map[pair]int
	store        store
	incarnations uint64
	jobs         map[string]*jobState
	tickets      map[uint64]*submission
	ticket       uint64
	frames       uint64
	counts       Counts
	violation    error
	healthy      bool
	// revision, shards and longestExpiry belong to the current configuration.
	revision      uint64
	shards        int
	longestExpiry time.Duration
	// Trace, if set, is called for every frame that is sent.
	Trace func(string, ...any)
}

// process is an entry or agent with its current incarnation.
type process struct {
	name   string
	role   wire.Role
	id     roster.ID
	home   *home.Home
	guard  *guard.Guard
	alive  bool
	paused bool
	// leaving is set once a graceful shutdown has begun.
	leaving bool
	noStore bool // the store is unreachable
	// deferred holds the events that arrived during a pause.
	deferred     []func()
	began        time.Duration
	lastRevision uint64
}

// submission is a call of Submit at an entry and whether it was answered.
type submission struct {
	job   string
	entry string
	sub   job.Submission
	done  bool
}

// jobState records the starts of a job.
type jobState struct {
	sub         job.Submission
	starts      map[int]int
	totalStarts int
	// notRunFrame is the last frame sent before an answer "not run". No frame up to
	// it may start a task any more.
	notRunFrame uint64
}

// pair identifies two processes by their names in sorted order.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// New returns a world in which all processes have just started.
func New(cfg Config) *World {
	w := &World{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		events:  vtime.NewQueue(time.Second),
		base:    time.Unix(1_700_000_000, 0),
		byID:    make(map[roster.ID]*process),
		cuts:    make(map[pair]bool),
		epochs:  make(map[pair]int),
		jobs:    make(map[string]*jobState),
		tickets: make(map[uint64]*submission),

		revision:      1,
		shards:        cfg.Shards,
		longestExpiry: longestExpiry,
	}
	for k := range cfg.Agents {
		w.procs = append(w.procs, &process{name: fmt.Sprintf("agent%d", k), role: wire.RoleAgent})
	}
	for k := range cfg.Entries {
		w.procs = append(w.procs, &process{name: fmt.Sprintf("entry%d", k), role: wire.RoleEntry})
	}
	for _, p := range w.procs {
		w.start(p)
	}
	return w
}

// Counts returns the counts so far. Each call adds the takeovers again, so it is
// called once, at the end.
func (w *World) Counts() Counts {
	for _, p := range w.procs {
		if p.home != nil {
			w.counts.Takeovers += int(p.home.Stats().Takeovers)
		}
	}
	return w.counts
}

// Broken returns the first violated invariant, or nil.
func (w *World) Broken() error { return w.violation }

// Run advances virtual time by d. It stops at the first violated invariant.
func (w *World) Run(d time.Duration) {
	w.events.Run(w.now()+d, func() bool { return w.violation != nil })
}

func (w *World) now() time.Duration { return w.events.Now() }

func (w *World) fail(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf("at %v: "+format, append([]any{w.now()}, args...)...)
	}
}

func (w *World) after(d time.Duration, do func()) { w.events.After(d, do) }

func (w *World) moment(p *process) clock.Moment {
	return clock.Moment{Mono: w.now() - p.began + time.Second, Wall: w.base.Add(w.now())}
}

// start starts a new incarnation of p.
func (w *World) start(p *process) {
	w.incarnations++
	p.id = roster.NewID(p.name, w.incarnations)
	p.alive, p.paused, p.leaving, p.deferred, p.lastRevision = true, false, false, nil, 0
	p.began = w.now() - time.Duration(w.rng.IntN(1000))*time.Second
	w.byID[p.id] = p
	if p.role == wire.RoleAgent {
		p.guard = guard.NewGuard(guard.Config{Self: p.id, Lease: lease, Skew: skew, Queue: 1, OutputBytes: 1 << 20},
			guard.WithRules(w.cfg.GuardRules))
		w.tickGuard(p, p.id)
	} else {
		w.startHome(p)
	}
	for _, o := range w.procs {
		if o != p && o.alive && (p.home != nil || o.home != nil) {
			w.connect(p, o)
		}
	}
}

func (w *World) startHome(p *process) {
	c := home.DefaultConfig(p.id, p.name)
	c.Lease, c.Skew = lease, skew
	p.home = home.NewHome(c, home.WithRules(w.cfg.HomeRules))
	w.apply(p, p.home.Configure(w.moment(p), w.document()))
	w.tickHome(p, p.id)
	for _, t := range slices.Sorted(maps.Keys(w.tickets)) {
		a := w.tickets[t]
		if a.entry == p.name && !a.done {
			w.apply(p, p.home.Submit(w.moment(p), t, a.sub))
		}
	}
}

func (w *World) document() config.Document {
	s := config.Service{Name: service, Bounds: config.Bounds{LongestExpiryMS: w.longestExpiry.Milliseconds(), Queue: queue}}
	for _, p := range w.procs {
		if p.role == wire.RoleAgent {
			s.Targets = append(s.Targets, config.Target{Name: p.name, Agent: p.name, Slots: 2, Connections: 8})
		}
	}
	return config.Document{Revision: w.revision, Shards: w.shards, Services: []config.Service{s}, Organisations: []config.Organisation{{Name: organisation}}}
}

func (w *World) tickHome(p *process, id roster.ID) {
	w.after(homeTick-time.Duration(w.rng.IntN(20))*time.Millisecond, func() {
		if p.id != id || !p.alive {
			return
		}
		w.handle(p, id, func() { w.apply(p, p.home.Tick(w.moment(p))) })
		w.tickHome(p, id)
	})
}

func (w *World) tickGuard(p *process, id roster.ID) {
	w.after(guardTick, func() {
		if p.id != id || !p.alive {
			return
		}
		w.handle(p, id, func() { w.applyGuard(p, 0, p.guard.Tick(w.moment(p))) })
		w.tickGuard(p, id)
	})
}

// handle calls do if the incarnation id of p is still alive. While p is paused,
// the call is deferred.
func (w *World) handle(p *process, id roster.ID, do func()) {
	switch {
	case p.id != id || !p.alive:
	case p.paused:
		p.deferred = append(p.deferred, do)
	default:
		do()
		w.checkRevision(p)
	}
}

func (w *World) checkRevision(p *process) {
	var rev uint64
	if p.home != nil {
		rev = p.home.Roster().Revision
	} else {
		rev, _ = p.guard.Revisions()
	}
	if rev < p.lastRevision {
		w.fail("%s: roster revision went back from %d to %d", p.id, p.lastRevision, rev)
	}
	p.lastRevision = rev
}

// handleAnswer checks and counts the answer to a ticket.
func (w *World) handleAnswer(t uint64, a seats.Answer) {
	q := w.tickets[t]
	if q == nil || q.done {
		w.fail("answer to ticket %d, which is unknown or already answered", t)
		return
	}
	q.done = true
	if a.ID != q.job {
		w.fail("the caller of job %s received the answer to job %s", q.job, a.ID)
	}
	switch a.State {
	case seats.Complete:
		w.counts.Complete++
		w.checkResults(w.jobs[q.job], a)
	case seats.Refused:
		w.counts.Refused++
	default:
		w.counts.Failed++
	}
	if a.Ran == seats.RanNo {
		w.counts.NotRun++
	}
}

func (w *World) checkResults(j *jobState, a seats.Answer) {
	if len(a.Results) != len(j.sub.Job.Tasks) {
		w.fail("job %s: complete answer has %d results for %d tasks", a.ID, len(a.Results), len(j.sub.Job.Tasks))
		return
	}
	for k, r := range a.Results {
		if string(r.Output) != outputOf(a.ID, k) {
			w.fail("job %s: wrong output of task %d: %s", a.ID, k, r.Output)
		}
	}
}

func outputOf(job string, k int) string {
	return fmt.Sprintf("%q", fmt.Sprintf("%s/%d", job, k))
}
