package node

import (
	"context"
	"net"
	"time"

	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/supervisor"
)

// Connections from entries, on the agent's side. The entry's side is in link.go.

// listen accepts connections from entries until ctx is done.
func (a *Agent) listen(ctx context.Context) error {
	return listen(ctx, a.settings.PeerAddr, a.accept)
}

// accept handles a connection from an entry, or another agent's request for a spec.
func (a *Agent) accept(ctx context.Context, raw net.Conn) {
	c := peer.NewConn(raw)
	defer c.Close()
	defer context.AfterFunc(ctx, c.Close)()
	watchdog := time.AfterFunc(peer.SilenceTimeout, func() { c.CloseWithCause(errSilenceTimeout) })
	f, err := c.Receive()
	watchdog.Stop()
	if err == nil && f.AskSpec != "" {
		a.sendSpec(c, f.AskSpec)
		return
	}
	if err != nil || f.Hello == nil || f.Hello.Role != peer.RoleEntry {
		return // not an entry, or the connection broke and the entry reconnects
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

// connect records a connection from an entry.
func (a *Agent) connect(c *peer.Conn, h *peer.Hello) supervisor.ConnID {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastConnID++
	a.conns[a.lastConnID] = &agentConn{name: h.Name, level: h.Level, conn: c}
	now := a.clock.now()
	a.addEntry(now, Registration{Name: h.Name, Addr: h.Addr})
	a.supervisor.Connected(now, a.lastConnID, *h)
	return a.lastConnID
}

// disconnect records the end of a connection.
func (a *Agent) disconnect(id supervisor.ConnID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, id)
	notify(a.entryMissing)
	now := a.clock.now()
	a.supervisor.Disconnected(now, id)
	a.scheduleFlush(now)
}

// receive handles a frame from an entry.
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
	a.exchangeDocument(now, id, f)
	a.supervisor.Receive(now, id, f)
	a.specs.wake(f)
	a.scheduleFlush(now)
}

// send sets the echo and configuration version of a frame and queues it for an entry. The
// caller must hold a.mu.
func (a *Agent) send(id supervisor.ConnID, f *peer.Frame) {
	c := a.conns[id]
	if c == nil {
		return
	}
	f.Echo = c.echo
	f.Config = a.configVersion
	c.conn.Send(f)
}

// scheduleFlush schedules the next flush of changed states and starts a parallel renewal if one is
// needed. It must be called after calls to the supervisor that may change a state; connect and stop
// do not call it, because the next tick does. The caller must hold a.mu.
func (a *Agent) scheduleFlush(now time.Duration) {
	if a.supervisor.NeedsSecondRenewal(now) {
		notify(a.repliesLost)
	}
	wait, ok := a.supervisor.Pending(now)
	if !ok || a.flushScheduled {
		return
	}
	a.flushScheduled = true
	time.AfterFunc(wait+time.Millisecond, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.flushScheduled = false
		now := a.clock.now()
		a.supervisor.Flush(now)
		a.scheduleFlush(now)
	})
}

// closeSilent closes the connections from entries that have been silent for too long. The
// caller must hold a.mu.
func (a *Agent) closeSilent(now time.Duration) {
	for id, c := range a.conns {
		if a.supervisor.SilentTooLong(now, id) {
			c.conn.CloseWithCause(errSilenceTimeout)
		}
	}
}
