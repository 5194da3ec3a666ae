package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/beaconpoint/beaconpoint/owner"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/reach"
	"github.com/beaconpoint/beaconpoint/supervisor"
	"github.com/beaconpoint/beaconpoint/task"
)

// process is what entries and agents have in common: incarnations, and freezes during
// which all that comes waits.
type process struct {
	w           *World
	name        string
	incarnation int
	dead        bool
	frozen      time.Duration // until when
	// lag is how far the process's clock is behind the world's: one that does not count
	// suspensions falls behind.
	lag time.Duration
	// disturbedUntil is until when a fault struck the process or its links.
	disturbedUntil time.Duration
}

// disturb records a fault that lasts so long.
func (p *process) disturb(lasts time.Duration) {
	p.disturbedUntil = max(p.disturbedUntil, p.w.now()+lasts)
}

// clock returns the time as the process reckons it.
func (p *process) clock() time.Duration {
	return p.w.now() - p.lag
}

// freeze stops the process for a while.
func (p *process) freeze(lasts time.Duration) {
	p.frozen = p.w.now() + lasts
	p.disturb(lasts)
}

// suspend stops the process with its host: its clock counts the time, unless the clocks of the
// processes are such as do not.
func (p *process) suspend(lasts time.Duration) {
	p.freeze(lasts)
	if p.w.cfg.ClocksStop {
		p.lag += lasts
	}
}

// do lets the process handle something, now or when it is thawed, unless its
// incarnation is over by then.
func (p *process) do(incarnation int, handle func()) {
	switch {
	case p.dead || p.incarnation != incarnation:
	case p.w.now() < p.frozen:
		p.w.after(p.frozen-p.w.now(), func() { p.do(incarnation, handle) })
	default:
		handle()
	}
}

// entryProcess is an entry with its callers.
type entryProcess struct {
	process
	owner    *owner.Owner
	reach    *reach.Set
	clients  map[string]*client
	tickedAt time.Duration // when the last tick was
	linkFree time.Duration // when its link has sent all that is queued
	// deafUntil is until when it can't reach the store.
	deafUntil time.Duration
}

// old reports whether the entry is of the version before.
func (e *entryProcess) old() bool {
	return slices.Index(e.w.entries, e) < e.w.cfg.OldEntries
}

// newEntry returns entry k in its first incarnation.
func (w *World) newEntry(k int) *entryProcess {
	e := &entryProcess{process: process{w: w, name: fmt.Sprintf("edge-%d", k)}}
	e.begin()
	return e
}

// begin begins an incarnation that knows nothing.
func (e *entryProcess) begin() {
	e.incarnation++
	e.dead = false
	e.clients = make(map[string]*client)
	if e.owner != nil {
		e.w.ended = addStats(e.w.ended, e.owner.Stats())
	}
	e.owner = owner.NewOwner(e.w.cfg.Log.With("node", e.name))
	e.owner.ClearTime = e.w.cfg.Clear
	e.owner.Homes = e.w.cfg.Homes
	e.owner.Term = e.w.cfg.Term
	e.owner.TrustStopped = e.w.cfg.TrustStopped
	e.owner.AwaitEndings = !e.w.cfg.ForgetEndings
	e.reach = reach.NewSet(e.name)
	e.reach.SetEntries(e.w.cfg.Entries)
	for k := range e.w.cfg.Agents {
		e.reach.Add(agentName(k))
	}
	e.owner.IsHome = e.reach.Home
	e.owner.IsOwn = e.reach.Own
	e.owner.Addr = func(agent string) string { return agent }
	e.owner.SetLink(e.w.cfg.LinkMbps)
	e.owner.Random = e.w.choice.IntN
	e.owner.Send = func(agent string, f *peer.Frame) uint64 { return e.w.linkOf[pair{e.name, agent}].fromEntry(f) }
	incarnation := e.incarnation
	var tick func()
	tick = func() {
		e.do(incarnation, func() {
			now := e.clock()
			e.tickedAt = now
			e.owner.Tick(now)
			e.adjustReach(now)
			e.owner.Heartbeats(now)
			e.w.after(owner.TickInterval, tick)
		})
	}
	tick()
	e.w.operator.tell(e)
}

