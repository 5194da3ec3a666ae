package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/beaconpoint/beaconpoint/owner"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/subset"
	"github.com/beaconpoint/beaconpoint/supervisor"
	"github.com/beaconpoint/beaconpoint/task"
)

// process is the state that entries and agents share. While it is frozen, its events are
// delayed.
type process struct {
	w           *World
	name        string
	incarnation int
	dead        bool
	frozenUntil time.Duration
	// clockLag is how far the process's clock is behind virtual time. It grows if the clock
	// stops during suspensions.
	clockLag time.Duration
	// faultUntil is the latest end of a recorded fault of the process or its links. Only that
	// of agents is read.
	faultUntil time.Duration
}

// recordFault records a fault of the given duration.
func (p *process) recordFault(duration time.Duration) {
	p.faultUntil = max(p.faultUntil, p.w.now()+duration)
}

// clock returns the time on the process's clock.
func (p *process) clock() time.Duration {
	return p.w.now() - p.clockLag
}

// freeze stops the process for the given duration.
func (p *process) freeze(duration time.Duration) {
	p.frozenUntil = p.w.now() + duration
	p.recordFault(duration)
}

// suspend freezes the process with its host. With Config.ClocksStop its clock stops, too.
func (p *process) suspend(duration time.Duration) {
	p.freeze(duration)
	if p.w.cfg.ClocksStop {
		p.clockLag += duration
	}
}

// execute calls f at once, or when the process is no longer frozen, unless the incarnation has
// ended by then.
func (p *process) execute(incarnation int, f func()) {
	switch {
	case p.dead || p.incarnation != incarnation:
	case p.w.now() < p.frozenUntil:
		p.w.after(p.frozenUntil-p.w.now(), func() { p.execute(incarnation, f) })
	default:
		f()
	}
}

// entryProcess is an entry with its callers.
type entryProcess struct {
	process
	owner                 *owner.Owner
	subset                *subset.Set
	callers               map[string]*caller
	lastTick              time.Duration
	linkFreeAt            time.Duration // end of the transmission of all queued frames
	storeUnreachableUntil time.Duration
}

// previousVersion reports whether the entry runs the previous version.
func (e *entryProcess) previousVersion() bool {
	return slices.Index(e.w.entries, e) < e.w.cfg.PreviousVersionEntries
}

// newEntry returns entry k in its first incarnation.
func (w *World) newEntry(k int) *entryProcess {
	e := &entryProcess{process: process{w: w, name: fmt.Sprintf("edge-%d", k)}}
	e.startIncarnation()
	return e
}

// startIncarnation starts an incarnation with empty state.
func (e *entryProcess) startIncarnation() {
	e.incarnation++
	e.dead = false
	e.callers = make(map[string]*caller)
	if e.owner != nil {
		e.w.pastStats = addStats(e.w.pastStats, e.owner.Stats())
	}
	e.owner = owner.NewOwner(e.w.cfg.Log.With("node", e.name))
	e.owner.ClearTime = e.w.cfg.ClearTime
	e.owner.Homes = e.w.cfg.Homes
	e.owner.Goal = e.w.cfg.Goal
	e.owner.SkipSuspendRecovery = e.w.cfg.SkipSuspendRecovery
	e.owner.WaitForDroppedRuns = !e.w.cfg.SkipDroppedRunWait
	e.subset = subset.NewSet(e.name)
	e.subset.SetEntries(e.w.cfg.Entries)
	for k := range e.w.cfg.Agents {
		e.subset.Add(agentName(k))
	}
	e.owner.IsHome = e.subset.Home
	e.owner.IsPreferred = e.subset.Preferred
	e.owner.Addr = func(agent string) string { return agent }
	e.owner.SetLink(e.w.cfg.LinkMbps)
	e.owner.Random = e.w.ownerRand.IntN
	e.owner.Send = func(agent string, f *peer.Frame) uint64 { return e.w.linkOf[linkKey{e.name, agent}].sendToAgent(f) }
	incarnation := e.incarnation
	var tick func()
	tick = func() {
		e.execute(incarnation, func() {
			now := e.clock()
			e.lastTick = now
			e.owner.Tick(now)
			e.adjustSubset(now)
			e.owner.Heartbeats(now)
			e.w.after(owner.TickInterval, tick)
		})
	}
	tick()
	e.w.operator.notify(e)
}

