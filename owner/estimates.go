package owner

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/estimate"
	"github.com/beaconpoint/beaconpoint/task"
)

// Estimates. A step's Estimate is for a target of speed 1, as agents learn speeds: what
// a task takes on a target is the estimate over its speed. Objectives are times on the
// clock: a step's Longest is for a target of the usual speed.

// withEstimates returns the job with its callers' guesses replaced by what its tasks are
// likely to take.
func (o *Owner) withEstimates(spec task.Job, usualSpeed float64) task.Job {
	e := o.estimator(spec.Queue)
	steps := slices.Clone(spec.Steps)
	for k := range steps {
		s := &steps[k]
		s.Guess = s.Estimate
		setEstimate(s, e, e.Likely(s.Guess), usualSpeed)
	}
	spec.Steps = steps
	return spec
}

// setSpreads sets how far the tasks of a new job are likely to be off their estimates.
func (o *Owner) setSpreads(j *job) {
	spread := o.estimator(j.spec.Queue).Spread()
	for k := range j.steps {
		j.steps[k].spread = spread
	}
}

// setEstimate sets what one task of a step is likely to take, and the longest of them.
func setEstimate(s *task.Step, e *estimate.Estimator, one time.Duration, usualSpeed float64) {
	s.Estimate = one
	s.Longest = time.Duration(float64(e.Longest(one, s.Count)) / usualSpeed)
}

// estimator returns the estimator of a queue of the configuration.
func (o *Owner) estimator(queue string) *estimate.Estimator {
	e := o.estimators[queue]
	if e == nil {
		e = estimate.NewEstimator()
		o.estimators[queue] = e
	}
	return e
}

// learn records how long a task took on a's target. The first of a step to end tells of
// the others, which are much alike; the estimates of the queue learn from the whole step,
// since those of its tasks that end first are the shortest.
func (o *Owner) learn(j *job, step int, a *agent, took time.Duration) {
	s := &j.steps[step]
	e := o.estimator(j.spec.Queue)
	s.durations = append(s.durations, time.Duration(float64(took)*a.speed()))
	if len(s.durations) == 1 {
		setEstimate(&j.spec.Steps[step], e, e.FromFirst(s.durations[0], len(s.tasks)-s.waiting), j.queue.usualSpeed)
		j.setObjectives()
		s.spread = e.TaskSpread()
	}
	if len(s.durations) == len(s.tasks) {
		e.Learn(j.spec.Steps[step].Guess, s.durations...)
	}
}

// usualSpeed returns the middle one of the learned speeds of a service's targets, 1
// where none is known.
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
