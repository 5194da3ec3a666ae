package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/owner"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/routing"
	"github.com/beaconpoint/beaconpoint/settings"
	"github.com/beaconpoint/beaconpoint/stage"
	"github.com/beaconpoint/beaconpoint/task"
)

const (
	// serveAfterStop is how long an entry that was told to stop still takes
	// requests. The platform's balancer asks for readiness each second and takes an
	// entry out after two misses; what it has passed on before arrives up to 0.3 s
	// later. Found by incident inc-3661.
	serveAfterStop = 2600 * time.Millisecond
	// graceMargin is how long before the end of the grace everything is closed, so
	// that the process ends by itself. Not measured.
	graceMargin = 300 * time.Millisecond
	// listInterval is how often an entry reads the directory for processes that it has
	// missed: its watch tells of each. Not measured.
	listInterval = time.Minute
)

// Entry is the process that takes jobs and owns them.
type Entry struct {
	settings  settings.Node
	directory Directory
	source    ConfigSource
	log       *slog.Logger
	clock     steadyClock

	// Serve runs the callers' interface until the first context ends, and closes it
	// then without cutting a request off, as long as the second one allows.
	Serve func(ctx, hard context.Context) error
	// ForgetAfter is how long an agent can't be reached before the entry has the
	// directory forget it: forgetTime, except in tests.
	ForgetAfter time.Duration

	metrics   *metrics.Set
	submitted *metrics.Histogram
	stages    map[stage.Stage]*metrics.Histogram
	answers   map[code.Code]*metrics.Counter

	boot       uint64 // differs between the lives of an entry
	startedAt  time.Duration
	configured chan struct{} // closed when the first configuration is in force
	relist     chan struct{} // the directory should be read anew
	waited     sync.Once     // logs the first request that waits for it
	table      atomic.Pointer[routing.Table]
	leaving    atomic.Bool
	linked     atomic.Int64 // connected agents

	mu              sync.Mutex // guards what follows
	owner           *owner.Owner
	links           map[string]*link // by agent
	reach           *reachView
	pause           pause
	document        document // of the configuration in force
	documentRequest documentRequest
	documentPacer   documentPacer
}

// NewEntry returns an entry that is not running yet.
func NewEntry(s settings.Node, d Directory, c ConfigSource, log *slog.Logger) *Entry {
	e := &Entry{
		settings:    s,
		directory:   d,
		source:      c,
		log:         log,
		clock:       newSteadyClock(),
		ForgetAfter: forgetTime,
		configured:  make(chan struct{}),
		boot:        rand.Uint64(),
		owner:       owner.NewOwner(log),
		links:       make(map[string]*link),
		reach:       newReachView(s.Name),
		relist:      make(chan struct{}, 1),
	}
	e.startedAt = e.clock.now()
	e.metrics = newEntryMetrics(e)
	e.owner.Send = e.send
	e.owner.ObserveStage = func(s stage.Stage, took time.Duration) { e.stages[s].Update(took.Seconds()) }
	e.owner.CountAnswer = e.CountAnswer
	e.owner.FarFactor = s.Far
	e.owner.Addr = e.addr
	e.owner.SetLink(s.LinkMbps)
	e.owner.IsHome = e.reach.set.Home
	e.owner.IsOwn = e.reach.set.Own
	return e
}

// SetClaimTimeout sets after how long agents that do not answer claims count as silent. It is
// for tests on machines that may stand still, and called before Run.
func (e *Entry) SetClaimTimeout(d time.Duration) {
	e.owner.ClaimTimeout = d
}

// SetTerm sets what counts most for the callers. It is called before Run.
func (e *Entry) SetTerm(t owner.Term) {
	e.owner.Term = t
}

// Ready reports whether the entry should be given requests: it has a configuration
// and an agent, is not cut off from most agents, and does not stop.
func (e *Entry) Ready() bool {
	return !e.leaving.Load() && e.table.Load() != nil && e.linked.Load() > 0 && e.isolated() == 0
}

// Leaving reports whether the entry has been told to stop.
func (e *Entry) Leaving() bool {
	return e.leaving.Load()
}

// Submit submits a job and returns its answer. When the context ends first, the
// caller is gone: the job is stopped, and the error is the context's.
//
// A connection may break while its request waits to be read. The server notices once it
// gets to run, which it is given the chance to here: a job whose caller has gone already,
// and may have submitted it elsewhere, is not started for the time that a stop takes.
func (e *Entry) Submit(ctx context.Context, j task.Job) (owner.Answer, error) {
	runtime.Gosched()
	if err := ctx.Err(); err != nil {
		return owner.Answer{}, err
	}
	defer e.submitted.UpdateDuration(time.Now())
	answers := make(chan owner.Answer, 1)
	e.mu.Lock()
	caller := e.owner.Submit(e.clock.now(), j, func(a owner.Answer) { answers <- a })
	e.mu.Unlock()
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		e.mu.Lock()
		e.owner.Cancel(e.clock.now(), j.ID, caller)
		e.mu.Unlock()
		return owner.Answer{}, ctx.Err()
	}
}

