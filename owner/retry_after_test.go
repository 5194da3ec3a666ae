package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// Guards against resubmissions at the same time: with one core-second for each job, and two
// accepted per second, they must be 500 ms apart.
func TestResubmissionsAreSpread(t *testing.T) {
	const rate, work = 2.0, 1.0
	var r resubmissionSchedule
	now := time.Minute
	for _, want := range []time.Duration{500 * ms, time.Second, 1500 * ms} {
		assert.Equal(t, r.next(now, work, rate, false), want)
	}
	assert.Equal(t, r.next(now, work, rate, true), minRetryAfter, "most urgent priority first")
	assert.Equal(t, r.next(now, work, rate, true), time.Second, "most urgent priority spread as well")
	assert.Equal(t, r.next(now, work, rate, false), 3*time.Second, "other priorities after the most urgent")
	assert.Equal(t, r.next(now+time.Minute, work, rate, false), minRetryAfter, "old assignments expired")
	assert.Equal(t, r.next(now, work, 0, false), DefaultRetryAfter, "no target accepts work")

	r = resubmissionSchedule{}
	for range 100 {
		assert.Assert(t, r.next(now, work, rate, false) <= maxRetryAfter)
	}
}

// Guards against retry-after times that ignore the last work rate while no target accepts work.
func TestLastWorkRateIsKeptWithoutTargets(t *testing.T) {
	o := newTestOwner()
	q := o.queue("s")
	assert.Equal(t, q.lastWorkRate, 0.0)
	o.Connected(0, "a")
	o.Receive(0, "a", &peer.Frame{State: &peer.State{
		Profile: &peer.Profile{Service: "s", Capacity: task.Resources{CPU: 16000}},
		Free:    task.Resources{CPU: 16000}, Speed: 1, Accepting: true, Cleared: true,
	}})
	assert.Equal(t, q.lastWorkRate, 16.0)
	o.Tick(2 * maxStateAge)
	assert.Equal(t, q.workRate, 0.0)
	assert.Equal(t, q.lastWorkRate, 16.0)
}
