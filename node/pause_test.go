package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilenceCheckIsSkippedAfterPause: its peers' frames wait to be read.
func TestSilenceCheckIsSkippedAfterPause(t *testing.T) {
	const tick = 20 * time.Millisecond
	var p pauseDetector
	now := time.Hour
	assert.Assert(t, !p.tick(now), "the first tick follows no other")
	for range 10 {
		now += tick
		p.tick(now)
	}
	assert.Assert(t, p.tick(now+tick))
	now += 2 * time.Second
	assert.Assert(t, !p.tick(now), "stopped for 2 s")
	assert.Assert(t, !p.tick(now+catchUpTime-tick))
	assert.Assert(t, p.tick(now+catchUpTime))
}