// adjustReach connects to the agents that are wanted and ends the connections that serve nothing,
// as node.Entry does.
func (e *entryProcess) adjustReach(now time.Duration) {
	if e.owner.TakeMissingLabel() {
		e.reach.Widen(now)
	}
	if e.owner.Short(now) {
		e.reach.Short(now, e.owner.Busy)
	}
	changed := e.reach.Update(now)
	if changed {
		e.owner.Partial = e.reach.Partial()
		e.owner.RefreshRoles()
	}
	if e.w.cfg.Agents <= reach.FullMesh {
		return // links dial by themselves
	}
	for k := range e.w.cfg.Agents {
		l := e.w.linkOf[pair{e.name, agentName(k)}]
		switch {
		case l == nil:
		case changed && e.reach.Wanted(l.a.name):
			l.dial()
		case l.openE && !e.reach.Wanted(l.a.name) && e.owner.Releasable(l.a.name):
			l.release()
		}
	}
}

// kill ends the incarnation; another begins in a while. In the dark nobody is told:
// connections are not closed, as when a host loses power.
func (e *entryProcess) kill(dark bool) {
	if e.dead {
		return
	}
	e.dead = true
	e.disturb(restartAfter + time.Second)
	for _, l := range e.w.links {
		if l.e == e {
			l.broken(l.e.incarnation, 0, dark)
		}
	}
	for _, c := range e.sortedClients() {
		if !dark {
			c.resend()
		}
	}
	e.w.after(restartAfter+e.w.upTo(time.Second), e.begin)
}

// agentProcess is an agent with the target beside it.
type agentProcess struct {
	process
	supervisor     *supervisor.Supervisor
	flushing       bool
	renewingBeside bool // a second hold is kept under way
	target         *emulatedTarget
	links          []*link
	seq            uint64
}

// agentName returns the name of agent k.
func agentName(k int) string {
	return fmt.Sprintf("side-%d", k)
}

// newAgent returns agent k in its first incarnation.
func (w *World) newAgent(k int) *agentProcess {
	a := &agentProcess{process: process{w: w, name: agentName(k)}}
	a.target = newEmulatedTarget(w, task.Needs{CPU: w.cfg.CPU, MemoryMB: 4096})
	if w.cfg.Halls > 0 {
		a.target.hall = hallName(k % w.cfg.Halls)
	}
	if len(w.cfg.Speeds) > 0 {
		a.target.speed = w.cfg.Speeds[k%len(w.cfg.Speeds)]
	}
	a.begin()
	a.report()
	return a
}

// old reports whether the agent is of the version before.
func (a *agentProcess) old() bool {
	return slices.Index(a.w.agents, a) < a.w.cfg.OldAgents
}

// report has the target send its heartbeats for good.
func (a *agentProcess) report() {
	if a.target.up {
		a.seq++
		r := a.target.report(a.seq)
		a.do(a.incarnation, func() { a.supervisor.Heartbeat(a.clock(), r) })
	}
	a.w.after(reportEvery, a.report)
}

// begin begins an incarnation that knows nothing; the target runs on.
func (a *agentProcess) begin() {
	a.incarnation++
	a.dead = false
	a.renewingBeside = false
	incarnation := a.incarnation
	s := supervisor.NewSupervisor(a.w.cfg.Log.With("node", a.name))
	s.Rules = a.w.cfg.Rules
	a.supervisor = s
	s.Send = func(id supervisor.ConnID, f *peer.Frame) {
		for _, l := range a.links {
			if l.id == id {
				l.fromAgent(f)
			}
		}
	}
	s.Start = func(c supervisor.StartCall) {
		a.w.after(supervisor.StartRetry+time.Millisecond, func() { a.do(incarnation, func() { s.Tick(a.clock()) }) })
		if late := a.target.startsLateBy; late > 0 {
			a.w.after(late, func() { a.target.start(c) })
			return
		}
		a.target.call(c.Incarnation, orderTimeout, func() supervisor.Reply { return a.target.start(c) }, func(r supervisor.Reply) {
			a.do(incarnation, func() { s.StartAnswered(a.clock(), c, r); a.scheduleFlush() })
		})
	}
	s.FetchSpec = func(job, addr string) {
		a.w.fetchSpec(job, addr, func(spec string, known bool) {
			a.do(incarnation, func() { s.SpecFetched(a.clock(), job, spec, known); a.scheduleFlush() })
		})
	}
	s.Stop = func(c supervisor.StopCall) {
		if a.target.startsLateBy > 0 {
			return
		}
		a.target.call(c.Incarnation, orderTimeout, func() supervisor.Reply { return a.target.stop(c) }, func(r supervisor.Reply) {
			a.do(incarnation, func() { s.StopAnswered(a.clock(), c, r) })
		})
	}
	a.renew(incarnation)
	a.tick(incarnation)
}

