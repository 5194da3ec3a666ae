package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/supervisor"
	"github.com/beaconpoint/beaconpoint/task"
)

// maxStopTime is the longest time from a stop order to the end of the run.
const maxStopTime = 50 * time.Millisecond

const (
	// coldTime is how long a target is cold.
	coldTime = 3 * time.Second
	// coldSlowdown is the initial factor on the task durations of a cold target. The factor
	// decreases linearly to 1.
	coldSlowdown = 3.0
)

// drainGrace is how long runs may still start on a target after it began to drain.
const drainGrace = 2 * time.Second

// Timeouts of an agent's calls to its target.
const (
	orderTimeout   = 300 * time.Millisecond // of orders to start or stop a run
	renewalTimeout = 40 * time.Millisecond  // of renewals, in addition to their wait time
)

// Behaviour describes the faults of a target.
type Behaviour struct {
	// Lost is the share of calls that are carried out at once and not answered. Late is the
	// share of calls that are carried out up to 12 s later and not answered.
	Lost, Late float64
	// Slow is a factor on task durations, Failing the share of runs that fail. Hanging keeps
	// tasks from ending.
	Slow    float64
	Failing float64
	Hanging bool
	// StartTakes is the longest time that the target takes to carry out a start. It handles one
	// start at a time and rejects those that arrive meanwhile.
	StartTakes time.Duration
}

// emulatedTarget emulates a target. It keeps a lease on its own clock, lists running and ended
// runs, and rejects lower fencing tokens. It does not enforce its capacity: the world reports
// overcommitment as a violation.
type emulatedTarget struct {
	w               *World
	id              string
	startedMS       int64 // virtual time of the incarnation's start in ms; zero if not reported
	keepsID         bool  // the next incarnation keeps the ID
	hall            string
	incarnation     int
	up              bool
	clockRate       float64       // relative to virtual time
	startedAt       time.Duration // start of the incarnation
	capacity        task.Resources
	startCount      int           // runs started by all incarnations
	shrunkAt        time.Duration // last reduction of the capacity
	speed           float64       // 1 is normal
	leaseDeadline   time.Duration // on the target's clock
	highestToken    uint64
	runs            map[string]*emulatedRun
	endedRuns       []supervisor.ListedEnd // not yet acknowledged by a renewal
	endCount        uint64                 // in this incarnation
	lastFinishedRun map[string]int         // by task name, the number of the last run that was stopped or ended
	drainingSince   time.Duration          // zero if not draining
	behaviour       Behaviour
	coldUntil       time.Duration
	// startDelay, if set, delays starts. Starts are then not answered and stops are dropped.
	startDelay      time.Duration
	handlingStart   bool          // see Behaviour.StartTakes
	pendingRenewals []func() bool // renewals that wait for a run to end
}

// emulatedRun is a run on an emulated target.
type emulatedRun struct {
	order    task.Order
	name     string
	stopping bool // a stop order was received
	ended    bool
}

// newEmulatedTarget returns a target in its first incarnation.
func newEmulatedTarget(w *World, capacity task.Resources) *emulatedTarget {
	t := &emulatedTarget{w: w, capacity: capacity, speed: 1, clockRate: 0.98 + 0.02*w.rng.Float64()}
	t.startIncarnation()
	return t
}

// startIncarnation starts an incarnation with empty state.
func (t *emulatedTarget) startIncarnation() {
	t.incarnation++
	t.w.lastInstance++
	if t.keepsID {
		t.keepsID = false
	} else {
		t.id = fmt.Sprintf("i-%d", t.w.lastInstance)
	}
	if !t.w.cfg.OmitStartTime {
		t.startedMS = int64(t.w.now() / time.Millisecond)
	}
	t.up = true
	t.startedAt = t.w.now()
	t.leaseDeadline = 0
	t.highestToken = 0
	t.runs = make(map[string]*emulatedRun)
	t.endedRuns = nil
	t.endCount = 0
	t.lastFinishedRun = make(map[string]int)
	t.drainingSince = 0
	t.handlingStart = false
	t.pendingRenewals = nil
}

