package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/owner"
	"github.com/beaconpoint/beaconpoint/task"
)

// Class is a class of jobs in a workload.
type Class struct {
	Name string
	// Rate is the number of jobs that arrive per second.
	Rate float64
	// Work is the typical duration of a task on a target of speed 1, Longest the maximum.
	Work, Longest time.Duration
	// Tasks is the typical number of tasks, MostTasks the maximum.
	Tasks, MostTasks int
	// Priority 0 is the highest.
	Priority int
	// Attempts is the number of failed runs of a task after which its job fails.
	Attempts int
	// Worth is the value of a typical job that completes within its objective.
	Worth float64
}

// Shape has the properties common to all jobs of a workload. Spreads are standard deviations of
// natural logarithms.
type Shape struct {
	WorkSpread  float64 // spread of task durations across the jobs of a class
	CountSpread float64 // spread of the number of tasks
	GuessError  float64 // spread of the callers' estimates
	GuessBias   float64 // factor between estimates and real durations
	TaskSpread  float64 // spread of task durations within a job
	Stretch     float64 // objective relative to the longest task
	// Slack is a constant added to the objective.
	Slack time.Duration
}

// UsualShape returns the default shape, that of the customers' known workloads.
func UsualShape() Shape {
	return Shape{WorkSpread: 0.4, CountSpread: 0.4, GuessError: 0.4, GuessBias: 1, TaskSpread: 0.15, Stretch: 1.6,
		Slack: 60 * time.Millisecond}
}

const (
	// taskCPU is the CPU of one task, in thousandths of a core.
	taskCPU = 1600
	// lateShare is the share of its worth that a job earns when it completes after its
	// objective, but within three times the objective.
	lateShare = 0.2
	// baseWorthShare is the share of a typical job's worth that does not depend on the work.
	baseWorthShare = 0.3
	// maxWorthFactor bounds the worth of a job relative to a typical one.
	maxWorthFactor = 4
)

// TrackingWorkload returns a workload of three classes whose arrival rates produce the given load on
// the given number of 16-core targets.
func TrackingWorkload(targets int, load float64) []Class {
	const coresEach, baseLoad = 16, 0.73 // baseLoad is the load of the rates below on 11 targets
	scale := load / baseLoad * float64(targets) / 11
	return []Class{
		{Name: "short", Rate: 34.4 * scale, Work: 60 * time.Millisecond, Longest: 240 * time.Millisecond, Tasks: 8,
			MostTasks: 32, Attempts: 3, Worth: 0.0291},
		{Name: "long", Rate: 6.25 * scale, Work: 900 * time.Millisecond, Longest: 3600 * time.Millisecond, Tasks: 4,
			MostTasks: 16, Priority: 2, Attempts: 2, Worth: 0.16},
		{Name: "middle", Rate: 100 * scale, Work: 200 * time.Millisecond, Longest: 800 * time.Millisecond, Tasks: 2,
			MostTasks: 8, Priority: 1, Attempts: 2, Worth: 0.01},
	}
}

// WorkloadConfig returns the configuration of a world without faults that plays a workload of the
// given classes on 16-core targets of different speeds.
func WorkloadConfig(seed uint64, entries, agents int, classes []Class) Config {
	cfg := DefaultConfig(seed)
	cfg.Entries, cfg.Agents = entries, agents
	cfg.Faults, cfg.FaultFreeTail = 0, 0
	cfg.Length = 12 * time.Second
	cfg.Classes = classes
	cfg.Shape = UsualShape()
	cfg.CPU = 16000
	cfg.Speeds = []float64{0.8, 1, 1.25}
	return cfg
}

// Credit holds the earnings of the jobs of one class.
type Credit struct {
	Jobs, InObjective, Late int
	Owed, Earned            float64
	// Held is the worth of jobs that were refused or given up after heldThreshold, with none of
	// their tasks started.
	Held float64
}

// Share returns the earned share of the worth owed, or 1 if none is owed.
func (c Credit) Share() float64 {
	if c.Owed == 0 {
		return 1
	}
	return c.Earned / c.Owed
}

// Plus returns the sum of c and o.
func (c Credit) Plus(o Credit) Credit {
	return Credit{Jobs: c.Jobs + o.Jobs, InObjective: c.InObjective + o.InObjective, Late: c.Late + o.Late,
		Owed:   c.Owed + o.Owed,
		Earned: c.Earned + o.Earned, Held: c.Held + o.Held}
}

// Stats returns the sum of the statistics of all entry incarnations.
func (w *World) Stats() owner.Stats {
	sum := w.pastStats
	for _, e := range w.entries {
		sum = addStats(sum, e.owner.Stats())
	}
	return sum
}

// addStats returns the sum of two statistics.
func addStats(a, b owner.Stats) owner.Stats {
	a.Accepted += b.Accepted
	a.Completed += b.Completed
	a.Failed += b.Failed
	a.GivenUp += b.GivenUp
	a.Refused += b.Refused
	a.Cancelled += b.Cancelled
	a.Starts += b.Starts
	a.Rejected += b.Rejected
	a.Moved += b.Moved
	a.Relayed += b.Relayed
	return a
}

// scheduleWorkload schedules the arrivals of the jobs of all classes for the configured length.
func (w *World) scheduleWorkload() {
	w.Credits = make([]Credit, len(w.cfg.Classes))
	end := w.now() + w.cfg.Length
	for k := range w.cfg.Classes {
		var next func()
		next = func() {
			if w.now() > end {
				return
			}
			w.submitClass(k)
			w.after(w.interarrival(k), next)
		}
		w.after(time.Second+w.interarrival(k), next)
	}
}