// adjustSubset opens connections to wanted agents and releases unneeded ones, as node.Entry
// does.
func (e *entryProcess) adjustSubset(now time.Duration) {
	if e.owner.TakeMissingLabel() {
		e.subset.WantAll(now)
	}
	if e.owner.Backlogged(now) {
		e.subset.RecordShortage(now, e.owner.HasTasks)
	}
	changed := e.subset.Update(now)
	if changed {
		e.owner.PartiallyConnected = e.subset.Partial()
		e.owner.RefreshRoles()
	}
	if e.w.cfg.Agents <= subset.FullMesh {
		return // dial retries until it succeeds
	}
	for k := range e.w.cfg.Agents {
		l := e.w.linkOf[linkKey{e.name, agentName(k)}]
		switch {
		case l == nil:
		case changed && e.subset.Wanted(l.a.name):
			l.dial()
		case l.openAtEntry && !e.subset.Wanted(l.a.name) && e.owner.Releasable(l.a.name):
			l.release()
		}
	}
}

// kill ends the incarnation and schedules the next one. Without a power loss the connections
// are closed, and the callers submit their jobs again.
func (e *entryProcess) kill(powerLoss bool) {
	if e.dead {
		return
	}
	e.dead = true
	e.recordFault(minRestartDelay + time.Second)
	for _, l := range e.w.links {
		if l.e == e {
			l.processEnded(l.e.incarnation, 0, powerLoss)
		}
	}
	for _, c := range e.sortedCallers() {
		if !powerLoss {
			c.resend()
		}
	}
	e.w.after(minRestartDelay+e.w.randomUpTo(time.Second), e.startIncarnation)
}

// agentProcess is an agent and its target.
type agentProcess struct {
	process
	supervisor    *supervisor.Supervisor
	flushing      bool
	secondRenewal bool // renewSecond is active
	target        *emulatedTarget
	links         []*link
	heartbeatSeq  uint64
}

func agentName(k int) string {
	return fmt.Sprintf("side-%d", k)
}

// newAgent returns agent k in its first incarnation.
func (w *World) newAgent(k int) *agentProcess {
	a := &agentProcess{process: process{w: w, name: agentName(k)}}
	a.target = newEmulatedTarget(w, task.Resources{CPU: w.cfg.CPU, MemoryMB: 4096})
	if w.cfg.Halls > 0 {
		a.target.hall = hallName(k % w.cfg.Halls)
	}
	if len(w.cfg.Speeds) > 0 {
		a.target.speed = w.cfg.Speeds[k%len(w.cfg.Speeds)]
	}
	a.startIncarnation()
	a.sendHeartbeats()
	return a
}

// previousVersion reports whether the agent runs the previous version.
func (a *agentProcess) previousVersion() bool {
	return slices.Index(a.w.agents, a) < a.w.cfg.PreviousVersionAgents
}

// sendHeartbeats delivers the target's heartbeats every heartbeatInterval.
func (a *agentProcess) sendHeartbeats() {
	if a.target.up {
		a.heartbeatSeq++
		r := a.target.heartbeat(a.heartbeatSeq)
		a.execute(a.incarnation, func() { a.supervisor.Heartbeat(a.clock(), r) })
	}
	a.w.after(heartbeatInterval, a.sendHeartbeats)
}

// startIncarnation starts an incarnation with empty state. The target keeps running.
func (a *agentProcess) startIncarnation() {
	a.incarnation++
	a.dead = false
	a.secondRenewal = false
	incarnation := a.incarnation
	s := supervisor.NewSupervisor(a.w.cfg.Log.With("node", a.name))
	s.Rules = a.w.cfg.Rules
	a.supervisor = s
	s.Send = func(id supervisor.ConnID, f *peer.Frame) {
		for _, l := range a.links {
			if l.id == id {
				l.sendToEntry(f)
			}
		}
	}
	s.Start = func(c supervisor.StartCall) {
		a.w.after(supervisor.StartRetry+time.Millisecond,
			func() { a.execute(incarnation, func() { s.Tick(a.clock()) }) })
		if delay := a.target.startDelay; delay > 0 {
			a.w.after(delay, func() { a.target.start(c) })
			return
		}
		a.target.callStart(c, func(r supervisor.Reply) {
			a.execute(incarnation, func() { s.StartAnswered(a.clock(), c, r); a.scheduleFlush() })
		})
	}
	s.FetchSpec = func(job, addr string) {
		a.w.fetchSpec(job, addr, func(spec string, known bool) {
			a.execute(incarnation, func() { s.SpecFetched(a.clock(), job, spec, known); a.scheduleFlush() })
		})
	}
	s.Stop = func(c supervisor.StopCall) {
		if a.target.startDelay > 0 {
			return
		}
		a.target.call(c.Incarnation, orderTimeout, func() supervisor.Reply { return a.target.stop(c) },
			func(r supervisor.Reply) {
				a.execute(incarnation, func() { s.StopAnswered(a.clock(), c, r) })
			})
	}
	a.renew(incarnation)
	a.tick(incarnation)
}

