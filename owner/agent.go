package owner

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// maxStateAge is how long after its last frame an agent is still given work. The agents
// send a frame each 110 ms at least. Half and double: no difference.
const maxStateAge = 300 * time.Millisecond

// minSpeed bounds a target's speed from below: a target that reported no speed yet
// must not seem infinitely slow. 0.1: no difference.
const minSpeed = 0.05

// agent is what this entry believes of one agent and the target beside it.
type agent struct {
	name      string
	connected bool
	level     peer.Level    // that the agent understands
	heardAt   time.Duration // when its last frame came
	sentAt    time.Duration // when the last frame to it was sent

	// watching says that this entry watches the target, watchedSince since when, and
	// usedAt when it last ordered something there or requested room: see watch.go.
	watching             bool
	watchedSince, usedAt time.Duration
	specs                peer.Specs // of jobs: which ones the agent remembers

	// heardEvacuations is the revision of the evacuated halls that the agent was told of
	// on this connection or has told, and evacuated says that its target's hall is one.
	heardEvacuations uint64
	evacuated        bool

	profile peer.Profile
	state   peer.State
	labels  map[string]bool // of the profile
	pending []pendingOrder  // orders that the state does not include yet

	// tasks are those with a run placed here or, after the connection was lost,
	// uncertain.
	tasks map[task.ID]*job
	// clearAt is when no run of a lost connection can be at work any more; zero
	// where none is in question.
	clearAt time.Duration

	// roomRequested says that the agent holds a request for room of this entry,
	// and requestRank the rank of the job that it was made for.
	roomRequested bool
	requestRank   time.Duration

	out   peer.Frame // collects what the next frame says
	dirty bool       // out has something, or a heartbeat is due
}

// pendingOrder is room that was taken by one order.
type pendingOrder struct {
	seq   uint64 // of the frame with the order; zero until it is sent
	needs task.Needs
}

// speed returns the target's learned speed, 1 being usual.
func (a *agent) speed() float64 {
	return max(a.state.Speed, minSpeed)
}

// freeRoom returns the room that the target is believed to have for this entry.
func (a *agent) freeRoom() task.Needs {
	free := a.state.Free
	for _, p := range a.pending {
		free = free.Minus(p.needs)
	}
	return free
}

// taskIDs returns the tasks that are here, sorted.
func (a *agent) taskIDs() []task.ID {
	return slices.SortedFunc(maps.Keys(a.tasks), task.ID.Compare)
}

// serves reports whether the agent takes work of a service, as far as is known.
func (a *agent) serves(service string) bool {
	return a.takesWork() && a.state.Cleared && a.profile.Service == service
}

// takesWork reports whether the agent takes work at all, as far as is known.
func (a *agent) takesWork() bool {
	return a.connected && a.state.Accepting && !a.evacuated
}

// usable reports whether the agent may be given work of a service at now.
func (a *agent) usable(now time.Duration, service string) bool {
	return a.serves(service) && now-a.heardAt <= maxStateAge
}

// markDirty has a frame sent to a with the next flush.
func (o *Owner) markDirty(a *agent) {
	if !a.dirty {
		a.dirty = true
		o.dirty = append(o.dirty, a)
	}
}

// stop adds the order to stop a run to the next frame to a.
func (o *Owner) stop(a *agent, ref task.Ref) {
	a.out.Stops = append(a.out.Stops, ref)
	o.markDirty(a)
}

// applyState replaces the state and forgets the pending orders that it includes.
func (a *agent) applyState(st *peer.State) {
	if st.Profile != nil {
		a.profile = *st.Profile
		a.labels = make(map[string]bool, len(a.profile.Labels))
		for _, l := range a.profile.Labels {
			a.labels[l] = true
		}
	}
	a.state = *st
	for len(a.pending) > 0 && a.pending[0].seq <= st.SeenSeq {
		a.pending = a.pending[1:]
	}
}