// interarrival returns a random time between two jobs of class k.
func (w *World) interarrival(k int) time.Duration {
	rate := w.cfg.Classes[k].Rate
	if w.Surge > 0 {
		rate *= w.Surge
	}
	return time.Duration(w.workloadRand.ExpFloat64() / rate * float64(time.Second))
}

// logNormal returns a log-normal random factor with mean 1 and the given standard deviation of
// its logarithm.
func (w *World) logNormal(spread float64) float64 {
	return math.Exp(spread*w.workloadRand.NormFloat64() - spread*spread/2)
}

// submitClass submits a random job of class k.
func (w *World) submitClass(k int) {
	class, shape := w.cfg.Classes[k], w.cfg.Shape
	w.Counts.Jobs++
	id := fmt.Sprintf("%016x", w.Counts.Jobs)
	count := min(class.MostTasks, max(1, int(math.Round(float64(class.Tasks)*w.logNormal(shape.CountSpread)))))
	work := min(class.Longest, time.Duration(float64(class.Work)*w.logNormal(shape.WorkSpread)))
	guess := time.Duration(shape.GuessBias * float64(work) * w.logNormal(shape.GuessError))
	c := &caller{w: w, done: make(map[task.ID]bool), failedRuns: make(map[task.ID]int), class: k,
		typicalDuration: work, sentAt: w.now()}
	for range count {
		c.taskDurations = append(c.taskDurations, time.Duration(float64(work)*w.logNormal(shape.TaskSpread)))
	}
	c.spec = task.Job{
		ID: id, Queue: class.Name, Service: service, Spec: w.specOf(id), Attempts: class.Attempts,
		ObjectiveFactor: shape.Stretch, ObjectiveSlack: shape.Slack, Priority: class.Priority,
		CallerTimeout: 3*c.objective() + 1500*time.Millisecond,
		Steps:         []task.Step{{Count: count, Needs: task.Resources{CPU: taskCPU, MemoryMB: 64}, Estimate: guess}},
	}
	if c.crashesTargets = w.crashRand.Float64() < w.cfg.Crashing; c.crashesTargets {
		w.Crashes.Jobs++
		c.targetCrashes, c.startsAfterLimit = make(map[task.ID]int), make(map[task.ID]int)
	}
	classWork := class.Work.Seconds() * float64(class.Tasks)
	c.worth = class.Worth * min(maxWorthFactor,
		baseWorthShare+(1-baseWorthShare)*work.Seconds()*float64(count)/classWork)
	w.jobs[id] = c
	w.Credits[k].Jobs++
	w.Credits[k].Owed += c.worth
	c.send()
}

// objective returns the latency within which the job earns its full worth. As on the customers'
// benchmark (docs/measurements/build-farm.md), the latency depends on the longest task.
func (c *caller) objective() time.Duration {
	shape := c.w.cfg.Shape
	return time.Duration(shape.Stretch*float64(slices.Max(c.taskDurations))) + shape.Slack
}

// recordEarnings records the earnings of a workload job that completes now.
func (c *caller) recordEarnings() {
	if c.typicalDuration == 0 {
		return
	}
	age := c.w.now() - c.sentAt
	c.w.Credits[c.class].addCompleted(c, age)
	c.earnedShare = c.earnedShareAt(age)
}

// earnedShareAt returns the share of its worth that the job earns if it completes at the given
// age.
func (c *caller) earnedShareAt(age time.Duration) float64 {
	switch {
	case age <= c.objective():
		return 1
	case age <= 3*c.objective():
		return lateShare
	}
	return 0
}

// addCompleted adds the earnings of a job that completed at the given age.
func (c *Credit) addCompleted(job *caller, age time.Duration) {
	share := job.earnedShareAt(age)
	c.Earned += share * job.worth
	switch share {
	case 1:
		c.InObjective++
	case lateShare:
		c.Late++
	}
}

// Worst evaluates these fractions of the jobs of a class, those with the highest worth first,
// separately, as the customers' benchmark does.
const (
	largestFraction     = 0.1
	nextLargestFraction = 0.2
)

// Worst returns the lowest earned share of any group of jobs. The groups are, for each class,
// all jobs, the tenth with the highest worth, and the next fifth.
func (w *World) Worst() float64 {
	worst := 1.0
	for k, credit := range w.Credits {
		var jobs []*caller
		for _, c := range w.jobs {
			if c.class == k {
				jobs = append(jobs, c)
			}
		}
		slices.SortFunc(jobs, func(a, b *caller) int {
			return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.spec.ID, b.spec.ID))
		})
		largest := int(largestFraction * float64(len(jobs)))
		nextLargest := largest + int(nextLargestFraction*float64(len(jobs)))
		worst = min(worst, credit.Share(), earnedShare(jobs[:largest]), earnedShare(jobs[largest:nextLargest]))
	}
	return worst
}

// earnedShare returns the earned share of the jobs' worth.
func earnedShare(jobs []*caller) float64 {
	var sum Credit
	for _, c := range jobs {
		sum.Owed += c.worth
		sum.Earned += c.earnedShare * c.worth
	}
	return sum.Share()
}

// heldThreshold is the fraction of the objective after which the worth of a refused job counts
// as Credit.Held.
const heldThreshold = 0.25

// recordUnserved records a workload job that was refused or given up.
func (c *caller) recordUnserved() {
	if c.typicalDuration > 0 && !c.started && c.w.now()-c.sentAt > time.Duration(heldThreshold*float64(c.objective())) {
		c.w.Credits[c.class].Held += c.worth
	}
}

// KillAll kills all entries and agents at once. Targets keep running.
func (w *World) KillAll() {
	for _, e := range w.entries {
		e.kill(false)
	}
	for _, a := range w.agents {
		a.kill(false)
	}
}
