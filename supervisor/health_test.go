package supervisor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// end has a run of a job end after that many times its estimate.
func end(h *health, job string, how task.End, times float64, trial bool) bool {
	r := &run{order: task.Order{Task: task.ID{Job: job}, Estimate: 100 * ms, Guess: 100 * ms}, probe: trial}
	took := time.Duration(times * float64(100*ms))
	return h.recordEnd(r, how, took, took)
}

func TestFailuresOfOneJobEjectNobody(t *testing.T) {
	h := newHealth()
	for range 10 {
		assert.Assert(t, !end(&h, "one", task.EndFailed, 1, false))
	}
	assert.Assert(t, !h.ejected)
}

func TestFailuresOfSeveralJobsEject(t *testing.T) {
	h := newHealth()
	for k := range ejectFailedJobs {
		end(&h, fmt.Sprint(k), task.EndFailed, 0.1, false)
	}
	assert.Assert(t, h.ejected)
	assert.Equal(t, h.why, code.TargetFails)
}

func TestAFailureThatFollowsOthersSaysNothing(t *testing.T) {
	h := newHealth()
	for k := range 3 * ejectFailedJobs {
		r := &run{order: task.Order{Task: task.ID{Job: fmt.Sprint(k)}, FailedElsewhere: true}}
		h.recordEnd(r, task.EndFailed, 0, 0)
	}
	assert.Assert(t, !h.ejected)
}

func TestSlowJobsEject(t *testing.T) {
	h := newHealth()
	for range 5 {
		end(&h, "one", task.EndDone, 6, false) // one job: its guess may be wrong
	}
	assert.Assert(t, !h.ejected)
	for k := range slowWindowJobs {
		end(&h, fmt.Sprint(k), task.EndDone, 6, false)
	}
	assert.Assert(t, h.ejected)
	assert.Equal(t, h.why, code.TargetSlow)
}

// TestAnUnansweredListIsNoSlowTarget: runs whose ends were listed late may have
// ended at any time since the list before.
func TestAnUnansweredListIsNoSlowTarget(t *testing.T) {
	h := newHealth()
	for k := range 20 {
		r := &run{order: task.Order{Task: task.ID{Job: fmt.Sprint(k)}, Estimate: 40 * ms, Guess: 40 * ms}}
		h.recordEnd(r, task.EndDone, 30*ms, 160*ms)
	}
	assert.Assert(t, !h.ejected)
	assert.Equal(t, h.speed(), 1.0) // nothing is learned from them either
}

func TestOverdueRunsOfSeveralJobsEject(t *testing.T) {
	h := newHealth()
	var running []*run
	for k := range ejectOverdueJobs {
		running = append(running, &run{order: task.Order{Task: task.ID{Job: fmt.Sprint(k)}, Estimate: 100 * ms}})
		assert.Assert(t, !h.checkOverdue(240*ms, running))
	}
	assert.Assert(t, h.checkOverdue(260*ms, running))
	assert.Equal(t, h.why, code.TargetOverdue)
}

func TestProbesDoubleUntilTheTargetHasRecovered(t *testing.T) {
	h := newHealth()
	h.eject(code.TargetSlow)
	now := time.Minute
	for _, most := range []int{1, 2, 4} {
		assert.Assert(t, h.admits(now, most-1))
		assert.Assert(t, !h.admits(now, most))
		assert.Assert(t, h.recordStart(now))
		assert.Equal(t, end(&h, "x", task.EndDone, 1, true), most == 4)
	}
	assert.Assert(t, !h.ejected)
	assert.Assert(t, h.admits(now, 100))
}

func TestAFailedProbeBeginsAnew(t *testing.T) {
	h := newHealth()
	h.eject(code.TargetSlow)
	h.recordStart(time.Minute)
	end(&h, "x", task.EndDone, 1, true)
	h.recordStart(time.Minute)
	end(&h, "y", task.EndFailed, 1, true)
	assert.Assert(t, h.ejected)
	assert.Assert(t, !h.admits(time.Minute+probeInterval/2, 0))
	assert.Assert(t, h.admits(time.Minute+probeInterval, 0))
	assert.Assert(t, !h.admits(time.Minute+probeInterval, 1))
}

func TestSpeedIsLearned(t *testing.T) {
	h := newHealth()
	for k := range 200 {
		end(&h, fmt.Sprint(k), task.EndDone, 1.25, false)
	}
	assert.Assert(t, h.speed() > 0.79 && h.speed() < 0.81, h.speed())
}
