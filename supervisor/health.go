package supervisor

import (
	"math"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// How a worker is judged. Estimates are off by some 40%, so a single run says
// little; several jobs together do.
const (
	// keptEnds is how many of the last ends are looked at.
	keptEnds = 12
	// ejectFailedJobs is how many different jobs' failures among the last
	// failedWindow make a worker sick.
	ejectFailedJobs = 4
	failureWindow   = 6
	// ejectSlowFactor is how many times the estimate the runs of the last jobs take
	// on average on a worker that is called slow.
	ejectSlowFactor = 2.5
	// slowWindowJobs is how many different jobs that average looks at.
	slowWindowJobs = 4
	// overdueFactor and overdueSlack say from when on a run at work is overdue.
	overdueFactor = 2.2
	overdueSlack  = 30 * time.Millisecond
	// ejectOverdueJobs is how many different jobs' overdue runs make a worker sick.
	ejectOverdueJobs = 3
	// probeInterval is how long apart trial tasks on a sick worker begin.
	probeInterval = 300 * time.Millisecond
	// probesToRecover is how many trials in a row must end well.
	probesToRecover = 3
	// speedWeight is the weight of one end in the learned speed.
	speedWeight = 0.08
	// maxUncertaintyShare is the share of its time by which a run's end may be unsure
	// for the speed to be learned from it.
	maxUncertaintyShare = 3
)

// health judges a worker by the ends of its runs and by what is overdue.
type health struct {
	ejected     bool
	why         code.Code
	ends        []endRecord // the last ones, the oldest first
	lastProbeAt time.Duration
	goodProbes  int     // trials in a row that ended well
	logRatio    float64 // mean logarithm of time taken over estimate
}

type endRecord struct {
	job    string
	failed bool
	ratio  float64 // time taken over estimate
}

func newHealth() health {
	return health{lastProbeAt: -time.Hour}
}

// speed returns the learned speed, 1 being as estimated.
func (h *health) speed() float64 {
	return math.Exp(-h.logRatio)
}

// admits reports whether the worker may get one more run while so many trials
// are at work there. A sick worker gets one now and then, and after each that
// ended well twice as many at once.
func (h *health) admits(now time.Duration, trials int) bool {
	if !h.ejected {
		return true
	}
	return trials < 1<<h.goodProbes && (h.goodProbes > 0 || now-h.lastProbeAt >= probeInterval)
}

// recordStart takes note of a start, and reports whether it is a trial.
func (h *health) recordStart(now time.Duration) bool {
	if h.ejected {
		h.lastProbeAt = now
	}
	return h.ejected
}

// recordRefusal takes note that the worker refused a start as sick, and reports
// whether the judgement has changed.
func (h *health) recordRefusal(now time.Duration, job string) bool {
	h.add(endRecord{job: job, failed: true})
	return h.evaluate()
}

// recordEnd takes note of an end, and reports whether the judgement has changed. The
// run took at least as long as it was seen at work, and at most until its end
// was listed.
func (h *health) recordEnd(r *run, end task.End, least, most time.Duration) bool {
	estimate := max(r.order.Estimate, time.Millisecond)
	o := endRecord{job: r.order.Task.Job, failed: end == task.EndFailed, ratio: float64(max(least, time.Millisecond)) / float64(estimate)}
	if o.failed && r.order.FailedElsewhere {
		return false // the job has failed elsewhere too
	}
	h.add(o)
	if h.ejected {
		return r.probe && h.recordProbe(o)
	}
	if !o.failed && most-least < most/maxUncertaintyShare {
		guess := max(r.order.Guess, time.Millisecond)
		h.logRatio += speedWeight * (math.Log(float64(most)/float64(guess)) - h.logRatio)
	}
	return h.evaluate()
}

func (h *health) add(o endRecord) {
	h.ends = append(h.ends, o)
	if len(h.ends) > keptEnds {
		h.ends = h.ends[1:]
	}
}

// recordProbe judges a trial on a sick worker.
func (h *health) recordProbe(o endRecord) bool {
	if o.failed || o.ratio > ejectSlowFactor {
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

// evaluate looks at the last ends.
func (h *health) evaluate() bool {
	if h.ejected {
		return false
	}
	failed := make(map[string]bool)
	for _, o := range h.ends[max(0, len(h.ends)-failureWindow):] {
		if o.failed {
			failed[o.job] = true
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

// meanRatio returns the geometric mean over the last jobs, each by its latest
// end, or zero where there are too few.
func (h *health) meanRatio() float64 {
	seen := make(map[string]bool)
	sum := 0.0
	for k := len(h.ends) - 1; k >= 0 && len(seen) < slowWindowJobs; k-- {
		o := h.ends[k]
		if o.failed {
			return 0
		}
		if !seen[o.job] {
			seen[o.job] = true
			sum += math.Log(o.ratio)
		}
	}
	if len(seen) < slowWindowJobs {
		return 0
	}
	return math.Exp(sum / slowWindowJobs)
}

// checkOverdue looks for runs that were overdue when the worker was last asked, and
// reports whether the judgement has changed.
func (h *health) checkOverdue(now time.Duration, running []*run) bool {
	if h.ejected {
		return false
	}
	late := make(map[string]bool)
	for _, r := range running {
		likely := float64(r.order.Estimate) * math.Exp(h.logRatio)
		if now-r.began > time.Duration(overdueFactor*likely)+overdueSlack {
			late[r.order.Task.Job] = true
		}
	}
	if len(late) >= ejectOverdueJobs {
		return h.eject(code.TargetOverdue)
	}
	return false
}

func (h *health) eject(why code.Code) bool {
	h.ends = nil
	h.ejected = true
	h.why = why
	h.goodProbes = 0
	return true
}
