package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/home"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// Timing of outgoing connections.
const (
	dialInterval = 100 * time.Millisecond
	dialTimeout  = time.Second
	minBackoff   = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// dialState is the state of the outgoing connection to one address.
type dialState struct {
	busy    bool
	backoff time.Duration
	after   time.Time
}

// dial keeps connections to every agent in the configuration and to every seat
// whose name is greater than this entry's. The other seats dial this entry. An
// entry without a seat dials all seats, since it is not in their roster.
func (e *Entry) dial(ctx context.Context) error {
	states := make(map[string]*dialState)
	ended := make(chan string, 64)
	t := time.NewTicker(dialInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-ended:
			a := states[addr]
			a.busy = false
			a.after = time.Now().Add(a.backoff/2 + rand.N(a.backoff))
			a.backoff = min(2*a.backoff, maxBackoff)
		case <-t.C:
			e.dialMissing(ctx, states, ended)
		}
	}
}

func (e *Entry) dialMissing(ctx context.Context, states map[string]*dialState, ended chan<- string) {
	missing := e.missing()
	for addr := range states {
		if !missing[addr] && !states[addr].busy {
			delete(states, addr)
		}
	}
	for addr := range missing {
		a := states[addr]
		if a == nil {
			a = &dialState{backoff: minBackoff}
			states[addr] = a
		}
		if a.busy || time.Now().Before(a.after) {
			continue
		}
		a.busy = true
		e.serving.Go(func() {
			e.connect(ctx, addr)
			select {
			case ended <- addr:
			case <-ctx.Done():
			}
		})
	}
}

// missing returns the addresses to which a connection is needed and missing.
func (e *Entry) missing() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := make(map[string]bool)
	for id := range e.conns {
		names[id.Name] = true
	}
	wanted := make(map[string]bool)
	for name, t := range e.config.Load().AllTargets() {
		if !names[name] {
			wanted[t.Agent] = true
		}
	}
	for _, s := range e.home.Roster().Seats {
		if e.conns[s.ID] == nil && (e.self.Name < s.ID.Name || !e.home.Seated()) {
			wanted[s.Addr] = true
		}
	}
	return wanted
}

func (e *Entry) connect(ctx context.Context, addr string) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		e.log.Debug("connection failed", "addr", addr, "error", err)
		return
	}
	e.serve(raw)
}

func (e *Entry) accept() error {
	for {
		raw, err := e.peers.Accept()
		if err != nil {
			return err
		}
		e.serving.Go(func() { e.serve(raw) })
	}
}

// serve handles one connection to another process.
func (e *Entry) serve(raw net.Conn) {
	e.mu.Lock()
	self := e.self
	e.mu.Unlock()
	c, err := wire.Handshake(raw, wire.Hello{Role: wire.RoleEntry, ID: self, Region: e.cfg.Region}, &e.stats)
	if err != nil {
		e.log.Warn("handshake with peer failed", "remote", raw.RemoteAddr().String(), "error", err)
		return
	}
	h, ok := e.linkUp(c, self)
	if !ok {
		c.Close()
		return
	}
	from := c.Remote().ID
	err = c.Run(func(f wire.Frame) error {
		e.handleEventFor(h, func(now clock.Moment) home.Effects { return h.Receive(now, from, f) })
		return nil
	})
	e.linkDown(c, h, from)
	e.log.Info("disconnected", "peer", from.String(), "error", err)
}

// linkUp registers c as the connection to its peer. It reports false after
// closeAll, or if self is no longer the present incarnation.
func (e *Entry) linkUp(c *wire.Conn, self roster.ID) (*home.Home, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.self != self || c.Remote().ID == self {
		return nil, false
	}
	peer := c.Remote()
	if old := e.conns[peer.ID]; old != nil {
		old.Close()
	}
	e.conns[peer.ID] = c
	e.applyEffects(e.home.LinkUp(e.clock.Now(), peer.ID, peer.Role))
	return e.home, true
}

func (e *Entry) linkDown(c *wire.Conn, h *home.Home, peer roster.ID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns[peer] != c {
		return
	}
	delete(e.conns, peer)
	if e.home == h {
		e.applyEffects(h.LinkDown(e.clock.Now(), peer))
	}
}

// handleEventFor passes an event to h, unless another incarnation has replaced it.
func (e *Entry) handleEventFor(h *home.Home, event func(clock.Moment) home.Effects) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.home == h {
		e.applyEffects(event(e.clock.Now()))
	}
}
