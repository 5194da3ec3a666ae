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

// Agent is the process that runs beside a target and starts, monitors and stops runs on it.
type Agent struct {
	settings  settings.Node
	directory Directory
	target    TargetCalls
	log       *slog.Logger
	clock     bootClock

	// Serve receives the target's heartbeats until ctx is done. It must be set before Run.
	Serve func(ctx context.Context) error

	metrics      *metrics.Set
	startSeconds *metrics.Histogram
	renewSeconds *metrics.Histogram
	// renewSecondsDeprecated is renewSeconds under its deprecated metric name.
	renewSecondsDeprecated *metrics.Histogram
	stages                 map[stage.Stage]*metrics.Histogram

	// Signal channels of capacity 1, see notify.
	heartbeatSeen         chan struct{} // the target sent a heartbeat; read by renewLoop
	heartbeatSeenParallel chan struct{} // the same, read by parallelRenewLoop
	repliesLost           chan struct{} // replies of the target are being lost
	entryMissing          chan struct{} // a known entry may be disconnected

	mu              sync.Mutex // guards the fields below
	supervisor      *supervisor.Supervisor
	conns           map[supervisor.ConnID]*agentConn
	lastConnID      supervisor.ConnID
	entries         map[string]*knownEntry // by name
	document        document               // newest configuration received from an entry
	configVersion   uint64                 // version of document
	documentRequest documentRequest
	flushScheduled  bool
	pause           pauseDetector
	specs           specWaiters
}

// agentConn is a connection from an entry.
type agentConn struct {
	name  string             // of the entry
	level peer.ProtocolLevel // protocol level of the entry
	conn  *peer.Conn
	echo  time.Duration // latest stamp received from the entry
}

// NewAgent returns an agent. Run starts it.
func NewAgent(s settings.Node, d Directory, target TargetCalls, log *slog.Logger) *Agent {
	a := &Agent{
		settings:              s,
		directory:             d,
		target:                target,
		log:                   log,
		clock:                 newBootClock(),
		heartbeatSeen:         make(chan struct{}, 1),
		heartbeatSeenParallel: make(chan struct{}, 1),
		repliesLost:           make(chan struct{}, 1),
		entryMissing:          make(chan struct{}, 1),
		supervisor:            supervisor.NewSupervisor(log),
		conns:                 make(map[supervisor.ConnID]*agentConn),
		entries:               make(map[string]*knownEntry),
	}
	a.metrics = newAgentMetrics(a)
	a.supervisor.Start = func(c supervisor.StartCall) { go a.start(c) }
	a.supervisor.Stop = func(c supervisor.StopCall) { go a.stopRun(c) }
	a.supervisor.Send = a.send
	a.supervisor.FetchSpec = func(job, addr string) { go a.fetchSpec(job, addr) }
	a.supervisor.ObserveStage = func(s stage.Stage, took time.Duration) { a.stages[s].Update(took.Seconds()) }
	return a
}

// Heartbeat processes a heartbeat of the target.
func (a *Agent) Heartbeat(r supervisor.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.supervisor.Heartbeat(now, r)
	notify(a.heartbeatSeen)
	notify(a.heartbeatSeenParallel)
	a.scheduleFlush(now)
}

// Deregister processes the target's notice that it is shutting down.
func (a *Agent) Deregister(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.supervisor.Deregister(now, id)
	a.scheduleFlush(now)
}

// Run runs the agent until ctx is done, and then until all runs have ended or the grace period
// expires. It returns the error of the component that failed, if any.
func (a *Agent) Run(ctx context.Context) error {
	a.log.Info(event.Start, "role", "agent", "name", a.settings.Name, "hall", a.settings.Hall)
	abortCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g run.Group
	g.Add(func() error { return a.stop(ctx, abortCtx) }, func(error) { cancel() })
	for _, component := range []func(context.Context) error{
		a.Serve, a.serveMetrics, a.listen, a.tick, a.renewLoop, a.parallelRenewLoop, a.discoverEntries, a.introduce,
	} {
		g.Add(func() error { return component(abortCtx) }, func(error) { cancel() })
	}
	err := g.Run()
	a.log.Info(event.Stop, "role", "agent", "name", a.settings.Name)
	return err
}

// stop waits until ctx is done, then stops accepting work and waits for the remaining runs to
// end within the grace period.
func (a *Agent) stop(ctx, abortCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-abortCtx.Done():
		return nil
	}
	began := a.clock.now()
	a.mu.Lock()
	a.supervisor.BeginShutdown(a.clock.now())
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

func (a *Agent) serveMetrics(ctx context.Context) error {
	return serveMetrics(ctx, a.settings.MetricsAddr, a.metrics)
}

func (a *Agent) stats() supervisor.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.supervisor.Stats(a.clock.now())
}

// claims returns the statistics of claims for jobs of which this agent is a home, see package claim.
func (a *Agent) claims() claim.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.supervisor.Claims()
}

// tick calls the supervisor's Tick, sends heartbeats and closes silent connections until ctx is
// done.
func (a *Agent) tick(ctx context.Context) error {
	runTicks(ctx, supervisor.TickInterval, a.clock, &a.pause, &a.mu, func(now time.Duration, checkSilence bool) {
		a.supervisor.Tick(now)
		a.supervisor.SendHeartbeats(now)
		if checkSilence {
			a.closeSilent(now)
		}
		a.scheduleFlush(now)
	})
	return nil
}
