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

// Class is a kind of job in a workload.
type Class struct {
	Name string
	// Rate is how many such jobs come a second.
	Rate float64
	// Work is the usual length of a task on a target of speed 1, Longest the
	// most.
	Work, Longest time.Duration
	// Tasks is the usual number of tasks, MostTasks the most.
	Tasks, MostTasks int
	// Priority 0 is the most urgent.
	Priority int
	// Attempts is how many runs of a task may fail.
	Attempts int
	// Worth is what a usual job counts when it is completed in its objective.
	Worth float64
}

// Shape is what a workload's jobs have in common. Spreads are standard deviations of
// natural logarithms.
type Shape struct {
	WorkSpread  float64 // of the work of one class's jobs
	CountSpread float64 // of the number of their tasks
	GuessError  float64 // of the callers' guesses
	GuessBias   float64 // how many times the work callers guess
	TaskSpread  float64 // of one job's tasks
	Stretch     float64 // the objective over the longest task
	// Slack is what the objective allows on top.
	Slack time.Duration
}

// UsualShape returns the shape of the users' known workloads.
func UsualShape() Shape {
	return Shape{WorkSpread: 0.4, CountSpread: 0.4, GuessError: 0.4, GuessBias: 1, TaskSpread: 0.15, Stretch: 1.6, Slack: 60 * time.Millisecond}
}

const (
	// taskCPU is what one task takes, in thousandths of a core.
	taskCPU = 1600
	// lateShare is what a job counts that is completed by three times its
	// objective.
	lateShare = 0.2
	// baseWorth is the part of a job's worth that does not depend on its work,
	// and mostWorth how many times the usual it can be.
	baseWorth = 0.3
	mostWorth = 4
)

// Tracking is a workload of three classes with as many jobs a second on so many
// targets of sixteen cores as makes the given load.
func Tracking(targets int, load float64) []Class {
	const coresEach, usual = 16, 0.73 // the load of the rates below on one target
	scale := load / usual * float64(targets) / 11
	return []Class{
		{Name: "short", Rate: 34.4 * scale, Work: 60 * time.Millisecond, Longest: 240 * time.Millisecond, Tasks: 8, MostTasks: 32, Attempts: 3, Worth: 0.0291},
		{Name: "long", Rate: 6.25 * scale, Work: 900 * time.Millisecond, Longest: 3600 * time.Millisecond, Tasks: 4, MostTasks: 16, Priority: 2, Attempts: 2, Worth: 0.16},
		{Name: "middle", Rate: 100 * scale, Work: 200 * time.Millisecond, Longest: 800 * time.Millisecond, Tasks: 2, MostTasks: 8, Priority: 1, Attempts: 2, Worth: 0.01},
	}
}

// PolicyConfig returns a world that plays classes on targets of sixteen cores and
// different speeds.
func PolicyConfig(seed uint64, entries, agents int, classes []Class) Config {
	cfg := DefaultConfig(seed)
	cfg.Entries, cfg.Agents = entries, agents
	cfg.Faults, cfg.Calm = 0, 0
	cfg.Length = 12 * time.Second
	cfg.Classes = classes
	cfg.Shape = UsualShape()
	cfg.CPU = 16000
	cfg.Speeds = []float64{0.8, 1, 1.25}
	return cfg
}

// Credit is what the jobs of one class have earned.
type Credit struct {
	Jobs, InAim, Late int
	Owed, Earned      float64
	// Held is the worth of the jobs that were not served, and were not offered
	// to a target either, though they waited for long.
	Held float64
}

// Share returns what was earned of what was owed.
func (c Credit) Share() float64 {
	if c.Owed == 0 {
		return 1
	}
	return c.Earned / c.Owed
}

// Plus returns the sum of c and o.
func (c Credit) Plus(o Credit) Credit {
	return Credit{Jobs: c.Jobs + o.Jobs, InAim: c.InAim + o.InAim, Late: c.Late + o.Late, Owed: c.Owed + o.Owed,
		Earned: c.Earned + o.Earned, Held: c.Held + o.Held}
}

// Stats returns what the entries of all incarnations have counted.
func (w *World) Stats() owner.Stats {
	sum := w.ended
	for _, e := range w.entries {
		sum = addStats(sum, e.owner.Stats())
	}
	return sum
}