// Cancel ends a job on its caller's order, here or at the entry that has it; false means that
// nobody knows of it, or that the context has ended.
func (e *Entry) Cancel(ctx context.Context, id string) bool {
	answers := make(chan bool, 1)
	e.mu.Lock()
	e.owner.CancelJob(e.clock.now(), id, func(known bool) { answers <- known })
	e.mu.Unlock()
	select {
	case known := <-answers:
		return known
	case <-ctx.Done():
		return false
	}
}

// WaitingJobs returns how many jobs of a queue have no task started.
func (e *Entry) WaitingJobs(queue string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.WaitingJobs(queue)
}

// Stats returns the entry's counts.
func (e *Entry) Stats() owner.Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.Stats()
}

// isolated returns 1 where the entry takes itself to be cut off, else 0.
func (e *Entry) isolated() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.owner.Isolated() {
		return 1
	}
	return 0
}

// hallsSuspected returns how many data halls the entry takes for lost.
func (e *Entry) hallsSuspected() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return uint64(e.owner.HallsSuspected())
}

// watched returns how many agents are watched.
func (e *Entry) watched() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.Watched()
}

// linkQueue returns how long the host's link takes for what it has queued.
func (e *Entry) linkQueue() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.LinkQueue(e.clock.now())
}

// jobs returns how many jobs are owned.
func (e *Entry) jobs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.Jobs()
}

// Run runs the entry until the context ends, and then on until its jobs are answered
// or the grace is over. Its error is that of a part that failed.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info(event.Start, "role", "entry", "name", e.settings.Name, "hall", e.settings.Hall, "term", e.owner.Term.String())
	hard, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	soft, closeCallers := context.WithCancel(hard)
	defer closeCallers()
	var g run.Group
	addPart(&g, func() error { return e.stop(ctx, closeCallers, end) })
	addPart(&g, func() error { return e.Serve(soft, hard) })
	addPart(&g, func() error { return serveMetrics(hard, e.settings.Metrics, e.metrics) })
	addPart(&g, func() error { e.tick(hard); return nil })
	addPart(&g, func() error { e.watchConfig(hard); return nil })
	addPart(&g, func() error { e.find(hard); return nil })
	addPart(&g, func() error { return listen(hard, e.settings.Peers, e.accept) })
	g.Add(func() error { <-hard.Done(); return nil }, func(error) { end() })
	err := g.Run()
	e.log.Info(event.Stop, "role", "entry", "name", e.settings.Name)
	return err
}

// addPart adds a part whose end does not end the group unless it failed.
func addPart(g *run.Group, part func() error) {
	stop := make(chan struct{})
	g.Add(func() error {
		if err := part(); err != nil {
			return err
		}
		<-stop
		return nil
	}, func(error) { close(stop) })
}

// stop waits until the process is told to stop, and ends it in steps: it is not ready
// any more but serves on, takes no new connection, answers its jobs, ends.
func (e *Entry) stop(ctx context.Context, closeCallers, end func()) error {
	<-ctx.Done()
	began := e.clock.now()
	e.leaving.Store(true)
	e.log.Info(event.Stopping, "jobs", e.jobs())
	time.Sleep(min(serveAfterStop, e.settings.Grace/2))
	closeCallers()
	for e.jobs() > 0 && e.clock.now()-began < e.settings.Grace-graceMargin {
		time.Sleep(owner.TickInterval)
	}
	e.mu.Lock()
	e.owner.Leave(e.clock.now())
	e.mu.Unlock()
	time.Sleep(owner.TickInterval)
	end()
	return nil
}

// tick calls the owner's Tick, sends heartbeats and gives up silent connections until the
// context ends.
func (e *Entry) tick(ctx context.Context) {
	ticks(ctx, owner.TickInterval, e.clock, &e.pause, &e.mu, func(now time.Duration, judge bool) {
		e.owner.Tick(now)
		e.adjustReach(ctx, now)
		e.owner.Heartbeats(now)
		if judge || e.owner.Rejoining(now) {
			e.closeSilent(now)
		}
	})
}

// find learns of the agents that the directory names, and registers the entry. The list comes
// first: an entry that connects to an agent is known to it. Afterwards the watch of the store
// tells of changes.
func (e *Entry) find(ctx context.Context) {
	own := Registration{Name: e.settings.Name, Addr: e.settings.Peers}
	for registered := false; ; {
		untilDone(ctx, e.log, "list", func(try context.Context) error {
			agents, err := e.directory.List(try, peer.RoleAgent)
			for _, r := range agents {
				e.addAgent(r)
			}
			return err
		})
		untilDone(ctx, e.log, "list", func(try context.Context) error {
			entries, err := e.directory.List(try, peer.RoleEntry)
			e.addEntries(entries)
			return err
		})
		if !registered {
			untilDone(ctx, e.log, "register", func(try context.Context) error {
				return e.directory.Register(try, peer.RoleEntry, own)
			})
			registered = true
		}
		timer := time.NewTimer(listInterval)
		select {
		case <-ctx.Done():
		case <-e.relist:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}
