package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Bounds of what a drawn scene may do to targets and jobs that have no trouble.
const (
	// ejectedBound is for how long all sound targets of a scene may be ejected
	// together: a few probes of some targets.
	ejectedBound = 6 * time.Second
	// refusedBound is the share of jobs that may be refused while at least a fifth of
	// the targets' room stands free on average.
	refusedBound = 0.01
	// servedBound is the share of the jobs that must be completed.
	servedBound = 0.98
)

// TestDrawnShapes plays workloads with shapes drawn from all that a deployment may have,
// at loads that the targets can bear, and without a trouble: hardly a target is ejected
// and hardly a job refused.
func TestDrawnShapes(t *testing.T) {
	const scenes = 48
	for n := range uint64(scenes) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			scene := drawnScene(n)
			w := scene.New(n)
			w.Run()
			var total Credit
			for _, c := range w.Credits {
				total = total.Plus(c)
			}
			stats := w.Stats()
			refused := float64(stats.Refused) / float64(total.Jobs)
			completed := float64(stats.Completed) / float64(total.Jobs)
			t.Logf("%s: earned %.3f, completed %.3f, refused %.3f, ejected %s", scene.Name, total.Share(), completed, refused, w.SoundEjected)
			assert.Equal(t, w.Broken, "")
			assert.Check(t, w.SoundEjected <= ejectedBound)
			assert.Check(t, refused <= refusedBound)
			assert.Check(t, completed >= servedBound)
		})
	}
}

// drawnScene draws a scene.
func drawnScene(n uint64) Scene {
	r := rand.New(rand.NewPCG(n, 13))
	between := func(least, most float64) float64 { return least + r.Float64()*(most-least) }
	// A factor is drawn evenly by its logarithm.
	factor := func(least, most float64) float64 { return math.Exp(between(math.Log(least), math.Log(most))) }
	drawn := Shape{
		WorkSpread: 0.4, CountSpread: 0.4, Slack: 60 * time.Millisecond,
		GuessError: between(0.1, 1.2), GuessBias: factor(0.5, 2), TaskSpread: between(0, 0.5), Stretch: between(1.2, 3),
	}
	work := factor(1.0/6, 2)
	priorities := r.Perm(3)
	s := small("", between(0.4, 0.75), nil).
		shaped("", func(s *Shape) { *s = drawn }).
		with("", func(c []Class) {
			scaleWork(c, work)
			setPriorities(c, priorities...)
		})
	s.Name = fmt.Sprintf("guesses off by %.2f and %.2f times, tasks by %.2f, work %.2f times, stretch %.2f, load %.2f", drawn.GuessError, drawn.GuessBias, drawn.TaskSpread, work, drawn.Stretch, s.Load)
	for range 3 {
		s.Speeds = append(s.Speeds, factor(0.7, 1.4))
	}
	return s
}