// crash ends the incarnation and all its runs.
func (t *emulatedTarget) crash() {
	t.up = false
	for _, r := range t.runs {
		r.ended = true
	}
	t.runs = make(map[string]*emulatedRun)
	t.incarnation++
}

func (t *emulatedTarget) clock() time.Duration {
	return time.Duration(float64(t.w.now()-t.startedAt)*t.clockRate) + time.Second
}

// heartbeat returns the content of a heartbeat.
func (t *emulatedTarget) heartbeat(seq uint64) supervisor.Report {
	return supervisor.Report{ID: t.id, StartedUnixMS: t.startedMS, Service: service, Hall: t.hall, Capacity: t.capacity,
		Draining:   t.drainingSince > 0,
		WarmupLeft: max(0, t.coldUntil-t.w.now()),
		Clock:      t.clock(), HasClock: true, Seq: seq}
}

// call carries out do as a remote call subject to the target's behaviour: the answer may be
// lost, and the call may be carried out late.
func (t *emulatedTarget) call(incarnation supervisor.Incarnation, timeout time.Duration, do func() supervisor.Reply,
	answer func(supervisor.Reply)) {
	draw := t.w.rng.Float64()
	noAnswer := supervisor.Reply{Outcome: supervisor.NoAnswer}
	run := func() supervisor.Reply { return t.carryOut(incarnation, do) }
	switch {
	case !t.up:
		t.w.after(timeout, func() { answer(noAnswer) })
	case draw < t.behaviour.Late:
		t.w.after(t.randomLateDelay(), func() {
			if t.up {
				run()
			}
		})
		t.w.after(timeout, func() { answer(noAnswer) })
	case draw < t.behaviour.Late+t.behaviour.Lost:
		run()
		t.w.after(timeout, func() { answer(noAnswer) })
	default:
		t.w.after(t.w.randomUpTo(time.Millisecond), func() {
			if !t.up {
				t.w.after(timeout, func() { answer(noAnswer) })
				return
			}
			reply := run()
			t.w.after(t.w.randomUpTo(time.Millisecond), func() { answer(reply) })
		})
	}
}

// carryOut carries out do if the call is addressed to the current incarnation.
func (t *emulatedTarget) carryOut(incarnation supervisor.Incarnation, do func() supervisor.Reply) supervisor.Reply {
	if t.id != incarnation.ID {
		return supervisor.Reply{Outcome: supervisor.WrongIncarnation}
	}
	reply := do()
	reply.Clock = t.clock().Truncate(time.Millisecond)
	reply.HasClock = true
	return reply
}

// callStart carries out a start as a remote call. An overloaded target takes its time, and
// rejects the starts that arrive before it has carried out the one that it handles.
func (t *emulatedTarget) callStart(c supervisor.StartCall, answer func(supervisor.Reply)) {
	start := func() supervisor.Reply { return t.start(c) }
	takes := t.behaviour.StartTakes
	if takes > 0 && t.handlingStart {
		start = func() supervisor.Reply { return supervisor.Reply{Outcome: t.randomRejection()} }
	}
	if takes == 0 || t.handlingStart || !t.up {
		t.call(c.Incarnation, orderTimeout, start, answer)
		return
	}
	t.handlingStart = true
	incarnation := t.incarnation
	takes = t.w.randomUpTo(takes)
	t.w.after(takes, func() {
		reply := supervisor.Reply{Outcome: supervisor.NoAnswer}
		if t.incarnation == incarnation {
			t.handlingStart = false
			reply = t.carryOut(c.Incarnation, start)
		}
		if takes < orderTimeout {
			answer(reply)
		}
	})
	if takes >= orderTimeout {
		t.w.after(orderTimeout, func() { answer(supervisor.Reply{Outcome: supervisor.NoAnswer}) })
	}
}

