package cluster

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay is a TCP proxy to one address that can close and block all connections.
type relay struct {
	listener net.Listener
	dest     string
	mu       sync.Mutex
	blocked  bool
	open     map[net.Conn]bool
}

func newRelay(tb testing.TB, dest string) *relay {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	r := &relay{listener: l, dest: dest, open: make(map[net.Conn]bool)}
	go r.serve()
	tb.Cleanup(func() {
		l.Close()
		r.setBlocked(true)
	})
	return r
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(in)
	}
}

func (r *relay) forward(in net.Conn) {
	defer in.Close()
	if !r.track(in) {
		return
	}
	defer r.untrack(in)
	out, err := net.Dial("tcp", r.dest)
	if err != nil {
		return
	}
	defer out.Close()
	if !r.track(out) {
		return
	}
	defer r.untrack(out)
	go func() {
		_, _ = io.Copy(out, in) // ends when either connection is closed
		out.Close()
		in.Close()
	}()
	_, _ = io.Copy(in, out) // ends when either connection is closed
}

func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.blocked {
		return false
	}
	r.open[c] = true
	return true
}

func (r *relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

func (r *relay) setBlocked(blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = blocked
	if !blocked {
		return
	}
	for c := range r.open {
		c.Close()
	}
}

// replaceOnce replaces the first occurrence of old in text.
func replaceOnce(text, old, replacement string) string {
	return strings.Replace(text, old, replacement, 1)
}
