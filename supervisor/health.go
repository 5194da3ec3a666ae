package supervisor

import (
	"math"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

const (
	// maxEndRecords is the number of recent ends that are evaluated.
	maxEndRecords = 24
	// A target is ejected when ejectFailedJobs different jobs have failed among the last
	// failureWindow ends.
	ejectFailedJobs = 4
	failureWindow   = 6
	// A target is slow if the runs of the last slowMinJobs or more different jobs took on
	// average more than ejectSlowFactor times as long as normal, and the mean exceeds the
	// baseline by more than slowDeviations standard deviations of the mean.
	ejectSlowFactor = 2.5
	slowDeviations  = 5.0
	slowMinJobs     = 4
	// An active run is overdue after its expected time, times the greater of
	// ejectOverdueFactor and the factor that corresponds to ejectOverdueDeviations standard
	// deviations of the log ratio, plus ejectOverdueSlack. Overdue runs of ejectOverdueJobs
	// different jobs eject the target if these are at least ejectOverdueShare of all jobs
	// active there.
	ejectOverdueDeviations = 2.0
	ejectOverdueFactor     = 2.0
	ejectOverdueSlack      = 30 * time.Millisecond
	ejectOverdueJobs       = 3
	ejectOverdueShare      = 1.0 / 3
	// A probe is unsuccessful if it takes longer than normal by more than ejectSlowFactor
	// and by more than the factor that corresponds to probeDeviations standard deviations of
	// the log ratio.
	probeDeviations = 2.0
	// priorSpread is the standard deviation of the log ratio assumed for a new target; it
	// counts as much as priorRuns runs. In 48 drawn scenes without a fault, 0.5 ejected eight
	// targets for up to 23 s, 0.8 two for up to 5 s.
	priorSpread = 0.8
	priorRuns   = 8
	// baselineRuns limits the number of runs that the baseline averages over.
	baselineRuns = 200
	// probeInterval is the shortest time between the orders of two probes while the last
	// finished probe was unsuccessful or none has finished.
	probeInterval = 300 * time.Millisecond
	// trialDelay is the time from an ejection or an unsuccessful probe to the trial. On
	// trial, the target is reported to entries as healthy, to receive probes even if its
	// resources are not needed, but still admits only probes. Without the trial, 3 of 300 drawn
	// scenes without a fault had a sound target ejected for 6 to 11 s, to their end.
	trialDelay = 2 * time.Second
	// probesToRecover is the number of consecutive probes that must succeed.
	probesToRecover = 3
	// speedWeight is the weight of one end in the learned speed.
	speedWeight = 0.08
	// The time of a successful run is precise if it is more than precisionFactor times the
	// uncertainty of its end. Only precise times enter the learned speed and the baseline.
	precisionFactor = 3
	// minRunTime is the shortest run time that is distinguished.
	minRunTime = time.Millisecond
)

// health is the ejection state and the learned speed of a target, judged by ended and
// overdue runs (outlier detection). A target is ejected when the runs of several jobs fail,
// are slow or are overdue on it. Slowness is judged relative to the target's normal deviation
// from the learned estimates (baseline), so that inaccurate estimates require more evidence. An
// ejected target receives single probe runs; each success doubles the number of concurrent
// probes, and after probesToRecover successes the target has recovered.
type health struct {
	ejected bool
	reason  code.Code   // reason for the last change
	ends    []endRecord // the last maxEndRecords ends, oldest first

	lastProbeAt time.Duration // when the last probe was ordered
	lastBadAt   time.Duration // when the target was ejected, or the last unsuccessful probe ended
	onTrial     bool
	goodProbes  int // consecutive

	// logSlowdown is the moving average of the log ratio of run time to the caller's
	// estimate.
	logSlowdown float64
	baseline    baseline
}

// endRecord is the end of one run, or the rejection of one start by a target that is
// temporarily unable to start runs.
type endRecord struct {
	job    string
	failed bool
	// minRatio is the log ratio of the shortest possible run time to the learned estimate.
	minRatio float64
	// maxRatio is the log ratio of the time until the end was listed to the learned estimate;
	// precise is set if that time is close enough to the run time.
	maxRatio float64
	precise  bool
}

// newHealth returns the health of a new target.
func newHealth() health {
	return health{lastProbeAt: -time.Hour, baseline: baseline{variance: priorSpread * priorSpread}}
}

// speed returns the learned speed; at 1, runs take as long as the callers' estimates.
func (h *health) speed() float64 {
	return math.Exp(-h.logSlowdown)
}

// admits reports whether the target may receive another run while the given number of
// probes are active.
func (h *health) admits(now time.Duration, probes int) bool {
	if !h.ejected {
		return true
	}
	return probes < 1<<h.goodProbes && (h.goodProbes > 0 || now-h.lastProbeAt >= probeInterval)
}

// checkTrial begins or ends the trial of an ejected target. It reports whether that
// changed.
func (h *health) checkTrial(now time.Duration) bool {
	before := h.onTrial
	h.onTrial = h.ejected && now-h.lastBadAt >= trialDelay
	return h.onTrial != before
}

// resetTrial ends the trial after an ejection or an unsuccessful probe.
func (h *health) resetTrial(now time.Duration) {
	h.lastBadAt = now
	h.onTrial = false
}

// recordStart records a start. It reports whether the run is a probe.
func (h *health) recordStart(now time.Duration) bool {
	if h.ejected {
		h.lastProbeAt = now
	}
	return h.ejected
}

// recordRejection records a start that the target rejected because it was temporarily unable to
// start runs. It reports whether the target was ejected as a result.
func (h *health) recordRejection(now time.Duration, job string) bool {
	h.add(endRecord{job: job, failed: true})
	return h.evaluate()
}

// recordEnd records the end of a run. minTook is the time for which it was listed as active,
// maxTook the time until its end was listed. It reports whether the target was ejected or
// has recovered.
func (h *health) recordEnd(r *run, end task.End, minTook, maxTook time.Duration) bool {
	e := endRecord{
		job:      r.order.Task.Job,
		failed:   end == task.EndFailed,
		minRatio: logRatio(max(minTook, minRunTime), r.order.Estimate),
		maxRatio: logRatio(max(maxTook, minRunTime), r.order.Estimate),
		precise:  end == task.EndDone && maxTook-minTook < maxTook/precisionFactor,
	}
	if r.coldFraction > 0 { // discount the expected slowdown of a cold target
		e.minRatio -= r.coldLogSlowdown
		e.precise = false
	}
	if e.failed && r.order.FailedElsewhere {
		return false // the job fails on other targets too
	}
	h.add(e)
	if h.ejected {
		return r.probe && h.recordProbe(e)
	}
	if e.precise {
		h.learnSpeed(r.order.Guess, maxTook)
	}
	return h.evaluate()
}

// learnSpeed updates the learned speed with the time of a run, relative to guess, the caller's
// estimate. The learned estimate (package estimate) is unsuitable: it depends on the learned
// speed, so that each would follow the other. With it the worth of a day fell from 0.644 to 0.373.
func (h *health) learnSpeed(guess, took time.Duration) {
	h.logSlowdown += speedWeight * (logRatio(took, guess) - h.logSlowdown)
}

// add appends an end. While the target is not ejected, precise ends that leave the window
// update the baseline.
func (h *health) add(e endRecord) {
	h.ends = append(h.ends, e)
	if len(h.ends) <= maxEndRecords {
		return
	}
	if oldest := h.ends[0]; oldest.precise && !h.ejected {
		h.baseline.add(oldest.maxRatio)
	}
	h.ends = h.ends[1:]
}

// recordProbe records the end of a probe. It reports whether the target has recovered.
func (h *health) recordProbe(e endRecord) bool {
	if e.failed || e.minRatio-h.baseline.mean > max(math.Log(ejectSlowFactor), probeDeviations*h.baseline.spread()) {
		h.goodProbes = 0
		return false
	}
	h.goodProbes++
	if h.goodProbes < probesToRecover {
		return false
	}
	h.ejected = false
	h.reason = code.TargetRecovered
	h.goodProbes = 0
	h.ends = nil
	return true
}

// evaluate ejects the target if its recent ends require it. It reports whether it did.
func (h *health) evaluate() bool {
	if h.ejected {
		return false
	}
	failed := make(map[string]bool)
	for _, e := range h.ends[max(0, len(h.ends)-failureWindow):] {
		if e.failed {
			failed[e.job] = true
		}
	}
	if len(failed) >= ejectFailedJobs {
		return h.eject(code.TargetFails)
	}
	if h.slow() {
		return h.eject(code.TargetSlow)
	}
	return false
}

// slow reports whether the latest run of each of the last jobs took so much longer than
// normal that chance is not a plausible cause. It looks for the smallest number of jobs, at
// least slowMinJobs, that meets the limits; a failure among their ends makes the result false.
func (h *health) slow() bool {
	seen := make(map[string]bool)
	sum := 0.0
	for k := len(h.ends) - 1; k >= 0; k-- {
		e := h.ends[k]
		if e.failed {
			return false
		}
		if seen[e.job] {
			continue
		}
		seen[e.job] = true
		sum += e.minRatio - h.baseline.mean
		jobs := float64(len(seen))
		deviation := h.baseline.spread() * math.Sqrt(jobs)
		if jobs >= slowMinJobs && sum > jobs*math.Log(ejectSlowFactor) && sum > slowDeviations*deviation {
			return true
		}
	}
	return false
}

// logRatio returns the logarithm of run time over estimate, which is the learned estimate or
// the caller's.
func logRatio(took, estimate time.Duration) float64 {
	return math.Log(float64(took) / float64(max(estimate, minRunTime)))
}

// checkOverdue ejects the target if the runs of several jobs were overdue at listedAt, when
// its lists were last requested. Later ends are unknown, so that a lost answer makes no run
// overdue. It reports whether it ejected the target.
func (h *health) checkOverdue(listedAt time.Duration, running []*run) bool {
	if h.ejected {
		return false
	}
	overdue, active := make(map[string]bool), make(map[string]bool)
	for _, r := range running {
		active[r.order.Task.Job] = true
		if listedAt-r.startedAt > h.overdueAfter(r.order, r.coldLogSlowdown) {
			overdue[r.order.Task.Job] = true
		}
	}
	if len(overdue) >= ejectOverdueJobs && float64(len(overdue)) >= ejectOverdueShare*float64(len(active)) {
		return h.eject(code.TargetOverdue)
	}
	return false
}

// overdueAfter returns how long after its start a run is overdue, given the logarithm of
// its cold slowdown.
func (h *health) overdueAfter(o task.Order, coldLogSlowdown float64) time.Duration {
	expected := float64(o.Estimate) * math.Exp(h.logSlowdown+coldLogSlowdown)
	factor := max(ejectOverdueFactor, math.Exp(ejectOverdueDeviations*h.baseline.spread()))
	return time.Duration(factor*expected) + ejectOverdueSlack
}

// eject ejects the target and returns true.
func (h *health) eject(reason code.Code) bool {
	h.ends = nil
	h.ejected = true
	h.reason = reason
	h.goodProbes = 0
	return true
}
