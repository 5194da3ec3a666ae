// Package entry runs an entry. It serves callers and operators over HTTP and
// connects the state machine of package home to the network and the store.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/agent"
	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/home"
	"github.com/beaconpoint/beaconpoint/seats/job"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/settings"
	"github.com/beaconpoint/beaconpoint/seats/store"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// Intervals of an entry.
const (
	tickInterval        = 50 * time.Millisecond
	resultFlushTime     = 200 * time.Millisecond
	httpShutdownTimeout = 2 * time.Second
	// readinessDelay is the time for the load balancer to see that a stopping
	// entry is not ready, during which the entry serves as before.
	readinessDelay = time.Second
)

// Entry is one running entry.
type Entry struct {
	cfg        settings.Settings
	log        *slog.Logger
	clock      clock.Clock
	store      *store.Client
	tokens     *tokens
	peers      net.Listener
	callers    net.Listener
	ops        net.Listener
	stats      wire.Stats
	storeCalls chan func(context.Context)
	serving    sync.WaitGroup
	closed     bool // new connections are rejected
	stopping   atomic.Bool
	// config is the configuration in force, to be read without the lock.
	config atomic.Pointer[config.View]
	ready  atomic.Bool

	mu            sync.Mutex
	self          roster.ID
	home          *home.Home
	previousStats home.Stats // of earlier incarnations
	conns         map[roster.ID]*wire.Conn
	tickets       uint64
	waiting       map[uint64]*ticket
	done          chan struct{} // closed when a stopping entry has lost its seat
}

// ticket is a submission whose caller waits for the answer.
type ticket struct {
	sub    job.Submission
	lookup bool
	answer chan seats.Answer
}

// NewEntry returns an entry that listens on the addresses of cfg.
func NewEntry(cfg settings.Settings, log *slog.Logger) (*Entry, error) {
	keys, err := loadTokens(cfg.Entry.Tokens)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		cfg:        cfg,
		log:        log.With("role", wire.RoleEntry),
		clock:      clock.New(),
		store:      store.NewClient(cfg.Entry.Platform),
		tokens:     keys,
		storeCalls: make(chan func(context.Context), 64),
		conns:      make(map[roster.ID]*wire.Conn),
		waiting:    make(map[uint64]*ticket),
		done:       make(chan struct{}),
	}
	e.config.Store(config.NewView(config.Document{}))
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.startIncarnation()
	return e, nil
}

func (e *Entry) listen() error {
	for _, l := range []struct {
		at   *net.Listener
		addr string
	}{{&e.peers, e.cfg.Peers}, {&e.callers, e.cfg.Entry.Callers}, {&e.ops, e.cfg.Entry.Operators}} {
		var err error
		if *l.at, err = net.Listen("tcp", l.addr); err != nil {
			return err
		}
	}
	return nil
}

// startIncarnation replaces the state machine by one with a new incarnation. It
// is called with e.mu held, or from NewEntry.
func (e *Entry) startIncarnation() {
	e.self = roster.NewID(e.cfg.Name, agent.NewIncarnation())
	hc := home.DefaultConfig(e.self, e.peers.Addr().String())
	hc.Lease = e.cfg.Lease
	hc.Heartbeat = e.cfg.Lease * 2 / 15
	hc.AgentHeartbeat = e.cfg.Lease / 3
	hc.Suspect = e.cfg.Lease / 2
	hc.Skew = e.cfg.Skew
	hc.AnswerBytes = e.cfg.Entry.AnswerMB << 20
	if e.home != nil {
		e.previousStats = e.previousStats.Plus(e.home.Stats())
	}
	e.home = home.NewHome(hc)
	e.log.Info("incarnation started", "seat", e.self.String())
}

// PeersAddr returns the address for other processes.
func (e *Entry) PeersAddr() string { return e.peers.Addr().String() }

// CallersURL returns the base URL for callers.
func (e *Entry) CallersURL() string { return "http://" + e.callers.Addr().String() }

// OperatorsURL returns the base URL for operators.
func (e *Entry) OperatorsURL() string { return "http://" + e.ops.Addr().String() }

