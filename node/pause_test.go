package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilenceCheckIsSkippedAfterPause guards against closing connections whose frames are still
// unread after a pause of the process.
func TestSilenceCheckIsSkippedAfterPause(t *testing.T) {
	const tick = 20 * time.Millisecond
	var p pauseDetector
	now := time.Hour
	assert.Assert(t, !p.tick(now), "no tick before the first one")
	for range 10 {
		now += tick
		p.tick(now)
	}
	assert.Assert(t, p.tick(now+tick))
	now += 2 * time.Second
	assert.Assert(t, !p.tick(now), "paused for 2 s")
	assert.Assert(t, !p.tick(now+catchUpTime-tick))
	assert.Assert(t, p.tick(now+catchUpTime))
}
