package fleet

import (
	"fmt"
	"math"
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

// What a workload's jobs have in common.
const (
	workSpread  = 0.4  // of the logarithm of the work
	countSpread = 0.4  // of the logarithm of the number of tasks
	guessError  = 0.4  // of the logarithm of the callers' guesses
	taskSpread  = 0.15 // of one job's tasks
	taskCPU     = 1600
	stretch     = 1.6
	latencyAim  = 60 * time.Millisecond
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
	class := w.cfg.Classes[k]
	w.Counts.Jobs++
	id := fmt.Sprintf("%016x", w.Counts.Jobs)
	count := min(class.MostTasks, max(1, int(math.Round(float64(class.Tasks)*w.around(countSpread)))))
	work := min(class.Longest, time.Duration(float64(class.Work)*w.around(workSpread)))
	guess := time.Duration(float64(work) * w.around(guessError))
	c := &client{w: w, done: make(map[task.ID]bool), failed: make(map[task.ID]int), class: k, work: work, sentAt: w.now()}
	for range count {
		c.lengths = append(c.lengths, time.Duration(float64(work)*w.around(taskSpread)))
	}
	c.spec = task.Job{
		ID: id, Queue: class.Name, Service: service, Spec: id, Attempts: class.Attempts,
		ObjectiveFactor: stretch, ObjectiveSlack: latencyAim, Priority: class.Priority,
		CallerTimeout: 3*c.objective() + 1500*time.Millisecond,
		Steps:         []task.Step{{Count: count, Needs: task.Needs{CPU: taskCPU, MemoryMB: 64}, Estimate: guess}},
	}
	usual := class.Work.Seconds() * float64(class.Tasks)
	c.worth = class.Worth * min(mostWorth, baseWorth+(1-baseWorth)*work.Seconds()*float64(count)/usual)
	w.jobs[id] = c
	w.Credits[k].Jobs++
	w.Credits[k].Owed += c.worth
	c.send()
}

// objective returns how long the job may take to count in full.
func (c *client) objective() time.Duration {
	return time.Duration(stretch*float64(c.work)) + latencyAim
}

// earn records a job that was completed now.
func (c *client) earn() {
	if c.work == 0 {
		return
	}
	credit := &c.w.Credits[c.class]
	switch age := c.w.now() - c.sentAt; {
	case age <= c.objective():
		credit.InAim++
		credit.Earned += c.worth
	case age <= 3*c.objective():
		credit.Late++
		credit.Earned += lateShare * c.worth
	}
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
