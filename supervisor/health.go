package supervisor

import (
	"math"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// Outlier detection. A target is ejected when the runs of several different jobs
// fail, are slow or are overdue there: guesses are off by some 40%, so that a
// single job says little. An ejected target gets single probes; after each that
// ends well it gets twice as many at once, and after probesToRecover it is back.
const (
	// keptEnds is how many of the last ends are looked at. Not measured.
	keptEnds = 12
	// ejectFailedJobs is how many different jobs must have failed among the last
	// failureWindow ends for the target to be ejected. Not measured.
	ejectFailedJobs = 4
	failureWindow   = 6
	// ejectSlowFactor is how many times their estimate the runs of the last
	// slowWindowJobs different jobs must take on average. Not measured.
	ejectSlowFactor = 2.5
	slowWindowJobs  = 4
	// A run at work is overdue after ejectOverdueFactor times its likely time and
	// ejectOverdueSlack more; that many different jobs' overdue runs eject the target.
	// Not measured.
	ejectOverdueFactor = 2.2
	ejectOverdueSlack  = 30 * time.Millisecond
	ejectOverdueJobs   = 3
	// probeInterval is the time between the first probes. Not measured.
	probeInterval = 300 * time.Millisecond
	// probesToRecover is how many probes in a row must end well. Not measured.
	probesToRecover = 3
	// speedWeight is the weight of one end in the learned speed. Not measured.
	speedWeight = 0.08
	// A run counts for the learned speed only if the time of its end is known to
	// 1/maxUncertaintyShare of how long it took. Not measured.
	maxUncertaintyShare = 3
	// minRunTime is the shortest time of a run that is told apart.
	minRunTime = time.Millisecond
)

// health says whether a target is ejected, and how fast it is. It judges by the
// ends of runs and by runs that are overdue.
type health struct {
	ejected bool
	why     code.Code   // of the last change
	ends    []endRecord // the last keptEnds, the oldest first

	lastProbeAt time.Duration
	goodProbes  int // in a row

	// logRatio is the moving average of the logarithm of the time that runs took
	// over the caller's guess.
	logRatio float64
}

// endRecord is the end of one run.
type endRecord struct {
	job    string
	failed bool
	ratio  float64 // time taken over estimate
}

// newHealth returns the health of a target of which nothing is known.
func newHealth() health {
	return health{lastProbeAt: -time.Hour}
}

// speed returns the learned speed, 1 being as guessed.
func (h *health) speed() float64 {
	return math.Exp(-h.logRatio)
}

// admits reports whether the target may get one more run while the given number of
// probes are at work there.
func (h *health) admits(now time.Duration, probes int) bool {
	if !h.ejected {
		return true
	}
	return probes < 1<<h.goodProbes && (h.goodProbes > 0 || now-h.lastProbeAt >= probeInterval)
}

// recordStart records a start. It reports whether the run is a probe.
func (h *health) recordStart(now time.Duration) bool {
	if h.ejected {
		h.lastProbeAt = now
	}
	return h.ejected
}

// recordRefusal records that the target refused a start as unhealthy. It reports
// whether it was ejected for it.
func (h *health) recordRefusal(now time.Duration, job string) bool {
	h.add(endRecord{job: job, failed: true})
	return h.evaluate()
}

// recordEnd records the end of a run, which took at least as long as it was seen at
// work and at most until its end was listed. It reports whether the target was
// ejected or has recovered.
func (h *health) recordEnd(r *run, end task.End, least, most time.Duration) bool {
	estimate := max(r.order.Estimate, minRunTime)
	e := endRecord{
		job:    r.order.Task.Job,
		failed: end == task.EndFailed,
		ratio:  float64(max(least, minRunTime)) / float64(estimate),
	}
	if e.failed && r.order.FailedElsewhere {
		return false // it says nothing of this target
	}
	h.add(e)
	if h.ejected {
		return r.probe && h.recordProbe(e)
	}
	if !e.failed && most-least < most/maxUncertaintyShare {
		h.learnSpeed(r.order.Guess, most)
	}
	return h.evaluate()
}

// learnSpeed takes the time of a run into the learned speed. It is learned against
// the callers' guesses: against learned estimates the two would drift together.
// Measured and reverted: learned against estimates, the trackers' trouble-1 fell
// from 0.644 to 0.373.
func (h *health) learnSpeed(guess, took time.Duration) {
	guess = max(guess, minRunTime)
	h.logRatio += speedWeight * (math.Log(float64(took)/float64(guess)) - h.logRatio)
}

// add keeps one more end.
func (h *health) add(e endRecord) {
	h.ends = append(h.ends, e)
	if len(h.ends) > keptEnds {
		h.ends = h.ends[1:]
	}
}

// recordProbe counts a probe. It reports whether the target has recovered.
func (h *health) recordProbe(e endRecord) bool {
	if e.failed || e.ratio > ejectSlowFactor {
		h.goodProbes = 0
		return false
	}
	h.goodProbes++
	if h.goodProbes < probesToRecover {
		return false
	}
	h.ejected = false
	h.why = code.TargetRecovered
	h.goodProbes = 0
	h.ends = nil
	return true
}

// evaluate ejects the target if its last ends ask for it. It reports whether it
// did.
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
	if h.meanRatio() > ejectSlowFactor {
		return h.eject(code.TargetSlow)
	}
	return false
}

// meanRatio returns the geometric mean of the last slowWindowJobs jobs' ratios,
// each by its latest end; zero where there are fewer or one of them failed.
func (h *health) meanRatio() float64 {
	seen := make(map[string]bool)
	sum := 0.0
	for k := len(h.ends) - 1; k >= 0 && len(seen) < slowWindowJobs; k-- {
		e := h.ends[k]
		if e.failed {
			return 0
		}
		if !seen[e.job] {
			seen[e.job] = true
			sum += math.Log(e.ratio)
		}
	}
	if len(seen) < slowWindowJobs {
		return 0
	}
	return math.Exp(sum / slowWindowJobs)
}

// checkOverdue ejects the target if the runs of several jobs were overdue when its
// lists were last asked for, at listedAt: what ended since is not known, so that a
// lost answer makes no run overdue. It reports whether it did.
func (h *health) checkOverdue(listedAt time.Duration, running []*run) bool {
	if h.ejected {
		return false
	}
	overdue := make(map[string]bool)
	for _, r := range running {
		likely := float64(r.order.Estimate) * math.Exp(h.logRatio)
		if listedAt-r.began > time.Duration(ejectOverdueFactor*likely)+ejectOverdueSlack {
			overdue[r.order.Task.Job] = true
		}
	}
	if len(overdue) >= ejectOverdueJobs {
		return h.eject(code.TargetOverdue)
	}
	return false
}

// eject ejects the target and returns true.
func (h *health) eject(why code.Code) bool {
	h.ends = nil
	h.ejected = true
	h.why = why
	h.goodProbes = 0
	return true
}
