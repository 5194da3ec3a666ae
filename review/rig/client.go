package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ready reports whether an entry answers the platform's readiness check.
func (s *system) ready(p *process) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + s.addr(p.ip, s.ports.ready) + "/beaconpoint/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// errNotReady is returned if entries do not become ready.
var errNotReady = errors.New("the entries are not ready, or not connected to all agents")

// awaitReady waits until all entries are ready and connected to all agents.
func (s *system) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && s.ctx.Err() == nil; s.sleep(100 * time.Millisecond) {
		all := true
		for _, p := range s.entries {
			all = all && s.ready(p) && s.connected(p) == len(s.agents)
		}
		if all {
			s.sleep(2 * time.Second) // all workers have sent heartbeats and are cleared
			return nil
		}
	}
	return errNotReady
}

// connected returns the number of agents that an entry is connected to, from its metrics.
func (s *system) connected(p *process) int {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", p.ip, metricsPort))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	count := 0
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "beaconpoint_agents "); ok {
			_, _ = fmt.Sscan(value, &count) // zero if it is no number
		}
	}
	return count
}

// newID returns a job ID.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// jobBody returns the body of a job of one step that need not be kept, with exact guesses.
func jobBody(tasks int, duration time.Duration) string {
	return jobBodyGuess(tasks, duration, duration)
}

// jobBodyGuess is like jobBody, with a guess of the duration.
func jobBodyGuess(tasks int, guess, duration time.Duration) string {
	return fmt.Sprintf(`{"best_effort":true,"spec":"%d","steps":[{"count":%d,"cpu":1600,"mem_mb":64,"estimate_ms":%d}]}`,
		duration.Milliseconds(), tasks, guess.Milliseconds())
}

// answer is the answer to a request; its status is zero if there was none.
type answer struct {
	status int
	body   string
	err    error
}

// submit sends a job on a connection of its own to the address and waits for the answer, at most
// until the deadline has passed.
func (s *system) submit(addr, id, body string, deadline time.Duration) answer {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := http.Client{Timeout: deadline, Transport: transport}
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+addr+routePrefix+id, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Beaconpoint-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	s.log.add("client sends %s to %s: %s", id, addr, body)
	a := read(client.Do(req))
	if a.err != nil {
		s.log.add("client has no answer to %s from %s: %v", id, addr, a.err)
	} else {
		s.log.add("client has the answer to %s from %s: %d %s", id, addr, a.status, a.body)
	}
	return a
}

// read reads an answer.
func read(resp *http.Response, err error) answer {
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: strings.TrimSpace(string(raw)), err: err}
}

// front returns the address at which an entry accepts clients.
func (s *system) front(p *process) string {
	return s.addr(p.ip, s.ports.front)
}

// balancer is a stand-in for the platform's balancer: each second it checks whether the entries are
// ready, and it leaves out an entry after two misses until it is ready again.
type balancer struct {
	system *system
	mu     sync.Mutex
	misses map[*process]int
}

// newBalancer starts a balancer.
func (s *system) newBalancer() *balancer {
	b := &balancer{system: s, misses: make(map[*process]int)}
	go func() {
		for s.ctx.Err() == nil {
			for _, p := range s.entries {
				go b.check(p)
			}
			s.sleep(time.Second)
		}
	}()
	return b
}

func (b *balancer) check(p *process) {
	ready := b.system.ready(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	if ready {
		b.misses[p] = 0
	} else {
		b.misses[p]++
	}
}

// pick returns an entry for a new connection; any one if none is in.
func (b *balancer) pick() *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*process
	for _, p := range b.system.entries {
		if b.misses[p] < 2 {
			in = append(in, p)
		}
	}
	if len(in) == 0 {
		in = b.system.entries
	}
	return in[rand.IntN(len(in))]
}
