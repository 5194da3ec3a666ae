package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/owner"
)

// goalOutcome holds the summed results of several seeds under a term.
type goalOutcome struct {
	total   Credit
	refused int
}

// unservedShare returns the share of the jobs that did not complete, even late.
func (o goalOutcome) unservedShare() float64 {
	return 1 - float64(o.total.InObjective+o.total.Late)/float64(o.total.Jobs)
}

// playGoal plays a workload with eight seeds while the entries optimise the given goal.
func playGoal(t *testing.T, goal owner.Goal, load float64, inject func(*World)) goalOutcome {
	t.Helper()
	var o goalOutcome
	for seed := range uint64(8) {
		cfg := WorkloadConfig(seed+1, 3, 11, TrackingWorkload(11, load))
		cfg.Goal = goal
		w := New(cfg)
		inject(w)
		w.Run()
		assert.Equal(t, w.Violation, "")
		for _, c := range w.Credits {
			o.total = o.total.Plus(c)
		}
		o.refused += w.Counts.Refused
	}
	return o
}

// TestGoalServedLeavesFewerJobsUnserved guards against a goal GoalServed that, under
// overload, refuses or drops as many jobs as GoalWorth or earns much less.
func TestGoalServedLeavesFewerJobsUnserved(t *testing.T) {
	for name, c := range map[string]struct {
		load   float64
		inject func(*World)
	}{
		"load of 1.2 times the capacity": {0.75, surge(1.6)},
		"load of 1.5 times the capacity": {0.75, surge(2)},
		"a third of the targets drained": {0.75, func(w *World) {
			w.At(4*time.Second, func() {
				for _, a := range w.agents[:4] {
					w.drain(a)
				}
			})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worth := playGoal(t, owner.GoalWorth, c.load, c.inject)
			served := playGoal(t, owner.GoalServed, c.load, c.inject)
			t.Logf("unserved %.4f, %.4f; earned %.3f, %.3f; refused %d, %d; held %.1f, %.1f",
				worth.unservedShare(), served.unservedShare(), worth.total.Share(), served.total.Share(),
				worth.refused, served.refused, worth.total.Held, served.total.Held)
			assert.Check(t, served.unservedShare() < 0.95*worth.unservedShare())
			assert.Check(t, served.refused < worth.refused)
			assert.Check(t, served.total.Share() > worth.total.Share()-0.02)
		})
	}
}
