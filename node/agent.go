package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/settings"
	"github.com/beaconpoint/beaconpoint/stage"
	"github.com/beaconpoint/beaconpoint/supervisor"
)

// Agent is the process beside a target.
type Agent struct {
	settings  settings.Node
	directory Directory
	target    TargetCalls
	log       *slog.Logger
	clock     steadyClock

	// Serve takes the target's heartbeats until the context ends.
	Serve func(ctx context.Context) error

	metrics      *metrics.Set
	startSeconds *metrics.Histogram
	renewSeconds *metrics.Histogram
	// renewSecondsBefore is renewSeconds under its earlier name.
	renewSecondsBefore *metrics.Histogram
	stages             map[stage.Stage]*metrics.Histogram

	// Signals, each due or not.
	heartbeatSeen       chan struct{} // the target has sent a heartbeat: for the first renewal
	heartbeatSeenBeside chan struct{} // the same, for the second one
	repliesLost         chan struct{} // the target's replies get lost
	entryMissing        chan struct{} // a known entry may not be connected

	mu              sync.Mutex // guards what follows
	supervisor      *supervisor.Supervisor
	conns           map[supervisor.ConnID]*agentConn
	lastConn        supervisor.ConnID
	entries         map[string]*knownEntry // by name
	document        document               // the newest configuration that any entry sent
	configVersion   uint64                 // of the document
	documentRequest documentRequest
	flushScheduled  bool
	pause           pause
	specs           specWaiters
}

// agentConn is a connection of an entry.
type agentConn struct {
	name  string     // of the entry
	level peer.Level // that it understands
	conn  *peer.Conn
	echo  time.Duration // the entry's latest stamp
}

// NewAgent returns an agent that is not running yet.
func NewAgent(s settings.Node, d Directory, target TargetCalls, log *slog.Logger) *Agent {
	a := &Agent{
		settings:            s,
		directory:           d,
		target:              target,
		log:                 log,
		clock:               newSteadyClock(),
		heartbeatSeen:       make(chan struct{}, 1),
		heartbeatSeenBeside: make(chan struct{}, 1),
		repliesLost:         make(chan struct{}, 1),
		entryMissing:        make(chan struct{}, 1),
		supervisor:          supervisor.NewSupervisor(log),
		conns:               make(map[supervisor.ConnID]*agentConn),
		entries:             make(map[string]*knownEntry),
	}
	a.metrics = newAgentMetrics(a)
	a.supervisor.Start = func(c supervisor.StartCall) { go a.start(c) }
	a.supervisor.Stop = func(c supervisor.StopCall) { go a.stopRun(c) }
	a.supervisor.Send = a.send
	a.supervisor.FetchSpec = func(job, addr string) { go a.fetchSpec(job, addr) }
	a.supervisor.ObserveStage = func(s stage.Stage, took time.Duration) { a.stages[s].Update(took.Seconds()) }
	return a
}

// Heartbeat handles the target's report of itself.
func (a *Agent) Heartbeat(r supervisor.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.supervisor.Heartbeat(now, r)
	notify(a.heartbeatSeen)
	notify(a.heartbeatSeenBeside)
	a.scheduleFlush(now)
}

// Deregister handles the target's notice that it is shutting down.
func (a *Agent) Deregister(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.supervisor.Deregister(now, id)
	a.scheduleFlush(now)
}

// Run runs the agent until the context ends, and then on until no run is left or the
// grace is over. Its error is that of a part that failed.
func (a *Agent) Run(ctx context.Context) error {
	a.log.Info(event.Start, "role", "agent", "name", a.settings.Name, "hall", a.settings.Hall)
	hard, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var g run.Group
	g.Add(func() error { return a.stop(ctx, hard) }, func(error) { end() })
	for _, part := range []func(context.Context) error{
		a.Serve, a.serveMetrics, a.listen, a.tick, a.renewLoop, a.renewBesideLoop, a.find, a.introduce,
	} {
		g.Add(func() error { return part(hard) }, func(error) { end() })
	}
	err := g.Run()
	a.log.Info(event.Stop, "role", "agent", "name", a.settings.Name)
	return err
}

// stop waits until the process is told to stop, and lets what runs end.
func (a *Agent) stop(ctx, hard context.Context) error {
	select {
	case <-ctx.Done():
	case <-hard.Done():
		return nil
	}
	began := a.clock.now()
	a.mu.Lock()
	a.supervisor.Leave(a.clock.now())
	a.mu.Unlock()
	a.log.Info(event.Stopping)
	for a.clock.now()-began < a.settings.Grace-graceMargin {
		time.Sleep(supervisor.TickInterval)
		a.mu.Lock()
		idle := a.supervisor.Idle()
		a.mu.Unlock()
		if idle {
			break
		}
	}
	return nil
}

// serveMetrics serves the agent's metrics until the context ends.
func (a *Agent) serveMetrics(ctx context.Context) error {
	return serveMetrics(ctx, a.settings.Metrics, a.metrics)
}

// stats returns what the supervisor counts.
func (a *Agent) stats() supervisor.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.supervisor.Stats(a.clock.now())
}

// claims returns what the agent counts as a home of jobs.
func (a *Agent) claims() claim.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.supervisor.Claims()
}

// tick calls the supervisor's Tick, sends heartbeats and gives up silent connections until
// the context ends.
func (a *Agent) tick(ctx context.Context) error {
	ticks(ctx, supervisor.TickInterval, a.clock, &a.pause, &a.mu, func(now time.Duration, judge bool) {
		a.supervisor.Tick(now)
		a.supervisor.Heartbeats(now)
		if judge {
			a.closeSilent(now)
		}
		a.scheduleFlush(now)
	})
	return nil
}
