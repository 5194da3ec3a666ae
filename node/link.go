package node

import (
	"context"
	"net"
	"time"

	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
)

// link is an entry's connection to one agent, which it keeps calling.
type link struct {
	registration Registration
	conn         *peer.Conn    // nil while there is none
	echo         time.Duration // the agent's latest stamp
	sentAt       time.Duration // when the last frame was sent
	retryNow     chan struct{} // asks for a try at once
}

// addAgent makes the entry call an agent, if it does not yet.
func (e *Entry) addAgent(ctx context.Context, m Registration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.links[m.Name]
	if l != nil {
		if l.registration != m {
			e.log.Info(event.AgentMoved, "agent", m.Name, "addr", m.Addr)
			l.registration = m
		}
		select {
		case l.retryNow <- struct{}{}:
		default:
		}
		return
	}
	l = &link{registration: m, retryNow: make(chan struct{}, 1)}
	e.links[m.Name] = l
	go e.keepConnected(ctx, l)
}

// keepConnected connects to an agent again and again.
func (e *Entry) keepConnected(ctx context.Context, l *link) {
	wait := dialRetry
	reached := e.clock.now()
	for ctx.Err() == nil && (e.clock.now()-reached < e.ForgetAfter || !e.forget(ctx, l)) {
		e.mu.Lock()
		addr := l.registration.Addr
		e.mu.Unlock()
		raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
		if err == nil {
			wait = dialRetry
			e.serveConnection(ctx, l, peer.NewConn(raw))
			reached = e.clock.now()
		} else {
			wait = min(2*wait, dialRetryMax)
		}
		select {
		case <-ctx.Done():
		case <-l.retryNow:
			wait = dialRetry
		case <-time.After(wait):
		}
	}
}

// forget takes an agent that can't be reached out of the directory and the
// entry's books. It reports whether it is forgotten: with the store down it is
// not.
func (e *Entry) forget(ctx context.Context, l *link) bool {
	e.mu.Lock()
	m := l.registration
	e.mu.Unlock()
	if err := e.directory.Forget(ctx, peer.RoleAgent, m); err != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.registration != m {
		return false // it has made itself known at another address
	}
	delete(e.links, m.Name)
	e.log.Info(event.AgentForgotten, "agent", m.Name, "addr", m.Addr)
	return true
}

// serveConnection runs one connection to an agent until it ends.
func (e *Entry) serveConnection(ctx context.Context, l *link, c *peer.Conn) {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	go c.Run()
	watchdog := time.AfterFunc(peerSilence, c.Close)
	defer watchdog.Stop()
	e.connect(l, c)
	for {
		f, err := c.Receive()
		if err != nil {
			break
		}
		watchdog.Reset(peerSilence)
		e.receive(l, c, f)
	}
	c.Close()
	e.disconnect(l)
}

func (e *Entry) connect(l *link, c *peer.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.conn = c
	l.echo = 0
	e.linked.Add(1)
	hello := &peer.Hello{Role: peer.RoleEntry, Name: e.settings.Name, Addr: e.settings.Peers}
	l.sentAt = e.clock.now()
	c.Send(&peer.Frame{Hello: hello, Stamp: l.sentAt})
	e.owner.Connected(l.sentAt, l.registration.Name)
}

func (e *Entry) disconnect(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.conn = nil
	e.linked.Add(-1)
	e.owner.Disconnected(e.clock.now(), l.sentAt, l.registration.Name)
}

func (e *Entry) receive(l *link, c *peer.Conn, f *peer.Frame) {
	if len(f.Document) > 0 {
		e.applyDocument(f.Document)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.conn != c {
		return
	}
	l.echo = max(l.echo, f.Stamp)
	now := e.clock.now()
	e.passDocument(now, l.registration.Name, f)
	e.owner.Receive(now, l.registration.Name, f)
}

// send sends the owner's frame to an agent. It is called with the lock held.
func (e *Entry) send(name string, f *peer.Frame) uint64 {
	l := e.links[name]
	if l == nil || l.conn == nil {
		return 0
	}
	l.sentAt = e.clock.now()
	f.Stamp = l.sentAt
	f.Echo = l.echo
	f.Config = e.version()
	return l.conn.Send(f)
}

// accept takes a connection of an agent that makes itself known.
func (e *Entry) accept(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	_ = raw.SetDeadline(time.Now().Add(dialTimeout))
	f, err := peer.NewConn(raw).Receive()
	if err != nil || f.Hello == nil || f.Hello.Role != peer.RoleAgent {
		return
	}
	e.addAgent(ctx, Registration{Name: f.Hello.Name, Addr: f.Hello.Addr})
}

// listen takes connections of peers until the context ends.
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