// Run serves until ctx is done, then finishes the accepted jobs and gives up the
// seat.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info("entry serves", "peers", e.PeersAddr(), "callers", e.CallersURL(), "operators", e.OperatorsURL())
	var g run.Group
	callers := &http.Server{Handler: e.callersHandler(), ReadHeaderTimeout: 10 * time.Second}
	ops := &http.Server{Handler: e.operatorsHandler(), ReadHeaderTimeout: 10 * time.Second}
	e.addServer(&g, callers, e.callers)
	e.addServer(&g, ops, e.ops)
	g.Add(e.accept, func(error) { e.peers.Close() })
	for _, actor := range []func(context.Context) error{
		e.tick, e.dial, e.runStoreCalls, e.watchConfig, e.watchRoster, e.watchHosts,
	} {
		actorCtx, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return actor(actorCtx) }, func(error) { cancel() })
	}
	stop, cancel := context.WithCancel(ctx)
	g.Add(func() error { return e.drainOnStop(stop) }, func(error) { cancel() })
	err := g.Run()
	e.closeAll()
	e.serving.Wait()
	e.log.Info("entry stopped")
	return err
}

func (e *Entry) addServer(g *run.Group, s *http.Server, l net.Listener) {
	g.Add(func() error {
		if err := s.Serve(l); err != http.ErrServerClosed {
			return err
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
		defer cancel()
		_ = s.Shutdown(ctx) // Close ends the remaining connections
		_ = s.Close()
	})
}

// drainOnStop waits until ctx is done, and then, for at most the drain time, until
// every job is answered and the seat is given up.
func (e *Entry) drainOnStop(ctx context.Context) error {
	<-ctx.Done()
	e.log.Info("entry stopping, waiting for accepted jobs")
	e.stopping.Store(true)
	e.ready.Store(false)
	time.Sleep(readinessDelay)
	e.handleEvent(func(now clock.Moment) home.Effects { return e.home.Leave(now) })
	select {
	case <-e.done:
	case <-time.After(e.cfg.DrainTime):
		e.log.Warn("drain time exceeded before the seat was given up")
	}
	time.Sleep(resultFlushTime)
	return nil
}

func (e *Entry) tick(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			e.handleEvent(func(now clock.Moment) home.Effects { return e.home.Tick(now) })
		}
	}
}

// handleEvent passes one event to the state machine and carries out its effects.
func (e *Entry) handleEvent(event func(clock.Moment) home.Effects) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyEffects(event(e.clock.Now()))
}

func (e *Entry) applyEffects(out home.Effects) {
	for _, s := range out.Sends {
		if c := e.conns[s.To]; c != nil {
			c.Send(s.Frame)
		}
	}
	for _, a := range out.Answers {
		e.deliver(a)
	}
	if out.Configured {
		e.config.Store(e.home.Configuration())
	}
	if out.Swap != nil {
		e.queueStoreCall(e.swapCall(e.home, *out.Swap))
	}
	if out.Read {
		e.queueStoreCall(e.readCall(e.home))
	}
	if out.Removed {
		e.handleSeatLoss()
	}
	e.ready.Store(e.home.Settled() && !e.stopping.Load())
}

func (e *Entry) deliver(a home.Answered) {
	if t := e.waiting[a.Ticket]; t != nil {
		delete(e.waiting, a.Ticket)
		t.answer <- a.Answer
	}
}

// handleSeatLoss handles the loss of the seat. Unless the entry is stopping,
// it starts a new incarnation and submits the waiting callers' jobs again.
func (e *Entry) handleSeatLoss() {
	for _, c := range e.conns {
		c.Close()
	}
	clear(e.conns)
	if e.stopping.Load() {
		close(e.done)
		return
	}
	e.log.Warn("seat lost, starting a new incarnation", "seat", e.self.String())
	d := e.home.Configuration().Document
	e.startIncarnation()
	now := e.clock.Now()
	e.applyEffects(e.home.Configure(now, d))
	for id, t := range e.waiting {
		e.applyEffects(e.submit(now, id, t))
	}
}

func (e *Entry) submit(now clock.Moment, id uint64, t *ticket) home.Effects {
	if t.lookup {
		return e.home.Lookup(now, id, t.sub.Service, t.sub.Job.ID)
	}
	return e.home.Submit(now, id, t.sub)
}

// submitAndWait submits a job or a lookup and waits for the answer, or until ctx
// is done.
func (e *Entry) submitAndWait(ctx context.Context, sub job.Submission, lookup bool) (seats.Answer, error) {
	t := &ticket{sub: sub, lookup: lookup, answer: make(chan seats.Answer, 1)}
	var id uint64
	e.handleEvent(func(now clock.Moment) home.Effects {
		e.tickets++
		id = e.tickets
		e.waiting[id] = t
		return e.submit(now, id, t)
	})
	select {
	case a := <-t.answer:
		return a, nil
	case <-ctx.Done():
		e.mu.Lock()
		delete(e.waiting, id)
		e.mu.Unlock()
		return seats.Answer{}, ctx.Err()
	}
}

// closeAll closes all connections and rejects new ones.
func (e *Entry) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, c := range e.conns {
		c.Close()
	}
}
