package supervisor

import "time"

// minClockRate is the lowest rate of a target's clock relative to the agent's: the platform
// allows it to be 2% slow.
const minClockRate = 0.98

// clock gives a lower bound of the target's clock, based on the latest reading received
// with an answer, or with a heartbeat while no reading is known.
type clock struct {
	known   bool
	reading time.Duration // on the target's clock
	at      time.Duration // arrival of the reading, on the agent's clock
}

// update applies a reading that arrived at now. It ignores a reading lower than the last
// one: its answer arrived out of order.
func (c *clock) update(reading, now time.Duration) {
	if c.known && reading < c.atLeast(now) && reading < c.reading {
		return
	}
	*c = clock{known: true, reading: reading, at: now}
}

// atLeast returns a reading that the target's clock is certain to have reached at now.
func (c *clock) atLeast(now time.Duration) time.Duration {
	return c.reading + time.Duration(float64(now-c.at)*minClockRate)
}
