package node

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// virtualClock returns a clock that follows the virtual time of synctest.
func virtualClock() bootClock {
	began := time.Now()
	return newBootClockFrom(func() time.Duration { return time.Since(began) })
}

func TestBootClockIsMonotonic(t *testing.T) {
	c := newBootClock()
	first := c.now()
	assert.Assert(t, first >= time.Second)
	assert.Assert(t, c.now() >= first)
}

// TestTickAfterSuspensionSkipsSilenceCheck guards against taking a suspension of the host for silence
// of the peers: timers stop meanwhile, and only the boot clock shows the time between two ticks.
func TestTickAfterSuspensionSkipsSilenceCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		began := time.Now()
		clock := newBootClockFrom(func() time.Duration { return time.Since(began) + suspended })
		var p pauseDetector
		var lock sync.Mutex
		var checked []bool
		go runTicks(t.Context(), 20*time.Millisecond, clock, &p, &lock,
			func(_ time.Duration, checkSilence bool) { checked = append(checked, checkSilence) })
		time.Sleep(time.Second)
		lock.Lock()
		before := len(checked)
		suspended = 5 * time.Second
		lock.Unlock()
		time.Sleep(50 * time.Millisecond)
		lock.Lock()
		defer lock.Unlock()
		assert.Assert(t, checked[before-1])
		assert.Assert(t, !checked[before], "the first tick after the suspension checks the silence of peers")
	})
}

func BenchmarkBootClock(b *testing.B) {
	c := newBootClock()
	for b.Loop() {
		c.now()
	}
}

func BenchmarkTimeSince(b *testing.B) {
	began := time.Now()
	for b.Loop() {
		_ = time.Since(began)
	}
}
