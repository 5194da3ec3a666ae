package owner

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

func TestAdmission(t *testing.T) {
	assert.Equal(t, admit(0, 0), code.OK)
	assert.Equal(t, admit(maxJobs-1, maxLinkDelay), code.OK)
	assert.Equal(t, admit(maxJobs, 0), code.QueueFull)
	assert.Equal(t, admit(0, maxLinkDelay+1), code.JobLinkFull)
}

// TestRefusingWhereBeingServedCounts: a job that can still be late waits, and after a quarter of
// its objective none is refused for those before it.
func TestMostServedRefusesOnlyHopelessJobsEarly(t *testing.T) {
	usual := queuePosition{waited: 100 * ms, objective: 500 * ms, untilLatestStart: 100 * ms, untilLatestLate: 900 * ms}
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
		{"it can be in time", with(func(p *queuePosition) { p.wait = 50 * ms }), false, false},
		{"it can be late", with(func(p *queuePosition) { p.wait = 500 * ms }), true, false},
		{"it can't even be late", with(func(p *queuePosition) { p.wait = time.Second }), true, true},
		{"it has missed its objective, others have not", with(func(p *queuePosition) { p.missesObjective, p.earlierJobMeets = true, true }), true, false},
		{"it has just come", with(func(p *queuePosition) { p.wait, p.waited = time.Second, 40*ms }), false, false},
		{"it has waited for long", with(func(p *queuePosition) { p.wait, p.waited = time.Second, 130*ms }), true, false},
	} {
		assert.Equal(t, c.p.shouldRefuse(), c.worth, c.name)
		assert.Equal(t, c.p.shouldRefuseMostServed(), c.served, c.name)
	}
}

// TestOrder shows which of two jobs is served first. Unless a case says otherwise a
// job has 200 ms of work left, which may take 1.2 times as long, and its objective in
// 500 ms: its latest start is in 260 ms.
func TestRankOrder(t *testing.T) {
	usual := urgency{now: time.Second, objectiveAt: 1500 * ms, lateObjectiveAt: 2500 * ms, remaining: 200 * ms,
		spread: math.Log(1.2) / marginDeviations}
	with := func(change func(*urgency)) urgency {
		u := usual
		change(&u)
		return u
	}
	assert.Equal(t, usual.latestStart().Round(ms), 1260*ms)
	for _, c := range []struct {
		name          string
		first, second urgency
	}{
		{"less time left", with(func(u *urgency) { u.objectiveAt -= 10 * ms }), usual},
		{"more work left", with(func(u *urgency) { u.remaining += 10 * ms }), usual},
		{"estimates that err more", with(func(u *urgency) { u.spread *= 2 }), usual},
		{"starts that are further apart", with(func(u *urgency) { u.startSpan = 10 * ms }), usual},
		{"the most urgent priority", usual, with(func(u *urgency) { u.priority, u.objectiveAt = 1, u.objectiveAt-20*ms })},
		{"the next priority", with(func(u *urgency) { u.priority = 1 }), with(func(u *urgency) { u.priority = 2 })},
		{"a started job", with(func(u *urgency) { u.started, u.objectiveAt = true, u.objectiveAt+30*ms }), usual},
		{"one that can meet its objective", with(func(u *urgency) { u.objectiveAt += time.Minute }), with(func(u *urgency) { u.objectiveAt = u.now })},
		{"of late jobs, the one that counts for less long", with(func(u *urgency) { u.objectiveAt, u.lateObjectiveAt = u.now, u.now+600*ms }),
			with(func(u *urgency) { u.objectiveAt, u.lateObjectiveAt = u.now, u.now+700*ms })},
	} {
		assert.Assert(t, c.first.rank() < c.second.rank(), c.name)
	}
}

// TestPlacement shows which of two targets a task of 100 ms goes to.
func TestCandidateCost(t *testing.T) {
	s := task.Step{Needs: task.Needs{CPU: 1000}, Estimate: 100 * ms}
	usual := candidate{speed: 1, capacity: task.Needs{CPU: 16000}, free: task.Needs{CPU: 16000}}
	with := func(change func(*candidate)) candidate {
		c := usual
		change(&c)
		return c
	}
	for _, c := range []struct {
		name          string
		first, second candidate
	}{
		{"the faster", with(func(c *candidate) { c.speed = 1.2 }), usual},
		{"the emptier", usual, with(func(c *candidate) { c.free.CPU = 8000 })},
		{"more than the last room", with(func(c *candidate) { c.free.CPU = 2000 }), with(func(c *candidate) { c.free.CPU = 1000 })},
		{"near its data", usual, with(func(c *candidate) { c.far = true })},
		{"slow rather than ejected", with(func(c *candidate) { c.speed = minSpeed }), with(func(c *candidate) { c.ejected = true })},
	} {
		assert.Assert(t, c.first.cost(s, 1.5) < c.second.cost(s, 1.5), c.name)
	}
	assert.Equal(t, usual.cost(task.Step{Estimate: 100 * ms}, 1.5), 0.1, "a task without needs takes no last room")
}

