package supervisor

import (
	"math"
	"time"
)

const (
	// priorColdSlowdown is the assumed slowdown of a fully cold target before any run has
	// ended.
	priorColdSlowdown = 2.0
	// coldWeight is the weight of one end in the learned slowdown.
	coldWeight = 0.1
)

// warmup is the state of a target's warm-up and the slowdown learned from it. A target is
// slower for a while after its start, or after the evacuation of its hall ended, and reports
// the time that remains. The speed sent to entries rises gradually, and so does the target's
// share of the load. The cold slowdown is learned separately, so that it neither distorts the
// normal speed nor ejects the target.
type warmup struct {
	// until is when the warm-up ends; length is the longest remaining time reported in it.
	until  time.Duration
	length time.Duration
	// fullLogSlowdown is the logarithm of the slowdown of a fully cold target.
	fullLogSlowdown float64
}

// newWarmup returns the state of a warm target without any learned slowdown.
func newWarmup() warmup {
	return warmup{fullLogSlowdown: math.Log(priorColdSlowdown)}
}

// update applies the remaining warm-up time reported by a heartbeat.
func (w *warmup) update(now, left time.Duration) {
	if w.coldFraction(now) == 0 {
		w.length = 0
	}
	w.until = now + left
	w.length = max(w.length, left)
}

// coldFraction returns the remaining fraction of the warm-up: 1 at the beginning, 0 when
// warm.
func (w *warmup) coldFraction(now time.Duration) float64 {
	if now >= w.until || w.length <= 0 {
		return 0
	}
	return float64(w.until-now) / float64(w.length)
}

// logSlowdown returns the logarithm of the expected slowdown of a run that starts at now.
func (w *warmup) logSlowdown(now time.Duration) float64 {
	return w.coldFraction(now) * w.fullLogSlowdown
}

// learn updates the slowdown with a run that started on a cold target. ratio is the
// logarithm of its time over the time expected on a warm target.
func (w *warmup) learn(coldFraction, ratio float64) {
	if coldFraction > 0 {
		w.fullLogSlowdown = max(0, w.fullLogSlowdown+coldWeight*coldFraction*(ratio/coldFraction-w.fullLogSlowdown))
	}
}
