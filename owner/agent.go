package owner

import (
	"maps"
	"slices"
	"time"

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
	name        string
	connected   bool
	level       peer.Level    // that the agent understands
	lastFrameAt time.Duration // when its last frame came
	// connectedAt is when the connection began.
	connectedAt time.Duration
	sentAt      time.Duration // when the last frame to it was sent

	// watching says that this entry watches the target, watchedSince since when, and
	// usedAt when it last ordered something there or requested room: see watch.go.
	watching             bool
	watchedSince, usedAt time.Duration
	specs                peer.Specs // of jobs: which ones the agent remembers

	// heardEvacuations is the revision of the evacuated halls that the agent was told of
	// on this connection or has told, and evacuated says that its target's hall is one.
	knownEvacuations uint64
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

	// hash is that of the name, for the ranks of homes; silentSince is since when the
	// agent counts as silent because it left a claim unanswered, zero while it does not.
	hash        uint64
	silentSince time.Duration
	// lastHall is the data hall of its target as it was told last, on any connection.
	lastHall string
	// home says that the fleet's jobs may be claimed there.
	home bool
	// own says that tasks of this entry run there, others only where no own agent is left.
	own bool
	// wasHome says that jobs could be claimed there, now or before its connection was lost.
	wasHome bool
	// stoppedAt is when the target stopped taking work last.
	stoppedAt time.Duration
	// ending are the runs of dropped jobs whose end is not known: see ending.go.
	droppedRuns map[task.ID]int
	// reserved is a reservation that is held for jobs whose claims are under way, nil
	// where there is none, and reservedAt when it came.
	reserved   *peer.Reservation
	reservedAt time.Duration

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
	return a.connected && a.state.Accepting && !a.evacuated && a.silentSince == 0
}

// usable reports whether the agent may be given work of a service at now.
func (a *agent) usable(now time.Duration, service string) bool {
	return a.serves(service) && now-a.lastFrameAt <= maxStateAge
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
