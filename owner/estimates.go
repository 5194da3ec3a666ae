package owner

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/estimate"
	"github.com/beaconpoint/beaconpoint/task"
)

// A step's Estimate applies to a target of speed 1; the expected duration on a target is the
// estimate divided by its speed. A step's Longest, from which objectives are derived, is already
// divided by the usual speed.

// withEstimates returns the job with its callers' guesses replaced by estimates.
func (o *Owner) withEstimates(desc task.Job, usualSpeed float64) task.Job {
	e := o.estimator(desc.Queue)
	steps := slices.Clone(desc.Steps)
	for k := range steps {
		s := &steps[k]
		s.Guess = s.Estimate
		setEstimate(s, e, e.Predict(s.Guess), usualSpeed)
	}
	desc.Steps = steps
	return desc
}

// setSpreads sets the expected estimation error of the steps of a new job.
func (o *Owner) setSpreads(j *job) {
	spread := o.estimator(j.desc.Queue).ErrorSpread()
	for k := range j.steps {
		j.steps[k].spread = spread
	}
}

// setEstimate sets the estimated duration of one task of a step, and of the longest one.
func setEstimate(s *task.Step, e *estimate.Estimator, one time.Duration, usualSpeed float64) {
	s.Estimate = one
	s.Longest = time.Duration(float64(e.Longest(one, s.Count)) / usualSpeed)
}

// estimator returns the estimator of a configured queue and creates it if necessary.
func (o *Owner) estimator(queue string) *estimate.Estimator {
	e := o.estimators[queue]
	if e == nil {
		e = estimate.NewEstimator()
		o.estimators[queue] = e
	}
	return e
}

// learn records how long a task took on a's target. The first task of a step to end corrects
// the estimate of the others. The estimator of the configured queue gets all durations of a step
// at once, since the tasks that end first are the shortest.
func (o *Owner) learn(j *job, step int, a *agent, took time.Duration) {
	s := &j.steps[step]
	e := o.estimator(j.desc.Queue)
	s.durations = append(s.durations, time.Duration(float64(took)*a.speed()))
	if len(s.durations) == 1 {
		setEstimate(&j.desc.Steps[step], e,
			e.PredictFromFirst(s.durations[0], len(s.tasks)-s.waiting), j.queue.usualSpeed)
		j.setObjectives()
		s.spread = e.TaskSpread()
	}
	if len(s.durations) == len(s.tasks) {
		e.Learn(j.desc.Steps[step].Guess, s.durations...)
	}
}

// usualSpeed returns the median speed of a service's targets, or 1 if none is known.
func (o *Owner) usualSpeed(service string) float64 {
	var speeds []float64
	for _, a := range o.byName {
		if a.connected && a.profile.Service == service && a.state.Speed > 0 {
			speeds = append(speeds, a.speed())
		}
	}
	if len(speeds) == 0 {
		return 1
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2]
}
