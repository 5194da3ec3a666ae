package fleet

import (
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind int

// Kinds of faults.
const (
	KillEntry Kind = iota
	KillAgent
	FreezeEntry
	FreezeAgent
	CutAgent
	CutEntry
	LoseAnswers
	DelayOrders
	FailRuns
	SlowTarget
	HangTarget
	CrashTarget
	DrainTarget
	ResetClients
	HoldHeartbeat
	SilenceConnections
	kinds
	// LoseHall and CutHall strike only where they are asked for: a data hall of the targets
	// loses power, or one entry can't reach it.
	LoseHall
	CutHall
	// RestartTarget strikes only where it is asked for: a target ends and begins again under
	// its id.
	RestartTarget
	// SuspendEntry, SuspendAgent and ShrinkRoom strike only where they are asked for: a host
	// is suspended for seconds, or a target's room shrinks for a while.
	SuspendEntry
	SuspendAgent
	ShrinkRoom
	// Partition strikes only where it is asked for: a hall with its entries is cut from the
	// others; callers reach both sides.
	Partition
)

// fault begins a random fault, which lasts up to 3.2 s.
func (w *World) fault() {
	kind := Kind(w.rng.IntN(int(kinds)))
	if len(w.cfg.Kinds) > 0 {
		kind = w.cfg.Kinds[w.rng.IntN(len(w.cfg.Kinds))]
	}
	e := w.entries[w.rng.IntN(len(w.entries))]
	a := w.agents[w.rng.IntN(len(w.agents))]
	dark := w.rng.IntN(2) == 0
	lasts := 200*time.Millisecond + w.upTo(3*time.Second)
	switch kind {
	case KillEntry:
		e.kill(dark)
	case KillAgent:
		a.kill(dark)
	case FreezeEntry:
		e.freeze(lasts)
	case FreezeAgent:
		a.freeze(lasts)
	case CutAgent:
		w.cutOff(a, nil, lasts)
	case CutEntry:
		w.cutOff(nil, e, lasts)
	case LoseAnswers:
		w.behave(a, Behaviour{Lost: 0.3}, lasts)
	case DelayOrders:
		w.behave(a, Behaviour{Late: 0.3}, lasts)
	case FailRuns:
		w.behave(a, Behaviour{Failing: 1}, lasts)
	case SlowTarget:
		w.behave(a, Behaviour{Slow: 6}, lasts)
	case HangTarget:
		w.behave(a, Behaviour{Hanging: true}, lasts)
	case CrashTarget:
		w.crash(a)
	case DrainTarget:
		w.drain(a)
	case ResetClients:
		w.resetClients(e)
	case HoldHeartbeat:
		w.holdHeartbeat(a, lasts)
	case SilenceConnections:
		w.silenceConnections(a, e)
	case LoseHall:
		w.loseHall(a.target.hall)
	case RestartTarget:
		if a.target.up {
			a.target.keepsID = true
			w.crash(a)
		}
	case SuspendEntry:
		e.suspend(suspendTime + lasts)
	case SuspendAgent:
		a.suspend(suspendTime + lasts)
	case ShrinkRoom:
		w.shrinkRoom(a, lasts)
	case Partition:
		w.partition(a.target.hall, lasts)
	case CutHall:
		w.cutHall(e, a.target.hall, lasts)
	}
}

// suspendTime is for how long a host is suspended at the least: longer than every lease and
// ClearTime.
const suspendTime = 1500 * time.Millisecond

// shrinkRoom has a target's room shrink for a while, as its next heartbeat says.
func (w *World) shrinkRoom(a *agentProcess, lasts time.Duration) {
	t := a.target
	t.capacity.CPU = w.cfg.CPU / (2 + w.rng.IntN(3))
	t.shrunkAt = w.now()
	w.after(lasts, func() { t.capacity.CPU = w.cfg.CPU })
}

// loseHall has all hosts of a hall lose power: agents and targets end in the dark, and begin
// again within 1.5 s.
func (w *World) loseHall(hall string) {
	for _, a := range w.agents {
		if a.target.hall == hall {
			a.kill(true)
			w.crash(a)
		}
	}
}

// cutHall cuts an entry off from a hall.
func (w *World) cutHall(e *entryProcess, hall string, lasts time.Duration) {
	for _, l := range w.links {
		if l.e == e && l.a.target.hall == hall {
			l.cut = max(l.cut, w.now()+lasts)
			l.a.disturb(lasts)
		}
	}
}

// partition cuts a hall with its entries from the others. Entries stand in the halls by turns, as
// targets do.
func (w *World) partition(hall string, lasts time.Duration) {
	for _, l := range w.links {
		entryInside := hallName(slices.Index(w.entries, l.e)%w.cfg.Halls) == hall
		if entryInside != (l.a.target.hall == hall) {
			l.cut = max(l.cut, w.now()+lasts)
			l.a.disturb(lasts)
			l.e.disturb(lasts)
		}
	}
}

// holdHeartbeat holds up a heartbeat of a target that crashes: it arrives a while after
// the next incarnation has reported itself.
func (w *World) holdHeartbeat(a *agentProcess, lasts time.Duration) {
	if !a.target.up {
		return
	}
	a.seq++
	held := a.target.report(a.seq)
	w.crash(a)
	w.after(reportEvery+lasts, func() { a.do(a.incarnation, func() { a.supervisor.Heartbeat(a.clock(), held) }) })
}

// silenceConnections has the open connections of an agent or of an entry go silent for
// good, in one direction or both. New ones work.
func (w *World) silenceConnections(a *agentProcess, e *entryProcess) {
	toAgents, toEntries := w.rng.IntN(3) > 0, w.rng.IntN(3) > 0
	ofAgent := w.rng.IntN(2) == 0
	for _, l := range w.links {
		if l.a == a && ofAgent || l.e == e && !ofAgent {
			l.silentToA = l.silentToA || toAgents
			l.silentToE = l.silentToE || toEntries
			l.a.disturb(0)
		}
	}
}

// cutOff cuts an agent or an entry off from all others.
func (w *World) cutOff(a *agentProcess, e *entryProcess, lasts time.Duration) {
	for _, l := range w.links {
		if l.a == a || l.e == e {
			l.cut = max(l.cut, w.now()+lasts)
			l.a.disturb(lasts)
		}
	}
}

// behave changes how a target behaves for a while.
func (w *World) behave(a *agentProcess, m Behaviour, lasts time.Duration) {
	a.target.behaviour = m
	w.after(lasts, func() {
		if a.target.behaviour == m {
			a.target.behaviour = Behaviour{}
		}
	})
}

// crash ends a target's incarnation; another begins in a while.
func (w *World) crash(a *agentProcess) {
	if !a.target.up {
		return
	}
	a.target.crash()
	w.after(w.cfg.BackAfter+w.upTo(time.Second), a.target.begin)
}

// crashUnder crashes a target soon after the start of a run that does so to each target.
func (w *World) crashUnder(e *emulatedTarget, r *emulatedRun) {
	incarnations := e.incarnations
	w.after(time.Duration(w.poison.Int64N(int64(10*time.Millisecond))), func() {
		if e.incarnations != incarnations || r.over {
			return
		}
		w.Crashes.Targets++
		w.jobs[r.order.Task.Job].crashed[r.order.Task]++
		for _, o := range e.runs {
			if c := w.jobs[o.order.Task.Job]; c != nil && !c.crashing {
				w.Crashes.InnocentRuns++
			}
		}
		for _, a := range w.agents {
			if a.target == e {
				w.crash(a)
			}
		}
	})
}

// drain has a target report that it drains, and end after a while.
func (w *World) drain(a *agentProcess) {
	a.do(a.incarnation, func() {
		if !a.target.up || a.target.draining > 0 {
			return
		}
		a.target.draining = w.now()
		a.seq++
		a.supervisor.Heartbeat(a.clock(), a.target.report(a.seq))
		w.after(drainTime+w.upTo(time.Second), func() { w.crash(a) })
	})
}

// resetClients breaks the connections of half of an entry's callers.
func (w *World) resetClients(e *entryProcess) {
	for _, c := range e.sortedClients() {
		if w.rng.IntN(2) == 0 {
			c.leave()
			c.resend()
		}
	}
}
