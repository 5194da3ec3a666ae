// Package estimate learns how long the tasks of a queue's jobs take, from the callers'
// guesses and from how long earlier ones took, and how far off that usually is.
// Durations are for a target of speed 1. It owns a few moving averages a queue and
// relies on nothing.
//
// The model: the logarithm of a task's time is the level of its step and what the task
// itself adds. Levels are normally distributed around what the guess and the queue say,
// tasks around their level.
package estimate

import (
	"math"
	"time"
)

// What is assumed before anything is learned, as variances of natural logarithms:
// work within a queue differs by a factor of 1.6, guesses are off by 40%, tasks of a
// step by 20% and the estimates by 50%. After some jobs they no longer count.
const (
	priorWorkVariance  = 0.25 // of the work of one queue's jobs
	priorGuessVariance = 0.16 // of the callers' guesses
	priorTaskVariance  = 0.04 // of the tasks of one step
	priorErrorVariance = 0.25 // of the time taken over the estimate
)

// Bounds of the learning.
const (
	// maxJobs is how many jobs the averages look back over.
	maxJobs = 200
	// fullTrustJobs is how many jobs must have ended before their average counts in
	// full; an assumption counts like that many.
	fullTrustJobs = 8
	// minVariance keeps a certainty from becoming infinite.
	minVariance = 0.001
	// unit is the shortest duration that is told apart.
	unit = time.Millisecond
)

// Estimator learns from the jobs of one queue. NewEstimator makes one. It is not safe
// for concurrent use.
type Estimator struct {
	seen       float64 // steps learned from, maxJobs at the most
	work       moments // of the level
	guessError moments // of the logarithm of the guess, less the level
	// taskVariance is the variance of the tasks of one step, errorVariance the mean
	// square of what tasks were off their estimate.
	taskVariance, errorVariance float64
}

// moments is an exponentially weighted mean and variance.
type moments struct {
	mean, variance float64
}

// add takes x in with a weight between 0 and 1.
func (a *moments) add(x, weight float64) {
	d := x - a.mean
	a.mean += weight * d
	a.variance = (1 - weight) * (a.variance + weight*d*d)
}

// NewEstimator returns an estimator that knows nothing yet.
func NewEstimator() *Estimator {
	return &Estimator{
		work:          moments{variance: priorWorkVariance},
		guessError:    moments{variance: priorGuessVariance},
		taskVariance:  priorTaskVariance,
		errorVariance: priorErrorVariance,
	}
}

// Learn records how long the tasks of a step took that has ended, and the guess for
// one of them. All of its tasks should be there: those that end first are the shortest.
func (e *Estimator) Learn(guess time.Duration, took ...time.Duration) {
	if len(took) == 0 {
		return
	}
	level, variance := levelOf(took)
	likely := logarithm(e.Likely(guess))
	e.seen = min(e.seen+1, maxJobs)
	cautious := 1 / (e.seen + fullTrustJobs)
	e.errorVariance += cautious * ((level-likely)*(level-likely) + variance - e.errorVariance)
	if n := float64(len(took)); n > 1 {
		e.taskVariance += cautious * (variance*n/(n-1) - e.taskVariance)
	}
	if e.seen == 1 {
		e.work.mean = level
	}
	weight := 1 / (e.seen + 1)
	e.work.add(level, weight)
	e.guessError.add(logarithm(guess)-level, weight)
}

// levelOf returns the mean and the variance of the logarithms.
func levelOf(took []time.Duration) (mean, variance float64) {
	n := float64(len(took))
	for _, t := range took {
		mean += logarithm(t) / n
	}
	for _, t := range took {
		d := logarithm(t) - mean
		variance += d * d / n
	}
	return mean, variance
}

// Likely returns how long a task with this guess is likely to take: the guess,
// corrected by its usual error, averaged with what the queue's tasks usually take,
// each weighted by its certainty (the inverse of its variance).
func (e *Estimator) Likely(guess time.Duration) time.Duration {
	corrected := logarithm(guess) - e.guessError.mean
	byGuess := 1 / max(e.guessError.variance, minVariance)
	byQueue := min(1, e.seen/fullTrustJobs) / max(e.work.variance, minVariance)
	return duration((corrected*byGuess + e.work.mean*byQueue) / (byGuess + byQueue))
}

// Longest returns how long the longest of the given number of tasks of a step is likely to take,
// given the estimate for one.
func (e *Estimator) Longest(one time.Duration, tasks int) time.Duration {
	return scale(one, e.TaskSpread()*normalScore(tasks, tasks))
}

// FromFirst returns the estimate for a task of a step of which one task has ended, the
// first of the given number that were started.
func (e *Estimator) FromFirst(took time.Duration, tasks int) time.Duration {
	return scale(took, -e.TaskSpread()*normalScore(1, tasks))
}

// Spread returns the standard deviation of the logarithm of the time that a task takes
// over its estimate.
func (e *Estimator) Spread() float64 {
	return math.Sqrt(max(e.errorVariance, minVariance))
}

// TaskSpread returns the standard deviation of the logarithms of the tasks of a step.
func (e *Estimator) TaskSpread() float64 {
	return math.Sqrt(max(e.taskVariance, minVariance))
}

// normalScore returns the expected value of the rank-th least of the given number of values that
// are normally distributed with variance 1 (Blom's approximation).
func normalScore(rank, count int) float64 {
	p := (float64(rank) - 0.375) / (float64(max(rank, count)) + 0.25)
	return math.Sqrt2 * math.Erfinv(2*p-1)
}

// scale returns d times the exponential of x.
func scale(d time.Duration, x float64) time.Duration {
	return time.Duration(float64(d) * math.Exp(x))
}

// logarithm returns the natural logarithm of d in units of unit.
func logarithm(d time.Duration) float64 {
	return math.Log(max(1, float64(d)/float64(unit)))
}

// duration returns the duration of which x is the logarithm.
func duration(x float64) time.Duration {
	return time.Duration(math.Exp(x) * float64(unit))
}
