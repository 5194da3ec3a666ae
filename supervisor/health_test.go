package supervisor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// end has a run of a job end after that many times its estimate.
func end(h *health, job string, how task.End, times float64, trial bool) bool {
	r := &run{order: task.Order{Task: task.ID{Job: job}, Estimate: 100 * ms, Guess: 100 * ms}, probe: trial}
	took := time.Duration(times * float64(100*ms))
	return h.recordEnd(r, how, took, took)
}

// knownHealth returns the health of a target whose runs are known to differ from their
// estimates by that much.
func knownHealth(spread float64) health {
	h := newHealth()
	h.baseline = baseline{runs: baselineRuns, variance: spread * spread}
	return h
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
	for k := range slowMinJobs {
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
	h := knownHealth(0.2)
	var running []*run
	for k := range ejectOverdueJobs {
		running = append(running, &run{order: task.Order{Task: task.ID{Job: fmt.Sprint(k)}, Estimate: 100 * ms}})
		assert.Assert(t, !h.checkOverdue(225*ms, running))
	}
	assert.Assert(t, h.checkOverdue(235*ms, running))
	assert.Equal(t, h.why, code.TargetOverdue)
}

// TestASmallShareOfOverdueRunsEjectsNobody: among many runs some take long.
func TestASmallShareOfOverdueRunsEjectsNobody(t *testing.T) {
	h := knownHealth(0.2)
	var running []*run
	for k := range 4 * ejectOverdueJobs {
		r := &run{order: task.Order{Task: task.ID{Job: fmt.Sprint(k)}, Estimate: 100 * ms}}
		if k >= ejectOverdueJobs {
			r.startedAt = 900 * ms
		}
		running = append(running, r)
	}
	assert.Assert(t, !h.checkOverdue(time.Second, running))
	assert.Assert(t, h.checkOverdue(time.Second, running[:3*ejectOverdueJobs]))
}

// TestEstimatesThatErrMoreNeedMoreEvidence: runs at four times the usual time eject a
// target after four jobs where estimates are good, and not where they are off by that
// much all the time; six times the usual time is found there, too, with more jobs.
func TestEstimatesThatErrMoreNeedMoreEvidence(t *testing.T) {
	jobsUntilEjected := func(times, spread float64) int {
		h := knownHealth(spread)
		for k := range maxEndRecords {
			if end(&h, fmt.Sprint(k), task.EndDone, times, false) {
				return k + 1
			}
		}
		return 0
	}
	assert.Equal(t, jobsUntilEjected(4, 0.2), 4)
	assert.Equal(t, jobsUntilEjected(2.4, 0.2), 0, "a little slow is no reason")
	assert.Equal(t, jobsUntilEjected(4, 0.9), 11)
	assert.Equal(t, jobsUntilEjected(6, 0.9), 7)
}

// TestWhatIsUsualOfATargetIsLearned: a target on which all runs take twice the estimate
// is not slow, and is judged by that.
func TestWhatIsUsualOfATargetIsLearned(t *testing.T) {
	h := newHealth()
	for k := range 300 {
		assert.Assert(t, !end(&h, fmt.Sprint(k), task.EndDone, 2+0.2*float64(k%2), false))
	}
	assert.Assert(t, h.baseline.spread() < 0.2, h.baseline.spread())
	for k := range slowMinJobs {
		assert.Equal(t, end(&h, fmt.Sprint("slow", k), task.EndDone, 5.6, false), k == slowMinJobs-1)
	}
}

// TestNothingKnownNeedsMoreEvidence: a new agent's target counts as uncertain.
func TestNothingKnownNeedsMoreEvidence(t *testing.T) {
	h := newHealth()
	assert.Equal(t, h.baseline.spread(), priorSpread)
	for k := range 6 {
		assert.Assert(t, !end(&h, fmt.Sprint(k), task.EndDone, 2.6, false), "guesses may be of less than half the work")
	}
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

// TestAnEjectedTargetIsOnTrialAfterAWhile: where nobody needs its room it would get no probe,
// and stay ejected for good. On trial it gets one at a time, like any ejected target; one that
// does not end well ends the trial.
func TestAnEjectedTargetIsOnTrialAfterAWhile(t *testing.T) {
	b := newBench(t)
	b.health.eject(code.TargetSlow)
	b.announceHealth(b.now)
	told := func() peer.Health { return b.state(b.now, b.sessions[1]).Health }
	assert.Equal(t, told(), peer.Ejected)
	b.now += trialDelay - ms
	b.Tick(b.now)
	assert.Equal(t, told(), peer.Ejected)
	b.now += ms
	b.Tick(b.now)
	assert.Equal(t, told(), peer.Healthy)
	r := &run{order: task.Order{Task: task.ID{Job: "1"}, Estimate: 100 * ms}, answered: true, probe: b.health.recordStart(b.now)}
	assert.Assert(t, r.probe)
	assert.Assert(t, !b.health.admits(b.now, 1))
	b.recordHealth(b.now, r, task.EndStopped)
	b.Tick(b.now)
	assert.Equal(t, told(), peer.Ejected)
}
