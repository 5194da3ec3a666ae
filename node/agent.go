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
	"github.com/beaconpoint/beaconpoint/worker"
)

// Agent is the process beside a worker.
type Agent struct {
	settings  settings.Node
	directory Directory
	calls     WorkerCalls
	log       *slog.Logger
	clock     steady

	// Serve takes the worker's heartbeats until the context ends.
	Serve func(ctx context.Context) error

	metrics      *metrics.Set
	startSeconds *metrics.Histogram
	holdSeconds  *metrics.Histogram
	stages       [worker.Stages]*metrics.Histogram

	mu         sync.Mutex
	supervisor *worker.Supervisor
	conns      map[worker.ConnID]*agentConn
	next       worker.ConnID
	entries    map[string]string // addresses by name
	document   []byte            // the newest configuration that any entry sent
	config     uint64
	flushing   bool
	awake      chan struct{} // the worker has sent a heartbeat
	shaken     chan struct{} // answers of the worker get lost
}

// agentConn is a connection of an entry.
type agentConn struct {
	name   string
	conn   *peer.Conn
	echo   time.Duration
	config uint64
}

// NewAgent returns an agent that is not running yet.
func NewAgent(s settings.Node, d Directory, calls WorkerCalls, log *slog.Logger) *Agent {
	a := &Agent{
		settings:   s,
		directory:  d,
		calls:      calls,
		log:        log,
		clock:      newSteady(),
		supervisor: worker.NewSupervisor(log),
		conns:      make(map[worker.ConnID]*agentConn),
		entries:    make(map[string]string),
		awake:      make(chan struct{}, 1),
		shaken:     make(chan struct{}, 1),
	}
	a.metrics = newAgentMetrics(a)
	a.supervisor.Start = func(c worker.StartCall) { go a.start(c) }
	a.supervisor.Stop = func(c worker.StopCall) { go a.stopRun(c) }
	a.supervisor.Send = a.send
	a.supervisor.Observe = func(s worker.Stage, took time.Duration) { a.stages[s].Update(took.Seconds()) }
	return a
}

// Heartbeat takes the worker's report of itself.
func (a *Agent) Heartbeat(r worker.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.supervisor.Heartbeat(a.clock.now(), r)
	select {
	case a.awake <- struct{}{}:
	default:
	}
	a.later()
}

// Deregister takes the worker's word that it ends.
func (a *Agent) Deregister(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.supervisor.Deregister(a.clock.now(), id)
	a.later()
}

// Run runs the agent until the context ends, and then until nothing runs or the
// grace is over.
func (a *Agent) Run(ctx context.Context) error {
	a.log.Info(event.Start, "role", "agent", "name", a.settings.Name, "zone", a.settings.Zone)
	hard, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var g run.Group
	g.Add(func() error { return a.stop(ctx, hard) }, func(error) { end() })
	for _, do := range []func(context.Context) error{a.Serve, a.serveMetrics, a.listen, a.tick, a.hold, a.holdBeside, a.find, a.introduce} {
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
func (a *Agent) stats() worker.Stats {
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
		a.heard(id, f)
	}
	a.disconnect(id)
}

func (a *Agent) connect(c *peer.Conn, h *peer.Hello) worker.ConnID {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	a.conns[a.next] = &agentConn{name: h.Name, conn: c}
	a.entries[h.Name] = h.Addr
	a.supervisor.Connected(a.clock.now(), a.next, h.Name)
	return a.next
}

func (a *Agent) disconnect(id worker.ConnID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, id)
	a.supervisor.Disconnected(a.clock.now(), id)
	a.later()
}

func (a *Agent) heard(id worker.ConnID, f *peer.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.conns[id]
	if c == nil {
		return
	}
	c.echo = max(c.echo, f.Stamp)
	c.config = max(c.config, f.Config)
	if len(f.Document) > 0 && f.Config > a.config {
		a.config = f.Config
		a.document = f.Document
	}
	a.supervisor.Heard(a.clock.now(), id, f)
	a.later()
}

// send sends a frame to an entry. It is called with the lock held.
func (a *Agent) send(id worker.ConnID, f *peer.Frame) {
	c := a.conns[id]
	if c == nil {
		return
	}
	f.Echo = c.echo
	f.Config = a.config
	if c.config < a.config && c.echo > 0 {
		f.Document = a.document
		c.config = a.config
	}
	c.conn.Send(f)
}

// later has a state that waits to be told sent in time. It is called with the
// lock held.
func (a *Agent) later() {
	if a.supervisor.Shaky(a.clock.now()) {
		select {
		case a.shaken <- struct{}{}:
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
		a.later()
	})
}

// tick drives the state machine and the heartbeats.
func (a *Agent) tick(ctx context.Context) error {
	for sleep(ctx, agentTick) {
		a.mu.Lock()
		now := a.clock.now()
		a.supervisor.Tick(now)
		a.supervisor.Heartbeats(now, now-heartbeatInterval)
		a.later()
		a.mu.Unlock()
	}
	return nil
}

