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

// recordRun records a run of a job that took the given multiple of its estimate.
func recordRun(h *health, job string, how task.End, times float64, probe bool) bool {
	r := &run{order: task.Order{Task: task.ID{Job: job}, Estimate: 100 * ms, Guess: 100 * ms}, probe: probe}
	took := time.Duration(times * float64(100*ms))
	return h.recordEnd(r, how, took, took)
}

// healthWithSpread returns the health of a target with a learned baseline of the given
// spread.
func healthWithSpread(spread float64) health {
	h := newHealth()
	h.baseline = baseline{runs: baselineRuns, variance: spread * spread}
	return h
}

func TestFailuresOfOneJobDoNotEject(t *testing.T) {
	h := newHealth()
	for range 10 {
		assert.Assert(t, !recordRun(&h, "one", task.EndFailed, 1, false))
	}
	assert.Assert(t, !h.ejected)
}

func TestFailuresOfSeveralJobsEject(t *testing.T) {
	h := newHealth()
	for k := range ejectFailedJobs {
		recordRun(&h, fmt.Sprint(k), task.EndFailed, 0.1, false)
	}
	assert.Assert(t, h.ejected)
	assert.Equal(t, h.reason, code.TargetFails)
}

func TestJobFailingElsewhereDoesNotEject(t *testing.T) {
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
		recordRun(&h, "one", task.EndDone, 6, false) // one job, whose estimate may be wrong
	}
	assert.Assert(t, !h.ejected)
	for k := range slowMinJobs {
		recordRun(&h, fmt.Sprint(k), task.EndDone, 6, false)
	}
	assert.Assert(t, h.ejected)
	assert.Equal(t, h.reason, code.TargetSlow)
}

// TestLateListDoesNotMakeTargetSlow guards against counting the delay of a list as run
// time: the runs may have ended at any time since the previous list.
func TestLateListDoesNotMakeTargetSlow(t *testing.T) {
	h := newHealth()
	for k := range 20 {
		r := &run{order: task.Order{Task: task.ID{Job: fmt.Sprint(k)}, Estimate: 40 * ms, Guess: 40 * ms}}
		h.recordEnd(r, task.EndDone, 30*ms, 160*ms)
	}
	assert.Assert(t, !h.ejected)
	assert.Equal(t, h.speed(), 1.0) // imprecise times do not change the speed
}

func TestOverdueRunsOfSeveralJobsEject(t *testing.T) {
	h := healthWithSpread(0.2)
	var running []*run
	for k := range ejectOverdueJobs {
		running = append(running, &run{order: task.Order{Task: task.ID{Job: fmt.Sprint(k)}, Estimate: 100 * ms}})
		assert.Assert(t, !h.checkOverdue(225*ms, running))
	}
	assert.Assert(t, h.checkOverdue(235*ms, running))
	assert.Equal(t, h.reason, code.TargetOverdue)
}

