// Package agent runs an agent: the process beside a target that guards and
// performs its starts. It carries frames and tasks to and from the guard.
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
	// drainPoll is how often a stopping agent looks whether it has finished.
	drainPoll = 20 * time.Millisecond
	// drainLinger is how long the last results may take to leave.
	drainLinger = 200 * time.Millisecond
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
	closed   bool // no connection is taken any more
	// work is done when what still runs has to be given up.
	work   context.Context
	giveUp context.CancelFunc

	mu    sync.Mutex
	guard *guard.Guard
	conns map[roster.ID]*wire.Conn
}

// NewAgent returns an agent that listens at its settings' address.
func NewAgent(cfg settings.Settings, log *slog.Logger) (*Agent, error) {
	l, err := net.Listen("tcp", cfg.Peers)
	if err != nil {
		return nil, err
	}
	self := roster.NewID(cfg.Name, NewIncarnation())
	work, giveUp := context.WithCancel(context.Background())
	return &Agent{
		cfg:      cfg,
		log:      log.With("role", wire.RoleAgent, "seat", self.String()),
		self:     self,
		clock:    clock.New(),
		target:   target.NewClient(cfg.Agent.Target),
		listener: l,
		work:     work,
		giveUp:   giveUp,
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

// NewIncarnation returns a number that no other life of a process has.
func NewIncarnation() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // never fails
	return binary.BigEndian.Uint64(raw[:]) >> 1
}

// Addr returns where the agent listens.
func (a *Agent) Addr() string {
	return a.listener.Addr().String()
}

// Run serves until ctx is done, then finishes what it has accepted.
func (a *Agent) Run(ctx context.Context) error {
	a.log.Info("agent serves", "addr", a.Addr(), "target", a.cfg.Agent.Target)
	var g run.Group
	g.Add(a.accept, func(error) { a.listener.Close() })
	ticks, stopTicks := context.WithCancel(context.Background())
	g.Add(func() error { return a.tick(ticks) }, func(error) { stopTicks() })
	stop, cancel := context.WithCancel(ctx)
	g.Add(func() error { return a.untilStopped(stop) }, func(error) { cancel() })
	err := g.Run()
	a.closeAll()
	a.giveUp()
	a.tasks.Wait()
	a.serving.Wait()
	a.log.Info("agent stopped")
	return err
}

// untilStopped waits for the stop, refuses new starts and waits until what was
// accepted has ended and its results are on their way.
func (a *Agent) untilStopped(ctx context.Context) error {
	<-ctx.Done()
	a.log.Info("agent leaves")
	a.do(func(now clock.Moment) guard.Effects { return a.guard.Leave(now) })
	deadline := time.Now().Add(a.cfg.DrainTime)
	for time.Now().Before(deadline) && !a.idle() {
		time.Sleep(drainPoll)
	}
	time.Sleep(drainLinger)
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
			a.do(a.guard.Tick)
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

// serve runs one entry's connection.
func (a *Agent) serve(raw net.Conn) {
	c, err := wire.Handshake(raw, wire.Hello{Role: wire.RoleAgent, ID: a.self, Region: a.cfg.Region}, &a.stats)
	if err != nil {
		a.log.Warn("peer turned away", "remote", raw.RemoteAddr().String(), "error", err)
		return
	}
	if !a.linkUp(c) {
		c.Close()
		return
	}
	from := c.Remote().ID
	err = c.Run(func(f wire.Frame) error {
		a.do(func(now clock.Moment) guard.Effects { return a.guard.Receive(now, from, f) })
		return nil
	})
	a.mu.Lock()
	if a.conns[from] == c {
		delete(a.conns, from)
	}
	a.mu.Unlock()
	a.log.Info("entry disconnected", "peer", from.String(), "error", err)
}

// linkUp makes c the connection to its entry, unless the agent has closed all.
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

// closeAll closes all connections, and has linkUp turn away what comes later.
func (a *Agent) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, c := range a.conns {
		c.Close()
	}
}

// do has the guard handle one event and carries out the effects in order.
func (a *Agent) do(event func(clock.Moment) guard.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := event(a.clock.Now())
	for _, s := range out.Sends {
		if c := a.conns[s.To]; c != nil {
			c.Send(s.Frame)
		}
	}
	for _, r := range out.Runs {
		a.tasks.Go(func() { a.perform(r.Start) })
	}
}

func (a *Agent) perform(s wire.Start) {
	status, c, out := a.target.Run(a.work, s)
	if status != wire.Done {
		a.log.Warn("task failed", "job", s.Key.Job, "task", s.TaskID, "code", c.String())
	}
	a.do(func(now clock.Moment) guard.Effects { return a.guard.Ended(now, s.Key, status, c, out) })
}
