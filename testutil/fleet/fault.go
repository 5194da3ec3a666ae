package fleet

import (
	"slices"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind int

// Kinds of faults. Those before randomKinds are drawn at random; the others occur only if
// Config.Kinds names them.
const (
	KillEntry FaultKind = iota
	KillAgent
	FreezeEntry
	FreezeAgent
	IsolateAgent
	IsolateEntry
	LoseAnswers
	DelayOrders
	FailRuns
	SlowTarget
	HangTarget
	CrashTarget
	DrainTarget
	ResetClients
	DelayHeartbeat
	SilenceConnections
	randomKinds
	// PowerOffHall cuts the power of a data hall; DisconnectHall disconnects one entry from a data hall.
	PowerOffHall
	DisconnectHall
	// RestartTarget crashes a target, which restarts with the same ID.
	RestartTarget
	// SuspendEntry and SuspendAgent suspend a host for seconds; ShrinkCapacity reduces the
	// capacity of a target for a while.
	SuspendEntry
	SuspendAgent
	ShrinkCapacity
	// Partition disconnects a hall and its entries from the others. Callers reach both sides.
	Partition
	// OverloadTarget makes a target handle one start at a time and reject the others.
	OverloadTarget
)

// injectFault starts a random fault. Faults with a duration last up to 3.2 s, suspensions
// minSuspension longer.
func (w *World) injectFault() {
	kind := FaultKind(w.rng.IntN(int(randomKinds)))
	if len(w.cfg.Kinds) > 0 {
		kind = w.cfg.Kinds[w.rng.IntN(len(w.cfg.Kinds))]
	}
	e := w.entries[w.rng.IntN(len(w.entries))]
	a := w.agents[w.rng.IntN(len(w.agents))]
	powerLoss := w.rng.IntN(2) == 0
	duration := 200*time.Millisecond + w.randomUpTo(3*time.Second)
	switch kind {
	case KillEntry:
		e.kill(powerLoss)
	case KillAgent:
		a.kill(powerLoss)
	case FreezeEntry:
		e.freeze(duration)
	case FreezeAgent:
		a.freeze(duration)
	case IsolateAgent:
		w.isolate(a, nil, duration)
	case IsolateEntry:
		w.isolate(nil, e, duration)
	case LoseAnswers:
		w.setBehaviour(a, Behaviour{Lost: 0.3}, duration)
	case DelayOrders:
		w.setBehaviour(a, Behaviour{Late: 0.3}, duration)
	case FailRuns:
		w.setBehaviour(a, Behaviour{Failing: 1}, duration)
	case SlowTarget:
		w.setBehaviour(a, Behaviour{Slow: 6}, duration)
	case HangTarget:
		w.setBehaviour(a, Behaviour{Hanging: true}, duration)
	case CrashTarget:
		w.crash(a)
	case DrainTarget:
		w.drain(a)
	case ResetClients:
		w.resetClients(e)
	case DelayHeartbeat:
		w.delayHeartbeat(a, duration)
	case SilenceConnections:
		w.silenceConnections(a, e)
	case OverloadTarget:
		w.setBehaviour(a, Behaviour{StartTakes: overloadedStartTime}, duration)
	case PowerOffHall:
		w.powerOffHall(a.target.hall)
	case RestartTarget:
		if a.target.up {
			a.target.keepsID = true
			w.crash(a)
		}
	case SuspendEntry:
		e.suspend(minSuspension + duration)
	case SuspendAgent:
		a.suspend(minSuspension + duration)
	case ShrinkCapacity:
		w.shrinkCapacity(a, duration)
	case Partition:
		w.partition(a.target.hall, duration)
	case DisconnectHall:
		w.disconnectHall(e, a.target.hall, duration)
	}
}

// minSuspension is the shortest suspension of a host. It exceeds every lease and ClearTime.
const minSuspension = 1500 * time.Millisecond

// overloadedStartTime is the longest time that an overloaded target takes for a start: longer than
// agents wait for the answer.
const overloadedStartTime = 2 * orderTimeout

// shrinkCapacity reduces a target's capacity for the given duration. The target reports the
// change in its next heartbeat.
func (w *World) shrinkCapacity(a *agentProcess, duration time.Duration) {
	t := a.target
	t.capacity.CPU = w.cfg.CPU / (2 + w.rng.IntN(3))
	t.shrunkAt = w.now()
	w.after(duration, func() { t.capacity.CPU = w.cfg.CPU })
}

// powerOffHall cuts the power of all hosts in a hall: agents and targets stop without closing
// connections. Agents restart within 1.02 s, targets within BackAfter plus 1 s.
func (w *World) powerOffHall(hall string) {
	for _, a := range w.agents {
		if a.target.hall == hall {
			a.kill(true)
			w.crash(a)
		}
	}
}

// disconnectHall drops all traffic between an entry and a hall for the given duration.
func (w *World) disconnectHall(e *entryProcess, hall string, duration time.Duration) {
	for _, l := range w.links {
		if l.e == e && l.a.target.hall == hall {
			l.cutUntil = max(l.cutUntil, w.now()+duration)
			l.a.recordFault(duration)
		}
	}
}

// partition drops all traffic between a hall with its entries and the others for the given
// duration. Entries are assigned to halls round robin, as targets are.
func (w *World) partition(hall string, duration time.Duration) {
	for _, l := range w.links {
		entryInside := hallName(slices.Index(w.entries, l.e)%w.cfg.Halls) == hall
		if entryInside != (l.a.target.hall == hall) {
			l.cutUntil = max(l.cutUntil, w.now()+duration)
			l.a.recordFault(duration)
			l.e.recordFault(duration)
		}
	}
}

// delayHeartbeat crashes a target and delivers its last heartbeat more than heartbeatInterval
// later, when the next incarnation may have sent heartbeats.
func (w *World) delayHeartbeat(a *agentProcess, duration time.Duration) {
	if !a.target.up {
		return
	}
	a.heartbeatSeq++
	delayed := a.target.heartbeat(a.heartbeatSeq)
	w.crash(a)
	w.after(heartbeatInterval+duration,
		func() { a.execute(a.incarnation, func() { a.supervisor.Heartbeat(a.clock(), delayed) }) })
}

// silenceConnections drops all later frames on the open connections of an agent or an entry, in
// one or both directions, without closing them. New connections work.
func (w *World) silenceConnections(a *agentProcess, e *entryProcess) {
	toAgents, toEntries := w.rng.IntN(3) > 0, w.rng.IntN(3) > 0
	byAgent := w.rng.IntN(2) == 0
	for _, l := range w.links {
		if l.a == a && byAgent || l.e == e && !byAgent {
			l.silentToAgent = l.silentToAgent || toAgents
			l.silentToEntry = l.silentToEntry || toEntries
			l.a.recordFault(0)
		}
	}
}

// isolate drops all traffic of an agent or an entry for the given duration.
func (w *World) isolate(a *agentProcess, e *entryProcess, duration time.Duration) {
	for _, l := range w.links {
		if l.a == a || l.e == e {
			l.cutUntil = max(l.cutUntil, w.now()+duration)
			l.a.recordFault(duration)
		}
	}
}

// setBehaviour changes the behaviour of a target for the given duration.
func (w *World) setBehaviour(a *agentProcess, behaviour Behaviour, duration time.Duration) {
	a.target.behaviour = behaviour
	w.after(duration, func() {
		if a.target.behaviour == behaviour {
			a.target.behaviour = Behaviour{}
		}
	})
}

// crash crashes a target and schedules its restart.
func (w *World) crash(a *agentProcess) {
	if !a.target.up {
		return
	}
	a.target.crash()
	w.after(w.cfg.BackAfter+w.randomUpTo(time.Second), a.target.startIncarnation)
}

// crashSoonAfterStart crashes a target within 10 ms of the start of a run whose job crashes
// targets.
func (w *World) crashSoonAfterStart(t *emulatedTarget, r *emulatedRun) {
	incarnation := t.incarnation
	w.after(time.Duration(w.crashRand.Int64N(int64(10*time.Millisecond))), func() {
		if t.incarnation != incarnation || r.ended {
			return
		}
		w.Crashes.Targets++
		w.jobs[r.order.Task.Job].targetCrashes[r.order.Task]++
		for _, other := range t.runs {
			if job := w.jobs[other.order.Task.Job]; job != nil && !job.crashesTargets {
				w.Crashes.InnocentRuns++
			}
		}
		for _, a := range w.agents {
			if a.target == t {
				w.crash(a)
			}
		}
	})
}

// drain makes a target report that it is draining, and crashes it after drainGrace to
// drainGrace plus 1 s.
func (w *World) drain(a *agentProcess) {
	a.execute(a.incarnation, func() {
		if !a.target.up || a.target.drainingSince > 0 {
			return
		}
		a.target.drainingSince = w.now()
		a.heartbeatSeq++
		a.supervisor.Heartbeat(a.clock(), a.target.heartbeat(a.heartbeatSeq))
		w.after(drainGrace+w.randomUpTo(time.Second), func() { w.crash(a) })
	})
}

// resetClients breaks the connections of about half of an entry's callers, which submit their
// jobs again.
func (w *World) resetClients(e *entryProcess) {
	for _, c := range e.sortedCallers() {
		if w.rng.IntN(2) == 0 {
			c.disconnect()
			c.resend()
		}
	}
}
