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
	// window is how many of the last ends are looked at.
	window = 12
	// failedJobs is how many different jobs' failures among the last
	// failedWindow make a worker sick.
	failedJobs   = 4
	failedWindow = 6
	// slowRatio is how many times the estimate the runs of the last jobs take
	// on average on a worker that is called slow.
	slowRatio = 2.5
	// slowJobs is how many different jobs that average looks at.
	slowJobs = 4
	// overdueRatio and overdueSlack say from when on a run at work is overdue.
	overdueRatio = 2.2
	overdueSlack = 30 * time.Millisecond
	// overdueJobs is how many different jobs' overdue runs make a worker sick.
	overdueJobs = 3
	// trialInterval is how long apart trial tasks on a sick worker begin.
	trialInterval = 300 * time.Millisecond
	// trialEnds is how many trials in a row must end well.
	trialEnds = 3
	// speedShare is the weight of one end in the learned speed.
	speedShare = 0.08
	// speedBlur is the share of its time by which a run's end may be unsure
	// for the speed to be learned from it.
	speedBlur = 3
)

// health judges a worker by the ends of its runs and by what is overdue.
type health struct {
	sick    bool
	why     code.Code
	ends    []outcome // the last ones, the oldest first
	trialAt time.Duration
	good    int     // trials in a row that ended well
	ratio   float64 // mean logarithm of time taken over estimate
}

type outcome struct {
	job    string
	failed bool
	ratio  float64 // time taken over estimate
}

func newHealth() health {
	return health{trialAt: -time.Hour}
}

// speed returns the learned speed, 1 being as estimated.
func (h *health) speed() float64 {
	return math.Exp(-h.ratio)
}

// mayTry reports whether the worker may get one more run while so many trials
// are at work there. A sick worker gets one now and then, and after each that
// ended well twice as many at once.
func (h *health) mayTry(now time.Duration, trials int) bool {
	if !h.sick {
		return true
	}
	return trials < 1<<h.good && (h.good > 0 || now-h.trialAt >= trialInterval)
}

// began takes note of a start, and reports whether it is a trial.
func (h *health) began(now time.Duration) bool {
	if h.sick {
		h.trialAt = now
	}
	return h.sick
}

// refused takes note that the worker refused a start as sick, and reports
// whether the judgement has changed.
func (h *health) refused(now time.Duration, job string) bool {
	h.add(outcome{job: job, failed: true})
	return h.judge()
}

// ended takes note of an end, and reports whether the judgement has changed. The
// run took at least as long as it was seen at work, and at most until its end
// was listed.
func (h *health) ended(r *run, end task.End, least, most time.Duration) bool {
	estimate := max(r.order.Estimate, time.Millisecond)
	o := outcome{job: r.order.Task.Job, failed: end == task.EndFailed, ratio: float64(max(least, time.Millisecond)) / float64(estimate)}
	if o.failed && r.order.Doubtful {
		return false // the job has failed elsewhere too
	}
	h.add(o)
	if h.sick {
		return r.trial && h.trial(o)
	}
	if !o.failed && most-least < most/speedBlur {
		guess := max(r.order.Guess, time.Millisecond)
		h.ratio += speedShare * (math.Log(float64(most)/float64(guess)) - h.ratio)
	}
	return h.judge()
}

func (h *health) add(o outcome) {
	h.ends = append(h.ends, o)
	if len(h.ends) > window {
		h.ends = h.ends[1:]
	}
}

// trial judges a trial on a sick worker.
func (h *health) trial(o outcome) bool {
	if o.failed || o.ratio > slowRatio {
		h.good = 0
		return false
	}
	h.good++
	if h.good < trialEnds {
		return false
	}
	h.sick = false
	h.why = code.WorkerWell
	h.good = 0
	h.ends = nil
	return true
}

// judge looks at the last ends.
func (h *health) judge() bool {
	if h.sick {
		return false
	}
	failed := make(map[string]bool)
	for _, o := range h.ends[max(0, len(h.ends)-failedWindow):] {
		if o.failed {
			failed[o.job] = true
		}
	}
	if len(failed) >= failedJobs {
		return h.become(code.WorkerFails)
	}
	if h.meanRatio() > slowRatio {
		return h.become(code.WorkerSlow)
	}
	return false
}

// meanRatio returns the geometric mean over the last jobs, each by its latest
// end, or zero where there are too few.
func (h *health) meanRatio() float64 {
	seen := make(map[string]bool)
	sum := 0.0
	for k := len(h.ends) - 1; k >= 0 && len(seen) < slowJobs; k-- {
		o := h.ends[k]
		if o.failed {
			return 0
		}
		if !seen[o.job] {
			seen[o.job] = true
			sum += math.Log(o.ratio)
		}
	}
	if len(seen) < slowJobs {
		return 0
	}
	return math.Exp(sum / slowJobs)
}

// tick looks for runs that were overdue when the worker was last asked, and
// reports whether the judgement has changed.
func (h *health) tick(now time.Duration, running []*run) bool {
	if h.sick {
		return false
	}
	late := make(map[string]bool)
	for _, r := range running {
		likely := float64(r.order.Estimate) * math.Exp(h.ratio)
		if now-r.began > time.Duration(overdueRatio*likely)+overdueSlack {
			late[r.order.Task.Job] = true
		}
	}
	if len(late) >= overdueJobs {
		return h.become(code.WorkerOverdue)
	}
	return false
}

func (h *health) become(why code.Code) bool {
	h.ends = nil
	h.sick = true
	h.why = why
	h.good = 0
	return true
}
