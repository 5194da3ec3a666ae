package cluster

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay passes connections on to one address, and can cut them all.
type relay struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	cut      bool
	open     map[net.Conn]bool
}

func newRelay(tb testing.TB, to string) *relay {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	r := &relay{listener: l, to: to, open: make(map[net.Conn]bool)}
	go r.serve()
	tb.Cleanup(func() {
		l.Close()
		r.setCut(true)
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
		go r.pass(in)
	}
}

func (r *relay) pass(in net.Conn) {
	defer in.Close()
	if !r.add(in) {
		return
	}
	defer r.drop(in)
	out, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer out.Close()
	if !r.add(out) {
		return
	}
	defer r.drop(out)
	go func() {
		_, _ = io.Copy(out, in) // either end may cut it
		out.Close()
		in.Close()
	}()
	_, _ = io.Copy(in, out) // either end may cut it
}

func (r *relay) add(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return false
	}
	r.open[c] = true
	return true
}

func (r *relay) drop(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if !cut {
		return
	}
	for c := range r.open {
		c.Close()
	}
}

// replaceOnce replaces the first occurrence.
func replaceOnce(text, old, next string) string {
	return strings.Replace(text, old, next, 1)
}
