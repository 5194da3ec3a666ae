package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPeerClockNeverExceedsActualClock guards against a lower bound that is ahead of the peer's clock,
// for any delay of stamps and any drift within the limit.
func TestPeerClockNeverExceedsActualClock(t *testing.T) {
	for _, rate := range []float64{0.98, 1, 1.02} {
		peerClock := func(own time.Duration) time.Duration { return time.Duration(rate * float64(own)) }
		var c PeerClock
		assert.Equal(t, c.At(time.Hour), time.Duration(0), "the bound is not zero before the first stamp")
		for k := range 50 {
			sent := time.Duration(k+1) * 900 * time.Millisecond
			delay := time.Duration(k%7) * 150 * time.Millisecond
			c.Observe(sent+delay, peerClock(sent))
			for _, later := range []time.Duration{0, 400 * time.Millisecond, 5 * time.Second} {
				now := sent + delay + later
				assert.Assert(t, c.At(now) <= peerClock(now), "rate %v, frame %d", rate, k)
			}
		}
	}
}

// TestPeerClockIgnoresLowerStamp guards against an older stamp moving the lower bound.
func TestPeerClockIgnoresLowerStamp(t *testing.T) {
	var c PeerClock
	c.Observe(10*time.Second, 3*time.Second)
	c.Observe(11*time.Second, 2*time.Second)
	assert.Equal(t, c.At(10*time.Second), 3*time.Second)
	assert.Equal(t, c.At(9*time.Second), 3*time.Second, "the bound is lower for a time before the stamp was received")
}
