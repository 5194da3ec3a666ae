package owner

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// When a run or a job is given up.
const (
	// overdueFactor and moveSlack say how far past its likely time a run is
	// stopped and tried elsewhere.
	overdueFactor = 3.5
	overdueSlack  = 100 * time.Millisecond
	// waitingLateFactor is how much more than the late objective a job with started
	// tasks may take before it is given up, and runRatio where none of its
	// tasks waits for a start: estimates are off.
	waitingLateFactor = 1.2
	runningLateFactor = 1.6
	// optimism is the share of the estimate that a waiting job is taken to
	// need at least.
	optimism = 0.7
	// answerMargin is how long before the caller stops waiting it gets the
	// final word.
	answerMargin = 20 * time.Millisecond
	// failureBackoff is how long an agent that failed a task is not tried again
	// with it; bounceTime how long one that refused it.
	failureBackoff   = 3 * time.Second
	rejectionBackoff = 30 * time.Millisecond
	// maxTargetFailures bounds the runs of a task whose failures are the workers'.
	maxTargetFailures = 5
	// retryAfter is when a refused caller should come back.
	retryAfter = time.Second
)

// Connected takes note of a connection to an agent.
func (o *Owner) Connected(now time.Duration, name string) {
	defer o.flush(now)
	a := o.agents[name]
	if a == nil {
		a = &agent{name: name, tasks: make(map[task.ID]*job)}
		o.agents[name] = a
		o.byName = insert(o.byName, a)
	}
	a.connected = true
	a.heardAt = now
	a.profile = peer.Profile{}
	a.state = peer.State{}
	a.pending = nil
	a.roomRequested = false
	a.out = peer.Frame{}
	a.dirty = true
	o.Log.Info(event.AgentConnected, "agent", name)
}

func insert(list []*agent, a *agent) []*agent {
	k := 0
	for k < len(list) && list[k].name < a.name {
		k++
	}
	list = append(list, nil)
	copy(list[k+1:], list[k:])
	list[k] = a
	return list
}

// Disconnected takes note that the connection to an agent is gone, and that the
// last frame there was sent at lastSent.
func (o *Owner) Disconnected(now, lastSent time.Duration, name string) {
	defer o.flush(now)
	a := o.agents[name]
	if a == nil || !a.connected {
		return
	}
	a.connected = false
	a.out = peer.Frame{}
	a.dirty = false
	a.clearAt = max(a.clearAt, lastSent+o.ClearTime)
	for _, id := range a.taskIDs() {
		j := a.tasks[id]
		j.setPhase(id.Step, id.Index, uncertain)
	}
	o.Log.Info(event.AgentLost, "agent", name, "runs", len(a.tasks), "clear_in_ms", (a.clearAt - now).Milliseconds())
}

// clearAgent frees the tasks that were in doubt at a: nothing of them is left there.
func (o *Owner) clearAgent(now time.Duration, a *agent) {
	a.clearAt = 0
	for _, id := range a.taskIDs() {
		j := a.tasks[id]
		t := j.find(id)
		if t.phase != uncertain {
			continue
		}
		delete(a.tasks, id)
		j.setPhase(id.Step, id.Index, waiting)
		o.requeue(now, j)
	}
}

// requeue puts j back into its queue, if it is still owned.
func (o *Owner) requeue(now time.Duration, j *job) {
	if o.jobs[j.spec.ID] == j && j.startable() {
		o.queue(j.spec.Service).add(now, j)
	}
}

// Receive takes an agent's frame.
func (o *Owner) Receive(now time.Duration, name string, f *peer.Frame) {
	defer o.flush(now)
	a := o.agents[name]
	if a == nil || !a.connected {
		return
	}
	a.heardAt = now
	if f.State != nil {
		o.updateState(now, a, f.State)
	}
	for _, e := range f.Ended {
		o.runEnded(now, a, e)
	}
	if f.Reservation != nil {
		o.useReservation(now, a, f.Reservation)
	}
	if f.State != nil || len(f.Ended) > 0 {
		o.schedule(now, o.queue(a.profile.Service))
	}
}

// updateState takes an agent's state.
func (o *Owner) updateState(now time.Duration, a *agent, st *peer.State) {
	turned := st.Health == peer.Ejected && a.state.Health != peer.Ejected
	a.applyState(st)
	if st.Cleared && a.clearAt > 0 {
		o.clearAgent(now, a)
	}
	if turned {
		o.Log.Info(event.AgentTargetEjected, "agent", a.name, "worker", a.profile.Target, "runs", len(a.tasks))
		o.moveRuns(now, a)
	}
}

// moveRuns stops all runs at a sick worker, so that they are tried elsewhere.
func (o *Owner) moveRuns(now time.Duration, a *agent) {
	for _, id := range a.taskIDs() {
		j := a.tasks[id]
		t := j.find(id)
		if t.phase == placed {
			o.stopRun(now, a, id, t, code.RunMovedEjected)
		}
	}
}

// stopRun has a run stopped; its task waits for the word that it has ended.
func (o *Owner) stopRun(now time.Duration, a *agent, id task.ID, t *taskState, why code.Code) {
	if t.stopSent {
		return
	}
	t.stopSent = true
	t.avoid = a.name
	t.avoidUntil = now + failureBackoff
	a.out.Stops = append(a.out.Stops, task.Ref{Task: id, Run: t.run})
	a.dirty = true
	o.stats.Moved++
	o.Log.Info(event.TaskMoved, "task", id.String(), "run", t.run, "agent", a.name, "why", why.String(), "age_ms", (now - t.sentAt).Milliseconds())
}