// TestSmallShareOfOverdueRunsDoesNotEject guards against ejecting a target with many active
// runs, of which some take long.
func TestSmallShareOfOverdueRunsDoesNotEject(t *testing.T) {
	h := healthWithSpread(0.2)
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

// TestInaccurateEstimatesNeedMoreEvidence guards against ejecting a target after as few slow
// jobs with inaccurate estimates as with accurate ones.
func TestInaccurateEstimatesNeedMoreEvidence(t *testing.T) {
	jobsUntilEjected := func(times, spread float64) int {
		h := healthWithSpread(spread)
		for k := range maxEndRecords {
			if recordRun(&h, fmt.Sprint(k), task.EndDone, times, false) {
				return k + 1
			}
		}
		return 0
	}
	assert.Equal(t, jobsUntilEjected(4, 0.2), 4)
	assert.Equal(t, jobsUntilEjected(2.4, 0.2), 0, "ejected below the slow factor")
	assert.Equal(t, jobsUntilEjected(4, 0.9), 11)
	assert.Equal(t, jobsUntilEjected(6, 0.9), 7)
}

// TestUniformlySlowTargetNotEjected guards against ejecting a target on which all runs take
// twice their estimate, and against not ejecting it when they take much longer than that.
func TestUniformlySlowTargetNotEjected(t *testing.T) {
	h := newHealth()
	for k := range 300 {
		assert.Assert(t, !recordRun(&h, fmt.Sprint(k), task.EndDone, 2+0.2*float64(k%2), false))
	}
	assert.Assert(t, h.baseline.spread() < 0.2, h.baseline.spread())
	for k := range slowMinJobs {
		assert.Equal(t, recordRun(&h, fmt.Sprint("slow", k), task.EndDone, 5.6, false), k == slowMinJobs-1)
	}
}

// TestNewTargetNeedsMoreEvidence guards against ejecting a new target because of inaccurate
// estimates.
func TestNewTargetNeedsMoreEvidence(t *testing.T) {
	h := newHealth()
	assert.Equal(t, h.baseline.spread(), priorSpread)
	for k := range 6 {
		assert.Assert(t, !recordRun(&h, fmt.Sprint(k), task.EndDone, 2.6, false),
			"a new target was ejected for runs of 2.6 times their estimate")
	}
}

func TestProbesDoubleUntilRecovery(t *testing.T) {
	h := newHealth()
	h.eject(code.TargetSlow)
	now := time.Minute
	for _, most := range []int{1, 2, 4} {
		assert.Assert(t, h.admits(now, most-1))
		assert.Assert(t, !h.admits(now, most))
		assert.Assert(t, h.recordStart(now))
		assert.Equal(t, recordRun(&h, "x", task.EndDone, 1, true), most == 4)
	}
	assert.Assert(t, !h.ejected)
	assert.Assert(t, h.admits(now, 100))
}

func TestFailedProbeResetsRecovery(t *testing.T) {
	h := newHealth()
	h.eject(code.TargetSlow)
	h.recordStart(time.Minute)
	recordRun(&h, "x", task.EndDone, 1, true)
	h.recordStart(time.Minute)
	recordRun(&h, "y", task.EndFailed, 1, true)
	assert.Assert(t, h.ejected)
	assert.Assert(t, !h.admits(time.Minute+probeInterval/2, 0))
	assert.Assert(t, h.admits(time.Minute+probeInterval, 0))
	assert.Assert(t, !h.admits(time.Minute+probeInterval, 1))
}

func TestSpeedFollowsRunTimes(t *testing.T) {
	h := newHealth()
	for k := range 200 {
		recordRun(&h, fmt.Sprint(k), task.EndDone, 1.25, false)
	}
	assert.Assert(t, h.speed() > 0.79 && h.speed() < 0.81, h.speed())
}

// TestEjectedTargetGoesOnTrial guards against a target that stays ejected because it receives
// no probes, that admits other runs on trial, or stays on trial after an unsuccessful probe.
func TestEjectedTargetGoesOnTrial(t *testing.T) {
	b := newHarness(t)
	b.health.eject(code.TargetSlow)
	b.healthChanged(b.now)
	sentHealth := func() peer.Health { return b.stateToSend(b.now, b.sessions[1]).Health }
	assert.Equal(t, sentHealth(), peer.Ejected)
	b.now += trialDelay - ms
	b.Tick(b.now)
	assert.Equal(t, sentHealth(), peer.Ejected)
	b.now += ms
	b.Tick(b.now)
	assert.Equal(t, sentHealth(), peer.Healthy)
	r := &run{
		order:   task.Order{Task: task.ID{Job: "1"}, Estimate: 100 * ms},
		started: true, probe: b.health.recordStart(b.now),
	}
	assert.Assert(t, r.probe)
	assert.Assert(t, !b.health.admits(b.now, 1))
	b.recordHealth(b.now, r, task.EndStopped)
	b.Tick(b.now)
	assert.Equal(t, sentHealth(), peer.Ejected)
}
