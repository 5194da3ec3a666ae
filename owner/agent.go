package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// freshness is how long after its last frame an agent is still given work.
const freshness = 300 * time.Millisecond

// agent is what the entry believes of one agent and its worker.
type agent struct {
	name      string
	connected bool
	heardAt   time.Duration
	sentAt    time.Duration // when the last frame was sent
	profile   peer.Profile
	state     peer.State
	sent      []sent // orders that the state does not take account of yet
	tasks     map[task.ID]*job
	wanted    bool // a want is with it
	wantBy    time.Duration
	// clearAt is when runs of an earlier connection are surely over.
	clearAt time.Duration
	out     peer.Frame
	dirty   bool
	labels  map[string]bool
}

// sent is room that was taken by the orders of one frame.
type sent struct {
	seq   uint64
	needs task.Needs
}

// free returns the room that the agent is believed to have for this entry.
func (a *agent) free() task.Needs {
	free := a.state.Free
	for _, s := range a.sent {
		free = free.Minus(s.needs)
	}
	return free
}

// ids returns the tasks that are here, in the order of their names.
func (a *agent) ids() []task.ID {
	return slices.SortedFunc(maps.Keys(a.tasks), task.ID.Compare)
}

// usable reports whether the agent may be given work at now.
func (a *agent) usable(now time.Duration, service string) bool {
	return a.connected && a.state.Taking && a.state.Cleared && a.profile.Service == service && now-a.heardAt <= freshness
}

// take replaces the state and forgets the orders that it takes account of.
func (a *agent) take(st *peer.State) {
	if st.Profile != nil {
		a.profile = *st.Profile
		a.labels = make(map[string]bool, len(a.profile.Labels))
		for _, l := range a.profile.Labels {
			a.labels[l] = true
		}
	}
	a.state = *st
	for len(a.sent) > 0 && a.sent[0].seq <= st.Seen {
		a.sent = a.sent[1:]
	}
}
