package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Bounds for random scenes without faults.
const (
	// maxHealthyEjectedTime bounds the total time for which healthy targets of a scene are ejected.
	maxHealthyEjectedTime = 6 * time.Second
	// maxRefusedShare bounds the share of refused jobs.
	maxRefusedShare = 0.01
	// minCompletedShare is the lowest share of completed jobs.
	minCompletedShare = 0.98
)

// TestRandomShapesWithinCapacityAreServed guards against ejecting healthy targets and refusing
// jobs in random workloads that fit the capacity, without faults.
func TestRandomShapesWithinCapacityAreServed(t *testing.T) {
	const scenes = 48
	for n := range uint64(scenes) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			scene := randomScene(n)
			w := scene.New(n)
			w.Run()
			var total Credit
			for _, c := range w.Credits {
				total = total.Plus(c)
			}
			stats := w.Stats()
			refused := float64(stats.Refused) / float64(total.Jobs)
			completed := float64(stats.Completed) / float64(total.Jobs)
			t.Logf("%s: earned %.3f, completed %.3f, refused %.3f, ejected %s", scene.Name, total.Share(), completed,
				refused, w.HealthyEjectedTime)
			assert.Equal(t, w.Violation, "")
			assert.Check(t, w.HealthyEjectedTime <= maxHealthyEjectedTime)
			assert.Check(t, refused <= maxRefusedShare)
			assert.Check(t, completed >= minCompletedShare)
		})
	}
}

// randomScene returns a scene with a random load, shape, speeds and classes.
func randomScene(n uint64) Scene {
	r := rand.New(rand.NewPCG(n, 13))
	uniform := func(lo, hi float64) float64 { return lo + r.Float64()*(hi-lo) }
	// logUniform draws the logarithm of a factor uniformly.
	logUniform := func(lo, hi float64) float64 { return math.Exp(uniform(math.Log(lo), math.Log(hi))) }
	shape := Shape{
		WorkSpread: 0.4, CountSpread: 0.4, Slack: 60 * time.Millisecond,
		GuessError: uniform(0.1, 1.2), GuessBias: logUniform(0.5, 2),
		TaskSpread: uniform(0, 0.5), Stretch: uniform(1.2, 3),
	}
	work := logUniform(1.0/6, 2)
	priorities := r.Perm(3)
	s := smallScene("", uniform(0.4, 0.75), nil).
		withShape("", func(s *Shape) { *s = shape }).
		withClasses("", func(c []Class) {
			scaleWork(c, work)
			setPriorities(c, priorities...)
		})
	s.Name = fmt.Sprintf("estimate error %.2f, estimate bias %.2f, task spread %.2f, "+
		"work factor %.2f, objective factor %.2f, load %.2f",
		shape.GuessError, shape.GuessBias, shape.TaskSpread, work, shape.Stretch, s.Load)
	for range 3 {
		s.Speeds = append(s.Speeds, logUniform(0.7, 1.4))
	}
	return s
}
