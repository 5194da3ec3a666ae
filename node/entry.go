package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
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
	"github.com/beaconpoint/beaconpoint/task"
)

// serveAfterStop is how long an entry that was told to stop still takes requests: so
// long others may go on sending them here.
const serveAfterStop = 2600 * time.Millisecond

// graceMargin is how long before the end of the grace everything is closed.
const graceMargin = 300 * time.Millisecond

// Entry is the process that takes jobs and owns them.
type Entry struct {
	settings  settings.Node
	directory Directory
	source    ConfigSource
	log       *slog.Logger
	clock     steadyClock

	// Serve runs the callers' interface until the context ends, and closes
	// it then without cutting a request off, as long as the second context
	// allows.
	Serve func(ctx, hard context.Context) error

	// ForgetAfter is how long an agent can't be reached before the entry has
	// the directory forget it.
	ForgetAfter time.Duration

	// startedAt is when the process began; configured is closed when the
	// first configuration is in force.
	startedAt  time.Duration
	configured chan struct{}

	mu              sync.Mutex
	owner           *owner.Owner
	links           map[string]*link
	document        []byte
	documentRequest documentRequest
	documentPacer   documentPacer

	metrics   *metrics.Set
	submitted *metrics.Histogram
	stages    [owner.Stages]*metrics.Histogram
	answers   map[code.Code]*metrics.Counter

	table   atomic.Pointer[routing.Table]
	leaving atomic.Bool
	linked  atomic.Int64
}

// NewEntry returns an entry that is not running yet.
func NewEntry(s settings.Node, d Directory, c ConfigSource, log *slog.Logger) *Entry {
	e := &Entry{
		settings:  s,
		directory: d,
		source:    c,
		log:       log,
		clock:     newSteadyClock(),

		ForgetAfter: forgetTime,

		configured: make(chan struct{}),

		owner: owner.NewOwner(log, rand.Float64),
		links: make(map[string]*link),
	}
	e.startedAt = e.clock.now()
	e.metrics = newEntryMetrics(e)
	e.owner.Send = e.send
	e.owner.ObserveStage = func(s owner.Stage, took time.Duration) { e.stages[s].Update(took.Seconds()) }
	e.owner.CountAnswer = e.CountAnswer
	e.owner.FarFactor = s.Far
	return e
}

// Table returns the newest configuration, or nil where none is known.
func (e *Entry) Table() *routing.Table {
	return e.table.Load()
}

// Ready reports whether the entry should be given requests.
func (e *Entry) Ready() bool {
	return !e.leaving.Load() && e.table.Load() != nil && e.linked.Load() > 0
}

// Leaving reports whether the entry has been told to stop.
func (e *Entry) Leaving() bool {
	return e.leaving.Load()
}

// Submit has a job done and returns its answer. Where the context ends first
// the caller is gone, and the job is stopped.
func (e *Entry) Submit(ctx context.Context, j task.Job) (owner.Answer, error) {
	defer e.submitted.UpdateDuration(time.Now())
	answers := make(chan owner.Answer, 1)
	e.mu.Lock()
	waiter := e.owner.Submit(e.clock.now(), j, func(a owner.Answer) { answers <- a })
	e.mu.Unlock()
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		e.mu.Lock()
		e.owner.Cancel(e.clock.now(), j.ID, waiter)
		e.mu.Unlock()
		return owner.Answer{}, ctx.Err()
	}
}

// Cancel ends a job on its caller's order; false means that it is not known
// here.
func (e *Entry) Cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.CancelJob(e.clock.now(), id)
}

// WaitingJobs returns how many jobs of a queue wait for their first start.
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

// Run runs the entry until the context ends, and then until its jobs are
// answered or the grace is over.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info(event.Start, "role", "entry", "name", e.settings.Name, "zone", e.settings.Hall)
	hard, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	soft, close := context.WithCancel(hard)
	defer close()
	var g run.Group
	e.add(&g, func() error { return e.stop(ctx, close, end) })
	e.add(&g, func() error { return e.Serve(soft, hard) })
	e.add(&g, func() error { return serveMetrics(hard, e.settings.Metrics, e.metrics) })
	e.add(&g, func() error { e.tick(hard); return nil })
	e.add(&g, func() error { e.watchConfig(hard); return nil })
	e.add(&g, func() error { e.find(hard); return nil })
	e.add(&g, func() error { return listen(hard, e.settings.Peers, e.accept) })
	g.Add(func() error { <-hard.Done(); return nil }, func(error) { end() })
	err := g.Run()
	e.log.Info(event.Stop, "role", "entry", "name", e.settings.Name)
	return err
}

// add adds an actor whose end does not end the group unless it is a fault.
func (e *Entry) add(g *run.Group, do func() error) {
	stop := make(chan struct{})
	g.Add(func() error {
		if err := do(); err != nil {
			return err
		}
		<-stop
		return nil
	}, func(error) { close(stop) })
}

// stop waits until the process is told to stop, and ends it in steps.
func (e *Entry) stop(ctx context.Context, closeFront, end func()) error {
	<-ctx.Done()
	began := e.clock.now()
	e.leaving.Store(true)
	e.log.Info(event.Stopping, "jobs", e.jobs())
	time.Sleep(min(serveAfterStop, e.settings.Grace/2))
	closeFront()
	for e.jobs() > 0 && e.clock.now()-began < e.settings.Grace-graceMargin {
		time.Sleep(entryTick)
	}
	time.Sleep(entryTick)
	end()
	return nil
}

func (e *Entry) jobs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.Jobs()
}

// tick drives the state machine and the heartbeats.
func (e *Entry) tick(ctx context.Context) {
	for sleep(ctx, entryTick) {
		e.mu.Lock()
		now := e.clock.now()
		e.owner.Tick(now)
		e.owner.Heartbeats(now, now-heartbeatInterval)
		e.mu.Unlock()
	}
}

// find calls the agents that the directory names, and registers the entry. The
// list comes first: an entry that calls an agent is known to it.
func (e *Entry) find(ctx context.Context) {
	own := Registration{Name: e.settings.Name, Addr: e.settings.Peers}
	for registered := false; ; {
		untilDone(ctx, e.log, "list", func(try context.Context) error {
			agents, err := e.directory.List(try, peer.RoleAgent)
			for _, m := range agents {
				e.addAgent(ctx, m)
			}
			return err
		})
		if !registered {
			untilDone(ctx, e.log, "register", func(try context.Context) error { return e.directory.Register(try, peer.RoleEntry, own) })
			registered = true
		}
		if !sleep(ctx, listInterval) {
			return
		}
	}
}
