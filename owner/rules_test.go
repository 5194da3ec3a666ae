package owner

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// Guards against unbounded memory and send queues.
func TestJobBeyondLimitsIsNotAdmitted(t *testing.T) {
	assert.Equal(t, admit(0, 0), code.OK)
	assert.Equal(t, admit(maxJobs-1, maxLinkDelay), code.OK)
	assert.Equal(t, admit(maxJobs, 0), code.QueueFull)
	assert.Equal(t, admit(0, maxLinkDelay+1), code.JobLinkFull)
}

// Under GoalServed, a job must not be refused while it can meet its late objective, nor after it
// has waited for maxRefusalShare of its objective.
func TestGoalServedRefusesOnlyLateJobsWithinWindow(t *testing.T) {
	usual := queuePosition{waited: 100 * ms, objective: 500 * ms, untilLatestStart: 100 * ms,
		untilLatestLateStart: 900 * ms}
	with := func(change func(*queuePosition)) queuePosition {
		p := usual
		change(&p)
		return p
	}
	for _, c := range []struct {
		name          string
		p             queuePosition
		worth, served bool
	}{
		{"can meet its objective", with(func(p *queuePosition) { p.wait = 50 * ms }), false, false},
		{"can meet its late objective", with(func(p *queuePosition) { p.wait = 500 * ms }), true, false},
		{"misses its late objective", with(func(p *queuePosition) { p.wait = time.Second }), true, true},
		{"missed its objective, a job ahead has not",
			with(func(p *queuePosition) { p.missesObjective, p.earlierJobMeets = true, true }), true, false},
		{"has just arrived", with(func(p *queuePosition) { p.wait, p.waited = time.Second, 40*ms }), false, false},
		{"has waited longer than the refusal window",
			with(func(p *queuePosition) { p.wait, p.waited = time.Second, 130*ms }), true, false},
	} {
		assert.Equal(t, c.p.shouldRefuse(), c.worth, c.name)
		assert.Equal(t, c.p.shouldRefuseGoalServed(), c.served, c.name)
	}
}

// TestJobsMeetObjectivesAfterLongUptime guards against an entry that counts each job as too
// late for its objective once the process has run for an hour.
func TestJobsMeetObjectivesAfterLongUptime(t *testing.T) {
	for _, uptime := range []time.Duration{10 * time.Second, 59 * time.Minute, 2 * time.Hour} {
		t.Run(uptime.String(), func(t *testing.T) {
			b := newHarness(t, "a")
			b.now += uptime
			b.reportState("a", 0, 1, 0)
			b.submit(jobOf("1", 1))
			j := b.jobs["1"]
			j.rank = j.rankAt(b.now)
			assert.Assert(t, b.now <= j.rankInputs(b.now).latestStart())
			assert.Assert(t, !j.missesObjective())
		})
	}
}

// Guards against serving a less urgent job first.
func TestMoreUrgentJobRanksFirst(t *testing.T) {
	usual := rankInputs{now: time.Second, objectiveAt: 1500 * ms, lateObjectiveAt: 2500 * ms, remaining: 200 * ms,
		spread: math.Log(1.2) / marginDeviations}
	with := func(change func(*rankInputs)) rankInputs {
		r := usual
		change(&r)
		return r
	}
	assert.Equal(t, usual.latestStart().Round(ms), 1260*ms) // 1500 ms - 1.2 * 200 ms
	for _, c := range []struct {
		name          string
		first, second rankInputs
	}{
		{"less time left", with(func(r *rankInputs) { r.objectiveAt -= 10 * ms }), usual},
		{"more work left", with(func(r *rankInputs) { r.remaining += 10 * ms }), usual},
		{"larger estimation error", with(func(r *rankInputs) { r.spread *= 2 }), usual},
		{"longer start span", with(func(r *rankInputs) { r.startSpan = 10 * ms }), usual},
		{"most urgent priority", usual,
			with(func(r *rankInputs) { r.priority, r.objectiveAt = 1, r.objectiveAt-20*ms })},
		{"next priority", with(func(r *rankInputs) { r.priority = 1 }), with(func(r *rankInputs) { r.priority = 2 })},
		{"started job", with(func(r *rankInputs) { r.started, r.objectiveAt = true, r.objectiveAt+30*ms }), usual},
		{"can meet its objective", with(func(r *rankInputs) { r.objectiveAt += time.Minute }),
			with(func(r *rankInputs) { r.objectiveAt = r.now })},
		{"can meet its objective hours later", with(func(r *rankInputs) { r.objectiveAt += 3 * time.Hour }),
			with(func(r *rankInputs) { r.objectiveAt = r.now })},
		{"late jobs: earlier late objective",
			with(func(r *rankInputs) { r.objectiveAt, r.lateObjectiveAt = r.now, r.now+600*ms }),
			with(func(r *rankInputs) { r.objectiveAt, r.lateObjectiveAt = r.now, r.now+700*ms })},
	} {
		assert.Assert(t, c.first.rank().compare(c.second.rank()) < 0, c.name)
	}
}

// Guards against placing a task on a worse target while a better one has room.
func TestBetterTargetCostsLess(t *testing.T) {
	s := task.Step{Needs: task.Resources{CPU: 1000}, Estimate: 100 * ms}
	usual := candidate{speed: 1, capacity: task.Resources{CPU: 16000}, free: task.Resources{CPU: 16000}}
	with := func(change func(*candidate)) candidate {
		c := usual
		change(&c)
		return c
	}
	for _, c := range []struct {
		name          string
		first, second candidate
	}{
		{"faster target", with(func(c *candidate) { c.speed = 1.2 }), usual},
		{"emptier target", usual, with(func(c *candidate) { c.free.CPU = 8000 })},
		{"more room than the task needs", with(func(c *candidate) { c.free.CPU = 2000 }),
			with(func(c *candidate) { c.free.CPU = 1000 })},
		{"near the data", usual, with(func(c *candidate) { c.far = true })},
		{"slow but not ejected", with(func(c *candidate) { c.speed = minSpeed }),
			with(func(c *candidate) { c.ejected = true })},
	} {
		assert.Assert(t, c.first.cost(s, 1.5) < c.second.cost(s, 1.5), c.name)
	}
	assert.Equal(t, usual.cost(task.Step{Estimate: 100 * ms}, 1.5), 0.1, "a task without needs has no last-room cost")
}

