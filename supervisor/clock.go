package supervisor

import "time"

// minClockRate is the least rate of a target's clock against the agent's: the
// platform's pages allow it to be 2% slow.
const minClockRate = 0.98

// clock bounds the target's own clock from below by the latest reading that an
// answer carried.
type clock struct {
	known   bool
	reading time.Duration // on the target's clock
	at      time.Duration // when the answer came, on the agent's clock
}

// update takes a reading from an answer that came at now. A reading from an answer
// that was overtaken by a later one is ignored.
func (c *clock) update(reading, now time.Duration) {
	if c.known && reading < c.atLeast(now) && reading < c.reading {
		return
	}
	*c = clock{known: true, reading: reading, at: now}
}

// atLeast returns a reading that the target's clock has reached at now for certain.
func (c *clock) atLeast(now time.Duration) time.Duration {
	return c.reading + time.Duration(float64(now-c.at)*minClockRate)
}
