package backoff

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIntervalsDoubleUpToLimit(t *testing.T) {
	const ms = time.Millisecond
	for failures, want := range []time.Duration{20 * ms, 40 * ms, 80 * ms, 160 * ms, 160 * ms} {
		assert.Equal(t, Interval(20*ms, 160*ms, failures), want)
	}
	assert.Equal(t, Interval(50*ms, 2*time.Second, 1_000_000), 2*time.Second)
}