// tick drives the supervisor, as node.Agent does.
func (a *agentProcess) tick(incarnation int) {
	a.do(incarnation, func() {
		now := a.clock()
		a.supervisor.Tick(now)
		a.supervisor.Heartbeats(now)
		a.scheduleFlush()
		if now < a.w.cfg.Length && a.target.behaviour == (Behaviour{}) && a.supervisor.Stats(now).Ejected > 0 {
			a.w.SoundEjected += supervisor.TickInterval
		}
		a.w.after(supervisor.TickInterval, func() { a.tick(incarnation) })
	})
}

// scheduleFlush has a changed state sent when it is due, and a second renewal begun
// where replies get lost.
func (a *agentProcess) scheduleFlush() {
	if !a.renewingBeside && a.supervisor.LosingReplies(a.clock()) {
		a.renewingBeside = true
		a.renewBeside(a.incarnation)
	}
	wait, ok := a.supervisor.Pending(a.clock())
	if !ok || a.flushing {
		return
	}
	a.flushing = true
	incarnation := a.incarnation
	a.w.after(wait+time.Millisecond, func() {
		a.flushing = false
		a.do(incarnation, func() {
			a.supervisor.Flush(a.clock())
			a.scheduleFlush()
		})
	})
}

// renew keeps the target's lease.
func (a *agentProcess) renew(incarnation int) {
	a.renewOnce(incarnation, func(wait time.Duration) { a.w.after(wait, func() { a.renew(incarnation) }) })
}

// renewBeside keeps a second renewal under way while replies get lost.
func (a *agentProcess) renewBeside(incarnation int) {
	a.renewOnce(incarnation, func(wait time.Duration) {
		if !a.supervisor.LosingReplies(a.clock()) {
			a.renewingBeside = false
			return
		}
		a.w.after(wait, func() { a.renewBeside(incarnation) })
	})
}

// renewOnce makes one renewal and calls next with the pause after it.
func (a *agentProcess) renewOnce(incarnation int, next func(wait time.Duration)) {
	a.do(incarnation, func() {
		c, ok := a.supervisor.NextRenewal(a.clock())
		if !ok {
			next(supervisor.TickInterval)
			return
		}
		a.target.renew(c, func(r supervisor.Reply, lists *supervisor.RunLists) {
			a.do(incarnation, func() {
				a.supervisor.RenewalAnswered(a.clock(), c, r, lists)
				a.scheduleFlush()
				next(max(time.Millisecond, a.supervisor.RenewalBackoff()))
			})
		})
	})
}

// kill ends the incarnation, as that of an entry.
func (a *agentProcess) kill(dark bool) {
	if a.dead {
		return
	}
	a.dead = true
	a.disturb(restartAfter + time.Second)
	for _, l := range a.w.links {
		if l.a == a {
			l.broken(0, l.a.incarnation, dark)
		}
	}
	a.w.after(restartAfter+a.w.upTo(time.Second), a.begin)
}

// sortedClients returns the entry's callers in the order of their jobs, so that
// a seed plays the same each time.
func (e *entryProcess) sortedClients() []*client {
	return slices.SortedFunc(maps.Values(e.clients), func(a, b *client) int { return strings.Compare(a.spec.ID, b.spec.ID) })
}
