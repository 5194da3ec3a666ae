package node

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"

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
	entries         map[string]string // addresses of all known entries, by name
	document        document          // the newest configuration that any entry sent
	configVersion   uint64            // of the document
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
		entries:             make(map[string]string),
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
	a.supervisor.Heartbeat(a.clock.now(), r)
	notify(a.heartbeatSeen)
	notify(a.heartbeatSeenBeside)
	a.scheduleFlush()
}

// Deregister handles the target's notice that it is shutting down.
func (a *Agent) Deregister(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.supervisor.Deregister(a.clock.now(), id)
	a.scheduleFlush()
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

// listen takes connections of entries until the context ends.
func (a *Agent) listen(ctx context.Context) error {
	return listen(ctx, a.settings.Peers, a.accept)
}

// accept runs one connection of an entry until it ends.
func (a *Agent) accept(ctx context.Context, raw net.Conn) {
	c := peer.NewConn(raw)
	defer c.Close()
	defer context.AfterFunc(ctx, c.Close)()
	watchdog := time.AfterFunc(peer.Silence, func() { c.CloseFor(errSilent) })
	f, err := c.Receive()
	watchdog.Stop()
	if err == nil && f.AskSpec != "" {
		a.giveSpec(c, f.AskSpec)
		return
	}
	if err != nil || f.Hello == nil || f.Hello.Role != peer.RoleEntry {
		return // not an entry, or one that has gone: it connects again
	}
	hello := f.Hello
	go c.Run()
	id := a.connect(c, hello)
	for {
		f, err := c.Receive()
		if err != nil {
			a.log.Info(event.ConnectionEnded, "entry", hello.Name, "error", c.Cause(err).Error())
			break
		}
		a.receive(id, f)
	}
	a.disconnect(id)
}

// connect records the connection of an entry.
func (a *Agent) connect(c *peer.Conn, h *peer.Hello) supervisor.ConnID {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastConn++
	a.conns[a.lastConn] = &agentConn{name: h.Name, level: h.Level, conn: c}
	a.entries[h.Name] = h.Addr
	a.supervisor.Connected(a.clock.now(), a.lastConn, h.Name, h.Level)
	return a.lastConn
}

// disconnect records the end of a connection.
func (a *Agent) disconnect(id supervisor.ConnID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, id)
	notify(a.entryMissing)
	a.supervisor.Disconnected(a.clock.now(), id)
	a.scheduleFlush()
}

// receive handles a frame of an entry.
func (a *Agent) receive(id supervisor.ConnID, f *peer.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.conns[id]
	if c == nil {
		return
	}
	c.echo = max(c.echo, f.Stamp)
	if doc := documentOf(f); !doc.empty() && f.Config > a.configVersion {
		a.configVersion = f.Config
		a.document = doc
		a.documentRequest = documentRequest{}
	}
	now := a.clock.now()
	a.passDocument(now, id, f)
	a.supervisor.Receive(now, id, f)
	a.specs.arrived(f)
	a.scheduleFlush()
}

// send completes a frame and sends it to an entry. It is called with the lock held.
func (a *Agent) send(id supervisor.ConnID, f *peer.Frame) {
	c := a.conns[id]
	if c == nil {
		return
	}
	f.Echo = c.echo
	f.Config = a.configVersion
	c.conn.Send(f)
}

// scheduleFlush has a changed state sent when it is due, and a second renewal begun
// where replies get lost. It is called with the lock held, after every call to the
// supervisor.
func (a *Agent) scheduleFlush() {
	if a.supervisor.LosingReplies(a.clock.now()) {
		notify(a.repliesLost)
	}
	wait, ok := a.supervisor.Pending(a.clock.now())
	if !ok || a.flushScheduled {
		return
	}
	a.flushScheduled = true
	time.AfterFunc(wait+time.Millisecond, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.flushScheduled = false
		a.supervisor.Flush(a.clock.now())
		a.scheduleFlush()
	})
}

// tick calls the supervisor's Tick, sends heartbeats and gives up silent connections until
// the context ends.
func (a *Agent) tick(ctx context.Context) error {
	for sleep(ctx, supervisor.TickInterval) {
		a.mu.Lock()
		now := a.clock.now()
		judge := a.pause.tick(now)
		a.supervisor.Tick(now)
		a.supervisor.Heartbeats(now)
		if judge {
			a.closeSilent(now)
		}
		a.scheduleFlush()
		a.mu.Unlock()
	}
	return nil
}

// closeSilent gives up the connections whose entries have been silent for too long. It is
// called with the lock held.
func (a *Agent) closeSilent(now time.Duration) {
	for id, c := range a.conns {
		if a.supervisor.SilentTooLong(now, id) {
			c.conn.CloseFor(errSilent)
		}
	}
}
