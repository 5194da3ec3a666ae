package supervisor

import "time"

// minClockRate is the least rate of a worker's clock against the agent's: it may be
// 2% slow.
const minClockRate = 0.98

// clock bounds the reading of a worker's own clock from the latest answer that
// told it.
type clock struct {
	known   bool
	reading time.Duration // on the worker's clock
	at      time.Duration // when the answer came, on the agent's clock
}

// update takes a reading that was in an answer received at now.
func (c *clock) update(reading, now time.Duration) {
	if c.known && reading < c.atLeast(now) && reading < c.reading {
		return // an answer that was passed by a later one
	}
	*c = clock{known: true, reading: reading, at: now}
}

// atLeast returns a reading that the worker's clock has surely reached at now.
func (c *clock) atLeast(now time.Duration) time.Duration {
	return c.reading + time.Duration(float64(now-c.at)*minClockRate)
}
