package supervisor

import "math"

// baseline is the normal ratio of run time to learned estimate on a target, as mean and variance
// of its logarithm. Runs enter the baseline late and with a small weight, so that a target that
// becomes slow deviates from it.
type baseline struct {
	runs           float64 // number of runs learned from, at most baselineRuns
	mean, variance float64
}

// add updates the baseline with the log ratio of one run.
func (b *baseline) add(ratio float64) {
	b.runs = min(b.runs+1, baselineRuns)
	weight := 1 / (b.runs + priorRuns)
	d := ratio - b.mean
	b.mean += weight * d
	b.variance = (1 - weight) * (b.variance + weight*d*d)
}

// spread returns the standard deviation of the log ratio.
func (b *baseline) spread() float64 {
	return math.Sqrt(b.variance)
}
