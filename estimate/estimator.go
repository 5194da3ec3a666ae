// Package estimate learns how long the work of a queue's jobs really takes, from
// the guesses that come with them and from how long earlier jobs took.
package estimate

import (
	"math"
	"time"
)

// What is assumed before anything is learned, as variances of logarithms.
const (
	priorWorkVariance  = 0.25 // of the work of one queue's jobs
	priorGuessVariance = 0.16 // of the callers' guesses
)

// Bounds of the learning.
const (
	// maxJobs is how many jobs the averages look back over.
	maxJobs = 200
	// fullTrustJobs is how many jobs must have ended before their average counts in
	// full.
	fullTrustJobs = 8
	// unit is the shortest duration that is told apart.
	unit = time.Millisecond
)

// Estimator learns from the jobs of one queue. Its zero value is not usable; use
// NewEstimator.
type Estimator struct {
	seen       float64
	work       average // logarithm of the work
	guessError average // logarithm of the guess over the work
}

// average is a decaying mean and variance.
type average struct {
	mean, variance float64
}

// add takes x in with a weight.
func (a *average) add(x, weight float64) {
	d := x - a.mean
	a.mean += weight * d
	a.variance = (1 - weight) * (a.variance + weight*d*d)
}

// NewEstimator returns an estimator that knows nothing yet.
func NewEstimator() *Estimator {
	return &Estimator{work: average{variance: priorWorkVariance}, guessError: average{variance: priorGuessVariance}}
}

// Learn takes in that a job with this guess took so long on a target of
// speed 1.
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

// Likely returns how long a job with this guess likely takes on a target of
// speed 1: the guess, corrected by its usual error, and drawn towards what the
// queue's jobs usually take, each by its certainty.
func (e *Estimator) Likely(guess time.Duration) time.Duration {
	corrected := logarithm(guess) - e.guessError.mean
	byGuess := 1 / max(e.guessError.variance, 0.001)
	byQueue := min(1, e.seen/fullTrustJobs) / max(e.work.variance, 0.001)
	mean := (corrected*byGuess + e.work.mean*byQueue) / (byGuess + byQueue)
	return time.Duration(math.Exp(mean) * float64(unit))
}

// logarithm returns the natural logarithm of d in units of the shortest.
func logarithm(d time.Duration) float64 {
	return math.Log(max(1, float64(d)/float64(unit)))
}