// deleteAgent deletes a from a list.
func deleteAgent(list []*agent, a *agent) []*agent {
	return slices.DeleteFunc(list, func(b *agent) bool { return a == b })
}

// Connected records a new connection to an agent. Nothing that was believed of the
// agent holds any more until its first state.
func (o *Owner) Connected(now time.Duration, name string) {
	defer o.flush(now)
	a := o.agents[name]
	if a == nil {
		a = &agent{name: name, tasks: make(map[task.ID]*job)}
		o.agents[name] = a
		o.byName = insertByName(o.byName, a)
	}
	a.connected = true
	if o.firstConnectedAt == 0 {
		o.firstConnectedAt = now
	}
	a.level = peer.LevelBase
	a.heardAt = now
	a.specs = peer.Specs{}
	a.heardEvacuations = 0
	a.evacuated = false
	a.profile = peer.Profile{}
	a.state = peer.State{}
	a.pending = nil
	a.roomRequested = false
	a.out = peer.Frame{}
	o.markDirty(a)
	o.logAgentConnected(a)
}

// insertByName inserts a into a list that is sorted by name.
func insertByName(list []*agent, a *agent) []*agent {
	k, _ := slices.BinarySearchFunc(list, a.name, func(b *agent, name string) int {
		if b.name < name {
			return -1
		}
		return 1
	})
	return slices.Insert(list, k, a)
}

// Disconnected records that the connection to an agent is lost. Its runs may still
// be at work until ClearTime after lastSent, when the last frame was sent to it;
// their tasks wait that long before they are started elsewhere.
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
	a.clearAt = max(a.clearAt, lastSent+o.ClearTime)
	for _, id := range a.taskIDs() {
		a.tasks[id].setPhase(id.Step, id.Index, uncertain)
	}
	o.logAgentLost(now, a)
}

// clearAgent makes the uncertain tasks of a startable again: no run of theirs is
// at work any more.
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
}

// Receive handles a frame of an agent.
func (o *Owner) Receive(now time.Duration, name string, f *peer.Frame) {
	defer o.flush(now)
	a := o.agents[name]
	if a == nil || !a.connected {
		return
	}
	a.heardAt = now
	if f.Hello != nil {
		a.level = f.Hello.Level
	}
	if a.level < peer.LevelWatch {
		o.beginWatch(now, a)
	}
	if f.Evacuations != nil {
		a.heardEvacuations = max(a.heardEvacuations, f.Evacuations.Revision)
		o.Evacuate(now, *f.Evacuations, a.name)
	}
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

// updateState applies a state update from an agent and, if its target was just
// ejected, stops its runs so that they can be retried elsewhere.
func (o *Owner) updateState(now time.Duration, a *agent, st *peer.State) {
	ejected := st.Health == peer.Ejected && a.state.Health != peer.Ejected
	a.applyState(st)
	if st.Profile != nil {
		o.setEvacuated(a)
		q := o.queue(a.profile.Service)
		q.setKnownRate(o.workRate(now, q))
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

// flush sends each agent the frame that has collected for it.
func (o *Owner) flush(now time.Duration) {
	list := o.dirty
	o.dirty = nil
	slices.SortFunc(list, func(a, b *agent) int { return strings.Compare(a.name, b.name) })
	for _, a := range list {
		if !a.dirty {
			continue // it was lost in the meantime
		}
		o.tellEvacuations(a)
		f := a.out
		a.out = peer.Frame{}
		a.dirty = false
		a.sentAt = now
		o.link.add(now, frameBytes)
		seq := o.Send(a.name, &f)
		for k := range a.pending {
			if a.pending[k].seq == 0 {
				a.pending[k].seq = seq
			}
		}
	}
}

// Heartbeats sends an empty frame to each agent that has got none for the interval of its
// connection, so that this entry's lease there goes on.
func (o *Owner) Heartbeats(now time.Duration) {
	for _, a := range o.byName {
		if a.connected && now-a.sentAt >= peer.Interval(a.used()) {
			o.markDirty(a)
		}
	}
	o.flush(now)
}