// TestRefusalAndGivingUp shows what becomes of a job that arrived at 1 s with a late
// objective of 1 s, 300 ms of work left and no deadline of its caller.
func TestDeadlineRefusalCause(t *testing.T) {
	usual := deadlineState{arrived: time.Second, lateObjectiveAt: 2 * time.Second, remaining: 300 * ms}
	for _, c := range []struct {
		name   string
		at     time.Duration
		change func(*deadlineState)
		want   code.Code
	}{
		{"time enough", 1700 * ms, nil, code.OK},
		{"the optimistic rest ends just in time", 1790 * ms, nil, code.OK},
		{"it ends too late", 1791 * ms, nil, code.JobOutOfTime},
		{"the caller leaves before it ends", 1100 * ms, func(p *deadlineState) { p.callerDeadline = 1300 * ms }, code.JobCallerLeaves},
		{"it ends before the caller leaves", 1090 * ms, func(p *deadlineState) { p.callerDeadline = 1300 * ms }, code.OK},
		{"started, the caller stays a little", 1279 * ms, func(p *deadlineState) { p.started, p.callerDeadline = true, 1300*ms }, code.OK},
		{"started, the caller leaves now", 1280 * ms, func(p *deadlineState) { p.started, p.callerDeadline = true, 1300*ms }, code.JobCallerLeaves},
		{"started, tasks wait, a fifth too late", 2200 * ms, func(p *deadlineState) { p.started, p.waiting = true, true }, code.OK},
		{"started, tasks wait, more than that", 2201 * ms, func(p *deadlineState) { p.started, p.waiting = true, true }, code.JobTooLate},
		{"started, all tasks run", 2600 * ms, func(p *deadlineState) { p.started = true }, code.OK},
		{"started, all tasks run for too long", 2601 * ms, func(p *deadlineState) { p.started = true }, code.JobTooLate},
	} {
		p := usual
		p.now = c.at
		if c.change != nil {
			c.change(&p)
		}
		assert.Equal(t, p.refusalCause(), c.want, c.name)
	}
}

// TestRefusalBehindOthers shows when a waiting job is refused because of those
// before it.
func TestRefusalInBacklog(t *testing.T) {
	for _, c := range []struct {
		name  string
		place queuePosition
		want  bool
	}{
		{"its turn comes in time", queuePosition{waited: 100 * ms, objective: 500 * ms, untilLatestStart: 200 * ms, wait: 200 * ms}, false},
		{"its turn comes too late", queuePosition{waited: 100 * ms, objective: 500 * ms, untilLatestStart: 200 * ms, wait: 201 * ms}, true},
		{"it has only just come", queuePosition{waited: 49 * ms, objective: 500 * ms, untilLatestStart: 200 * ms, wait: time.Second}, false},
		{"too late, as are all before it", queuePosition{waited: 100 * ms, objective: 500 * ms, missesObjective: true, wait: time.Second}, false},
		{"too late, others are not", queuePosition{waited: 100 * ms, objective: 500 * ms, missesObjective: true, earlierJobMeets: true}, true},
	} {
		assert.Equal(t, c.place.shouldRefuse(), c.want, c.name)
	}
}

func TestOverdueAndAttemptLimits(t *testing.T) {
	assert.Assert(t, !runOverdue(350*ms, 100*ms, 1, 0.15, 0))
	assert.Assert(t, runOverdue(351*ms, 100*ms, 1, 0.15, 0))
	assert.Assert(t, !runOverdue(600*ms, 100*ms, 0.5, 0.15, 0), "a slow target is given more time")
	assert.Assert(t, !runOverdue(838*ms, 100*ms, 1, 0.4, 0), "estimates that err more give more time")
	assert.Assert(t, runOverdue(840*ms, 100*ms, 1, 0.4, 0))

	assert.Assert(t, !runOverdue(600*ms, 100*ms, 1, 0.15, 1), "a task that was overdue elsewhere takes long itself")
	assert.Assert(t, runOverdue(601*ms, 100*ms, 1, 0.15, 1))

	assert.Assert(t, !attemptsUsedUp(1, 1, 2))
	assert.Assert(t, attemptsUsedUp(2, 2, 2))
	assert.Assert(t, !attemptsUsedUp(6, 0, 2), "failures of targets count for little")
	assert.Assert(t, attemptsUsedUp(7, 0, 2))
}

// TestOnlyStartsThatCanBeMadeCountForTheirSpan: tasks of a step that waits for another
// are not started now, so that they don't make the first starts more urgent.
func TestDependentTasksDoNotCountAsWaiting(t *testing.T) {
	j := newJob(0, task.Job{Steps: []task.Step{{Count: 2}, {Count: 5, DependsOn: []int{0}}}})
	assert.Equal(t, j.waitingTasks(), 2)
	for n := range 2 {
		j.setPhase(0, n, done)
	}
	assert.Equal(t, j.waitingTasks(), 5)
}
