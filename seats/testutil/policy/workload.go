// Package policy simulates scheduling policies in virtual time. It runs the state
// machines of entries and agents with fake targets and compares them with
// baselines.
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

// Names of the service and of the default organisation.
const (
	service      = "trackd"
	organisation = "port-gate"
)

// Workload is a stream of jobs that its seed determines.
type Workload struct {
	// Load is the offered work divided by the capacity of Slots.
	Load  float64
	Slots int
	Jobs  int
	Seed  uint64
	// LargestJob is the largest number of tasks. Job sizes are log-uniform.
	LargestJob int
	// Burst multiplies the arrival rate for BurstFor, once, after a third of
	// the jobs.
	Burst    float64
	BurstFor time.Duration
	// Organisation submits the jobs; empty means the default organisation.
	Organisation string
}

// Task durations: a fraction longTaskShare lies between longTaskMin and longTaskMax, the
// others between shortTaskMin and shortTaskMax.
const (
	shortTaskMin  = 50 * time.Millisecond
	shortTaskMax  = time.Second
	longTaskShare = 0.02
	longTaskMin   = 2 * time.Second
	longTaskMax   = 5 * time.Second
)

// simJob is a job of a workload.
type simJob struct {
	id    string
	at    time.Duration
	tasks []time.Duration
	ideal time.Duration // duration of the longest task
	sub   job.Submission
}

// meanTaskTime returns the mean duration of a task.
func meanTaskTime() time.Duration {
	short := float64(shortTaskMin+shortTaskMax) / 2
	long := float64(longTaskMin+longTaskMax) / 2
	return time.Duration((1-longTaskShare)*short + longTaskShare*long)
}

// meanJobSize returns the mean number of tasks in a job.
func (w Workload) meanJobSize() float64 {
	top := float64(w.LargestJob) + 1
	return (top - 1) / math.Log(top)
}

// generate returns the jobs ordered by arrival.
func (w Workload) generate() []*simJob {
	rng := rand.New(rand.NewPCG(w.Seed, 7))
	perSecond := w.Load * float64(w.Slots) / meanTaskTime().Seconds() / w.meanJobSize()
	var at time.Duration
	burstAt := time.Duration(float64(w.Jobs) / 3 / perSecond * float64(time.Second))
	all := make([]*simJob, w.Jobs)
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

func (w Workload) job(rng *rand.Rand, k int, at time.Duration) *simJob {
	size := int(math.Exp(rng.Float64() * math.Log(float64(w.LargestJob)+1)))
	org := w.Organisation
	if org == "" {
		org = organisation
	}
	j := &simJob{id: fmt.Sprintf("%s-%d", org, k), at: at}
	spec := seats.Job{ID: j.id, Organisation: org}
	for i := range size {
		d := shortTaskMin + time.Duration(rng.Int64N(int64(shortTaskMax-shortTaskMin)))
		if rng.Float64() < longTaskShare {
			d = longTaskMin + time.Duration(rng.Int64N(int64(longTaskMax-longTaskMin)))
		}
		j.tasks = append(j.tasks, d)
		j.ideal = max(j.ideal, d)
		spec.Tasks = append(spec.Tasks, seats.Task{ID: fmt.Sprint(i)})
	}
	sub, err := job.New(service, spec)
	if err != nil {
		panic(err) // generated jobs are valid
	}
	j.sub = sub
	return j
}

// Scales of the histograms.
const (
	ratioScale = 1000
	maxRatio   = 100_000 * ratioScale
)

// Result holds the measurements of a run.
type Result struct {
	Name string
	// Ratio is the response time divided by the ideal time, times ratioScale.
	// Largest is the same for the largest tenth of the jobs.
	Ratio, Largest *hdrhistogram.Histogram
	Starts         int
	// Wasted counts messages that led to neither a start nor an answer.
	Wasted     int
	Unanswered int
	// Refusals counts refused submissions, Unserved the jobs that callers gave up
	// after a refusal, and Failed the jobs that failed.
	Refusals, Unserved, Failed int
	usefulTime                 time.Duration // slot time of jobs that completed before the last arrival
	span                       time.Duration // time of the last arrival
}

// addUsefulTime adds the work of a complete job to the goodput if it ended before the
// last arrival.
func (r *Result) addUsefulTime(j *simJob, at time.Duration) {
	if at > r.span {
		return
	}
	for _, t := range j.tasks {
		r.usefulTime += t
	}
}

// Goodput returns the fraction of the slot time until the last arrival that
// complete jobs used.
func (r *Result) Goodput(slots int) float64 {
	return r.usefulTime.Seconds() / r.span.Seconds() / float64(slots)
}

func newResult(name string) *Result {
	return &Result{
		Name:    name,
		Ratio:   hdrhistogram.New(1, maxRatio, 3),
		Largest: hdrhistogram.New(1, maxRatio, 3),
	}
}

// recordRatio records the response time of a complete job.
func (r *Result) recordRatio(j *simJob, took time.Duration, largest int) {
	ratio := min(int64(float64(took)/float64(j.ideal)*ratioScale), maxRatio)
	_ = r.Ratio.RecordValue(ratio) // within bounds
	if len(j.tasks) >= largest {
		_ = r.Largest.RecordValue(ratio) // within bounds
	}
}

// Mean returns the mean ratio of response time to ideal time.
func (r *Result) Mean() float64 { return r.Ratio.Mean() / ratioScale }

// Quantile returns the q-th percentile of the ratio.
func (r *Result) Quantile(q float64) float64 {
	return float64(r.Ratio.ValueAtQuantile(q)) / ratioScale
}

// Worst returns the largest ratio.
func (r *Result) Worst() float64 { return float64(r.Ratio.Max()) / ratioScale }

// LargestMean returns the mean ratio of the largest tenth of the jobs.
func (r *Result) LargestMean() float64 { return r.Largest.Mean() / ratioScale }

// WastedPerStart returns the number of wasted messages per started task.
func (r *Result) WastedPerStart() float64 {
	return float64(r.Wasted) / float64(max(r.Starts, 1))
}

// largeJobSize returns the smallest size of the largest tenth of the jobs.
func (w Workload) largeJobSize() int {
	return int(math.Exp(0.9 * math.Log(float64(w.LargestJob)+1)))
}
