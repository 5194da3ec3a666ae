package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// retransmit is how long after a broken connection a client sends its request again
// (retransmit_ms).
const retransmit = 1300 * time.Millisecond

// cancelBound is cancel_ms, contactTime is contact_ms.
const (
	cancelBound = 3000 * time.Millisecond
	contactTime = 3000 * time.Millisecond
)

// twice returns errBroken if two runs of one task of the job went on at the same time.
func (s *scene) twice(job string) error {
	if both, what := s.system.rec.overlaps(job); both > 0 {
		return fmt.Errorf("%w: TWICE: for %d ms, %s", errBroken, both.Milliseconds(), what)
	}
	return nil
}

// awaitStart waits until a worker runs a task of the job.
func (s *scene) awaitStart(job string) error {
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(5 * time.Millisecond) {
		if holder(s.workers, job) != nil {
			return nil
		}
	}
	return fmt.Errorf("job %s was not started", job)
}

// refusedCopy: a client's connection breaks and the entry does not learn of it. The client sends the
// job again at a second entry, with the time that it still waits, is refused, and comes back when it is told to.
func refusedCopy(s *scene) error {
	const work, wait, breakAfter = 3500 * time.Millisecond, 3900 * time.Millisecond, 300 * time.Millisecond
	job := jobID(1)
	began := time.Now()
	first := s.sendLater(s.links[0], http.MethodPost, prefix+job, chain(1, work), wait)
	if err := s.awaitStart(job); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(breakAfter)))
	if s.trouble {
		s.client.rec.notef("the client's connection is reset; the reset does not reach the entry")
		s.links[0].breakAtClients()
		if a := <-first; a.status != 0 {
			return fmt.Errorf("the connection is not broken: %v", a)
		}
		time.Sleep(retransmit)
		second := s.send(s.links[1], http.MethodPost, prefix+job, chain(1, work), wait-time.Since(began))
		if second.status == http.StatusServiceUnavailable {
			time.Sleep(second.retryAfter())
			s.send(s.links[2], http.MethodPost, prefix+job, chain(1, work), wait)
		}
	} else {
		<-first
	}
	time.Sleep(500 * time.Millisecond)
	return s.twice(job)
}

// shortFreeze: the entry that has a client's job stands still for 0.4 s while the client, whose connection
// was broken before, sends the job again at another entry. Up to eight times.
func shortFreeze(s *scene) error {
	for k := range 8 {
		if err := s.freezeOnce(k); err != nil {
			return err
		}
	}
	return nil
}

// freezeOnce plays one round of shortFreeze.
func (s *scene) freezeOnce(round int) error {
	const work, wait, breakAfter = 3600 * time.Millisecond, 12000 * time.Millisecond, 100 * time.Millisecond
	const freeze, lead = 400 * time.Millisecond, 100 * time.Millisecond
	job := jobID(round)
	first := s.sendLater(s.links[0], http.MethodPost, prefix+job, chain(1, work), wait)
	if err := s.awaitStart(job); err != nil {
		return err
	}
	time.Sleep(breakAfter)
	s.client.rec.notef("the client's connection is reset; the reset does not reach the entry")
	s.links[0].breakAtClients()
	<-first
	time.Sleep(retransmit - lead)
	if s.trouble {
		s.pause(s.entries[0], freeze)
	}
	time.Sleep(lead)
	s.send(s.links[1], http.MethodPost, prefix+job, chain(1, work), wait)
	time.Sleep(500 * time.Millisecond)
	return s.twice(job)
}

// rollAfterCancel: jobs are cancelled, and then five of the eleven machines beside the workers are stopped and
// started in turn. Late copies of the submissions then arrive at another entry.
func rollAfterCancel(s *scene) error {
	const jobs, rolled, work, wait = 20, 5, 5 * time.Second, 60 * time.Second
	const gap, startDelay, copyAfter = 1300 * time.Millisecond, 600 * time.Millisecond, 9 * time.Second
	var ids []string
	var first []<-chan answer
	for k := range jobs {
		ids = append(ids, jobID(k))
		first = append(first, s.sendLater(s.links[0], http.MethodPost, prefix+ids[k], chain(1, work), wait))
	}
	for _, id := range ids {
		if err := s.awaitStart(id); err != nil {
			return err
		}
	}
	acknowledged := make([]time.Duration, jobs)
	for k, id := range ids {
		cancelled := s.send(s.links[0], http.MethodDelete, prefix+id, "", 10*time.Second)
		if cancelled.status != http.StatusOK {
			return fmt.Errorf("the cancellation was not acknowledged: %v", cancelled)
		}
		acknowledged[k] = s.client.rec.now()
	}
	copies := time.Now().Add(copyAfter)
	for _, got := range first {
		<-got
	}
	restarted := make(map[string]time.Duration)
	for k, a := range s.agents[:rolled] {
		if !s.trouble {
			break
		}
		next := time.Now().Add(gap)
		s.client.rec.notef("%s gets SIGTERM", a.name)
		a.signal(syscall.SIGTERM)
		_ = a.cmd.Wait()
		time.Sleep(startDelay)
		s.client.rec.notef("%s is started again", a.name)
		if err := a.start(); err != nil {
			return err
		}
		restarted[s.workers[k].name] = s.client.rec.now()
		time.Sleep(time.Until(next))
	}
	time.Sleep(time.Until(copies))
	var second []<-chan answer
	for _, id := range ids {
		second = append(second, s.sendLater(s.links[1], http.MethodPost, prefix+id, chain(1, work), wait))
	}
	for _, got := range second {
		<-got
	}
	for k, id := range ids {
		if err := s.unasked(id, acknowledged[k], restarted); err != nil {
			return err
		}
	}
	return nil
}

