package loopback

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Proxy is a TCP proxy that can silence its open connections: all later bytes are dropped, and
// the connections stay open. New connections work.
type Proxy struct {
	Addr string

	mu    sync.Mutex
	conns []*proxiedConn
}

// proxiedConn is a connection through a proxy.
type proxiedConn struct {
	near, far net.Conn
	silent    chan struct{} // closed when the connection is silenced
}

// NewProxy starts a proxy to addr. The proxy is closed when the test ends.
func NewProxy(t *testing.T, addr string) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &Proxy{Addr: l.Addr().String()}
	t.Cleanup(func() {
		l.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.conns {
			c.near.Close()
			c.far.Close()
		}
	})
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return // listener closed
			}
			far, err := net.Dial("tcp", addr)
			if err != nil {
				near.Close()
				continue
			}
			p.add(near, far)
		}
	}()
	return p
}

// add starts forwarding between two connections.
func (p *Proxy) add(near, far net.Conn) {
	c := &proxiedConn{near: near, far: far, silent: make(chan struct{})}
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	go c.forward(near, far)
	go c.forward(far, near)
}

// forward copies bytes in one direction until the connection ends or is silenced.
func (c *proxiedConn) forward(from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		select {
		case <-c.silent:
			_, _ = io.Copy(io.Discard, from) // keeps both connections open
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return // the destination is closed
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// Silence silences all open connections and returns the number of connections accepted so far.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		select {
		case <-c.silent:
		default:
			close(c.silent)
		}
	}
	return len(p.conns)
}
