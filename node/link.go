package node

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/beaconpoint/beaconpoint/backoff"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
)

// Times of the connections between entries and agents.
const (
	// dialTimeout bounds the making of a connection. Not measured.
	dialTimeout = 500 * time.Millisecond
	// dialRetry is the time from one failed try to reach a peer to the next. It
	// doubles up to dialRetryMax. Not measured.
	dialRetry    = 40 * time.Millisecond
	dialRetryMax = 2 * time.Second
	// forgetTime is how long an agent can't be reached before it is taken to be
	// gone for good; one that is alive registers anew. Not measured.
	forgetTime = 2 * time.Minute
)

// errSilent means that a peer sent nothing for as long as its connection allows.
var errSilent = errors.New("node: the peer was silent for too long")

// link is an entry's connection to one agent, which it keeps connecting.
type link struct {
	registration Registration
	conn         *peer.Conn    // nil while there is none
	echo         peer.Echo     // the agent's latest stamp
	sentAt       time.Duration // when the last frame was sent
	retryNow     chan struct{} // asks for a try at once
	stop         func()        // ends it for good
}

// logMoved says that an agent is at another address.
func (e *Entry) logMoved(l *link, r Registration) {
	if l.registration != r {
		e.log.Info(event.AgentMoved, "agent", r.Name, "addr", r.Addr)
	}
}

// keepConnected connects to an agent again and again, until the context ends or the
// agent is forgotten.
func (e *Entry) keepConnected(ctx context.Context, l *link) {
	defer l.stop()
	failures := 0
	reached := e.clock.now()
	for ctx.Err() == nil && (e.clock.now()-reached < e.ForgetAfter || e.isolated() > 0 || !e.forget(ctx, l)) {
		e.mu.Lock()
		addr := l.registration.Addr
		e.mu.Unlock()
		raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
		if err == nil {
			failures = 0
			e.serveConnection(ctx, l, peer.NewConn(raw))
			reached = e.clock.now()
		} else {
			failures++
			e.recordUnreachable(ctx, l, failures, err)
		}
		select {
		case <-ctx.Done():
		case <-l.retryNow:
			failures = 0
		case <-time.After(backoff.Interval(dialRetry, dialRetryMax, failures)):
		}
	}
}

// recordUnreachable has others take the place of an agent that can't be reached, and says why, the
// first time in a row.
func (e *Entry) recordUnreachable(ctx context.Context, l *link, failures int, err error) {
	e.mu.Lock()
	e.reach.set.SetLost(l.registration.Name, true)
	e.mu.Unlock()
	if failures == 1 && ctx.Err() == nil {
		e.log.Info(event.AgentUnreachable, "agent", l.registration.Name, "error", err.Error())
	}
}

// forget removes an agent that can't be reached from the directory and from this
// entry. It reports whether it did: not while the store is down, nor where the agent
// has made itself known at another address.
func (e *Entry) forget(ctx context.Context, l *link) bool {
	e.mu.Lock()
	r := l.registration
	e.mu.Unlock()
	if err := e.directory.Forget(ctx, peer.RoleAgent, r); err != nil {
		e.log.Info(event.ForgetFailed, "agent", r.Name, "addr", r.Addr, "error", err.Error())
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.registration != r {
		return false
	}
	delete(e.links, r.Name)
	delete(e.reach.addrs, r.Name)
	e.reach.set.Remove(r.Name)
	e.log.Info(event.AgentForgotten, "agent", r.Name, "addr", r.Addr)
	return true
}

// serveConnection runs one connection to an agent until it ends.
func (e *Entry) serveConnection(ctx context.Context, l *link, c *peer.Conn) {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	go c.Run()
	if !e.connect(l, c) {
		c.Close()
		return
	}
	for {
		f, err := c.Receive()
		if err != nil {
			e.log.Info(event.ConnectionEnded, "agent", l.registration.Name, "error", c.Cause(err).Error())
			break
		}
		e.receive(l, c, f)
	}
	c.Close()
	e.disconnect(l)
}

// connect opens a connection: the first frame introduces this entry. It reports false where the
// link has ended meanwhile.
func (e *Entry) connect(l *link, c *peer.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.links[l.registration.Name] != l {
		return false
	}
	e.reach.set.SetLost(l.registration.Name, false)
	l.conn = c
	l.echo = peer.Echo{}
	e.linked.Add(1)
	hello := &peer.Hello{Role: peer.RoleEntry, Name: e.settings.Name, Addr: e.settings.Peers, Level: peer.LevelNewest, Boot: e.boot, Fleet: e.reach.set.Known()}
	l.sentAt = e.clock.now()
	c.Send(&peer.Frame{Hello: hello, Stamp: l.sentAt})
	e.owner.Connected(l.sentAt, l.registration.Name)
	return true
}

// disconnect records the end of a connection.
func (e *Entry) disconnect(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.conn == nil {
		return // it was released
	}
	l.conn = nil
	e.linked.Add(-1)
	e.reach.set.SetLost(l.registration.Name, true)
	e.owner.Disconnected(e.clock.now(), l.sentAt, l.registration.Name)
}

// receive handles a frame of an agent.
func (e *Entry) receive(l *link, c *peer.Conn, f *peer.Frame) {
	if doc := documentOf(f); !doc.empty() {
		e.apply(doc)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.conn != c {
		return
	}
	if f.Hello != nil {
		e.reach.set.SetFleet(f.Hello.Fleet)
	}
	now := e.clock.now()
	l.echo.Observe(now, f.Stamp)
	e.passDocument(now, l.registration.Name, f)
	e.owner.Receive(now, l.registration.Name, f)
}

// send stamps a frame and sends it to an agent. It returns the frame's number, zero
// where there is no connection. It is called with the lock held. The echo goes no further
// than the last tick: an entry that was stopped in between grants itself no lease by what
// it decided before.
func (e *Entry) send(name string, f *peer.Frame) uint64 {
	l := e.links[name]
	if l == nil || l.conn == nil {
		return 0
	}
	l.sentAt = e.clock.now()
	f.Stamp = l.sentAt
	f.Echo = l.echo.At(e.pause.lastAt)
	f.Config = e.version()
	return l.conn.Send(f)
}

// closeSilent gives up the connections whose agents have been silent for too long. It is
// called with the lock held.
func (e *Entry) closeSilent(now time.Duration) {
	for name, l := range e.links {
		if l.conn != nil && e.owner.SilentTooLong(now, name) {
			l.conn.CloseFor(errSilent)
		}
	}
}

// addr returns the address of an agent. It is called with the lock held.
func (e *Entry) addr(agent string) string {
	if l := e.links[agent]; l != nil {
		return l.registration.Addr
	}
	return ""
}

// accept takes the connection of an agent that introduces itself, and closes it.
func (e *Entry) accept(_ context.Context, raw net.Conn) {
	defer raw.Close()
	if err := raw.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return // it is closed already
	}
	f, err := peer.NewConn(raw).Receive()
	if err != nil || f.Hello == nil || f.Hello.Role != peer.RoleAgent {
		return // not an agent, or one that has gone: it tries again
	}
	e.addAgent(Registration{Name: f.Hello.Name, Addr: f.Hello.Addr})
}

// listen takes connections of peers until the context ends. Its error is that of
// listening; a connection that can't be taken is tried again.
func listen(ctx context.Context, addr string, accept func(context.Context, net.Conn)) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { l.Close() })()
	for {
		raw, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if !sleep(ctx, dialRetry) {
				return nil
			}
			continue
		}
		go accept(ctx, raw)
	}
}
