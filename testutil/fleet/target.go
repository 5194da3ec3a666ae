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

const maxStopTime = 50 * time.Millisecond

// coldTime is how long a target is cold. Tasks take coldSlowdown times as long at first; the
// slowdown decreases linearly to none.
const (
	coldTime     = 3 * time.Second
	coldSlowdown = 3.0
)

// drainGrace is how long a target may be given work after it has reported that it is draining.
const drainGrace = 2 * time.Second

// Timeouts of an agent for the answer to an order, and to a renewal beyond its wait time.
const (
	orderTimeout = 300 * time.Millisecond
	holdTimeout  = 40 * time.Millisecond
)

// Behaviour describes the faults of a target.
type Behaviour struct {
	// Lost is the share of calls that are carried out without an answer; Late the share that is
	// not answered and carried out up to 12 s later.
	Lost, Late float64
	// Slow is a factor on task durations, Failing the share of runs that fail. Hanging keeps
	// tasks from ending.
	Slow    float64
	Failing float64
	Hanging bool
}

// emulatedTarget emulates a target. It keeps a lease on its own clock, lists running and ended
// runs, and rejects lower fencing tokens. It does not enforce its capacity: the world reports
// overcommitment as a violation.
type emulatedTarget struct {
	w               *World
	id              string
	startedMS       int64 // virtual time of the incarnation's start in ms; zero if not reported
	keepsID         bool  // the next incarnation keeps the id
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
	// startDelay, if set, delays starts, leaves them unanswered and drops stops.
	startDelay      time.Duration
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
	e := &emulatedTarget{w: w, capacity: capacity, speed: 1, clockRate: 0.98 + 0.02*w.rng.Float64()}
	e.startIncarnation()
	return e
}

// startIncarnation starts an incarnation with empty state.
func (e *emulatedTarget) startIncarnation() {
	e.incarnation++
	e.w.lastInstance++
	if e.keepsID {
		e.keepsID = false
	} else {
		e.id = fmt.Sprintf("i-%d", e.w.lastInstance)
	}
	if !e.w.cfg.OmitStartTime {
		e.startedMS = int64(e.w.now() / time.Millisecond)
	}
	e.up = true
	e.startedAt = e.w.now()
	e.leaseDeadline = 0
	e.highestToken = 0
	e.runs = make(map[string]*emulatedRun)
	e.endedRuns = nil
	e.endCount = 0
	e.lastFinishedRun = make(map[string]int)
	e.drainingSince = 0
	e.pendingRenewals = nil
}

// crash ends the incarnation and all its runs.
func (e *emulatedTarget) crash() {
	e.up = false
	for _, r := range e.runs {
		r.ended = true
	}
	e.runs = make(map[string]*emulatedRun)
	e.incarnation++
}

func (e *emulatedTarget) clock() time.Duration {
	return time.Duration(float64(e.w.now()-e.startedAt)*e.clockRate) + time.Second
}

// heartbeat returns the content of a heartbeat.
func (e *emulatedTarget) heartbeat(seq uint64) supervisor.Report {
	return supervisor.Report{ID: e.id, StartedUnixMS: e.startedMS, Service: service, Hall: e.hall,
		Capacity: e.capacity, Draining: e.drainingSince > 0,
		WarmupLeft: max(0, e.coldUntil-e.w.now()),
		Clock:      e.clock(), HasClock: true, Seq: seq}
}

