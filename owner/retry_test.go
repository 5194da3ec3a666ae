package owner

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// Guards against repeated orders to a target that rejects them. A rejection by the agent itself
// needs no backoff, as the agent reports its state in the same frame.
func TestTargetRejectionBacksOffTask(t *testing.T) {
	for why, backsOff := range map[code.Code]bool{
		code.RunNoRoom: false, code.RunTargetNotAccepting: false, code.RunStaleOwner: false,
		code.RunTargetUnhealthy: true, code.RunTargetNoRoom: true, code.RunPresent: true,
	} {
		o := newTestOwner(1)
		j := newJob(0, task.Job{Steps: []task.Step{{Count: 1}}})
		j.orders = 1
		state := &j.steps[0].tasks[0]
		o.recordRejection(0, o.agents["a"], j, state, why)
		assert.Equal(t, !o.allowed(rejectionBackoff/2, j, 0, state, o.agents["a"]), backsOff, why.String())
		assert.Equal(t, j.started(), backsOff,
			"the job counts as started only if the order reached the target: "+why.String())
	}
}

// TestReportedEndKeepsBackoffOfOverdueRun guards against ordering a task again at once at the
// agent where its run was overdue.
func TestReportedEndKeepsBackoffOfOverdueRun(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.reportState("a", 4000, 1, 0)
	b.submit(jobOf("1", 1))
	o := b.starts("a")[0]
	task1 := &b.jobs["1"].steps[0].tasks[0]
	b.stopRun(b.now, b.agents["a"], o.Task, task1, code.RunMovedOverdue)
	b.now += 680 * ms
	b.reportEnd("a", o, task.EndStopped, code.RunOwnerStops)
	assert.Assert(t, !b.allowed(b.now, b.jobs["1"], 0, task1, b.agents["a"]))
	assert.Equal(t, task1.avoidUntil-b.now, failureBackoff-680*ms)
}

// TestEndOfEarlierConnectionIsIgnored guards against a second run of a task: the rejection of an order that
// an agent received before the connection was lost must not stand for the end of its run.
func TestEndOfEarlierConnectionIsIgnored(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.reportState("a", 4000, 1, 0)
	b.submit(jobOf("1", 1))
	o := b.starts("a")[0]
	b.Disconnected(b.now, b.now, "a")
	b.Connected(b.now, "a")
	b.reportState("b", 4000, 1, 0)
	for _, why := range []code.Code{code.RunPresent, code.RunNoRoom, code.RunStaleOwner, code.RunAbsent} {
		b.reportEnd("a", o, task.EndRejected, why)
		assert.Equal(t, len(b.starts("b")), 0, why.String())
	}
	b.now += ClearTime - 10*ms
	b.reportState("b", 4000, 1, 0)
	b.Tick(b.now)
	assert.Equal(t, len(b.starts("b")), 0, "before the earlier run is certain to be over")
}
