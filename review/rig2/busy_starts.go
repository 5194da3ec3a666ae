package main

import "time"

const (
	calm       = 4 * time.Second // longer than contact_ms, before the first disruption
	greyFor    = 5500 * time.Millisecond
	greyTimes  = 3 // one worker after the other, in different halls
	startTakes = 200 * time.Millisecond
	tail       = 2 * time.Second
)

// busyStarts plays workers that are overloaded for greyFor, one at a time: a start takes
// startTakes, and further starts are shed with 503 while one is being handled. Holds and stops are
// answered as usual.
func busyStarts(s *system, withTrouble bool) error {
	length := calm + greyTimes*greyFor + tail
	s.clients.traffic(sealchk, 9, length)
	s.clients.traffic(holdq, 9, length)
	time.Sleep(calm)
	shed := 0
	for k := range greyTimes {
		grey := s.workers[k*len(s.workers)/greyTimes]
		if withTrouble {
			s.rec.note("%s is overloaded from now on: a start takes %v, others are shed", grey.name, startTakes)
			grey.setTrouble(trouble{startTakes: startTakes})
		}
		time.Sleep(greyFor)
		grey.setTrouble(trouble{})
		s.rec.note("%s is sound again", grey.name)
		_, failed := grey.ordersSoFar()
		shed += failed
	}
	s.clients.wait.Wait()
	for _, w := range s.workers {
		s.rec.note("%s", w)
	}
	if withTrouble && shed == 0 {
		return errNotReached
	}
	return nil
}