// pause stops a process now and continues it after a time.
func (s *scene) pause(p *process, length time.Duration) {
	s.client.rec.notef("%s stands still", p.name)
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(length, func() {
		p.signal(syscall.SIGCONT)
		s.client.rec.notef("%s goes on", p.name)
	})
}

// blindCancel: a job is cancelled through an entry that stood still until just before. Up to five times.
func blindCancel(s *scene) error {
	for k := range 5 {
		if err := s.cancelOnce(k); err != nil {
			return err
		}
	}
	return nil
}

// cancelOnce plays one round of blindCancel.
func (s *scene) cancelOnce(round int) error {
	const work, wait, freeze = 4000 * time.Millisecond, 30 * time.Second, 2500 * time.Millisecond
	job := jobID(round)
	first := s.sendLater(s.links[0], http.MethodPost, prefix+job, chain(4, work), wait)
	if err := s.awaitStart(job); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		s.pause(s.entries[1], freeze)
		time.Sleep(500 * time.Millisecond)
	}
	cancelled := s.send(s.links[1], http.MethodDelete, prefix+job, "", 10*time.Second)
	acknowledged := s.client.rec.now()
	if cancelled.status != http.StatusOK && cancelled.status != http.StatusGone {
		return fmt.Errorf("the cancellation was not acknowledged: %v", cancelled)
	}
	<-first
	return s.unasked(job, acknowledged, nil)
}

// unasked returns errBroken if a task of the job was started later than cancel_ms after its
// cancellation was acknowledged. restarted holds when the machine of a worker was started again; starts there do
// not count until it is in touch.
func (s *scene) unasked(job string, acknowledged time.Duration, restarted map[string]time.Duration) error {
	for _, i := range s.client.rec.intervals(job) {
		if at, found := restarted[i.worker]; found && i.begin-at < contactTime {
			continue
		}
		if late := i.begin - acknowledged; late > cancelBound {
			return fmt.Errorf("%w: UNASKED: %s starts %d ms after the cancellation was acknowledged", errBroken, i.task,
				late.Milliseconds())
		}
	}
	return nil
}

// killAfterCancel: an entry is killed 0.2 s after it has acknowledged the cancellation of two jobs; nothing had been
// submitted for a while. Late copies of the submissions then arrive at another entry. Up to four times.
func killAfterCancel(s *scene) error {
	for k := range 4 {
		if err := s.killOnce(k); err != nil {
			return err
		}
	}
	return nil
}

// killOnce plays one round of killAfterCancel. The killed entry is started again.
func (s *scene) killOnce(round int) error {
	const jobs, steps, work, wait = 2, 12, 2000 * time.Millisecond, 60 * time.Second
	const quiet, survives, copyAfter = 12900 * time.Millisecond, 200 * time.Millisecond, 3500 * time.Millisecond
	const startDelay = 600 * time.Millisecond
	var ids []string
	var first, second []<-chan answer
	for k := range jobs {
		ids = append(ids, jobID(round*jobs+k))
		first = append(first, s.sendLater(s.links[0], http.MethodPost, prefix+ids[k], chain(steps, work), wait))
	}
	time.Sleep(quiet)
	acknowledged := make([]time.Duration, jobs)
	for k, id := range ids {
		cancelled := s.send(s.links[0], http.MethodDelete, prefix+id, "", 10*time.Second)
		if cancelled.status != http.StatusOK {
			return fmt.Errorf("the cancellation was not acknowledged: %v", cancelled)
		}
		acknowledged[k] = s.client.rec.now()
	}
	copies := time.Now().Add(copyAfter)
	time.Sleep(survives)
	if s.trouble {
		s.entries[0].kill()
		s.client.rec.notef("%s is killed", s.entries[0].name)
		time.Sleep(startDelay)
		if err := s.entries[0].start(); err != nil {
			return err
		}
		s.client.rec.notef("%s is started again", s.entries[0].name)
	}
	for _, got := range first {
		<-got
	}
	time.Sleep(time.Until(copies))
	for _, id := range ids {
		second = append(second, s.sendLater(s.links[1], http.MethodPost, prefix+id, chain(steps, work), wait))
	}
	time.Sleep(work)
	for k, id := range ids {
		if err := s.unasked(id, acknowledged[k], nil); err != nil {
			return err
		}
	}
	for _, got := range second {
		<-got
	}
	return s.awaitReady(10 * time.Second)
}