func (a *Agent) start(c worker.StartCall) {
	began := time.Now()
	retry := time.AfterFunc(worker.StartRetry+time.Millisecond, a.look)
	reply := a.calls.Start(c)
	retry.Stop()
	a.startSeconds.UpdateDuration(began)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.supervisor.StartAnswered(a.clock.now(), c, reply)
	a.later()
}

// look has the state machine look at what has run out of time.
func (a *Agent) look() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.supervisor.Tick(a.clock.now())
	a.later()
}

func (a *Agent) stopRun(c worker.StopCall) {
	reply := a.calls.Stop(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.supervisor.StopAnswered(a.clock.now(), c, reply)
	a.later()
}

// hold keeps the worker's lease and reads its lists.
func (a *Agent) hold(ctx context.Context) error {
	for ctx.Err() == nil {
		if !a.holdOnce(ctx) {
			select {
			case <-ctx.Done():
			case <-a.awake:
			}
		}
	}
	return nil
}

// holdBeside keeps a second hold under way while answers get lost.
func (a *Agent) holdBeside(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.shaken:
		}
		for a.shaky() && a.holdOnce(ctx) {
		}
	}
}

// shaky reports whether answers of the worker get lost.
func (a *Agent) shaky() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.supervisor.Shaky(a.clock.now())
}

// holdOnce makes one hold, and the pause after one that failed. It reports
// whether there is a worker.
func (a *Agent) holdOnce(ctx context.Context) bool {
	a.mu.Lock()
	c, ok := a.supervisor.NextHold(a.clock.now())
	a.mu.Unlock()
	if !ok || ctx.Err() != nil {
		return false
	}
	began := time.Now()
	reply, answer := a.calls.Hold(c)
	a.holdSeconds.UpdateDuration(began)
	a.mu.Lock()
	a.supervisor.HoldAnswered(a.clock.now(), c, reply, answer)
	pause := a.supervisor.HoldPause() - time.Since(began)
	a.later()
	a.mu.Unlock()
	a.pause(ctx, pause)
	return true
}

// pause waits, or until the worker has sent a heartbeat.
func (a *Agent) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-a.awake:
	case <-timer.C:
	}
}

// find learns of the entries and registers the agent, and again when it has
// been without any entry for a while. The list comes first: an agent that knows
// the entries makes itself known to them.
func (a *Agent) find(ctx context.Context) error {
	own := Member{Name: a.settings.Name, Addr: a.settings.Peers}
	for ctx.Err() == nil {
		untilDone(ctx, a.log, "list", func(try context.Context) error {
			entries, err := a.directory.List(try, peer.RoleEntry)
			a.learn(entries)
			return err
		})
		untilDone(ctx, a.log, "register", func(try context.Context) error { return a.directory.Register(try, peer.RoleAgent, own) })
		for alone := time.Duration(0); alone < loneTime && sleep(ctx, dialRetry); alone += dialRetry {
			if a.connected() > 0 {
				alone = 0
			}
		}
	}
	return nil
}

func (a *Agent) learn(entries []Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range entries {
		a.entries[m.Name] = m.Addr
	}
}

func (a *Agent) connected() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// introduce makes the agent known to entries that have no connection here: an
// entry that has restarted while the store is down finds its agents so.
func (a *Agent) introduce(ctx context.Context) error {
	waits := make(map[string]time.Duration)
	due := make(map[string]time.Duration)
	for sleep(ctx, dialRetry) {
		now := a.clock.now()
		for name, addr := range a.missing() {
			if now < due[name] {
				continue
			}
			waits[name] = min(max(2*waits[name], dialRetry), dialRetryMax)
			due[name] = now + waits[name]
			go a.introduceTo(ctx, addr)
		}
		for name := range waits {
			if a.has(name) {
				delete(waits, name)
				delete(due, name)
			}
		}
	}
	return nil
}

// missing returns the entries that are known and not connected.
func (a *Agent) missing() map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make(map[string]string)
	for name, addr := range a.entries {
		list[name] = addr
	}
	for _, c := range a.conns {
		delete(list, c.name)
	}
	return list
}

func (a *Agent) has(name string) bool {
	_, missing := a.missing()[name]
	return !missing
}

// introduceTo tells one entry where this agent is, and the configuration.
func (a *Agent) introduceTo(ctx context.Context, addr string) {
	raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer raw.Close()
	hello := &peer.Hello{Role: peer.RoleAgent, Name: a.settings.Name, Addr: a.settings.Peers, Introduce: true}
	a.mu.Lock()
	f := &peer.Frame{Hello: hello, Config: a.config, Document: a.document}
	a.mu.Unlock()
	buf, err := peer.AppendFrame(nil, f)
	if err != nil {
		return
	}
	_ = raw.SetDeadline(time.Now().Add(dialTimeout))
	_, _ = raw.Write(buf)
	_, _ = raw.Read(make([]byte, 1)) // until the entry closes
}
