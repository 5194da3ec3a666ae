package supervisor

import (
	"math"
	"time"
)

// Cold targets: for a while after its start, or after its hall was taken back, a target is
// slower. It says for how much longer. Entries see a slower target that warms up by and by,
// so that its share of the load rises with its speed. What it learns while it is cold is
// kept apart: its usual speed is not spoiled, and it is not ejected for being cold.

const (
	// priorColdSlowdown is how many times as long as usual the runs of a cold target are
	// taken to last before any has ended. The platform's pages give no figure.
	priorColdSlowdown = 2.0
	// coldWeight is the weight of one end in the learned slowdown.
	coldWeight = 0.1
)

// warmth is how cold a target is, and what was learned of it while it was.
type warmth struct {
	// until is until when the target is cold, and length how long it was to be at the
	// most since it became so.
	until  time.Duration
	length time.Duration
	// slowdown is the logarithm of how many times as long as usual runs take that begin on
	// a wholly cold target.
	slowdown float64
}

// newWarmth returns that of a warm target of which nothing is known.
func newWarmth() warmth {
	return warmth{slowdown: math.Log(priorColdSlowdown)}
}

// report takes from a heartbeat for how much longer the target is cold.
func (w *warmth) report(now, left time.Duration) {
	if w.coldness(now) == 0 {
		w.length = 0
	}
	w.until = now + left
	w.length = max(w.length, left)
}

// coldness returns how cold the target is: 1 at the beginning, 0 when it is warm.
func (w *warmth) coldness(now time.Duration) float64 {
	if now >= w.until || w.length <= 0 {
		return 0
	}
	return float64(w.until-now) / float64(w.length)
}

// slowness returns the logarithm of how many times as long as usual a run takes that begins
// now.
func (w *warmth) slowness(now time.Duration) float64 {
	return w.coldness(now) * w.slowdown
}

// learn takes a run that began on a cold target into the slowdown. ratio is the logarithm of
// the time that it took over what it takes on the warm target.
func (w *warmth) learn(coldness, ratio float64) {
	if coldness > 0 {
		w.slowdown = max(0, w.slowdown+coldWeight*coldness*(ratio/coldness-w.slowdown))
	}
}
