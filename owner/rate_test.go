package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// Guards against a work rate that counts room used by other entries. It is the capacity of the
// targets, 16 cores each, times this entry's share of the room in use.
func TestWorkRateExcludesRoomOfOthers(t *testing.T) {
	state := func(o *Owner, agent string, freeCPU int, health peer.Health) {
		o.Receive(0, agent, &peer.Frame{State: &peer.State{
			Profile: &peer.Profile{Service: "s", Capacity: task.Resources{CPU: 16000}},
			Free:    task.Resources{CPU: freeCPU}, Speed: 1, Accepting: true, Cleared: true, SeenSeq: 1, Health: health,
		}})
	}
	o := newTestOwner(1, 1)
	state(o, "a", 16000, peer.Healthy)
	state(o, "b", 16000, peer.Healthy)
	assert.Equal(t, o.workRate(0, o.queue("s")), 32.0, "no room in use")

	// This entry and other entries use 8 cores each.
	o.Submit(0, task.Job{ID: "j", Queue: "q", Service: "s", ObjectiveFactor: 2, Steps: []task.Step{
		{Count: 4, Estimate: 100 * ms, Needs: task.Resources{CPU: 2000}},
	}}, func(Answer) {})
	state(o, "a", 8000, peer.Healthy)
	state(o, "b", 8000, peer.Healthy)
	assert.Equal(t, o.workRate(0, o.queue("s")), 16.0)

	state(o, "b", 8000, peer.Ejected)
	own := 0
	for range o.agents["a"].tasks {
		own += 2000
	}
	assert.Equal(t, o.workRate(0, o.queue("s")), 16*float64(own)/8000, "ejected target excluded")
	assert.Equal(t, o.workRate(maxStateAge+time.Millisecond, o.queue("s")), 0.0, "target with an old state excluded")
}

// Guards against a rate of zero for an entry without running tasks while others use the whole
// target.
func TestWorkRateCountsFirstWaitingJob(t *testing.T) {
	o := newTestOwner(1)
	o.Receive(0, "a", &peer.Frame{State: &peer.State{
		Profile: &peer.Profile{Service: "s", Capacity: task.Resources{CPU: 16000}},
		Speed:   1, Accepting: true, Cleared: true,
	}})
	o.Submit(0, task.Job{ID: "j", Queue: "q", Service: "s", ObjectiveFactor: 2, Steps: []task.Step{
		{Count: 2, Estimate: 100 * ms, Needs: task.Resources{CPU: 2000}},
	}}, func(Answer) {})
	assert.Equal(t, o.workRate(0, o.queue("s")), 16*4.0/20)
}

// Guards against jobs that become more urgent by their number of tasks although none has to wait.
func TestStartSpanIsZeroWithoutBacklog(t *testing.T) {
	q := &serviceQueue{workRate: 10, nonEmptySince: time.Second}
	now := time.Second + minBacklogTime
	assert.Equal(t, q.startSpan(now, 4, 2), 150*ms)
	assert.Equal(t, q.startSpan(now, 1, 2), time.Duration(0))
	assert.Equal(t, q.startSpan(now-ms, 4, 2), time.Duration(0), "wait below minBacklogTime")
	q.nonEmptySince = 0
	assert.Equal(t, q.startSpan(now, 4, 2), time.Duration(0), "no job waits")
}