// addStats returns the sum of two counts.
func addStats(a, b owner.Stats) owner.Stats {
	a.Submitted += b.Submitted
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

// workload has the jobs of all classes come until the length is over.
func (w *World) workload() {
	w.Credits = make([]Credit, len(w.cfg.Classes))
	end := w.now() + w.cfg.Length
	for k := range w.cfg.Classes {
		var next func()
		next = func() {
			if w.now() > end {
				return
			}
			w.submitClass(k)
			w.after(w.pause(k), next)
		}
		w.after(time.Second+w.pause(k), next)
	}
}

// pause returns the time to the next job of class k.
func (w *World) pause(k int) time.Duration {
	rate := w.cfg.Classes[k].Rate
	if w.Surge > 0 {
		rate *= w.Surge
	}
	return time.Duration(w.load.ExpFloat64() / rate * float64(time.Second))
}

// around returns a random factor whose logarithm has the given spread and whose
// mean is 1.
func (w *World) around(spread float64) float64 {
	return math.Exp(spread*w.load.NormFloat64() - spread*spread/2)
}

// submitClass hands in a job of class k.
func (w *World) submitClass(k int) {
	class, shape := w.cfg.Classes[k], w.cfg.Shape
	w.Counts.Jobs++
	id := fmt.Sprintf("%016x", w.Counts.Jobs)
	count := min(class.MostTasks, max(1, int(math.Round(float64(class.Tasks)*w.around(shape.CountSpread)))))
	work := min(class.Longest, time.Duration(float64(class.Work)*w.around(shape.WorkSpread)))
	guess := time.Duration(shape.GuessBias * float64(work) * w.around(shape.GuessError))
	c := &client{w: w, done: make(map[task.ID]bool), failed: make(map[task.ID]int), class: k, work: work, sentAt: w.now()}
	for range count {
		c.lengths = append(c.lengths, time.Duration(float64(work)*w.around(shape.TaskSpread)))
	}
	c.spec = task.Job{
		ID: id, Queue: class.Name, Service: service, Spec: w.specOf(id), Attempts: class.Attempts,
		ObjectiveFactor: shape.Stretch, ObjectiveSlack: shape.Slack, Priority: class.Priority,
		CallerTimeout: 3*c.objective() + 1500*time.Millisecond,
		Steps:         []task.Step{{Count: count, Needs: task.Needs{CPU: taskCPU, MemoryMB: 64}, Estimate: guess}},
	}
	if c.crashing = w.poison.Float64() < w.cfg.Crashing; c.crashing {
		w.Crashes.Jobs++
		c.crashed, c.afterThree = make(map[task.ID]int), make(map[task.ID]int)
	}
	usual := class.Work.Seconds() * float64(class.Tasks)
	c.worth = class.Worth * min(mostWorth, baseWorth+(1-baseWorth)*work.Seconds()*float64(count)/usual)
	w.jobs[id] = c
	w.Credits[k].Jobs++
	w.Credits[k].Owed += c.worth
	c.send()
}

// objective returns how long the job may take to count in full: its longest task
// counts, as it does on the users' bench (docs/measurements/build-farm.md).
func (c *client) objective() time.Duration {
	shape := c.w.cfg.Shape
	return time.Duration(shape.Stretch*float64(slices.Max(c.lengths))) + shape.Slack
}

// earn records a job that was completed now.
func (c *client) earn() {
	if c.work == 0 {
		return
	}
	age := c.w.now() - c.sentAt
	c.w.Credits[c.class].earn(c, age)
	c.earned = c.share(age)
}

// share returns the share of its worth that the job earns at that age.
func (c *client) share(age time.Duration) float64 {
	switch {
	case age <= c.objective():
		return 1
	case age <= 3*c.objective():
		return lateShare
	}
	return 0
}

// earn adds what a job earns that was completed at that age.
func (c *Credit) earn(job *client, age time.Duration) {
	share := job.share(age)
	c.Earned += share * job.worth
	switch share {
	case 1:
		c.InAim++
	case lateShare:
		c.Late++
	}
}

// Sizes of the jobs of a class that count by themselves, as on the users' bench: the
// largest tenth, and the fifth below it.
const (
	largestShare = 0.1
	nextShare    = 0.2
)

// Worst returns the least share that a class has earned, or the largest tenth of a
// class, or the fifth below it.
func (w *World) Worst() float64 {
	worst := 1.0
	for k, credit := range w.Credits {
		var jobs []*client
		for _, c := range w.jobs {
			if c.class == k {
				jobs = append(jobs, c)
			}
		}
		slices.SortFunc(jobs, func(a, b *client) int {
			return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.spec.ID, b.spec.ID))
		})
		largest := int(largestShare * float64(len(jobs)))
		next := largest + int(nextShare*float64(len(jobs)))
		worst = min(worst, credit.Share(), earnedShare(jobs[:largest]), earnedShare(jobs[largest:next]))
	}
	return worst
}

// earnedShare returns what the jobs have earned of what they are worth.
func earnedShare(jobs []*client) float64 {
	var sum Credit
	for _, c := range jobs {
		sum.Owed += c.worth
		sum.Earned += c.earned * c.worth
	}
	return sum.Share()
}

// heldShare is the share of its objective from which on a job that is refused
// counts as held.
const heldShare = 0.25

// unserved records a job that was refused or given up.
func (c *client) unserved() {
	if c.work > 0 && !c.started && c.w.now()-c.sentAt > time.Duration(heldShare*float64(c.objective())) {
		c.w.Credits[c.class].Held += c.worth
	}
}

// KillAll ends all processes at once, and those who call find nobody until they
// are back: their targets run on.
func (w *World) KillAll() {
	for _, e := range w.entries {
		e.kill(false)
	}
	for _, a := range w.agents {
		a.kill(false)
	}
}
