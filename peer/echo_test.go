package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEchoNeverExceedsPeerClock guards against a lower bound that is ahead of the peer's clock,
// for any delay of stamps and any drift within the limit.
func TestEchoNeverExceedsPeerClock(t *testing.T) {
	for _, rate := range []float64{0.98, 1, 1.02} {
		peerClock := func(own time.Duration) time.Duration { return time.Duration(rate * float64(own)) }
		var e Echo
		assert.Equal(t, e.At(time.Hour), time.Duration(0), "the bound is not zero before the first stamp")
		for k := range 50 {
			sent := time.Duration(k+1) * 900 * time.Millisecond
			delay := time.Duration(k%7) * 150 * time.Millisecond
			e.Observe(sent+delay, peerClock(sent))
			for _, later := range []time.Duration{0, 400 * time.Millisecond, 5 * time.Second} {
				now := sent + delay + later
				assert.Assert(t, e.At(now) <= peerClock(now), "rate %v, frame %d", rate, k)
			}
		}
	}
}

// TestEchoIgnoresLowerStamp guards against an older stamp moving the lower bound.
func TestEchoIgnoresLowerStamp(t *testing.T) {
	var e Echo
	e.Observe(10*time.Second, 3*time.Second)
	e.Observe(11*time.Second, 2*time.Second)
	assert.Equal(t, e.At(10*time.Second), 3*time.Second)
	assert.Equal(t, e.At(9*time.Second), 3*time.Second, "the bound is lower for a time before the stamp was received")
}
