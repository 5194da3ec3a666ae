// Package estimate learns how long the tasks of a queue's jobs take, from the callers'
// guesses and from how long earlier ones took. Durations are for a target of speed 1.
// It owns two moving averages a queue and relies on nothing.
package estimate

import (
	"math"
	"time"
)

// What is assumed before anything is learned, as variances of natural logarithms:
// work within a queue differs by a factor of 1.6 and guesses are off by 40%. Not
// measured; after some jobs they no longer count.
const (
	priorWorkVariance  = 0.25 // of the work of one queue's jobs
	priorGuessVariance = 0.16 // of the callers' guesses
)

// Bounds of the learning. Not measured.
const (
	// maxJobs is how many jobs the averages look back over.
	maxJobs = 200
	// fullTrustJobs is how many jobs must have ended before their average counts in
	// full.
	fullTrustJobs = 8
	// minVariance keeps a certainty from becoming infinite.
	minVariance = 0.001
	// unit is the shortest duration that is told apart.
	unit = time.Millisecond
)

// Estimator learns from the jobs of one queue. NewEstimator makes one. It is not safe
// for concurrent use.
type Estimator struct {
	seen       float64 // jobs learned from, maxJobs at the most
	work       moments // of the logarithm of the time taken
	guessError moments // of the logarithm of the guess over the time taken
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
	return &Estimator{work: moments{variance: priorWorkVariance}, guessError: moments{variance: priorGuessVariance}}
}

// Learn records how long a task with this guess took.
func (e *Estimator) Learn(guess, took time.Duration) {
	g, w := logarithm(guess), logarithm(took)
	if e.seen == 0 {
		e.work.mean = w
	}
	e.seen = min(e.seen+1, maxJobs)
	weight := 1 / (e.seen + 1)
	e.work.add(w, weight)
	e.guessError.add(g-w, weight)
}

// Likely returns how long a task with this guess is likely to take: the guess,
// corrected by its usual error, averaged with what the queue's tasks usually take,
// each weighted by its certainty (the inverse of its variance).
func (e *Estimator) Likely(guess time.Duration) time.Duration {
	corrected := logarithm(guess) - e.guessError.mean
	byGuess := 1 / max(e.guessError.variance, minVariance)
	byQueue := min(1, e.seen/fullTrustJobs) / max(e.work.variance, minVariance)
	mean := (corrected*byGuess + e.work.mean*byQueue) / (byGuess + byQueue)
	return time.Duration(math.Exp(mean) * float64(unit))
}

// logarithm returns the natural logarithm of d in units of unit.
func logarithm(d time.Duration) float64 {
	return math.Log(max(1, float64(d)/float64(unit)))
}
