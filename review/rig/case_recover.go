package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The times of the case, from its beginning.
const (
	recoverWorkers = 4
	// agentsAfter is how long the workers have run when the system is started beside them.
	agentsAfter = 35 * time.Second
	// calmTraffic is how long clients are served before the first disruption.
	calmTraffic = 5 * time.Second
	// restartGap is the time from the restart of the workers to the final fault.
	restartGap = 4 * time.Second
	// workerDown is how long each worker is down.
	workerDown = time.Second
	// recoverAfter is the bound recovery_s.
	recoverAfter = 12 * time.Second
	// measured is how long requests are counted after that.
	measured = 10 * time.Second
	// requestInterval is the time between requests.
	requestInterval = 100 * time.Millisecond
	recoverDeadline = 1500 * time.Millisecond
)

// tally counts requests and those that were served.
type tally struct {
	mu           sync.Mutex
	sent, served int
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d of %d requests served", t.served, t.sent)
}

// share returns the share of requests that were served.
func (t *tally) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.served) / float64(max(1, t.sent))
}

// runRecover starts workers, and the system beside them some time later. All workers crash and
// restart under their ids, and later all processes of the system are killed and started again.
// Rule RECOVER: of the requests sent later than recovery_s after that, at least a quarter is
// served.
func runRecover(s *system) ([]string, error) {
	if err := s.addWorkers(recoverWorkers); err != nil {
		return nil, err
	}
	s.sleep(agentsAfter)
	if err := s.addAgents(); err != nil {
		return nil, err
	}
	if err := s.addEntries(2); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	b := s.newBalancer()
	before := s.traffic(b, calmTraffic)
	s.log.add("before the disruptions: %v", before)
	if s.trouble {
		if err := s.restartWorkers(); err != nil {
			return nil, err
		}
	}
	between := s.traffic(b, restartGap)
	s.log.add("after the restart of the workers: %v", between)
	if s.trouble {
		if err := s.killAll(); err != nil {
			return nil, err
		}
	}
	s.sleep(recoverAfter)
	after := s.traffic(b, measured)
	s.log.add("later than recovery_s after the final fault: %v", after)
	if before.share() < 0.25 {
		return nil, fmt.Errorf("too few requests were served before the fault: %v", before)
	}
	if after.share() < 0.25 {
		return []string{fmt.Sprintf("%v from %v after the final fault on, %v before it", after, recoverAfter, before)}, nil
	}
	return nil, nil
}

// traffic sends requests for a while and counts the answers.
func (s *system) traffic(b *balancer, d time.Duration) *tally {
	t := new(tally)
	var clients sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end) && s.ctx.Err() == nil; s.sleep(requestInterval) {
		clients.Go(func() {
			a := s.submit(s.front(b.pick()), newID(), jobBody(2, 200*time.Millisecond), recoverDeadline)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.sent++
			if a.err == nil && a.status == 200 && a.body == `{"state":"completed"}` {
				t.served++
			}
		})
	}
	clients.Wait()
	return t
}

// restartWorkers crashes the workers one after the other and starts each again under its id.
func (s *system) restartWorkers() error {
	for _, w := range s.workers {
		w.crash()
		s.sleep(workerDown)
		if err := w.begin(); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all processes of the system and starts them again.
func (s *system) killAll() error {
	all := append(append([]*process(nil), s.entries...), s.agents...)
	for _, p := range all {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range all {
		p.wait()
	}
	s.sleep(restartDelay)
	for _, p := range all {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}
