package loopback

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Proxy passes connections on to an address, and can have those that are open go silent
// for good: no byte passes and no end is told, while new ones work.
type Proxy struct {
	Addr string

	mu    sync.Mutex
	conns []*passage
}

// passage is one connection through a proxy.
type passage struct {
	near, far net.Conn
	silent    chan struct{} // closed when it goes silent
}

// NewProxy returns a proxy to addr, which ends with the test.
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
				return // the test is over
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

// add begins to pass bytes between two connections.
func (p *Proxy) add(near, far net.Conn) {
	c := &passage{near: near, far: far, silent: make(chan struct{})}
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	go c.pass(near, far)
	go c.pass(far, near)
}

// pass passes bytes in one direction until the connection ends or goes silent.
func (c *passage) pass(from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		select {
		case <-c.silent:
			_, _ = io.Copy(io.Discard, from) // nobody hears of its end
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return // the other direction closes
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// Silence has the connections that are open go silent, and returns how many those are.
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
