package owner

import (
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// newTestOwner returns an owner with agents whose targets have the given speeds.
func newTestOwner(speeds ...float64) *Owner {
	o := NewOwner(slog.New(slog.DiscardHandler))
	o.Send = func(string, *peer.Frame) uint64 { return 1 }
	for k, speed := range speeds {
		name := string(rune('a' + k))
		o.Connected(0, name)
		o.Receive(0, name, &peer.Frame{State: &peer.State{
			Profile: &peer.Profile{Service: "s", Capacity: task.Resources{CPU: 16000}},
			Speed:   speed,
		}})
	}
	return o
}

// Guards against objectives that ignore the longest of many tasks, or the speeds of the
// targets.
func TestObjectiveCountsLongestTask(t *testing.T) {
	guess := 100 * ms
	job := func(tasks int) task.Job {
		return task.Job{Queue: "q", Service: "s", ObjectiveFactor: 2,
			Steps: []task.Step{{Count: tasks, Estimate: guess}}}
	}
	o := newTestOwner(1, 1, 1)
	one := o.withEstimates(job(1), o.usualSpeed("s"))
	eight := o.withEstimates(job(8), o.usualSpeed("s"))
	assert.Equal(t, one.Objective().Round(ms), 2*guess)
	assert.Assert(t, eight.Objective() > 5*one.Objective()/4, eight.Objective())
	assert.Equal(t, eight.Steps[0].Estimate, one.Steps[0].Estimate,
		"the estimate of one task does not depend on their number")

	o = newTestOwner(0.25, 0.5, 0.5) // tasks take twice the guess; one target is slow
	one = o.withEstimates(job(1), o.usualSpeed("s"))
	assert.Equal(t, one.Objective().Round(ms), 4*guess)
}

// Guards against objectives that stay too early when the first task takes three times its
// estimate.
func TestFirstTaskDurationCorrectsObjective(t *testing.T) {
	o := newTestOwner(1)
	desc := task.Job{Queue: "q", Service: "s", ObjectiveFactor: 2, Steps: []task.Step{{Count: 4, Estimate: 100 * ms}}}
	j := newJob(0, o.withEstimates(desc, 1))
	j.queue = o.queue("s")
	before := j.objectiveAt
	for n := range 4 {
		j.setPhase(0, n, placed)
	}
	o.learn(j, 0, o.agents["a"], 300*ms)
	assert.Assert(t, j.objectiveAt > 5*before/2, j.objectiveAt)
	assert.Assert(t, j.desc.Steps[0].Estimate > 310*ms && j.desc.Steps[0].Estimate < 400*ms, j.desc.Steps[0].Estimate)
	assert.Equal(t, j.lateObjectiveAt, 3*j.objectiveAt)
}