// call carries out do as a remote call subject to the target's behaviour: the answer may be
// lost, and the call may be carried out late.
func (e *emulatedTarget) call(incarnation supervisor.Incarnation, timeout time.Duration, do func() supervisor.Reply, answer func(supervisor.Reply)) {
	draw := e.w.rng.Float64()
	noAnswer := supervisor.Reply{Outcome: supervisor.NoAnswer}
	run := func() supervisor.Reply {
		if e.id != incarnation.ID {
			return supervisor.Reply{Outcome: supervisor.WrongIncarnation}
		}
		reply := do()
		reply.Clock = e.clock().Truncate(time.Millisecond)
		reply.HasClock = true
		return reply
	}
	switch {
	case !e.up:
		e.w.after(timeout, func() { answer(noAnswer) })
	case draw < e.behaviour.Late:
		e.w.after(e.randomLateDelay(), func() {
			if e.up {
				run()
			}
		})
		e.w.after(timeout, func() { answer(noAnswer) })
	case draw < e.behaviour.Late+e.behaviour.Lost:
		run()
		e.w.after(timeout, func() { answer(noAnswer) })
	default:
		e.w.after(e.w.randomUpTo(time.Millisecond), func() {
			if !e.up {
				e.w.after(timeout, func() { answer(noAnswer) })
				return
			}
			reply := run()
			e.w.after(e.w.randomUpTo(time.Millisecond), func() { answer(reply) })
		})
	}
}

// randomLateDelay returns the delay of an unanswered call. Half of the calls are late by at
// most a second, when leases may still be valid.
func (e *emulatedTarget) randomLateDelay() time.Duration {
	if e.w.rng.IntN(2) == 0 {
		return e.w.randomUpTo(time.Second)
	}
	return time.Second + e.w.randomUpTo(11*time.Second)
}

// start carries out an order to start a run.
func (e *emulatedTarget) start(c supervisor.StartCall) supervisor.Reply {
	name := c.Order.Task.String()
	if c.Token < e.highestToken {
		return supervisor.Reply{Outcome: supervisor.RejectedToken}
	}
	e.highestToken = c.Token
	if r := e.runs[name]; r != nil && r.order.Run == c.Order.Run {
		return supervisor.Reply{}
	}
	if c.Deadline < e.clock() {
		return supervisor.Reply{Outcome: supervisor.RejectedDeadline}
	}
	e.extendLease(c.Deadline)
	if c.Order.Run <= e.lastFinishedRun[name] {
		return supervisor.Reply{Outcome: supervisor.RejectedStaleRun}
	}
	r := &emulatedRun{order: c.Order, name: name}
	e.w.checkRunStart(e, r)
	e.runs[name] = r
	e.startCount++
	e.scheduleEnd(r)
	if c := e.w.jobs[r.order.Task.Job]; c != nil && c.crashesTargets {
		e.w.crashSoonAfterStart(e, r)
	}
	return supervisor.Reply{}
}

// scheduleEnd schedules the end of a run.
func (e *emulatedTarget) scheduleEnd(r *emulatedRun) {
	duration := e.runDuration(r)
	if cold := e.coldUntil - e.w.now(); cold > 0 {
		duration += time.Duration(float64(duration) * (coldSlowdown - 1) * float64(cold) / float64(coldTime))
	}
	if e.behaviour.Slow > 1 {
		duration = time.Duration(float64(duration) * e.behaviour.Slow)
	}
	if e.behaviour.Hanging {
		return
	}
	end := task.EndDone
	if e.w.rng.Float64() < e.behaviour.Failing || e.w.alwaysFails[r.order.Task.Job] {
		end = task.EndFailed
	}
	e.w.after(duration, func() { e.endRun(r, end) })
}

// runDuration returns the duration of a run on a target without faults.
func (e *emulatedTarget) runDuration(r *emulatedRun) time.Duration {
	if c := e.w.jobs[r.order.Task.Job]; c != nil && c.typicalDuration > 0 {
		return time.Duration(float64(c.taskDurations[r.order.Task.Index]) / e.speed)
	}
	return time.Duration(float64(r.order.Guess) * (0.5 + e.w.rng.Float64()))
}

// extendLease extends the lease, up to Config.HoldMax, and schedules its expiry.
func (e *emulatedTarget) extendLease(deadline time.Duration) {
	deadline = min(deadline, e.clock()+e.w.cfg.HoldMax)
	if deadline <= e.leaseDeadline {
		return
	}
	e.leaseDeadline = deadline
	incarnation := e.incarnation
	e.w.after(time.Duration(float64(deadline-e.clock())/e.clockRate)+time.Millisecond, func() {
		if e.incarnation != incarnation || e.clock() < e.leaseDeadline {
			return
		}
		for _, r := range e.sortedRuns() {
			e.endRun(r, task.EndLapsed)
		}
	})
}

