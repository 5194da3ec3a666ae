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
	"github.com/beaconpoint/beaconpoint/supervisor"
)

// Agent is the process beside a worker.
type Agent struct {
	settings  settings.Node
	directory Directory
	target    TargetCalls
	log       *slog.Logger
	clock     steadyClock

	// Serve takes the worker's heartbeats until the context ends.
	Serve func(ctx context.Context) error

	metrics      *metrics.Set
	startSeconds *metrics.Histogram
	renewSeconds *metrics.Histogram
	stages       [supervisor.Stages]*metrics.Histogram

	mu              sync.Mutex
	supervisor      *supervisor.Supervisor
	conns           map[supervisor.ConnID]*agentConn
	next            supervisor.ConnID
	entries         map[string]string // addresses by name
	document        []byte            // the newest configuration that any entry sent
	configVersion   uint64
	documentRequest documentRequest
	flushing        bool
	heartbeatSeen   chan struct{} // the worker has sent a heartbeat
	repliesLost     chan struct{} // answers of the worker get lost
	entryMissing    chan struct{} // an entry may be missing
}

// agentConn is a connection of an entry.
type agentConn struct {
	name string
	conn *peer.Conn
	echo time.Duration
}

// NewAgent returns an agent that is not running yet.
func NewAgent(s settings.Node, d Directory, calls TargetCalls, log *slog.Logger) *Agent {
	a := &Agent{
		settings:      s,
		directory:     d,
		target:        calls,
		log:           log,
		clock:         newSteadyClock(),
		supervisor:    supervisor.NewSupervisor(log),
		conns:         make(map[supervisor.ConnID]*agentConn),
		entries:       make(map[string]string),
		heartbeatSeen: make(chan struct{}, 1),
		repliesLost:   make(chan struct{}, 1),
		entryMissing:  make(chan struct{}, 1),
	}
	a.metrics = newAgentMetrics(a)
	a.supervisor.Start = func(c supervisor.StartCall) { go a.start(c) }
	a.supervisor.Stop = func(c supervisor.StopCall) { go a.stopRun(c) }
	a.supervisor.Send = a.send
	a.supervisor.ObserveStage = func(s supervisor.Stage, took time.Duration) { a.stages[s].Update(took.Seconds()) }
	return a
}

// Heartbeat takes the worker's report of itself.
func (a *Agent) Heartbeat(r supervisor.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.supervisor.Heartbeat(a.clock.now(), r)
	select {
	case a.heartbeatSeen <- struct{}{}:
	default:
	}
	a.scheduleFlush()
}

// Deregister takes the worker's word that it ends.
func (a *Agent) Deregister(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.supervisor.Deregister(a.clock.now(), id)
	a.scheduleFlush()
}

// Run runs the agent until the context ends, and then until nothing runs or the
// grace is over.
func (a *Agent) Run(ctx context.Context) error {
	a.log.Info(event.Start, "role", "agent", "name", a.settings.Name, "zone", a.settings.Hall)
	hard, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var g run.Group
	g.Add(func() error { return a.stop(ctx, hard) }, func(error) { end() })
	for _, do := range []func(context.Context) error{a.Serve, a.serveMetrics, a.listen, a.tick, a.renewLoop, a.renewBesideLoop, a.find, a.introduce} {
		g.Add(func() error { return do(hard) }, func(error) { end() })
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
		time.Sleep(agentTick)
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
	return serveMetrics(ctx, a.settings.Metrics, a.metrics)
}

// stats returns what the supervisor counts.
func (a *Agent) stats() supervisor.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.supervisor.Stats(a.clock.now())
}

func (a *Agent) listen(ctx context.Context) error {
	return listen(ctx, a.settings.Peers, a.accept)
}

// accept runs one connection of an entry.
func (a *Agent) accept(ctx context.Context, raw net.Conn) {
	c := peer.NewConn(raw)
	defer c.Close()
	defer context.AfterFunc(ctx, c.Close)()
	watchdog := time.AfterFunc(peerSilence, c.Close)
	defer watchdog.Stop()
	f, err := c.Receive()
	if err != nil || f.Hello == nil || f.Hello.Role != peer.RoleEntry {
		return
	}
	go c.Run()
	id := a.connect(c, f.Hello)
	for {
		f, err := c.Receive()
		if err != nil {
			break
		}
		watchdog.Reset(peerSilence)
		a.receive(id, f)
	}
	a.disconnect(id)
}

func (a *Agent) connect(c *peer.Conn, h *peer.Hello) supervisor.ConnID {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	a.conns[a.next] = &agentConn{name: h.Name, conn: c}
	a.entries[h.Name] = h.Addr
	a.supervisor.Connected(a.clock.now(), a.next, h.Name)
	return a.next
}

func (a *Agent) disconnect(id supervisor.ConnID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, id)
	a.notifyMissing()
	a.supervisor.Disconnected(a.clock.now(), id)
	a.scheduleFlush()
}

func (a *Agent) receive(id supervisor.ConnID, f *peer.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.conns[id]
	if c == nil {
		return
	}
	c.echo = max(c.echo, f.Stamp)
	if len(f.Document) > 0 && f.Config > a.configVersion {
		a.configVersion = f.Config
		a.document = f.Document
		a.documentRequest = documentRequest{}
	}
	now := a.clock.now()
	a.passDocument(now, id, f)
	a.supervisor.Receive(now, id, f)
	a.scheduleFlush()
}

// send sends a frame to an entry. It is called with the lock held.
func (a *Agent) send(id supervisor.ConnID, f *peer.Frame) {
	c := a.conns[id]
	if c == nil {
		return
	}
	f.Echo = c.echo
	f.Config = a.configVersion
	c.conn.Send(f)
}

// scheduleFlush has a state that waits to be told sent in time. It is called with the
// lock held.
func (a *Agent) scheduleFlush() {
	if a.supervisor.LosingReplies(a.clock.now()) {
		select {
		case a.repliesLost <- struct{}{}:
		default:
		}
	}
	wait, ok := a.supervisor.Pending(a.clock.now())
	if !ok || a.flushing {
		return
	}
	a.flushing = true
	time.AfterFunc(wait+time.Millisecond, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.flushing = false
		a.supervisor.Flush(a.clock.now())
		a.scheduleFlush()
	})
}

// tick drives the state machine and the heartbeats.
func (a *Agent) tick(ctx context.Context) error {
	for sleep(ctx, agentTick) {
		a.mu.Lock()
		now := a.clock.now()
		a.supervisor.Tick(now)
		a.supervisor.Heartbeats(now, now-heartbeatInterval)
		a.scheduleFlush()
		a.mu.Unlock()
	}
	return nil
}
