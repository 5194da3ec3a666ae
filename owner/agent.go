package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// maxStateAge is how long after its last frame an agent is still given work.
const maxStateAge = 300 * time.Millisecond

// agent is what the entry believes of one agent and its worker.
type agent struct {
	name          string
	connected     bool
	heardAt       time.Duration
	sentAt        time.Duration // when the last frame was sent
	profile       peer.Profile
	state         peer.State
	pending       []pendingOrder // orders that the state does not take account of yet
	tasks         map[task.ID]*job
	roomRequested bool // a want is with it
	requestRank   time.Duration
	// clearAt is when runs of an earlier connection are surely over.
	clearAt time.Duration
	out     peer.Frame
	dirty   bool
	labels  map[string]bool
}

// pendingOrder is room that was taken by the orders of one frame.
type pendingOrder struct {
	seq   uint64
	needs task.Needs
}

// freeRoom returns the room that the agent is believed to have for this entry.
func (a *agent) freeRoom() task.Needs {
	free := a.state.Free
	for _, s := range a.pending {
		free = free.Minus(s.needs)
	}
	return free
}

// taskIDs returns the tasks that are here, in the order of their names.
func (a *agent) taskIDs() []task.ID {
	return slices.SortedFunc(maps.Keys(a.tasks), task.ID.Compare)
}

// usable reports whether the agent may be given work at now.
func (a *agent) usable(now time.Duration, service string) bool {
	return a.connected && a.state.Accepting && a.state.Cleared && a.profile.Service == service && now-a.heardAt <= maxStateAge
}

// applyState replaces the state and forgets the orders that it takes account of.
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