// sortedRuns returns the running runs by name.
func (e *emulatedTarget) sortedRuns() []*emulatedRun {
	return slices.SortedFunc(maps.Values(e.runs), func(a, b *emulatedRun) int { return cmp.Compare(a.name, b.name) })
}

// endRun ends a run, adds it to the list of ended runs and answers the pending renewals.
func (e *emulatedTarget) endRun(r *emulatedRun, end task.End) {
	if e.runs[r.name] != r {
		return
	}
	delete(e.runs, r.name)
	r.ended = true
	e.lastFinishedRun[r.name] = max(e.lastFinishedRun[r.name], r.order.Run)
	e.endCount++
	e.endedRuns = append(e.endedRuns, supervisor.ListedEnd{N: e.endCount, Name: r.name, Run: r.order.Run, End: end})
	e.w.recordRunEnd(r, end)
	polls := e.pendingRenewals
	e.pendingRenewals = nil
	for _, poll := range polls {
		poll()
	}
}

// stop carries out an order to stop a run.
func (e *emulatedTarget) stop(c supervisor.StopCall) supervisor.Reply {
	if c.Token < e.highestToken {
		return supervisor.Reply{Outcome: supervisor.RejectedToken}
	}
	e.highestToken = c.Token
	e.lastFinishedRun[c.Name] = max(e.lastFinishedRun[c.Name], c.Ref.Run)
	r := e.runs[c.Name]
	if r != nil && r.order.Run == c.Ref.Run && !r.stopping {
		r.stopping = true
		e.w.after(e.w.randomUpTo(maxStopTime), func() { e.endRun(r, task.EndStopped) })
	}
	return supervisor.Reply{}
}

// renew extends the lease and answers with the run lists, if need be after a run has ended or
// c.Wait has passed.
func (e *emulatedTarget) renew(c supervisor.RenewCall, answer func(supervisor.Reply, *supervisor.RunLists)) {
	var lists *supervisor.RunLists
	e.call(c.Incarnation, c.Wait+holdTimeout, func() supervisor.Reply {
		if c.Token < e.highestToken {
			return supervisor.Reply{Outcome: supervisor.RejectedToken}
		}
		e.highestToken = c.Token
		if c.Deadline > 0 {
			e.extendLease(c.Deadline)
		}
		e.endedRuns = slices.DeleteFunc(e.endedRuns, func(r supervisor.ListedEnd) bool { return r.N <= c.LastSeen })
		lists = e.runLists()
		return supervisor.Reply{}
	}, func(reply supervisor.Reply) {
		if reply.Outcome != supervisor.Accepted || len(lists.Ended) > 0 || c.Wait == 0 {
			answer(reply, lists)
			return
		}
		e.awaitRunEnd(c.Wait, func() { answer(supervisor.Reply{Clock: e.clock(), HasClock: true}, e.runLists()) })
	})
}

// awaitRunEnd calls notify when the next run ends, or after timeout.
func (e *emulatedTarget) awaitRunEnd(timeout time.Duration, notify func()) {
	done := false
	incarnation := e.incarnation
	once := func() bool {
		if !done && e.incarnation == incarnation {
			done = true
			e.w.after(0, notify)
		}
		return true
	}
	e.pendingRenewals = append(e.pendingRenewals, once)
	e.w.after(timeout, func() {
		if e.incarnation != incarnation && !done {
			done = true
			e.w.after(0, func() { notify() })
			return
		}
		once()
	})
}

// runLists returns the running runs and the unacknowledged ended ones.
func (e *emulatedTarget) runLists() *supervisor.RunLists {
	a := &supervisor.RunLists{StartedUnixMS: e.startedMS, Ended: slices.Clone(e.endedRuns)}
	for _, r := range e.sortedRuns() {
		a.Running = append(a.Running, supervisor.ListedRun{Name: r.name, Run: r.order.Run})
	}
	return a
}
