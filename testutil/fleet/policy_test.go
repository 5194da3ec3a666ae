package fleet

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/owner"
)

// scene is a workload under one trouble, with what its jobs earn at the least.
type scene struct {
	name            string
	load            float64
	entries, agents int
	seeds           int
	trouble         func(*World)
	// least is the least share of what is owed that must be earned, in all and
	// by the worst class; bounced the largest share of orders turned down.
	least, worst, bounced float64
}

// from begins a trouble after four seconds of the workload.
func from(do func(w *World)) func(*World) {
	return func(w *World) { w.At(4*time.Second, func() { do(w) }) }
}

// behaving has the first so many targets be in a behaviour for a while.
func behaving(targets int, m Behaviour, lasts time.Duration) func(*World) {
	return from(func(w *World) {
		for _, a := range w.agents[:targets] {
			w.behave(a, m, lasts)
		}
	})
}

// surge has jobs come at that many times the rate for three seconds.
func surge(times float64) func(*World) {
	return from(func(w *World) {
		w.Surge = times
		w.At(3*time.Second, func() { w.Surge = 0 })
	})
}

// TestWhatJobsEarn plays a workload under load and troubles. The bounds lie a
// little below what was measured; docs/measurements/policy-platform.md says which
// mechanisms are noticed when they are taken out, and which is not.
func TestWhatJobsEarn(t *testing.T) {
	const small, large = 11, 40
	for _, s := range []scene{
		{"half load", 0.65, 3, small, 8, nil, 0.985, 0.97, 0.10},
		{"high load", 0.85, 3, small, 8, nil, 0.96, 0.94, 0.18},
		{"high load, large", 0.85, 12, large, 3, nil, 0.98, 0.96, 0.45},
		{"burst", 0.75, 3, small, 8, surge(1.8), 0.875, 0.86, 0.12},
		{"burst, large", 0.75, 12, large, 3, surge(1.8), 0.87, 0.83, 0.30},
		{"late orders", 0.75, 3, small, 8, behaving(small, Behaviour{Late: 0.06}, 8*time.Second), 0.965, 0.945, 0.16},
		{"lost answers", 0.75, 3, small, 8, behaving(small, Behaviour{Lost: 0.06}, 8*time.Second), 0.965, 0.945, 0.16},
		{"all killed", 0.75, 3, small, 8, from((*World).KillAll), 0.81, 0.76, 0.18},
		{"a target hangs", 0.75, 3, small, 8, behaving(1, Behaviour{Hanging: true}, 4*time.Second), 0.96, 0.94, 0.18},
		{"a target is slow", 0.75, 3, small, 8, behaving(1, Behaviour{Slow: 6}, 4*time.Second), 0.96, 0.945, 0.18},
		{"a target fails all", 0.75, 3, small, 8, behaving(1, Behaviour{Failing: 1}, 4*time.Second), 0.96, 0.935, 0.18},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			s.play(t)
		})
	}
}

// play plays the scene with each seed and looks at the sums.
func (s scene) play(t *testing.T) {
	var (
		wait   sync.WaitGroup
		lock   sync.Mutex
		stats  owner.Stats
		total  Credit
		frames int
	)
	classes := Tracking(s.agents, s.load)
	by := make([]Credit, len(classes))
	for seed := range uint64(s.seeds) {
		wait.Go(func() {
			w := New(PolicyConfig(seed+1, s.entries, s.agents, classes))
			if s.trouble != nil {
				s.trouble(w)
			}
			w.Run()
			lock.Lock()
			defer lock.Unlock()
			assert.Check(t, w.Broken == "", "seed %d: %s", seed+1, w.Broken)
			stats = addStats(stats, w.Stats())
			frames += w.Frames
			for k, c := range w.Credits {
				by[k] = by[k].Plus(c)
				total = total.Plus(c)
			}
		})
	}
	wait.Wait()
	worst := total.Share()
	for _, c := range by {
		worst = min(worst, c.Share())
	}
	bounced := float64(stats.Rejected) / float64(stats.Starts)
	t.Logf("earned %.3f, worst class %.3f, held %.3f; of %d jobs %d in aim, %d late, %d refused, %d given up; %.3f of orders turned down, %.1f frames a run",
		total.Share(), worst, total.Held/total.Owed, total.Jobs, total.InAim, total.Late, stats.Refused, stats.GivenUp, bounced,
		float64(frames)/float64(stats.Starts-stats.Rejected))
	assert.Check(t, total.Share() >= s.least)
	assert.Check(t, worst >= s.worst)
	assert.Check(t, bounced <= s.bounced)
}
