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

// Bounds of dialling.
const (
	dialInterval = 100 * time.Millisecond
	dialTimeout  = time.Second
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// attempt is what is known of the dialling of one address.
type attempt struct {
	busy    bool
	backoff time.Duration
	after   time.Time
}

// dial keeps a connection to every agent of the configuration and to every
// seat of the roster whose name comes after this entry's; the others dial it.
// An entry without a seat dials all, since they don't know of it.
func (e *Entry) dial(ctx context.Context) error {
	attempts := make(map[string]*attempt)
	ended := make(chan string, 64)
	t := time.NewTicker(dialInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-ended:
			a := attempts[addr]
			a.busy = false
			a.after = time.Now().Add(a.backoff/2 + rand.N(a.backoff))
			a.backoff = min(2*a.backoff, lastBackoff)
		case <-t.C:
			e.dialMissing(ctx, attempts, ended)
		}
	}
}

func (e *Entry) dialMissing(ctx context.Context, attempts map[string]*attempt, ended chan<- string) {
	missing := e.missing()
	for addr := range attempts {
		if !missing[addr] && !attempts[addr].busy {
			delete(attempts, addr)
		}
	}
	for addr := range missing {
		a := attempts[addr]
		if a == nil {
			a = &attempt{backoff: firstBackoff}
			attempts[addr] = a
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

// missing returns the addresses to which there should be a connection.
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
		e.log.Debug("no connection", "addr", addr, "error", err)
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

// serve runs one connection to another process.
func (e *Entry) serve(raw net.Conn) {
	e.mu.Lock()
	self := e.self
	e.mu.Unlock()
	c, err := wire.Handshake(raw, wire.Hello{Role: wire.RoleEntry, ID: self, Region: e.cfg.Region}, &e.stats)
	if err != nil {
		e.log.Warn("peer turned away", "remote", raw.RemoteAddr().String(), "error", err)
		return
	}
	h, ok := e.linkUp(c, self)
	if !ok {
		c.Close()
		return
	}
	from := c.Remote().ID
	err = c.Run(func(f wire.Frame) error {
		e.forLife(h, func(now clock.Moment) home.Effects { return h.Receive(now, from, f) })
		return nil
	})
	e.linkDown(c, h, from)
	e.log.Info("disconnected", "peer", from.String(), "error", err)
}

// linkUp makes c the connection to its peer, for the life that said hello.
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
	e.apply(e.home.LinkUp(e.clock.Now(), peer.ID, peer.Role))
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
		e.apply(h.LinkDown(e.clock.Now(), peer))
	}
}

// forLife has h handle an event, unless another life has begun since.
func (e *Entry) forLife(h *home.Home, event func(clock.Moment) home.Effects) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.home == h {
		e.apply(event(e.clock.Now()))
	}
}