// Guards against refusing or giving up jobs that can still be done in time, and against keeping
// jobs that can't.
func TestOnlyJobsOutOfTimeAreEnded(t *testing.T) {
	usual := deadlineState{arrived: time.Second, lateObjectiveAt: 2 * time.Second, remaining: 300 * ms}
	for _, c := range []struct {
		name   string
		at     time.Duration
		change func(*deadlineState)
		want   code.Code
	}{
		{"enough time", 1700 * ms, nil, code.OK},
		{"optimistic remaining time just fits", 1790 * ms, nil, code.OK},
		{"misses its late objective", 1791 * ms, nil, code.JobOutOfTime},
		{"caller deadline before the end", 1100 * ms, func(p *deadlineState) { p.callerDeadline = 1300 * ms },
			code.JobCallerTimeout},
		{"caller deadline after the end", 1090 * ms, func(p *deadlineState) { p.callerDeadline = 1300 * ms }, code.OK},
		{"started, before the answer margin", 1279 * ms,
			func(p *deadlineState) { p.started, p.callerDeadline = true, 1300*ms }, code.OK},
		{"started, at the answer margin", 1280 * ms,
			func(p *deadlineState) { p.started, p.callerDeadline = true, 1300*ms }, code.JobCallerTimeout},
		{"started, tasks wait, at the limit", 2200 * ms,
			func(p *deadlineState) { p.started, p.hasStartable = true, true }, code.OK},
		{"started, tasks wait, past the limit", 2201 * ms,
			func(p *deadlineState) { p.started, p.hasStartable = true, true }, code.JobTooLate},
		{"started, all tasks run, at the limit", 2600 * ms, func(p *deadlineState) { p.started = true }, code.OK},
		{"started, all tasks run, past the limit", 2601 * ms, func(p *deadlineState) { p.started = true },
			code.JobTooLate},
	} {
		p := usual
		p.now = c.at
		if c.change != nil {
			c.change(&p)
		}
		assert.Equal(t, p.endCause(), c.want, c.name)
	}
}

// Guards against refusing a job whose turn comes in time, or keeping one that delays others.
func TestOnlyDelayedJobsAreRefusedInBacklog(t *testing.T) {
	for _, c := range []struct {
		name     string
		position queuePosition
		want     bool
	}{
		{"turn comes in time",
			queuePosition{waited: 100 * ms, objective: 500 * ms, untilLatestStart: 200 * ms, wait: 200 * ms}, false},
		{"turn comes too late",
			queuePosition{waited: 100 * ms, objective: 500 * ms, untilLatestStart: 200 * ms, wait: 201 * ms}, true},
		{"has just arrived, long wait",
			queuePosition{waited: 49 * ms, objective: 500 * ms, untilLatestStart: 200 * ms, wait: time.Second}, false},
		{"missed its objective, so did all ahead",
			queuePosition{waited: 100 * ms, objective: 500 * ms, missesObjective: true, wait: time.Second}, false},
		{"missed its objective, a job ahead has not, no wait",
			queuePosition{waited: 100 * ms, objective: 500 * ms, missesObjective: true, earlierJobMeets: true}, true},
	} {
		assert.Equal(t, c.position.shouldRefuse(), c.want, c.name)
	}
}

// Guards against stopping or failing runs too early or never.
func TestRunsEndOnlyBeyondOverdueAndAttemptLimits(t *testing.T) {
	assert.Assert(t, !runOverdue(350*ms, 100*ms, 1, 0.15, 0))
	assert.Assert(t, runOverdue(351*ms, 100*ms, 1, 0.15, 0))
	assert.Assert(t, !runOverdue(600*ms, 100*ms, 0.5, 0.15, 0), "a slow target gets more time")
	// exp(overdueDeviations * 0.4) * 100 ms + overdueSlack is 838.9 ms.
	assert.Assert(t, !runOverdue(838*ms, 100*ms, 1, 0.4, 0), "a larger estimation error gives more time")
	assert.Assert(t, runOverdue(840*ms, 100*ms, 1, 0.4, 0))

	assert.Assert(t, !runOverdue(600*ms, 100*ms, 1, 0.15, 1), "an earlier overdue run doubles the limit")
	assert.Assert(t, runOverdue(601*ms, 100*ms, 1, 0.15, 1))

	assert.Assert(t, !attemptsUsedUp(1, 1, 2))
	assert.Assert(t, attemptsUsedUp(2, 2, 2))
	assert.Assert(t, !attemptsUsedUp(6, 0, 2), "target failures have a higher limit")
	assert.Assert(t, attemptsUsedUp(7, 0, 2))
}

// Guards against tasks of a blocked step that make the job more urgent by its start span.
func TestDependentTasksDoNotCountAsStartable(t *testing.T) {
	j := newJob(0, task.Job{Steps: []task.Step{{Count: 2}, {Count: 5, DependsOn: []int{0}}}})
	assert.Equal(t, j.startableTasks(), 2)
	for n := range 2 {
		j.setPhase(0, n, done)
	}
	assert.Equal(t, j.startableTasks(), 5)
}
