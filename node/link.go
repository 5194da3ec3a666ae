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

// Timing of connections between entries and agents.
const (
	dialTimeout = 500 * time.Millisecond
	// dialRetryMin is the time between a failed attempt to reach a peer and the next one. It
	// doubles with each failure up to dialRetryMax.
	dialRetryMin = 40 * time.Millisecond
	dialRetryMax = 2 * time.Second
	// forgetAfter is how long an agent may be unreachable before an entry removes the agent from
	// the directory, and how long an entry may be disconnected before an agent forgets the
	// entry. An agent that is still running registers again.
	forgetAfter = 2 * time.Minute
)

// errSilenceTimeout is the cause of closing a connection whose peer sent nothing for too long.
var errSilenceTimeout = errors.New("node: silence timeout: no frame received from peer")

// link is an entry's connection to one agent. It is re-established after each failure.
type link struct {
	registration Registration
	conn         *peer.Conn     // nil while disconnected
	agentClock   peer.PeerClock // tracks the agent's stamps
	sentAt       time.Duration  // when the last frame was sent
	retryNow     chan struct{}  // signals that the next attempt is due immediately
	stop         func()         // closes the link permanently
}

// logAddressChange logs that an agent has a new address.
func (e *Entry) logAddressChange(l *link, r Registration) {
	if l.registration != r {
		e.log.Info(event.AgentMoved, "agent", r.Name, "addr", r.Addr)
	}
}

// keepConnected connects to an agent, and reconnects after each failure, until ctx is done or the
// agent is forgotten. The loop condition calls forget for an agent that has been unreachable for
// ForgetAfter, unless the entry is isolated.
func (e *Entry) keepConnected(ctx context.Context, l *link) {
	defer l.stop()
	failures := 0
	lastConnected := e.clock.now()
	for ctx.Err() == nil && (e.clock.now()-lastConnected < e.ForgetAfter || e.isolated() > 0 || !e.forget(ctx, l)) {
		e.mu.Lock()
		addr := l.registration.Addr
		e.mu.Unlock()
		raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
		if err == nil {
			failures = 0
			e.serveConnection(ctx, l, peer.NewConn(raw))
			lastConnected = e.clock.now()
		} else {
			failures++
			e.recordUnreachable(ctx, l, failures, err)
		}
		select {
		case <-ctx.Done():
		case <-l.retryNow:
			failures = 0
		case <-time.After(backoff.Interval(dialRetryMin, dialRetryMax, failures)):
		}
	}
}

// recordUnreachable marks an agent as lost, so that others replace it, and logs the first of
// consecutive failures.
func (e *Entry) recordUnreachable(ctx context.Context, l *link, failures int, err error) {
	e.mu.Lock()
	e.subset.set.SetLost(l.registration.Name, true)
	e.mu.Unlock()
	if failures == 1 && ctx.Err() == nil {
		e.log.Info(event.AgentUnreachable, "agent", l.registration.Name, "error", err.Error())
	}
}

// forget removes an unreachable agent from the directory and from this entry. It reports false if
// the call to the directory fails or the agent has registered another address in the meantime.
func (e *Entry) forget(ctx context.Context, l *link) bool {
	e.mu.Lock()
	r := l.registration
	e.mu.Unlock()
	if err := e.directory.Unregister(ctx, peer.RoleAgent, r); err != nil {
		e.log.Info(event.ForgetFailed, "agent", r.Name, "addr", r.Addr, "error", err.Error())
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.registration != r {
		return false
	}
	delete(e.links, r.Name)
	delete(e.subset.addrs, r.Name)
	e.subset.set.Remove(r.Name)
	e.log.Info(event.AgentForgotten, "agent", r.Name, "addr", r.Addr)
	return true
}

// serveConnection handles a connection to an agent until it ends.
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

// connect starts a connection by sending the hello frame. It reports false if the link has been
// closed in the meantime.
func (e *Entry) connect(l *link, c *peer.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.links[l.registration.Name] != l {
		return false
	}
	e.subset.set.SetLost(l.registration.Name, false)
	l.conn = c
	l.agentClock = peer.PeerClock{}
	e.connectedAgents.Add(1)
	hello := &peer.Hello{Role: peer.RoleEntry, Name: e.settings.Name, Addr: e.settings.PeerAddr,
		Level: peer.LevelNewest, Boot: e.bootID, Fleet: e.subset.set.Known()}
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
		return // closeSurplus has already released the connection
	}
	l.conn = nil
	e.connectedAgents.Add(-1)
	e.subset.set.SetLost(l.registration.Name, true)
	e.owner.Disconnected(e.clock.now(), l.sentAt, l.registration.Name)
}

// receive handles a frame from an agent.
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
		e.subset.set.RaiseFleetSize(f.Hello.Fleet)
	}
	now := e.clock.now()
	l.agentClock.Observe(now, f.Stamp)
	e.exchangeDocument(now, l.registration.Name, f)
	e.owner.Receive(now, l.registration.Name, f)
}

// send stamps a frame and queues it for an agent. It returns the frame's sequence number, zero
// if there is no connection. The caller must hold e.mu.
//
// The echo is computed for the time of the last tick. Otherwise, after a suspension, frames with
// decisions from before it would carry an echo from after it and extend the lease by its length.
func (e *Entry) send(name string, f *peer.Frame) uint64 {
	l := e.links[name]
	if l == nil || l.conn == nil {
		return 0
	}
	l.sentAt = e.clock.now()
	f.Stamp = l.sentAt
	f.Echo = l.agentClock.At(e.pause.lastAt)
	f.Config = e.version()
	return l.conn.Send(f)
}

// closeSilent closes the connections to agents that have been silent for too long. The caller
// must hold e.mu.
func (e *Entry) closeSilent(now time.Duration) {
	for name, l := range e.links {
		if l.conn != nil && e.owner.ShouldClose(now, name) {
			l.conn.CloseWithCause(errSilenceTimeout)
		}
	}
}

// addr returns the address of an agent, empty if there is no link to it. The caller must hold
// e.mu.
func (e *Entry) addr(agent string) string {
	if l := e.links[agent]; l != nil {
		return l.registration.Addr
	}
	return ""
}

// accept reads the introduction of an agent and closes the connection.
func (e *Entry) accept(_ context.Context, raw net.Conn) {
	defer raw.Close()
	if err := raw.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return // the connection is already closed
	}
	f, err := peer.NewConn(raw).Receive()
	if err != nil || f.Hello == nil || f.Hello.Role != peer.RoleAgent {
		return // not an agent, or the connection broke: an agent retries
	}
	e.addAgent(Registration{Name: f.Hello.Name, Addr: f.Hello.Addr})
}

// listen accepts connections from peers until ctx is done. It returns an error if it can't listen
// on addr; after an error from Accept it retries.
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
			if !sleep(ctx, dialRetryMin) {
				return nil
			}
			continue
		}
		go accept(ctx, raw)
	}
}
