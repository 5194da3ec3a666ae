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
	// shutdownDelay is how long a stopping entry keeps accepting requests, until the platform's
	// load balancer has removed the entry after two failed readiness checks, one second apart,
	// and the requests that it forwarded before have arrived.
	shutdownDelay = 2600 * time.Millisecond
	// graceMargin is how long before the end of the grace period all connections are closed, so
	// that the process exits by itself.
	graceMargin = 300 * time.Millisecond
	// listInterval is the time after which an entry lists the directory again, to find processes
	// that its watch missed.
	listInterval = time.Minute
)

// Entry is the process that accepts jobs from callers and runs them through agents.
type Entry struct {
	settings  settings.Node
	directory Directory
	source    ConfigSource
	log       *slog.Logger
	clock     bootClock

	// Serve serves the caller API until ctx is done. It then shuts down gracefully, and
	// cuts off remaining requests when abort is done. It must be set before Run.
	Serve func(ctx, abort context.Context) error
	// ForgetAfter is how long an agent may be unreachable before the entry removes it from the
	// directory. The default is forgetAfter; tests override it.
	ForgetAfter time.Duration

	metrics   *metrics.Set
	submitted *metrics.Histogram
	stages    map[stage.Stage]*metrics.Histogram
	answers   map[code.Code]*metrics.Counter

	bootID          uint64 // distinguishes restarts of the same entry
	startedAt       time.Duration
	configured      chan struct{} // closed when the first configuration is in force
	relist          chan struct{} // signals that the directory must be listed again
	logAwaitOnce    sync.Once     // logs the first request that waits for a configuration
	table           atomic.Pointer[routing.Table]
	stopping        atomic.Bool
	connectedAgents atomic.Int64

	mu              sync.Mutex // guards the fields below
	owner           *owner.Owner
	links           map[string]*link // by agent
	subset          *subsetView
	pause           pauseDetector
	document        document // of the configuration in force
	documentRequest documentRequest
	documentPacer   documentPacer
}

// NewEntry returns an entry. Run starts it.
func NewEntry(s settings.Node, d Directory, c ConfigSource, log *slog.Logger) *Entry {
	e := &Entry{
		settings:    s,
		directory:   d,
		source:      c,
		log:         log,
		clock:       newBootClock(),
		ForgetAfter: forgetAfter,
		configured:  make(chan struct{}),
		bootID:      rand.Uint64(),
		owner:       owner.NewOwner(log),
		links:       make(map[string]*link),
		subset:      newSubsetView(s.Name),
		relist:      make(chan struct{}, 1),
	}
	e.startedAt = e.clock.now()
	e.metrics = newEntryMetrics(e)
	e.owner.Send = e.send
	e.owner.ObserveStage = func(s stage.Stage, took time.Duration) { e.stages[s].Update(took.Seconds()) }
	e.owner.CountAnswer = e.CountAnswer
	e.owner.FarFactor = s.RemoteFactor
	e.owner.Addr = e.addr
	e.owner.SetLink(s.LinkMbps)
	e.owner.IsHome = e.subset.set.Home
	e.owner.IsPreferred = e.subset.set.Preferred
	return e
}

// SetClaimTimeout sets how long an agent may leave a claim unanswered before it counts as
// silent. It must be called before Run. It is meant for tests on machines that may stall.
func (e *Entry) SetClaimTimeout(d time.Duration) {
	e.owner.ClaimTimeout = d
}

// SetGoal sets the goal of the owner. It must be called before Run.
func (e *Entry) SetGoal(g owner.Goal) {
	e.owner.Goal = g
}

// Ready reports whether the load balancer should route requests to the entry: it has a
// configuration and a connected agent, is not isolated and is not stopping.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.table.Load() != nil && e.connectedAgents.Load() > 0 && e.isolated() == 0
}

// Stopping reports whether the entry is stopping.
func (e *Entry) Stopping() bool {
	return e.stopping.Load()
}

// Submit submits a job and waits for its answer. If ctx is done first, the caller has
// disconnected: the job is cancelled and the error of ctx is returned.
//
// Submit yields to the scheduler first, which lets the HTTP server detect a connection that
// broke while its request was queued. The job of a caller that has disconnected, and may have
// submitted it to another entry, is not started.
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
		e.owner.RemoveCaller(e.clock.now(), j.ID, caller)
		e.mu.Unlock()
		return owner.Answer{}, ctx.Err()
	}
}

// Cancel cancels a job at its caller's request, on this entry or on the one that owns it. It
// returns false if the job is unknown or ctx is done first.
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

// WaitingJobs returns the number of jobs in a queue that have no started task.
func (e *Entry) WaitingJobs(queue string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.WaitingJobs(queue)
}

