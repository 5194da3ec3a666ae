package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// Connections to agents and the frames received from them.

// Connected records a new connection to an agent and resets its state until the first report.
func (o *Owner) Connected(now time.Duration, name string) {
	defer o.flush(now)
	a := o.agents[name]
	if a == nil {
		a = &agent{name: name, hash: claim.Hash(name), tasks: make(map[task.ID]*job),
			droppedRuns: make(map[task.ID]int)}
		o.agents[name] = a
		o.byName = insertByName(o.byName, a)
	}
	o.refreshRoles(a)
	o.beginIsolation(now)
	a.connected = true
	a.connectedAt = now
	if o.firstConnectedAt == 0 {
		o.firstConnectedAt = now
	}
	a.level = peer.LevelBase
	a.lastFrameAt = now
	a.specs = peer.SpecCache{}
	a.knownEvacuations = 0
	a.evacuated = false
	a.profile = peer.Profile{}
	a.state = peer.State{}
	a.pending = nil
	a.roomRequested = false
	a.reserved = nil
	a.silentSince = 0
	a.voidClaims = make(map[string]bool)
	a.out = peer.Frame{}
	o.markDirty(a)
	o.logAgentConnected(a)
}

// Disconnected records the loss of the connection to an agent. Its runs may be active until
// ClearTime after lastSent, the time of the last frame sent to it; their tasks are not started
// elsewhere before that.
func (o *Owner) Disconnected(now, lastSent time.Duration, name string) {
	defer o.flush(now)
	a := o.agents[name]
	if a == nil || !a.connected {
		return
	}
	a.connected = false
	o.endWatch(a)
	a.out = peer.Frame{}
	a.dirty = false
	a.reserved = nil
	a.clearAt = max(a.clearAt, lastSent+o.ClearTime)
	for _, id := range a.taskIDs() {
		a.tasks[id].setPhase(id.Step, id.Index, uncertain)
	}
	o.logAgentLost(now, a)
	o.loseHome(now, a)
}

// clearAgent makes the uncertain tasks of a startable again, as none of their runs can be
// active any more.
func (o *Owner) clearAgent(now time.Duration, a *agent) {
	a.clearAt = 0
	for _, id := range a.taskIDs() {
		j := a.tasks[id]
		if j.find(id).phase != uncertain {
			continue
		}
		delete(a.tasks, id)
		j.setPhase(id.Step, id.Index, waiting)
		o.requeue(now, j)
	}
	o.clearDroppedRuns(now, a)
}

// Receive handles a frame from an agent.
func (o *Owner) Receive(now time.Duration, name string, f *peer.Frame) {
	defer o.flush(now)
	a := o.agents[name]
	if a == nil || !a.connected {
		return
	}
	a.lastFrameAt = now
	wasSilent := a.silentSince > 0
	a.silentSince = 0
	if f.Hello != nil {
		a.level = f.Hello.Level
		a.supportsClaims = a.level >= peer.LevelClaim
	}
	if f.Hello != nil || wasSilent {
		o.claimJobsAt(now, a)
	}
	if a.level < peer.LevelWatch {
		o.beginWatch(now, a)
	}
	if f.Evacuations != nil {
		a.knownEvacuations = max(a.knownEvacuations, f.Evacuations.Revision)
		o.Evacuate(now, *f.Evacuations, a.name)
	}
	if f.State != nil {
		o.updateState(now, a, f.State)
	}
	for _, e := range f.Ended {
		o.runEnded(now, a, e)
	}
	for _, ref := range f.Crashed {
		o.runCrashed(now, a, ref)
	}
	for _, r := range f.Claimed {
		o.receiveReply(now, a, r)
	}
	for _, i := range f.Interests {
		o.receiveInterest(now, a, i)
	}
	if f.Reservation != nil {
		o.useReservation(now, a, f.Reservation)
	}
	if f.State != nil || len(f.Ended) > 0 {
		o.schedule(now, o.queue(a.profile.Service))
	}
}

// updateState applies a state update from an agent. If the target was just ejected, its runs
// are stopped so that they can be retried elsewhere.
func (o *Owner) updateState(now time.Duration, a *agent, st *peer.State) {
	ejected := st.Health == peer.Ejected && a.state.Health != peer.Ejected
	wasAccepting := a.state.Accepting
	a.applyState(st)
	a.recordStoppedAccepting(now, wasAccepting)
	if st.Profile != nil {
		a.lastHall = a.profile.Hall
		o.setEvacuated(a)
		q := o.queue(a.profile.Service)
		q.recordWorkRate(o.workRate(now, q))
	}
	if st.Cleared && a.clearAt > 0 {
		o.clearAgent(now, a)
	}
	if !ejected {
		return
	}
	o.logTargetEjected(a)
	for _, id := range a.taskIDs() {
		t := a.tasks[id].find(id)
		if t.phase == placed {
			o.stopRun(now, a, id, t, code.RunMovedEjected)
		}
	}
}
