package supervisor

import "time"

// startTries are the start calls of one run, in the order of sending. Each of them may start the
// run until the target has rejected that call or its deadline has passed: calls may be
// carried out late, and their answers may pass each other.
type startTries []startTry

// startTry is one start call.
type startTry struct {
	deadline time.Duration // on the target's clock; after it the call can't start the run
	rejected bool          // the target has answered that this call did nothing
}

// reject records that the target has rejected the given try, counted from 1.
func (t startTries) reject(try int) {
	t[try-1].rejected = true
}

// open returns the number of tries that were not rejected, and the latest of their deadlines.
func (t startTries) open() (count int, deadline time.Duration) {
	for _, s := range t {
		if !s.rejected {
			count++
			deadline = max(deadline, s.deadline)
		}
	}
	return count, deadline
}
