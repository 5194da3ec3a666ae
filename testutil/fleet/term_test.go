package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/owner"
)

// outcome is what callers get over some seeds of a scene.
type termOutcome struct {
	total   Credit
	refused int
}

// unserved returns the share of the jobs that were not done, not even late.
func (o termOutcome) unservedShare() float64 {
	return 1 - float64(o.total.InAim+o.total.Late)/float64(o.total.Jobs)
}

// playTerm plays a scene of four classes under a term.
func playTerm(t *testing.T, term owner.Term, load float64, inject func(*World)) termOutcome {
	t.Helper()
	var o termOutcome
	for seed := range uint64(8) {
		cfg := PolicyConfig(seed+1, 3, 11, Tracking(11, load))
		cfg.Term = term
		w := New(cfg)
		inject(w)
		w.Run()
		assert.Equal(t, w.Broken, "")
		for _, c := range w.Credits {
			o.total = o.total.Plus(c)
		}
		o.refused += w.Counts.Refused
	}
	return o
}

// TestBeingServedAtAll plays loads that the targets can't bear for some seconds: 1.2 and 1.5
// times the room, and a third of the room gone. Where the share of jobs that is served counts,
// fewer are refused and fewer are left undone, and not much of what is done in time is lost.
func TestMostServedTermLeavesFewerJobsUnserved(t *testing.T) {
	for name, c := range map[string]struct {
		load    float64
		trouble func(*World)
	}{
		"1.2 times the room": {0.75, surge(1.6)},
		"1.5 times the room": {0.75, surge(2)},
		"a third is gone": {0.75, func(w *World) {
			w.At(4*time.Second, func() {
				for _, a := range w.agents[:4] {
					w.drain(a)
				}
			})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worth := playTerm(t, owner.MostWorth, c.load, c.trouble)
			served := playTerm(t, owner.MostServed, c.load, c.trouble)
			t.Logf("unserved %.4f, %.4f; earned %.3f, %.3f; refused %d, %d; held %.1f, %.1f",
				worth.unservedShare(), served.unservedShare(), worth.total.Share(), served.total.Share(),
				worth.refused, served.refused, worth.total.Held, served.total.Held)
			assert.Check(t, served.unservedShare() < 0.95*worth.unservedShare())
			assert.Check(t, served.refused < worth.refused)
			assert.Check(t, served.total.Share() > worth.total.Share()-0.02)
		})
	}
}
