package owner

import (
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// newTestOwner returns an owner with agents whose targets have these speeds.
func newTestOwner(speeds ...float64) *Owner {
	o := NewOwner(slog.New(slog.DiscardHandler))
	o.Send = func(string, *peer.Frame) uint64 { return 1 }
	for k, speed := range speeds {
		name := string(rune('a' + k))
		o.Connected(0, name)
		o.Receive(0, name, &peer.Frame{State: &peer.State{
			Profile: &peer.Profile{Service: "s", Capacity: task.Needs{CPU: 16000}},
			Speed:   speed,
		}})
	}
	return o
}

// TestTheObjectiveCountsTheLongestTask: eight tasks take longer than one, and callers
// whose guesses are off all alike are understood by the speeds learned from them.
func TestObjectiveCountsLongestTask(t *testing.T) {
	guess := 100 * ms
	job := func(tasks int) task.Job {
		return task.Job{Queue: "q", Service: "s", ObjectiveFactor: 2, Steps: []task.Step{{Count: tasks, Estimate: guess}}}
	}
	o := newTestOwner(1, 1, 1)
	one := o.withEstimates(job(1), o.usualSpeed("s"))
	eight := o.withEstimates(job(8), o.usualSpeed("s"))
	assert.Equal(t, one.Objective().Round(ms), 2*guess)
	assert.Assert(t, eight.Objective() > 5*one.Objective()/4, eight.Objective())
	assert.Equal(t, eight.Steps[0].Estimate, one.Steps[0].Estimate, "one task takes as long in either")

	o = newTestOwner(0.25, 0.5, 0.5) // all take twice the guess; one target is sick
	one = o.withEstimates(job(1), o.usualSpeed("s"))
	assert.Equal(t, one.Objective().Round(ms), 4*guess)
}

// TestTheFirstEndCorrectsTheObjective: a task that takes three times the estimate
// makes the objective later; the other tasks are likely to take a little longer still.
func TestFirstTaskDurationCorrectsObjective(t *testing.T) {
	o := newTestOwner(1)
	spec := task.Job{Queue: "q", Service: "s", ObjectiveFactor: 2, Steps: []task.Step{{Count: 4, Estimate: 100 * ms}}}
	j := newJob(0, o.withEstimates(spec, 1))
	j.queue = o.queue("s")
	before := j.objectiveAt
	for n := range 4 {
		j.setPhase(0, n, placed)
	}
	o.learn(j, 0, o.agents["a"], 300*ms)
	assert.Assert(t, j.objectiveAt > 5*before/2, j.objectiveAt)
	assert.Assert(t, j.spec.Steps[0].Estimate > 310*ms && j.spec.Steps[0].Estimate < 400*ms, j.spec.Steps[0].Estimate)
	assert.Equal(t, j.lateObjectiveAt, 3*j.objectiveAt)
}
