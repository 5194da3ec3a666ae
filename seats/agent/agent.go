// Package agent runs an agent, the process next to a target that accepts starts
// from entries and runs the tasks at the target. Package guard makes the
// decisions; this package connects it to the network and the target.
package agent

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/oklog/run"

	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/guard"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/settings"
	"github.com/beaconpoint/beaconpoint/seats/target"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// Intervals of an agent.
const (
	tickInterval = 500 * time.Millisecond
	// drainPollInterval is the interval at which a stopping agent checks whether its
	// tasks have ended.
	drainPollInterval = 20 * time.Millisecond
	// resultFlushTime is the time for the last results to be sent.
	resultFlushTime = 200 * time.Millisecond
)

// Agent is one running agent.
type Agent struct {
	cfg      settings.Settings
	log      *slog.Logger
	self     roster.ID
	clock    clock.Clock
	target   *target.Client
	listener net.Listener
	stats    wire.Stats
	tasks    sync.WaitGroup
	serving  sync.WaitGroup
	closed   bool // new connections are rejected
	// taskCtx is cancelled when the agent stops waiting for running tasks.
	taskCtx     context.Context
	cancelTasks context.CancelFunc

	mu    sync.Mutex
	guard *guard.Guard
	conns map[roster.ID]*wire.Conn
}

// NewAgent returns an agent that listens on cfg.Peers.
func NewAgent(cfg settings.Settings, log *slog.Logger) (*Agent, error) {
	listener, err := net.Listen("tcp", cfg.Peers)
	if err != nil {
		return nil, err
	}
	self := roster.NewID(cfg.Name, NewIncarnation())
	taskCtx, cancelTasks := context.WithCancel(context.Background())
	return &Agent{
		cfg:         cfg,
		log:         log.With("role", wire.RoleAgent, "seat", self.String()),
		self:        self,
		clock:       clock.New(),
		target:      target.NewClient(cfg.Agent.Target),
		listener:    listener,
		taskCtx:     taskCtx,
		cancelTasks: cancelTasks,
		guard: guard.NewGuard(guard.Config{
			Self:        self,
			Lease:       cfg.Lease,
			Skew:        cfg.Skew,
			Queue:       cfg.Agent.Queue,
			OutputBytes: cfg.Agent.OutputMB << 20,
		}),
		conns: make(map[roster.ID]*wire.Conn),
	}, nil
}

// NewIncarnation returns a random number that identifies one run of a process.
func NewIncarnation() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // never fails
	return binary.BigEndian.Uint64(raw[:]) >> 1
}

// Addr returns the address on which the agent listens.
func (a *Agent) Addr() string {
	return a.listener.Addr().String()
}

// Run serves until ctx is done, then finishes the accepted tasks.
func (a *Agent) Run(ctx context.Context) error {
	a.log.Info("agent serves", "addr", a.Addr(), "target", a.cfg.Agent.Target)
	var g run.Group
	g.Add(a.accept, func(error) { a.listener.Close() })
	ticks, stopTicks := context.WithCancel(context.Background())
	g.Add(func() error { return a.tick(ticks) }, func(error) { stopTicks() })
	stop, cancel := context.WithCancel(ctx)
	g.Add(func() error { return a.drainOnStop(stop) }, func(error) { cancel() })
	err := g.Run()
	a.closeAll()
	a.cancelTasks()
	a.tasks.Wait()
	a.serving.Wait()
	a.log.Info("agent stopped")
	return err
}

// drainOnStop waits until ctx is done, refuses new starts and waits, for at most
// the drain time, until the accepted tasks have ended.
func (a *Agent) drainOnStop(ctx context.Context) error {
	<-ctx.Done()
	a.log.Info("agent stopping, waiting for accepted tasks")
	a.handleEvent(func(now clock.Moment) guard.Effects { return a.guard.Leave(now) })
	deadline := time.Now().Add(a.cfg.DrainTime)
	for time.Now().Before(deadline) && !a.idle() {
		time.Sleep(drainPollInterval)
	}
	time.Sleep(resultFlushTime)
	return nil
}

func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.guard.Idle()
}

func (a *Agent) tick(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			a.handleEvent(a.guard.Tick)
		}
	}
}

func (a *Agent) accept() error {
	for {
		raw, err := a.listener.Accept()
		if err != nil {
			return err
		}
		a.serving.Go(func() { a.serve(raw) })
	}
}

// serve handles the connection of one entry.
func (a *Agent) serve(raw net.Conn) {
	c, err := wire.Handshake(raw, wire.Hello{Role: wire.RoleAgent, ID: a.self, Region: a.cfg.Region}, &a.stats)
	if err != nil {
		a.log.Warn("handshake with peer failed", "remote", raw.RemoteAddr().String(), "error", err)
		return
	}
	if !a.linkUp(c) {
		c.Close()
		return
	}
	from := c.Remote().ID
	err = c.Run(func(f wire.Frame) error {
		a.handleEvent(func(now clock.Moment) guard.Effects { return a.guard.Receive(now, from, f) })
		return nil
	})
	a.mu.Lock()
	if a.conns[from] == c {
		delete(a.conns, from)
	}
	a.mu.Unlock()
	a.log.Info("entry disconnected", "peer", from.String(), "error", err)
}

// linkUp registers c as the connection to its entry. It reports false after
// closeAll.
func (a *Agent) linkUp(c *wire.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	from := c.Remote().ID
	if old := a.conns[from]; old != nil {
		old.Close()
	}
	a.conns[from] = c
	return true
}

// closeAll closes all connections and rejects new ones.
func (a *Agent) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, c := range a.conns {
		c.Close()
	}
}

// handleEvent passes one event to the guard and carries out the effects in order.
func (a *Agent) handleEvent(event func(clock.Moment) guard.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := event(a.clock.Now())
	for _, s := range out.Sends {
		if c := a.conns[s.To]; c != nil {
			c.Send(s.Frame)
		}
	}
	for _, r := range out.Runs {
		a.tasks.Go(func() { a.runTask(r.Start) })
	}
}

func (a *Agent) runTask(s wire.Start) {
	status, c, out := a.target.Run(a.taskCtx, s)
	if status != wire.Done {
		a.log.Warn("task failed", "job", s.Key.Job, "task", s.TaskID, "code", c.String())
	}
	a.handleEvent(func(now clock.Moment) guard.Effects { return a.guard.Ended(now, s.Key, status, c, out) })
}
