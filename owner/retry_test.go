package owner

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// TestARejectionByTheTargetKeepsTheTaskAway: an agent that rejects an order itself says
// why in the state that comes with it, and the task may go there again at once.
func TestTargetRejectionBacksOffTask(t *testing.T) {
	for why, away := range map[code.Code]bool{
		code.RunNoRoom: false, code.RunNotTaking: false, code.RunStaleOwner: false,
		code.RunTargetUnhealthy: true, code.RunTargetRoom: true, code.RunPresent: true,
	} {
		o := newTestOwner(1)
		j := newJob(0, task.Job{Steps: []task.Step{{Count: 1}}})
		j.orders = 1
		state := &j.steps[0].tasks[0]
		o.recordRejection(0, o.agents["a"], j, state, why)
		assert.Equal(t, !o.allowed(rejectionBackoff/2, j, 0, state, o.agents["a"]), away, why.String())
		assert.Equal(t, j.started(), away, "only what reached the target may have run: "+why.String())
	}
}
