// Package policy measures the decisions about placement and waiting in
// virtual time: the real state machines of entries and agents against small
// fakes of targets, beside baselines.
package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/job"
)

// Names of the one service and organisation.
const (
	service      = "trackd"
	organisation = "port-gate"
)

// Workload is a stream of jobs, the same for the same seed.
type Workload struct {
	// Load is the offered work over the capacity of Slots.
	Load  float64
	Slots int
	Jobs  int
	Seed  uint64
	// LargestJob bounds the sizes, which are log-uniform.
	LargestJob int
	// Burst multiplies the rate of arrival for BurstFor, once, at a third of
	// the jobs.
	Burst    float64
	BurstFor time.Duration
	// Organisation is whose jobs they are; empty for the common one.
	Organisation string
}

// Lengths of tasks: most between shortest and longest, longShare of several
// seconds.
const (
	shortest  = 50 * time.Millisecond
	longest   = time.Second
	longShare = 0.02
	severalLo = 2 * time.Second
	severalHi = 5 * time.Second
)

// work is one job of a workload.
type work struct {
	id    string
	at    time.Duration
	tasks []time.Duration
	ideal time.Duration // its longest task
	sub   job.Submission
}

// meanTask is the mean length of a task.
func meanTask() time.Duration {
	common := float64(shortest+longest) / 2
	several := float64(severalLo+severalHi) / 2
	return time.Duration((1-longShare)*common + longShare*several)
}

// meanSize is the mean size of a job.
func (w Workload) meanSize() float64 {
	top := float64(w.LargestJob) + 1
	return (top - 1) / math.Log(top)
}

// generate returns the jobs in the order of their arrival.
func (w Workload) generate() []*work {
	rng := rand.New(rand.NewPCG(w.Seed, 7))
	perSecond := w.Load * float64(w.Slots) / meanTask().Seconds() / w.meanSize()
	var at time.Duration
	burstAt := time.Duration(float64(w.Jobs) / 3 / perSecond * float64(time.Second))
	all := make([]*work, w.Jobs)
	for k := range all {
		rate := perSecond
		if w.Burst > 0 && at >= burstAt && at < burstAt+w.BurstFor {
			rate *= w.Burst
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		all[k] = w.job(rng, k, at)
	}
	return all
}

func (w Workload) job(rng *rand.Rand, k int, at time.Duration) *work {
	size := int(math.Exp(rng.Float64() * math.Log(float64(w.LargestJob)+1)))
	owner := w.Organisation
	if owner == "" {
		owner = organisation
	}
	j := &work{id: fmt.Sprintf("%s-%d", owner, k), at: at}
	spec := seats.Job{ID: j.id, Organisation: owner}
	for i := range size {
		d := shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
		if rng.Float64() < longShare {
			d = severalLo + time.Duration(rng.Int64N(int64(severalHi-severalLo)))
		}
		j.tasks = append(j.tasks, d)
		j.ideal = max(j.ideal, d)
		spec.Tasks = append(spec.Tasks, seats.Task{ID: fmt.Sprint(i)})
	}
	sub, err := job.New(service, spec)
	if err != nil {
		panic(err) // the jobs made here are well-formed
	}
	j.sub = sub
	return j
}

// Scales of the histograms.
const (
	ratioScale = 1000
	maxRatio   = 100_000 * ratioScale
)

// Result is what came of one run.
type Result struct {
	Name string
	// Ratio is response time over the ideal, times ratioScale; Largest that
	// of the largest tenth of the jobs alone.
	Ratio, Largest *hdrhistogram.Histogram
	Starts         int
	// Wasted counts messages that led to no start or answer.
	Wasted     int
	Unanswered int
	// Refusals counts refused submissions, Unserved the jobs that were given
	// up by their callers after them, Failed those that were begun in vain.
	Refusals, Unserved, Failed int
	good                       time.Duration // of slots, by jobs that ended in time
	span                       time.Duration // of the arrivals
}

// finished counts a complete job's work, if it ended while others still came.
func (r *Result) finished(j *work, at time.Duration) {
	if at > r.span {
		return
	}
	for _, t := range j.tasks {
		r.good += t
	}
}

// Goodput returns the share of the slots that went into complete jobs while
// jobs came.
func (r *Result) Goodput(slots int) float64 {
	return r.good.Seconds() / r.span.Seconds() / float64(slots)
}

func newResult(name string) *Result {
	return &Result{
		Name:    name,
		Ratio:   hdrhistogram.New(1, maxRatio, 3),
		Largest: hdrhistogram.New(1, maxRatio, 3),
	}
}

// note takes one answered job.
func (r *Result) note(j *work, took time.Duration, largest int) {
	ratio := min(int64(float64(took)/float64(j.ideal)*ratioScale), maxRatio)
	_ = r.Ratio.RecordValue(ratio) // within bounds
	if len(j.tasks) >= largest {
		_ = r.Largest.RecordValue(ratio) // within bounds
	}
}

// Mean returns the mean response over the ideal.
func (r *Result) Mean() float64 { return r.Ratio.Mean() / ratioScale }

// Quantile returns a quantile, in percent, of response over the ideal.
func (r *Result) Quantile(q float64) float64 {
	return float64(r.Ratio.ValueAtQuantile(q)) / ratioScale
}

// Worst returns the worst response over the ideal.
func (r *Result) Worst() float64 { return float64(r.Ratio.Max()) / ratioScale }

// LargestMean returns the mean of the largest tenth of the jobs.
func (r *Result) LargestMean() float64 { return r.Largest.Mean() / ratioScale }

// WastedPerStart returns the wasted messages for each started task.
func (r *Result) WastedPerStart() float64 {
	return float64(r.Wasted) / float64(max(r.Starts, 1))
}

// largestTenth returns the size from which a job is among the largest tenth.
func (w Workload) largestTenth() int {
	return int(math.Exp(0.9 * math.Log(float64(w.LargestJob)+1)))
}
