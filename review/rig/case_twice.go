package main

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// The times of the case. Those of a job count from its first submission.
const (
	twiceJobs = 4
	// twiceDeadline is how long clients wait, as in the site file.
	twiceDeadline = 1500 * time.Millisecond
	// twiceGuess is the client's guess of the time of the task, twiceTask how long it really takes.
	// The site file has a mean of 900 ms and a maximum of 3,600 ms.
	twiceGuess = 900 * time.Millisecond
	twiceTask  = 3 * time.Second
	// brokenAfter is when the connection of the client breaks.
	brokenAfter = 350 * time.Millisecond
	// retransmit is the client's wait after a broken connection, bound retransmit_ms.
	retransmit = 1300 * time.Millisecond
	// frozenAfter is when the machine beside the worker freezes, frozenFor how long.
	frozenAfter = 1400 * time.Millisecond
	frozenFor   = 4 * time.Second
	// calm is the time between two jobs.
	calm = 4 * time.Second
)

// runTwice plays some jobs of one task each, one after the other. The client of a job loses its
// connection to one entry and submits the job again to another one after retransmit; before that
// the agent of the task freezes. Rule TWICE: no two runs of a task go at the same time.
func runTwice(s *system) ([]string, error) {
	if err := s.addWorkers(6); err != nil {
		return nil, err
	}
	if err := s.addAgents(); err != nil {
		return nil, err
	}
	if err := s.addEntries(3); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	for k := range twiceJobs {
		if err := s.playTwice(s.entries[k%3], s.entries[(k+1)%3]); err != nil {
			return nil, err
		}
		s.sleep(calm)
	}
	return s.overlaps(), nil
}

// playTwice plays one job, which is submitted to first and then to second.
func (s *system) playTwice(first, second *process) error {
	p, err := s.newProxy(s.front(first))
	if err != nil {
		return err
	}
	defer p.close()
	id, body := newID(), jobBodyGuess(1, twiceGuess, twiceTask)
	began := time.Now()
	var client sync.WaitGroup
	client.Go(func() {
		if a := s.submit(p.addr(), id, body, twiceDeadline); a.err != nil && s.trouble {
			s.sleep(retransmit)
			s.submit(s.front(second), id, body, twiceDeadline)
		}
	})
	defer client.Wait()
	s.sleep(time.Until(began.Add(brokenAfter)))
	if !s.trouble {
		return nil
	}
	s.log.add("the connection of the client is reset; nothing of it reaches %s", first.name)
	p.breakClients()
	s.sleep(time.Until(began.Add(frozenAfter)))
	agent := s.agentOf(id)
	if agent == nil {
		return errors.New("the job has not begun")
	}
	if os.Getenv("FREEZE") == "0" {
		return nil // the broken connection only
	}
	agent.signal(syscall.SIGSTOP)
	s.sleep(frozenFor)
	agent.signal(syscall.SIGCONT)
	return nil
}

// agentOf returns the agent beside the worker that a task of the job was first started on, or nil.
func (s *system) agentOf(job string) *process {
	for _, r := range s.allSpans() {
		for k, w := range s.workers {
			if r.job() == job && r.worker == w.id {
				return s.agents[k]
			}
		}
	}
	return nil
}

// proxy stands between clients and an entry.
type proxy struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	clients []net.Conn
	entries []net.Conn
}

// newProxy starts a proxy for the address.
func (s *system) newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", s.ip(240)+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.connect(c)
		}
	}()
	return p, nil
}

func (p *proxy) addr() string {
	return p.listener.Addr().String()
}

// connect connects a client to the entry.
func (p *proxy) connect(client net.Conn) {
	entry, err := net.Dial("tcp", p.to)
	if err != nil {
		client.Close()
		return
	}
	p.mu.Lock()
	p.clients = append(p.clients, client)
	p.entries = append(p.entries, entry)
	p.mu.Unlock()
	go func() { _, _ = io.Copy(entry, client) }() // the entry's side stays open
	go func() { _, _ = io.Copy(client, entry) }()
}

// breakClients resets the connections of the clients. The entry learns nothing of it, as if the
// packet with the reset were lost.
func (p *proxy) breakClients() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset in place of an orderly end
		}
		c.Close()
	}
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range append(p.clients, p.entries...) {
		c.Close()
	}
}