// runEnded takes the end of a run.
func (o *Owner) runEnded(now time.Duration, a *agent, e peer.Ended) {
	id := e.Ref.Task
	j := a.tasks[id]
	if j == nil {
		return // the job is answered, or the run is of an earlier connection
	}
	t := j.find(id)
	if t.run != e.Ref.Run || t.phase != placed {
		return
	}
	delete(a.tasks, id)
	switch e.End {
	case task.EndDone:
		o.learn(j, id.Step, a, e.Took)
		o.observe(StageRunning, now-t.sentAt)
		o.taskDone(now, j, id)
		return
	case task.EndFailed:
		if o.taskFailed(now, a, j, t, e) {
			return
		}
	case task.EndRejected:
		o.startRejected(now, a, j, t, e)
	default:
		t.avoid = a.name
		t.avoidUntil = now + rejectionBackoff
	}
	j.setPhase(id.Step, id.Index, waiting)
	o.Log.Info(event.TaskWaits, "task", id.String(), "run", e.Ref.Run, "agent", a.name, "end", e.End.String(), "why", e.Reason.String(),
		"failures", t.failures, "tries", t.tries)
	o.requeue(now, j)
}

// taskDone takes note of a task that ended well.
func (o *Owner) taskDone(now time.Duration, j *job, id task.ID) {
	j.setPhase(id.Step, id.Index, done)
	if j.undone == 0 {
		o.answer(now, j, Answer{Kind: Completed, Why: code.JobAllDone})
		return
	}
	if j.steps[id.Step].undone == 0 {
		o.requeue(now, j) // a later step may begin
	}
}

// taskFailed takes note of a failed run, and reports whether its job has failed
// with it.
func (o *Owner) taskFailed(now time.Duration, a *agent, j *job, t *taskState, e peer.Ended) bool {
	t.avoid = a.name
	t.avoidUntil = now + failureBackoff
	t.failures++
	if !slices.Contains(j.failedAt, a.name) {
		j.failedAt = append(j.failedAt, a.name)
	}
	if !e.TargetFault {
		t.taskFailures++
	}
	if t.taskFailures < j.spec.Attempts && t.failures < j.spec.Attempts+maxTargetFailures {
		return false
	}
	o.answer(now, j, Answer{Kind: Failed, Why: code.JobAttempts})
	return true
}

// turnedDown reports whether an order with that end never left its agent.
func turnedDown(why code.Code) bool {
	return why == code.RunNoRoom || why == code.RunNotTaking || why == code.RunStaleOwner
}

// startRejected takes note of a run that did not begin.
func (o *Owner) startRejected(now time.Duration, a *agent, j *job, t *taskState, e peer.Ended) {
	o.stats.Rejected++
	if turnedDown(e.Reason) {
		j.orders--
	}
	t.tries--
	t.avoid = a.name
	t.avoidUntil = now + rejectionBackoff
	if e.Reason == code.RunOld {
		t.run *= 2 // the worker has seen a run as high as this one
	}
}

// checkDeadlines looks whether j is to be given up, or a run of it to be moved.
func (o *Owner) checkDeadlines(now time.Duration, j *job) {
	if j.clearAt > 0 && now >= j.clearAt {
		j.clearAt = 0
		o.requeue(now, j)
	}
	switch {
	case j.callerDeadline > 0 && now >= j.callerDeadline-answerMargin:
		o.giveUp(now, j, code.JobCallerLeaves)
		return
	case !j.begun() && now+j.minRemaining() > j.lateObjectiveAt:
		o.giveUp(now, j, code.JobHopeless)
		return
	case !j.begun() && j.callerDeadline > 0 && now+j.minRemaining() > j.callerDeadline:
		o.giveUp(now, j, code.JobCallerLeaves)
		return
	case j.begun() && now > j.arrived+time.Duration(j.lateAllowance()*float64(j.lateObjectiveAt-j.arrived)):
		o.giveUp(now, j, code.JobTooLate)
		return
	}
	for k := range j.steps {
		for n := range j.steps[k].tasks {
			o.checkOverdue(now, j, k, n)
		}
	}
}

// minRemaining returns how long the rest of j takes at the least.
func (j *job) minRemaining() time.Duration {
	return time.Duration(optimism * float64(j.remaining()))
}

// lateAllowance returns how many times its late objective j may take.
func (j *job) lateAllowance() float64 {
	if j.startable() {
		return waitingLateFactor
	}
	return runningLateFactor
}

// checkOverdue moves a run that is far past its likely time.
func (o *Owner) checkOverdue(now time.Duration, j *job, step, index int) {
	t := &j.steps[step].tasks[index]
	a := o.agents[t.agent]
	if t.phase != placed || t.stopSent || a == nil || !a.connected {
		return
	}
	likely := float64(j.spec.Steps[step].Estimate) / max(a.state.Speed, minSpeed)
	if now-t.sentAt > time.Duration(overdueFactor*likely)+overdueSlack {
		o.stopRun(now, a, task.ID{Job: j.spec.ID, Step: step, Index: index}, t, code.RunMovedOverdue)
	}
}

// giveUp answers j without its work being done.
func (o *Owner) giveUp(now time.Duration, j *job, why code.Code) {
	if j.begun() {
		o.answer(now, j, Answer{Kind: GivenUp, Why: why, Retry: retryAfter})
		return
	}
	o.answer(now, j, Answer{Kind: Refused, Why: why, Retry: retryAfter})
}
