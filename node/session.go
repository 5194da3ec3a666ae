package node

import (
	"context"
	"net"
	"time"

	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/supervisor"
)

// An agent's connections of entries. What an entry does on its side is in link.go.

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
	now := a.clock.now()
	a.addEntry(now, Registration{Name: h.Name, Addr: h.Addr})
	a.supervisor.Connected(now, a.lastConn, *h)
	return a.lastConn
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
	a.scheduleFlush(now)
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
func (a *Agent) scheduleFlush(now time.Duration) {
	if a.supervisor.LosingReplies(now) {
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

// closeSilent gives up the connections whose entries have been silent for too long. It is
// called with the lock held.
func (a *Agent) closeSilent(now time.Duration) {
	for id, c := range a.conns {
		if a.supervisor.SilentTooLong(now, id) {
			c.conn.CloseFor(errSilent)
		}
	}
}