// randomRejection returns an outcome of a start that an overloaded target rejects.
func (t *emulatedTarget) randomRejection() supervisor.Outcome {
	if t.w.rng.IntN(2) == 0 {
		return supervisor.RejectedCapacity
	}
	return supervisor.RejectedUnhealthy
}

// randomLateDelay returns the delay of a late call. Half of the delays are at most a second, so
// that leases may still be valid.
func (t *emulatedTarget) randomLateDelay() time.Duration {
	if t.w.rng.IntN(2) == 0 {
		return t.w.randomUpTo(time.Second)
	}
	return time.Second + t.w.randomUpTo(11*time.Second)
}

// start carries out an order to start a run.
func (t *emulatedTarget) start(c supervisor.StartCall) supervisor.Reply {
	name := c.Order.Task.String()
	if c.Token < t.highestToken {
		return supervisor.Reply{Outcome: supervisor.RejectedToken}
	}
	t.highestToken = c.Token
	if r := t.runs[name]; r != nil && r.order.Run == c.Order.Run {
		return supervisor.Reply{}
	}
	if c.Deadline < t.clock() {
		return supervisor.Reply{Outcome: supervisor.RejectedDeadline}
	}
	t.extendLease(c.Deadline)
	if c.Order.Run <= t.lastFinishedRun[name] {
		return supervisor.Reply{Outcome: supervisor.RejectedStaleRun}
	}
	r := &emulatedRun{order: c.Order, name: name}
	t.w.checkRunStart(t, r)
	t.runs[name] = r
	t.startCount++
	t.scheduleEnd(r)
	if job := t.w.jobs[r.order.Task.Job]; job != nil && job.crashesTargets {
		t.w.crashSoonAfterStart(t, r)
	}
	return supervisor.Reply{}
}

// scheduleEnd schedules the end of a run.
func (t *emulatedTarget) scheduleEnd(r *emulatedRun) {
	duration := t.runDuration(r)
	if cold := t.coldUntil - t.w.now(); cold > 0 {
		duration += time.Duration(float64(duration) * (coldSlowdown - 1) * float64(cold) / float64(coldTime))
	}
	if t.behaviour.Slow > 1 {
		duration = time.Duration(float64(duration) * t.behaviour.Slow)
	}
	if t.behaviour.Hanging {
		return
	}
	end := task.EndDone
	if t.w.rng.Float64() < t.behaviour.Failing || t.w.alwaysFails[r.order.Task.Job] {
		end = task.EndFailed
	}
	t.w.after(duration, func() { t.endRun(r, end) })
}

// runDuration returns the duration of a run on a target without faults.
func (t *emulatedTarget) runDuration(r *emulatedRun) time.Duration {
	if c := t.w.jobs[r.order.Task.Job]; c != nil && c.typicalDuration > 0 {
		return time.Duration(float64(c.taskDurations[r.order.Task.Index]) / t.speed)
	}
	return time.Duration(float64(r.order.Guess) * (0.5 + t.w.rng.Float64()))
}

// extendLease extends the lease to the deadline, at most by Config.HoldMax, and schedules its
// expiry, which ends all runs.
func (t *emulatedTarget) extendLease(deadline time.Duration) {
	deadline = min(deadline, t.clock()+t.w.cfg.HoldMax)
	if deadline <= t.leaseDeadline {
		return
	}
	t.leaseDeadline = deadline
	incarnation := t.incarnation
	t.w.after(time.Duration(float64(deadline-t.clock())/t.clockRate)+time.Millisecond, func() {
		if t.incarnation != incarnation || t.clock() < t.leaseDeadline {
			return
		}
		for _, r := range t.sortedRuns() {
			t.endRun(r, task.EndLapsed)
		}
	})
}

