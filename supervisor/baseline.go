package supervisor

import "math"

// baseline is what is usual of a target: how long its runs take over their estimates,
// as mean and variance of the logarithm. It learns late and slowly, so that a target that
// turns slow differs from it.
type baseline struct {
	runs           float64 // learned from, baselineRuns at the most
	mean, variance float64
}

// add takes a run into the baseline.
func (b *baseline) add(ratio float64) {
	b.runs = min(b.runs+1, baselineRuns)
	weight := 1 / (b.runs + priorRuns)
	d := ratio - b.mean
	b.mean += weight * d
	b.variance = (1 - weight) * (b.variance + weight*d*d)
}

// spread returns the standard deviation.
func (b *baseline) spread() float64 {
	return math.Sqrt(b.variance)
}
