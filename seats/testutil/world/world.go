// Package world drives several homes and guards, the real state machines, in
// virtual time through pauses, kills, cuts, late, lost and doubled messages and
// a failing store. It watches every start and every answer, and tells which
// promise was broken first.
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

// Bounds of a world.
const (
	homeTick     = 150 * time.Millisecond
	guardTick    = time.Second
	lease        = 3 * time.Second
	skew         = 500 * time.Millisecond
	service      = "trackd"
	organisation = "port-gate"
	queue        = 4 // short, so that many jobs are refused as not run
	jobLife      = 20 * time.Second
	shortLife    = 3 * time.Second // about a lease
	longest      = 30 * time.Second
	commonWait   = 3 * time.Millisecond
)

// Config is the shape of a world.
type Config struct {
	Entries, Agents int
	// Shards is how many shares the service's jobs are split into at first.
	Shards int
	Seed   uint64
	// Loss, Double and Late are the shares of frames that are lost, arrive
	// twice, or arrive up to LateBy later.
	Loss, Double, Late float64
	LateBy             time.Duration
	// RosterLoss is the share of rosters that are lost, so that processes
	// hear of revisions that they do not hold.
	RosterLoss float64
	HomeRules  home.Rules
	GuardRules guard.Rules
}

// Counts is what a world has seen.
type Counts struct {
	Starts, Complete, Failed, Refused, NotRun, Takeovers int
}

// World is one history.
type World struct {
	cfg     Config
	rng     *rand.Rand
	events  *vtime.Queue
	base    time.Time
	procs   []*process
	byID    map[roster.ID]*process
	cuts    map[pair]bool
	epochs  map[pair]int
	store   store
	lives   uint64
	jobs    map[string]*jobState
	tickets map[uint64]*asked
	ticket  uint64
	frames  uint64
	counts  Counts
	broken  error
	calm    bool
	// revision and shards are the configuration's.
	revision uint64
	shards   int
	longest  time.Duration
	// Trace takes every frame, for looking into a counterexample.
	Trace func(string, ...any)
}

// process is one entry or agent, through all of its lives.
type process struct {
	name   string
	role   wire.Role
	id     roster.ID
	home   *home.Home
	guard  *guard.Guard
	alive  bool
	paused bool
	// leaving says that a planned stop has begun.
	leaving bool
	noStore bool // cut off from the store
	inbox   []func()
	began   time.Duration
	rev     uint64
}

// asked is a caller that waits for an answer.
type asked struct {
	job   string
	entry string
	sub   job.Submission
	done  bool
}

// jobState is what the world knows of a job.
type jobState struct {
	sub     job.Submission
	starts  map[int]int
	total   int
	noFrame uint64 // frames up to this one must not start it any more
}

// pair names two processes, in order of their names.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// New returns a world whose processes have just begun.
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
		tickets: make(map[uint64]*asked),

		revision: 1,
		shards:   cfg.Shards,
		longest:  longest,
	}
	for k := range cfg.Agents {
		w.procs = append(w.procs, &process{name: fmt.Sprintf("agent%d", k), role: wire.RoleAgent})
	}
	for k := range cfg.Entries {
		w.procs = append(w.procs, &process{name: fmt.Sprintf("entry%d", k), role: wire.RoleEntry})
	}
	for _, p := range w.procs {
		w.begin(p)
	}
	return w
}

// Counts returns what the world has seen so far.
func (w *World) Counts() Counts {
	for _, p := range w.procs {
		if p.home != nil {
			w.counts.Takeovers += int(p.home.Stats().Takeovers)
		}
	}
	return w.counts
}

// Broken returns the first promise that was broken, or nil.
func (w *World) Broken() error { return w.broken }

// Run lets the world go on for d.
func (w *World) Run(d time.Duration) {
	w.events.Run(w.now()+d, func() bool { return w.broken != nil })
}

func (w *World) now() time.Duration { return w.events.Now() }

func (w *World) fail(format string, args ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf("at %v: "+format, append([]any{w.now()}, args...)...)
	}
}

func (w *World) after(d time.Duration, do func()) { w.events.After(d, do) }

func (w *World) moment(p *process) clock.Moment {
	return clock.Moment{Mono: w.now() - p.began + time.Second, Wall: w.base.Add(w.now())}
}

// begin starts a new life of p.
func (w *World) begin(p *process) {
	w.lives++
	p.id = roster.NewID(p.name, w.lives)
	p.alive, p.paused, p.leaving, p.inbox, p.rev = true, false, false, nil, 0
	p.began = w.now() - time.Duration(w.rng.IntN(1000))*time.Second
	w.byID[p.id] = p
	if p.role == wire.RoleAgent {
		p.guard = guard.NewGuard(guard.Config{Self: p.id, Lease: lease, Skew: skew, Queue: 1, OutputBytes: 1 << 20},
			guard.WithRules(w.cfg.GuardRules))
		w.tickGuard(p, p.id)
	} else {
		w.beginHome(p)
	}
	for _, o := range w.procs {
		if o != p && o.alive && (p.home != nil || o.home != nil) {
			w.connect(p, o)
		}
	}
}

func (w *World) beginHome(p *process) {
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
	s := config.Service{Name: service, Bounds: config.Bounds{LongestExpiryMS: w.longest.Milliseconds(), Queue: queue}}
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

// handle lets a life of p handle something now, or when its pause ends.
func (w *World) handle(p *process, id roster.ID, do func()) {
	switch {
	case p.id != id || !p.alive:
	case p.paused:
		p.inbox = append(p.inbox, do)
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
	if rev < p.rev {
		w.fail("%s went back from revision %d to %d", p.id, p.rev, rev)
	}
	p.rev = rev
}

// answerOf checks a final answer that reaches a caller.
func (w *World) answerOf(t uint64, a seats.Answer) {
	q := w.tickets[t]
	if q == nil || q.done {
		w.fail("an answer for ticket %d that nobody waits for", t)
		return
	}
	q.done = true
	if a.ID != q.job {
		w.fail("the caller of %s got the answer of %s", q.job, a.ID)
	}
	switch a.State {
	case seats.Complete:
		w.counts.Complete++
		w.checkWhole(w.jobs[q.job], a)
	case seats.Refused:
		w.counts.Refused++
	default:
		w.counts.Failed++
	}
	if a.Ran == seats.RanNo {
		w.counts.NotRun++
	}
}

func (w *World) checkWhole(j *jobState, a seats.Answer) {
	if len(a.Results) != len(j.sub.Job.Tasks) {
		w.fail("job %s: %d of %d results", a.ID, len(a.Results), len(j.sub.Job.Tasks))
		return
	}
	for k, r := range a.Results {
		if string(r.Output) != outputOf(a.ID, k) {
			w.fail("job %s: task %d got %s", a.ID, k, r.Output)
		}
	}
}

func outputOf(job string, k int) string {
	return fmt.Sprintf("%q", fmt.Sprintf("%s/%d", job, k))
}
