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
	assert.Assert(t, !p.tick(now), "the first tick checks the silence of peers")
	for range 10 {
		now += tick
		p.tick(now)
	}
	assert.Assert(t, p.tick(now+tick))
	now += 2 * time.Second
	assert.Assert(t, !p.tick(now), "the tick after a pause of 2 s checks the silence of peers")
	assert.Assert(t, !p.tick(now+catchUpTime-tick))
	assert.Assert(t, p.tick(now+catchUpTime))
}