// sortedRuns returns the running runs by name.
func (t *emulatedTarget) sortedRuns() []*emulatedRun {
	return slices.SortedFunc(maps.Values(t.runs), func(a, b *emulatedRun) int { return cmp.Compare(a.name, b.name) })
}

// endRun ends a run, adds it to the list of ended runs and answers the pending renewals.
func (t *emulatedTarget) endRun(r *emulatedRun, end task.End) {
	if t.runs[r.name] != r {
		return
	}
	delete(t.runs, r.name)
	r.ended = true
	t.lastFinishedRun[r.name] = max(t.lastFinishedRun[r.name], r.order.Run)
	t.endCount++
	t.endedRuns = append(t.endedRuns, supervisor.ListedEnd{N: t.endCount, Name: r.name, Run: r.order.Run, End: end})
	t.w.recordRunEnd(r, end)
	pending := t.pendingRenewals
	t.pendingRenewals = nil
	for _, notify := range pending {
		notify()
	}
}

// stop carries out an order to stop a run.
func (t *emulatedTarget) stop(c supervisor.StopCall) supervisor.Reply {
	if c.Token < t.highestToken {
		return supervisor.Reply{Outcome: supervisor.RejectedToken}
	}
	t.highestToken = c.Token
	t.lastFinishedRun[c.Name] = max(t.lastFinishedRun[c.Name], c.Ref.Run)
	r := t.runs[c.Name]
	if r != nil && r.order.Run == c.Ref.Run && !r.stopping {
		r.stopping = true
		t.w.after(t.w.randomUpTo(maxStopTime), func() { t.endRun(r, task.EndStopped) })
	}
	return supervisor.Reply{}
}

// renew extends the lease and answers with the run lists. If no run has ended, the answer waits
// until one ends, at most for c.Wait.
func (t *emulatedTarget) renew(c supervisor.RenewCall, answer func(supervisor.Reply, *supervisor.RunLists)) {
	var lists *supervisor.RunLists
	t.call(c.Incarnation, c.Wait+renewalTimeout, func() supervisor.Reply {
		if c.Token < t.highestToken {
			return supervisor.Reply{Outcome: supervisor.RejectedToken}
		}
		t.highestToken = c.Token
		if c.Deadline > 0 {
			t.extendLease(c.Deadline)
		}
		t.endedRuns = slices.DeleteFunc(t.endedRuns, func(r supervisor.ListedEnd) bool { return r.N <= c.LastSeen })
		lists = t.runLists()
		return supervisor.Reply{}
	}, func(reply supervisor.Reply) {
		if reply.Outcome != supervisor.Accepted || len(lists.Ended) > 0 || c.Wait == 0 {
			answer(reply, lists)
			return
		}
		t.awaitRunEnd(c.Wait, func() { answer(supervisor.Reply{Clock: t.clock(), HasClock: true}, t.runLists()) })
	})
}

// awaitRunEnd calls notify when the next run ends, or after timeout, also if the target has
// crashed meanwhile.
func (t *emulatedTarget) awaitRunEnd(timeout time.Duration, notify func()) {
	done := false
	incarnation := t.incarnation
	once := func() bool {
		if !done && t.incarnation == incarnation {
			done = true
			t.w.after(0, notify)
		}
		return true
	}
	t.pendingRenewals = append(t.pendingRenewals, once)
	t.w.after(timeout, func() {
		if t.incarnation != incarnation && !done {
			done = true
			t.w.after(0, func() { notify() })
			return
		}
		once()
	})
}

// runLists returns the running runs and the unacknowledged ended ones.
func (t *emulatedTarget) runLists() *supervisor.RunLists {
	a := &supervisor.RunLists{StartedUnixMS: t.startedMS, Ended: slices.Clone(t.endedRuns)}
	for _, r := range t.sortedRuns() {
		a.Running = append(a.Running, supervisor.ListedRun{Name: r.name, Run: r.order.Run})
	}
	return a
}
