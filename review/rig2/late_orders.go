package main

import (
	"syscall"
	"time"
)

const (
	lateFor    = 5500 * time.Millisecond
	watchedFor = 9 * time.Second // from the disruption to the end of the traffic
	longJobs   = 6
)

// longCheck is a seal check of the longest work that the users' site names. Its client waits for
// three times its objective, 1.6 times its work and 60 ms.
var longCheck = jobKind{"sealchk", 1, 1600, 3600 * time.Millisecond, 17460 * time.Millisecond, "a"}

// lateStops plays a worker that leaves starts and stops unanswered for lateFor and carries them out
// late, and the kill of the entry that has ordered runs there.
func lateStops(s *system, withTrouble bool) error {
	s.background(calm + watchedFor)
	time.Sleep(calm)
	slow, found := s.submitLong(longCheck)
	if !found {
		return errNotReached
	}
	if withTrouble {
		s.rec.note("%s leaves starts and stops unanswered from now on", slow.name)
		slow.setTrouble(trouble{late: true})
		time.Sleep(300 * time.Millisecond)
		s.rec.note("%s is killed (signal %d)", s.entries[0].name, syscall.SIGKILL)
		s.entries[0].kill()
	}
	return s.finish(slow, withTrouble)
}

// background submits short jobs at all entries for the given time, to workers of kind b.
func (s *system) background(d time.Duration) {
	s.clients.traffic(posfix.requiring("b"), 4, d)
	s.clients.traffic(holdq.requiring("b"), 20, d)
}

// submitLong submits longJobs jobs at the first entry. It returns the worker with the most of their
// runs, and whether there is one.
func (s *system) submitLong(kind jobKind) (*worker, bool) {
	jobs := make(map[string]bool)
	for range longJobs {
		jobs[s.clients.submit(kind, 0)] = true
	}
	time.Sleep(300 * time.Millisecond)
	most, runs := s.workers[0], 0
	for _, w := range s.workers {
		if n := w.running(jobs); n > runs {
			most, runs = w, n
		}
	}
	return most, runs > 0
}

// finish ends the disruption of a worker after lateFor and waits until all clients have their
// answers.
func (s *system) finish(w *worker, withTrouble bool) error {
	before, _ := s.ordersSoFar()
	time.Sleep(lateFor)
	w.setTrouble(trouble{})
	s.rec.note("%s is sound again", w.name)
	orders, failed := s.ordersSoFar()
	s.clients.wait.Wait()
	for _, other := range s.workers {
		s.rec.note("%s", other)
	}
	s.rec.note("during the disruption %d of %d starts and stops were not answered", failed, orders-before)
	if withTrouble && failed == 0 {
		return errNotReached
	}
	return nil
}

// ordersSoFar returns how many starts and stops arrived at all workers, and how many of them failed.
func (s *system) ordersSoFar() (orders, failed int) {
	for _, w := range s.workers {
		n, f := w.ordersSoFar()
		orders, failed = orders+n, failed+f
	}
	return orders, failed
}
