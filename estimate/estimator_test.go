package estimate

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCallerEstimateUsedBeforeLearning(t *testing.T) {
	e := NewEstimator()
	assert.Equal(t, e.Predict(80*time.Millisecond).Round(time.Millisecond), 80*time.Millisecond)
}

func TestBiasOfCallerEstimatesCorrected(t *testing.T) {
	e := NewEstimator()
	r := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		work := time.Duration(math.Exp(r.NormFloat64()*0.4) * float64(100*time.Millisecond))
		e.Learn(3*work, work)
	}
	got := e.Predict(300 * time.Millisecond)
	assert.Assert(t, got > 90*time.Millisecond && got < 110*time.Millisecond, got)
}

// TestPredictionsBeatCallerEstimates guards against predictions whose squared error is not well
// below that of the callers' estimates.
func TestPredictionsBeatCallerEstimates(t *testing.T) {
	e := NewEstimator()
	r := rand.New(rand.NewPCG(3, 4))
	var guessed, learned float64
	for k := range 2000 {
		work := math.Exp(r.NormFloat64()*0.4) * 200
		guess := work * math.Exp(r.NormFloat64()*0.4)
		g := time.Duration(guess * float64(time.Millisecond))
		if k >= 100 {
			guessed += math.Pow(math.Log(guess/work), 2)
			learned += math.Pow(math.Log(e.Predict(g).Seconds()*1000/work), 2)
		}
		e.Learn(g, time.Duration(work*float64(time.Millisecond)))
	}
	assert.Assert(t, learned < 0.6*guessed, "squared errors: learned %f, guessed %f", learned, guessed)
}

// TestPredictionsUnbiased guards against a bias of the predictions for one task of a step, for
// the longest, and from the first one to end.
func TestPredictionsUnbiased(t *testing.T) {
	const spread, tasks = 0.4, 8
	e := NewEstimator()
	r := rand.New(rand.NewPCG(5, 6))
	var one, longest, fromFirst float64 // sums of the logarithmic errors
	const jobs, warm = 1200, 200
	for k := range jobs {
		guess := time.Duration(math.Exp(r.NormFloat64()*0.4) * float64(200*time.Millisecond))
		var took []time.Duration
		for range tasks {
			took = append(took, time.Duration(float64(guess)*math.Exp(spread*r.NormFloat64())))
		}
		if k >= warm {
			predicted := e.Predict(guess)
			one += math.Log(float64(predicted) / float64(guess))
			longest += math.Log(float64(e.Longest(predicted, tasks)) / float64(slices.Max(took)))
			fromFirst += math.Log(float64(e.PredictFromFirst(slices.Min(took), tasks)) / float64(guess))
		}
		e.Learn(guess, took...)
	}
	for _, sum := range []float64{one, longest, fromFirst} {
		mean := sum / (jobs - warm)
		assert.Assert(t, math.Abs(mean) < 0.05, mean)
	}
	assert.Assert(t, e.ErrorSpread() > 0.35 && e.ErrorSpread() < 0.5, e.ErrorSpread())
}

// TestSpreadStartsAtPriorAndConverges guards against estimates that count as accurate before
// any job, or as inaccurate after many accurate ones.
func TestSpreadStartsAtPriorAndConverges(t *testing.T) {
	e := NewEstimator()
	assert.Equal(t, e.ErrorSpread(), 0.5)
	for range 100 {
		e.Learn(100*time.Millisecond, 100*time.Millisecond)
	}
	assert.Assert(t, e.ErrorSpread() < 0.2, e.ErrorSpread())
	assert.Equal(t, e.Longest(100*time.Millisecond, 1), 100*time.Millisecond)
}
