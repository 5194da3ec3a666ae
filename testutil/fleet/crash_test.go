package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crashingConfig returns the configuration of a workload at 25% load in which 2% of the jobs crash every target that
// starts them. Targets restart after 2 to 3 s; objectives leave time for several runs.
func crashingConfig(seed uint64, entries, agents int) Config {
	cfg := WorkloadConfig(seed, entries, agents, TrackingWorkload(agents, 0.25))
	cfg.Crashing = 0.02
	cfg.BackAfter = 2 * time.Second
	cfg.Shape.Slack = 4 * time.Second
	return cfg
}

// innocentFailureBound bounds the share of jobs that fail only because they ran on the same
// target as a task that crashes targets.
const innocentFailureBound = 0.01

// TestCrashingTasksRespectStartBudgetAndSpareOthers guards against unlimited restarts of tasks
// that crash targets, and against failing jobs that ran on the same targets.
func TestCrashingTasksRespectStartBudgetAndSpareOthers(t *testing.T) {
	for _, agents := range []int{11, 70} {
		w := New(crashingConfig(1, 3, agents))
		w.Run()
		t.Logf("%d agents: %+v, %+v", agents, w.Crashes, w.Counts)
		assert.Equal(t, w.Violation, "")
		assert.Assert(t, float64(w.Crashes.InnocentFailed) <= innocentFailureBound*float64(w.Counts.Jobs), "%+v",
			w.Crashes)
	}
}

// TestPowerLossDoesNotFailInnocentJobs guards against blaming tasks for target crashes when
// half of the targets repeatedly crash at the same time.
func TestPowerLossDoesNotFailInnocentJobs(t *testing.T) {
	for _, agents := range []int{11, 70} {
		cfg := crashingConfig(1, 3, agents)
		cfg.Crashing, cfg.BackAfter = 0, 300*time.Millisecond
		w := New(cfg)
		for _, at := range []time.Duration{3 * time.Second, 4500 * time.Millisecond, 6 * time.Second} {
			w.At(at, func() {
				for k, a := range w.agents {
					if k%2 == 0 {
						w.crash(a)
					}
				}
			})
		}
		w.Run()
		assert.Equal(t, w.Violation, "")
		assert.Equal(t, w.Crashes.InnocentFailed, 0)
	}
}
