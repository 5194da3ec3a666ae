package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// TestWorkRate: an entry counts on the targets' whole room, in the share in which it
// uses it. Each target has 16 cores.
func TestWorkRate(t *testing.T) {
	state := func(o *Owner, agent string, freeCPU int, health peer.Health) {
		o.Receive(0, agent, &peer.Frame{State: &peer.State{
			Profile: &peer.Profile{Service: "s", Capacity: task.Needs{CPU: 16000}},
			Free:    task.Needs{CPU: freeCPU}, Speed: 1, Accepting: true, Cleared: true, SeenSeq: 1, Health: health,
		}})
	}
	o := newTestOwner(1, 1)
	state(o, "a", 16000, peer.Healthy)
	state(o, "b", 16000, peer.Healthy)
	assert.Equal(t, o.workRate(0, o.queue("s")), 32.0, "nothing is in use")

	// This entry starts 8 cores' work; other entries have 8 cores' at work as well.
	o.Submit(0, task.Job{ID: "j", Queue: "q", Service: "s", ObjectiveFactor: 2, Steps: []task.Step{
		{Count: 4, Estimate: 100 * ms, Needs: task.Needs{CPU: 2000}},
	}}, func(Answer) {})
	state(o, "a", 8000, peer.Healthy)
	state(o, "b", 8000, peer.Healthy)
	assert.Equal(t, o.workRate(0, o.queue("s")), 16.0)

	state(o, "b", 8000, peer.Ejected)
	own := 0
	for range o.agents["a"].tasks {
		own += 2000
	}
	assert.Equal(t, o.workRate(0, o.queue("s")), 16*float64(own)/8000, "an ejected target does not count")
	assert.Equal(t, o.workRate(maxStateAge+time.Millisecond, o.queue("s")), 0.0, "nor does one that is not heard of")
}

// TestAnEntryWithNothingAtWorkCountsOnRoom: other entries use all of the target, and a
// job of 4 cores waits here.
func TestWorkRateCountsFirstWaitingJob(t *testing.T) {
	o := newTestOwner(1)
	o.Receive(0, "a", &peer.Frame{State: &peer.State{
		Profile: &peer.Profile{Service: "s", Capacity: task.Needs{CPU: 16000}},
		Speed:   1, Accepting: true, Cleared: true,
	}})
	o.Submit(0, task.Job{ID: "j", Queue: "q", Service: "s", ObjectiveFactor: 2, Steps: []task.Step{
		{Count: 2, Estimate: 100 * ms, Needs: task.Needs{CPU: 2000}},
	}}, func(Answer) {})
	assert.Equal(t, o.workRate(0, o.queue("s")), 16*4.0/20)
}

// TestStartSpan: the starts of a job's tasks are as far apart as its work takes to be
// taken, but for the first of them.
func TestStartSpan(t *testing.T) {
	q := &queue{workRate: 10, backlogSince: time.Second}
	now := time.Second + minBacklogTime
	assert.Equal(t, q.startSpan(now, 4, 2), 150*ms)
	assert.Equal(t, q.startSpan(now, 1, 2), time.Duration(0))
	assert.Equal(t, q.startSpan(now-ms, 4, 2), time.Duration(0), "a short wait goes by itself")
	q.backlogSince = 0
	assert.Equal(t, q.startSpan(now, 4, 2), time.Duration(0), "nothing waits")
}