// tick calls the supervisor every TickInterval, as node.Agent does.
func (a *agentProcess) tick(incarnation int) {
	a.execute(incarnation, func() {
		now := a.clock()
		a.supervisor.Tick(now)
		a.supervisor.SendHeartbeats(now)
		a.scheduleFlush()
		if now < a.w.cfg.Length && a.target.behaviour == (Behaviour{}) && a.supervisor.Stats(now).Ejected > 0 {
			a.w.HealthyEjectedTime += supervisor.TickInterval
		}
		a.w.after(supervisor.TickInterval, func() { a.tick(incarnation) })
	})
}

// scheduleFlush schedules the sending of pending state changes. It also starts a second renewal
// while replies get lost.
func (a *agentProcess) scheduleFlush() {
	if !a.secondRenewal && a.supervisor.NeedsSecondRenewal(a.clock()) {
		a.secondRenewal = true
		a.renewSecond(a.incarnation)
	}
	wait, ok := a.supervisor.Pending(a.clock())
	if !ok || a.flushing {
		return
	}
	a.flushing = true
	incarnation := a.incarnation
	a.w.after(wait+time.Millisecond, func() {
		a.flushing = false
		a.execute(incarnation, func() {
			a.supervisor.Flush(a.clock())
			a.scheduleFlush()
		})
	})
}

// renew renews the target's lease repeatedly until the incarnation ends.
func (a *agentProcess) renew(incarnation int) {
	a.renewOnce(incarnation, func(wait time.Duration) { a.w.after(wait, func() { a.renew(incarnation) }) })
}

// renewSecond makes further renewals beside those of renew while replies get lost.
func (a *agentProcess) renewSecond(incarnation int) {
	a.renewOnce(incarnation, func(wait time.Duration) {
		if !a.supervisor.NeedsSecondRenewal(a.clock()) {
			a.secondRenewal = false
			return
		}
		a.w.after(wait, func() { a.renewSecond(incarnation) })
	})
}

// renewOnce makes one renewal and calls next with the delay until the following one.
func (a *agentProcess) renewOnce(incarnation int, next func(wait time.Duration)) {
	a.execute(incarnation, func() {
		c, ok := a.supervisor.NextRenewal(a.clock())
		if !ok {
			next(supervisor.TickInterval)
			return
		}
		a.target.renew(c, func(r supervisor.Reply, lists *supervisor.RunLists) {
			a.execute(incarnation, func() {
				a.supervisor.RenewalAnswered(a.clock(), c, r, lists)
				a.scheduleFlush()
				next(max(time.Millisecond, a.supervisor.RenewalBackoff()))
			})
		})
	})
}

// kill ends the incarnation and schedules the next one. Without a power loss the connections
// are closed.
func (a *agentProcess) kill(powerLoss bool) {
	if a.dead {
		return
	}
	a.dead = true
	a.recordFault(minRestartDelay + time.Second)
	for _, l := range a.w.links {
		if l.a == a {
			l.processEnded(0, l.a.incarnation, powerLoss)
		}
	}
	a.w.after(minRestartDelay+a.w.randomUpTo(time.Second), a.startIncarnation)
}

// sortedCallers returns the entry's callers by job ID, for a deterministic order.
func (e *entryProcess) sortedCallers() []*caller {
	return slices.SortedFunc(maps.Values(e.callers),
		func(a, b *caller) int { return strings.Compare(a.spec.ID, b.spec.ID) })
}
