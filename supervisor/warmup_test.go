package supervisor

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/task"
)

// TestSpeedRisesSteadilyDuringWarmup guards against a reported speed that jumps or falls
// between two heartbeats.
func TestSpeedRisesSteadilyDuringWarmup(t *testing.T) {
	b := newHarness(t)
	r := b.report("i-1", 2)
	r.WarmupLeft = 4 * time.Second
	b.Heartbeat(b.now, r)
	last := b.speed(b.now)
	assert.Assert(t, math.Abs(last-1/priorColdSlowdown) < 0.001, "%f", last)
	for range 40 {
		b.now += 100 * ms
		speed := b.speed(b.now)
		assert.Assert(t, speed > last && speed < last+0.03, "speed %f after %f", speed, last)
		last = speed
	}
	assert.Equal(t, b.speed(b.now), 1.0)
}

// TestColdRunsDoNotEjectOrSkewSpeed guards against slow runs during warm-up that eject the
// target or change more than the learned cold slowdown.
func TestColdRunsDoNotEjectOrSkewSpeed(t *testing.T) {
	b := newHarness(t)
	slow := math.Exp(b.warmup.fullLogSlowdown)
	for k := range 60 {
		r := b.report("i-1", uint64(k+2))
		r.WarmupLeft = time.Hour
		b.Heartbeat(b.now, r)
		o := order(0, 1000)
		o.Task = task.ID{Job: fmt.Sprintf("%016x", k)}
		b.sendOrders(o)
		assert.Equal(t, len(b.starts), k+1)
		b.StartAnswered(b.now, b.starts[len(b.starts)-1], b.reply(Accepted))
		b.advance(400 * ms) // four times its estimate
		b.answerRenewal(nil, []ListedEnd{{N: uint64(k + 1), Name: o.Task.String(), Run: 1, End: task.EndDone}})
		assert.Assert(t, !b.health.ejected, "after %d runs", k)
	}
	assert.Equal(t, b.health.logSlowdown, 0.0)
	assert.Assert(t, math.Exp(b.warmup.fullLogSlowdown) > 1.8*slow, "%f", math.Exp(b.warmup.fullLogSlowdown))
}
