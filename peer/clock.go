package peer

import "time"

// minClockRate is the lowest rate of a peer's clock relative to this process's clock.
// The platform specifies a drift of up to 2% for targets and nothing for other hosts.
const minClockRate = 0.98

// PeerClock tracks the latest stamp of a peer and derives a lower bound of the peer's clock at a
// later time. A lease granted by the peer is measured from that bound, so that the lease is extended
// even if the peer rarely sends frames.
type PeerClock struct {
	stamp      time.Duration // latest stamp, on the peer's clock
	receivedAt time.Duration // when it was received, on this process's clock
}

// Observe records the stamp of a frame received at now. Stamps lower than the latest are
// ignored.
func (c *PeerClock) Observe(now, stamp time.Duration) {
	if stamp > c.stamp {
		c.stamp, c.receivedAt = stamp, now
	}
}

// At returns a lower bound of the peer's clock at now, zero before the first stamp.
func (c *PeerClock) At(now time.Duration) time.Duration {
	if c.stamp == 0 {
		return 0
	}
	return c.stamp + time.Duration(minClockRate*float64(max(0, now-c.receivedAt)))
}