// Stats returns the entry's counters.
func (e *Entry) Stats() owner.Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.Stats()
}

// isolated returns the value of a gauge: 1 if owner.Isolated reports that the entry is cut off,
// otherwise 0.
func (e *Entry) isolated() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.owner.Isolated() {
		return 1
	}
	return 0
}

// hallsSuspected returns the number of data halls that are suspected to be lost.
func (e *Entry) hallsSuspected() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return uint64(e.owner.SuspectedHalls())
}

// watched returns the number of agents that the entry watches.
func (e *Entry) watched() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.Watched()
}

// linkQueueTime returns the estimated time to transmit what is queued on the host's link.
func (e *Entry) linkQueueTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.LinkDelay(e.clock.now())
}

// jobs returns the number of jobs that the entry owns.
func (e *Entry) jobs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.Jobs()
}

// Run runs the entry until ctx is done, and then until its jobs are answered or the grace
// period expires. It returns the error of the component that failed, if any.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info(event.Start, "role", "entry", "name", e.settings.Name, "hall", e.settings.Hall,
		"term", e.owner.Goal.String())
	abortCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	callersCtx, closeCallers := context.WithCancel(abortCtx)
	defer closeCallers()
	var g run.Group
	addActor(&g, func() error { return e.stop(ctx, closeCallers, cancel) })
	addActor(&g, func() error { return e.Serve(callersCtx, abortCtx) })
	addActor(&g, func() error { return serveMetrics(abortCtx, e.settings.MetricsAddr, e.metrics) })
	addActor(&g, func() error { e.tick(abortCtx); return nil })
	addActor(&g, func() error { e.watchConfig(abortCtx); return nil })
	addActor(&g, func() error { e.discoverAgents(abortCtx); return nil })
	addActor(&g, func() error { return listen(abortCtx, e.settings.PeerAddr, e.accept) })
	g.Add(func() error { <-abortCtx.Done(); return nil }, func(error) { cancel() })
	err := g.Run()
	e.log.Info(event.Stop, "role", "entry", "name", e.settings.Name)
	return err
}

// addActor adds an actor to g that ends the group only if it fails.
func addActor(g *run.Group, execute func() error) {
	stop := make(chan struct{})
	g.Add(func() error {
		if err := execute(); err != nil {
			return err
		}
		<-stop
		return nil
	}, func(error) { close(stop) })
}

// stop waits until ctx is done and shuts the entry down in steps: it reports not ready but
// keeps serving, closes the caller API, waits for the remaining jobs, and ends the
// process.
func (e *Entry) stop(ctx context.Context, closeCallers, cancel func()) error {
	<-ctx.Done()
	began := e.clock.now()
	e.stopping.Store(true)
	e.log.Info(event.Stopping, "jobs", e.jobs())
	time.Sleep(min(shutdownDelay, e.settings.Grace/2))
	closeCallers()
	for e.jobs() > 0 && e.clock.now()-began < e.settings.Grace-graceMargin {
		time.Sleep(owner.TickInterval)
	}
	e.mu.Lock()
	e.owner.BeginShutdown(e.clock.now())
	e.mu.Unlock()
	time.Sleep(owner.TickInterval)
	cancel()
	return nil
}

// tick calls the owner's Tick, updates the set of connections, sends heartbeats and closes
// silent connections until ctx is done.
func (e *Entry) tick(ctx context.Context) {
	runTicks(ctx, owner.TickInterval, e.clock, &e.pause, &e.mu, func(now time.Duration, checkSilence bool) {
		e.owner.Tick(now)
		e.adjustSubset(ctx, now)
		e.owner.Heartbeats(now)
		if checkSilence || e.owner.RecoveringFromSuspension(now) {
			e.closeSilent(now)
		}
	})
}

// discoverAgents lists the agents and entries in the directory and registers this entry. It
// registers after the first lists: agents add an entry when it connects, without the directory.
// Later changes arrive through the watch of the store; the directory is listed again after
// listInterval or a signal on relist.
func (e *Entry) discoverAgents(ctx context.Context) {
	own := Registration{Name: e.settings.Name, Addr: e.settings.PeerAddr}
	for registered := false; ; {
		retryUntilDone(ctx, e.log, "list", func(ctx context.Context) error {
			agents, err := e.directory.List(ctx, peer.RoleAgent)
			for _, r := range agents {
				e.addAgent(r)
			}
			return err
		})
		retryUntilDone(ctx, e.log, "list", func(ctx context.Context) error {
			entries, err := e.directory.List(ctx, peer.RoleEntry)
			e.addEntries(entries)
			return err
		})
		if !registered {
			retryUntilDone(ctx, e.log, "register", func(ctx context.Context) error {
				return e.directory.Register(ctx, peer.RoleEntry, own)
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
