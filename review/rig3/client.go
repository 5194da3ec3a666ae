package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// link is the network between clients and one entry. It passes bytes on, and can break the
// connections that are open.
type link struct {
	addr  string
	entry *process

	mu    sync.Mutex
	pairs []pair
}

// pair is one connection of a client and its continuation to the entry.
type pair struct{ client, entry net.Conn }

// newLink returns a link to an entry.
func newLink(e *process) (*link, error) {
	l, err := freePort("127.0.0.1")
	if err != nil {
		return nil, err
	}
	n := &link{addr: l.Addr().String(), entry: e}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.pass(c)
		}
	}()
	return n, nil
}

// pass connects a client's connection to the entry.
func (n *link) pass(c net.Conn) {
	e, err := net.Dial("tcp", n.entry.front)
	if err != nil {
		reset(c)
		return
	}
	n.mu.Lock()
	n.pairs = append(n.pairs, pair{c, e})
	n.mu.Unlock()
	go func() {
		if _, err := io.Copy(e, c); err == nil {
			e.Close() // the client has closed
		}
	}()
	_, _ = io.Copy(c, e)
	c.Close()
}

// breakAtClients resets the open connections at their clients. The entry does not learn of it: the
// packet with the reset is lost on the way there.
func (n *link) breakAtClients() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.pairs {
		reset(p.client)
	}
	n.pairs = nil
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// answer is what a client got for a request.
type answer struct {
	status int    // zero if the connection broke or the client stopped waiting
	body   string // of the answer
	err    error
}

// retryAfter returns the time after which the answer asks the client to come back.
func (a answer) retryAfter() time.Duration {
	var body struct {
		RetryAfterMS int64 `json:"retry_after_ms"`
	}
	_ = json.Unmarshal([]byte(a.body), &body)
	return time.Duration(body.RetryAfterMS) * time.Millisecond
}

// client sends requests and records them.
type client struct{ rec *recorder }

// send sends a request on a new connection and returns the answer. wait is how long the client
// waits for it, which it tells in the request.
func (c client) send(n *link, method, path, body string, wait time.Duration) answer {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	return c.sendOn(&http.Client{Transport: transport, Timeout: wait}, n, method, path, body, wait)
}

// sendOn is send on the connections of an HTTP client.
func (c client) sendOn(h *http.Client, n *link, method, path, body string, wait time.Duration) answer {
	req, err := http.NewRequest(method, "http://"+n.addr+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("Beaconpoint-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	c.rec.notef("client sends %s %s to %s, waits %d ms: %s", method, path, n.entry.name, wait.Milliseconds(), body)
	a := answer{}
	resp, err := h.Do(req)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.status, a.body = resp.StatusCode, strings.TrimSpace(string(raw))
	}
	if err != nil {
		a = answer{err: err}
		c.rec.notef("client has no answer to %s %s from %s: %v", method, path, n.entry.name, err)
		return a
	}
	c.rec.notef("client gets from %s for %s %s: %d %s", n.entry.name, method, path, a.status, a.body)
	return a
}

// sendLater is send in a goroutine.
func (c client) sendLater(n *link, method, path, body string, wait time.Duration) <-chan answer {
	got := make(chan answer, 1)
	go func() { got <- c.send(n, method, path, body, wait) }()
	return got
}

// chain returns the body of a job of steps that follow each other, with one task each.
func chain(steps int, work time.Duration) string {
	var list []map[string]any
	for k := range steps {
		s := map[string]any{"count": 1, "cpu": 1600, "mem_mb": 64, "estimate_ms": work.Milliseconds()}
		if k > 0 {
			s["depends_on"] = []int{k - 1}
		}
		list = append(list, s)
	}
	body, _ := json.Marshal(map[string]any{"spec": fmt.Sprint(work.Milliseconds()), "best_effort": true, "steps": list})
	return string(body)
}
