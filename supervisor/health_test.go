package supervisor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// end has a run of a job end after so many times its estimate.
func end(h *health, job string, how task.End, times float64, trial bool) bool {
	r := &run{order: task.Order{Task: task.ID{Job: job}, Estimate: 100 * ms, Guess: 100 * ms}, trial: trial}
	took := time.Duration(times * float64(100*ms))
	return h.ended(r, how, took, took)
}

func TestFailuresOfOneJobMakeNobodySick(t *testing.T) {
	h := newHealth()
	for range 10 {
		assert.Assert(t, !end(&h, "one", task.EndFailed, 1, false))
	}
	assert.Assert(t, !h.sick)
}

func TestFailuresOfSeveralJobsMakeSick(t *testing.T) {
	h := newHealth()
	for k := range failedJobs {
		end(&h, fmt.Sprint(k), task.EndFailed, 0.1, false)
	}
	assert.Assert(t, h.sick)
	assert.Equal(t, h.why, code.WorkerFails)
}

func TestADoubtfulFailureSaysNothing(t *testing.T) {
	h := newHealth()
	for k := range 3 * failedJobs {
		r := &run{order: task.Order{Task: task.ID{Job: fmt.Sprint(k)}, Doubtful: true}}
		h.ended(r, task.EndFailed, 0, 0)
	}
	assert.Assert(t, !h.sick)
}

func TestSlowJobsMakeSick(t *testing.T) {
	h := newHealth()
	for range 5 {
		end(&h, "one", task.EndDone, 6, false) // one job: its guess may be wrong
	}
	assert.Assert(t, !h.sick)
	for k := range slowJobs {
		end(&h, fmt.Sprint(k), task.EndDone, 6, false)
	}
	assert.Assert(t, h.sick)
	assert.Equal(t, h.why, code.WorkerSlow)
}

// TestAnUnansweredListIsNoSlowWorker: runs whose ends were listed late may have
// ended at any time since the list before.
func TestAnUnansweredListIsNoSlowWorker(t *testing.T) {
	h := newHealth()
	for k := range 20 {
		r := &run{order: task.Order{Task: task.ID{Job: fmt.Sprint(k)}, Estimate: 40 * ms, Guess: 40 * ms}}
		h.ended(r, task.EndDone, 30*ms, 160*ms)
	}
	assert.Assert(t, !h.sick)
	assert.Equal(t, h.speed(), 1.0) // nothing is learned from them either
}

func TestOverdueRunsOfSeveralJobsMakeSick(t *testing.T) {
	h := newHealth()
	var running []*run
	for k := range overdueJobs {
		running = append(running, &run{order: task.Order{Task: task.ID{Job: fmt.Sprint(k)}, Estimate: 100 * ms}})
		assert.Assert(t, !h.tick(240*ms, running))
	}
	assert.Assert(t, h.tick(260*ms, running))
	assert.Equal(t, h.why, code.WorkerOverdue)
}

func TestTrialsDoubleUntilTheWorkerIsWell(t *testing.T) {
	h := newHealth()
	h.become(code.WorkerSlow)
	now := time.Minute
	for _, most := range []int{1, 2, 4} {
		assert.Assert(t, h.mayTry(now, most-1))
		assert.Assert(t, !h.mayTry(now, most))
		assert.Assert(t, h.began(now))
		assert.Equal(t, end(&h, "x", task.EndDone, 1, true), most == 4)
	}
	assert.Assert(t, !h.sick)
	assert.Assert(t, h.mayTry(now, 100))
}

func TestAFailedTrialBeginsAnew(t *testing.T) {
	h := newHealth()
	h.become(code.WorkerSlow)
	h.began(time.Minute)
	end(&h, "x", task.EndDone, 1, true)
	h.began(time.Minute)
	end(&h, "y", task.EndFailed, 1, true)
	assert.Assert(t, h.sick)
	assert.Assert(t, !h.mayTry(time.Minute+trialInterval/2, 0))
	assert.Assert(t, h.mayTry(time.Minute+trialInterval, 0))
	assert.Assert(t, !h.mayTry(time.Minute+trialInterval, 1))
}

func TestSpeedIsLearned(t *testing.T) {
	h := newHealth()
	for k := range 200 {
		end(&h, fmt.Sprint(k), task.EndDone, 1.25, false)
	}
	assert.Assert(t, h.speed() > 0.79 && h.speed() < 0.81, h.speed())
}
