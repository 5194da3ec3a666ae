package node

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// virtualClock returns a clock for tests in virtual time, which the clock of the host does not
// know of.
func virtualClock() steadyClock {
	began := time.Now()
	return newClockOf(func() time.Duration { return time.Since(began) })
}

func TestASteadyClockRises(t *testing.T) {
	c := newSteadyClock()
	first := c.now()
	assert.Assert(t, first >= time.Second)
	assert.Assert(t, c.now() >= first)
}

// TestASuspensionIsNoticed: the clock of package time stands still while the host is suspended,
// so that a tick comes as if in time. It must count as late.
func TestASuspensionIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		began := time.Now()
		clock := newClockOf(func() time.Duration { return time.Since(began) + suspended })
		var p pause
		var lock sync.Mutex
		var judged []bool
		go ticks(t.Context(), 20*time.Millisecond, clock, &p, &lock, func(_ time.Duration, judge bool) { judged = append(judged, judge) })
		time.Sleep(time.Second)
		lock.Lock()
		before := len(judged)
		suspended = 5 * time.Second
		lock.Unlock()
		time.Sleep(50 * time.Millisecond)
		lock.Lock()
		defer lock.Unlock()
		assert.Assert(t, judged[before-1])
		assert.Assert(t, !judged[before], "the first tick after the suspension judges the silence of peers")
	})
}

func BenchmarkSteadyClock(b *testing.B) {
	c := newSteadyClock()
	for b.Loop() {
		c.now()
	}
}

func BenchmarkClockOfPackageTime(b *testing.B) {
	began := time.Now()
	for b.Loop() {
		_ = time.Since(began)
	}
}
