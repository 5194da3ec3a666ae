package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// TestCallersReturnOneAfterTheOther: targets take 2 core-seconds of returning work a
// second, and each job has one: its caller is given half a second.
func TestRetriesAreSpread(t *testing.T) {
	const rate, work = 2.0, 1.0
	var r retrySchedule
	now := time.Minute
	for _, want := range []time.Duration{500 * ms, time.Second, 1500 * ms} {
		assert.Equal(t, r.next(now, work, rate, false), want)
	}
	assert.Equal(t, r.next(now, work, rate, true), minRetryAfter, "the most urgent go ahead")
	assert.Equal(t, r.next(now, work, rate, true), time.Second, "one after the other as well")
	assert.Equal(t, r.next(now, work, rate, false), 3*time.Second, "and the others make room")
	assert.Equal(t, r.next(now+time.Minute, work, rate, false), minRetryAfter, "what was long ago is over")
	assert.Equal(t, r.next(now, work, 0, false), RetryAfter, "no target takes work")

	r = retrySchedule{}
	for range 100 {
		assert.Assert(t, r.next(now, work, rate, false) <= maxRetryAfter)
	}
}

// TestTheTimeToComeBackOutlivesTheTargets: the load that was known last counts while no
// target takes work, and from an agent's first state on.
func TestLastWorkRateOutlivesTargets(t *testing.T) {
	o := newTestOwner()
	q := o.queue("s")
	assert.Equal(t, q.lastWorkRate, 0.0)
	o.Connected(0, "a")
	o.Receive(0, "a", &peer.Frame{State: &peer.State{
		Profile: &peer.Profile{Service: "s", Capacity: task.Needs{CPU: 16000}},
		Free:    task.Needs{CPU: 16000}, Speed: 1, Accepting: true, Cleared: true,
	}})
	assert.Equal(t, q.lastWorkRate, 16.0)
	o.Tick(2 * maxStateAge)
	assert.Equal(t, q.workRate, 0.0)
	assert.Equal(t, q.lastWorkRate, 16.0)
}
