// Package estimate predicts the run times of a queue's tasks, and the usual error of the
// predictions, from the callers' estimates and the measured times. Durations refer to a target
// of nominal speed (1). The package holds a few moving averages per queue and has no dependencies.
//
// The model is log-normal: the logarithm of a task's time is the level of its step plus a
// deviation of the task. Levels are normally distributed around the prediction from the
// caller's estimate and the queue, tasks around the level of their step.
package estimate

import (
	"math"
	"time"
)

// Prior variances of natural logarithms. Their weight falls with each learned step.
const (
	priorWorkVariance  = 0.25 // levels of a queue's steps
	priorGuessVariance = 0.16 // error of the callers' estimates
	priorTaskVariance  = 0.04 // tasks of one step
	priorErrorVariance = 0.25 // ratio of run time to prediction
)

const (
	// maxSteps is the number of steps that the averages cover.
	maxSteps = 200
	// fullWeightSteps is the number of steps after which the queue's average has its full
	// weight. In taskVariance and errorVariance the prior counts as that many steps; in the
	// averages of level and caller's error it counts as one.
	fullWeightSteps = 8
	// minVariance keeps weights finite.
	minVariance = 0.001
	// unit is the shortest duration that is distinguished.
	unit = time.Millisecond
)

// Estimator learns from the jobs of one queue. It is not safe for concurrent use.
type Estimator struct {
	steps      float64 // number of steps learned from, at most maxSteps
	work       moments // level of a step
	guessError moments // logarithm of the caller's estimate minus the level
	// taskVariance is the variance of the tasks of one step, errorVariance the mean squared
	// error of the predictions.
	taskVariance, errorVariance float64
}

// moments is an exponentially weighted mean and variance.
type moments struct {
	mean, variance float64
}

// add updates a with x, which has the given weight between 0 and 1.
func (a *moments) add(x, weight float64) {
	d := x - a.mean
	a.mean += weight * d
	a.variance = (1 - weight) * (a.variance + weight*d*d)
}

// NewEstimator returns an estimator with prior values.
func NewEstimator() *Estimator {
	return &Estimator{
		work:          moments{variance: priorWorkVariance},
		guessError:    moments{variance: priorGuessVariance},
		taskVariance:  priorTaskVariance,
		errorVariance: priorErrorVariance,
	}
}

// Learn records the times of all tasks of an ended step, and the caller's estimate for one
// of them. Times of only the first tasks to end would be biased towards short ones.
func (e *Estimator) Learn(guess time.Duration, took ...time.Duration) {
	if len(took) == 0 {
		return
	}
	level, variance := levelOf(took)
	predicted := logarithm(e.Predict(guess))
	e.steps = min(e.steps+1, maxSteps)
	errorWeight := 1 / (e.steps + fullWeightSteps)
	e.errorVariance += errorWeight * ((level-predicted)*(level-predicted) + variance - e.errorVariance)
	if n := float64(len(took)); n > 1 {
		e.taskVariance += errorWeight * (variance*n/(n-1) - e.taskVariance)
	}
	if e.steps == 1 {
		e.work.mean = level
	}
	weight := 1 / (e.steps + 1)
	e.work.add(level, weight)
	e.guessError.add(logarithm(guess)-level, weight)
}

// levelOf returns the level of a step, which is the mean of the logarithms of its tasks'
// times, and the variance of these logarithms.
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

// Predict returns the expected time of a task: the caller's estimate, corrected by its mean
// error, averaged with the queue's usual time, each weighted by the inverse of its
// variance.
func (e *Estimator) Predict(guess time.Duration) time.Duration {
	corrected := logarithm(guess) - e.guessError.mean
	byGuess := 1 / max(e.guessError.variance, minVariance)
	byQueue := min(1, e.steps/fullWeightSteps) / max(e.work.variance, minVariance)
	return duration((corrected*byGuess + e.work.mean*byQueue) / (byGuess + byQueue))
}

// Longest returns the expected time of the longest of the given number of tasks of a step,
// given the estimate for one.
func (e *Estimator) Longest(one time.Duration, tasks int) time.Duration {
	return scale(one, e.TaskSpread()*normalScore(tasks, tasks))
}

// PredictFromFirst returns the estimate for a task of a step from the time of the first of the
// given number of tasks to end.
func (e *Estimator) PredictFromFirst(took time.Duration, tasks int) time.Duration {
	return scale(took, -e.TaskSpread()*normalScore(1, tasks))
}

// ErrorSpread returns the standard deviation of the logarithm of the ratio of run time to
// prediction.
func (e *Estimator) ErrorSpread() float64 {
	return math.Sqrt(max(e.errorVariance, minVariance))
}

// TaskSpread returns the standard deviation of the logarithms of the times of a step's
// tasks.
func (e *Estimator) TaskSpread() float64 {
	return math.Sqrt(max(e.taskVariance, minVariance))
}

// normalScore returns the expected value of the rank-th smallest of count standard normal
// values (Blom's approximation).
func normalScore(rank, count int) float64 {
	p := (float64(rank) - 0.375) / (float64(max(rank, count)) + 0.25)
	return math.Sqrt2 * math.Erfinv(2*p-1)
}

// scale returns d times the exponential of x.
func scale(d time.Duration, x float64) time.Duration {
	return time.Duration(float64(d) * math.Exp(x))
}

// logarithm returns the natural logarithm of d in multiples of unit.
func logarithm(d time.Duration) float64 {
	return math.Log(max(1, float64(d)/float64(unit)))
}

// duration is the inverse of logarithm.
func duration(x float64) time.Duration {
	return time.Duration(math.Exp(x) * float64(unit))
}
