package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// maxStateAge is the maximum age of an agent's last frame at which it still gets work. Agents
// in use send a frame at least every peer.HeartbeatInterval.
const maxStateAge = 300 * time.Millisecond

// minSpeed is the lower bound of a target's speed, which is zero until the first report.
const minSpeed = 0.05

// agent is the known state of one agent and its target.
type agent struct {
	name        string
	connected   bool
	level       peer.ProtocolLevel // protocol level of the agent
	lastFrameAt time.Duration      // when its last frame arrived
	// connectedAt is when the connection was made.
	connectedAt time.Duration
	sentAt      time.Duration // when the last frame was sent to it

	// watching reports whether this entry watches the agent, watchedSince since when. usedAt is
	// when the watch began, or when an order or a room request was last sent.
	watching             bool
	watchedSince, usedAt time.Duration
	specs                peer.SpecCache // specs that the agent has stored

	// knownEvacuations is the latest revision of the evacuated halls that the agent has sent or
	// received on this connection. evacuated reports whether its target's hall is one of them.
	knownEvacuations uint64
	evacuated        bool

	profile peer.Profile
	state   peer.State
	labels  map[string]bool // labels of the profile
	pending []pendingOrder  // orders that the state does not include yet

	// tasks are those with a run placed here, or uncertain after the connection was lost.
	tasks map[task.ID]*job
	// clearAt is when no run of a lost connection can be active any more, zero if there is
	// none.
	clearAt time.Duration

	// hash is the hash of the name for ranking homes. silentSince is when the agent was found
	// to have left a claim unanswered, zero while it answers.
	hash        uint64
	silentSince time.Duration
	// voidClaims are the jobs whose claim was released before the agent has replied to it. They are
	// not claimed there again until the reply has arrived, which would be taken for one to the
	// later claim.
	voidClaims map[string]bool
	// lastHall is the data hall of its target as last reported on any connection.
	lastHall string
	// eligibleHome reports whether jobs may be claimed there, by IsHome.
	eligibleHome bool
	// preferred reports whether this entry prefers the agent, by IsPreferred. Other agents are watched only
	// if no preferred agent is left.
	preferred bool
	// supportsClaims reports whether its last Hello, on this or an earlier connection, had at
	// least peer.LevelClaim.
	supportsClaims bool
	// stoppedAcceptingAt is when the target last stopped accepting work.
	stoppedAcceptingAt time.Duration
	// droppedRuns holds the runs of dropped jobs that are not known to have ended.
	droppedRuns map[task.ID]int
	// reserved is a reservation kept for jobs whose claims are pending, or nil. reservedAt is
	// when it arrived.
	reserved   *peer.Reservation
	reservedAt time.Duration

	// roomRequested reports whether the agent has a pending room request of this entry,
	// requestRank the rank of the job that caused it.
	roomRequested bool
	requestRank   queueRank

	out   peer.Frame // next frame
	dirty bool       // out has content, or a heartbeat is due
}

// pendingOrder is room taken by an order that the agent's state may not include yet.
type pendingOrder struct {
	seq   uint64 // sequence number of the frame with the order; zero until sent
	needs task.Resources
}

// speed returns the target's speed relative to the reference speed 1, at least minSpeed.
func (a *agent) speed() float64 {
	return max(a.state.Speed, minSpeed)
}

// freeRoom returns the target's reported free room less pending orders.
func (a *agent) freeRoom() task.Resources {
	free := a.state.Free
	for _, p := range a.pending {
		free = free.Minus(p.needs)
	}
	return free
}

// taskIDs returns the sorted ids of the tasks at a.
func (a *agent) taskIDs() []task.ID {
	return slices.SortedFunc(maps.Keys(a.tasks), task.ID.Compare)
}

// serves reports whether the agent accepts work of a service, as far as is known.
func (a *agent) serves(service string) bool {
	return a.takesWork() && a.state.Cleared && a.profile.Service == service
}

// takesWork reports whether the agent accepts work of any service, as far as is known.
func (a *agent) takesWork() bool {
	return a.connected && a.state.Accepting && !a.evacuated && a.silentSince == 0
}

// usable reports whether the agent may be given work of a service at now.
func (a *agent) usable(now time.Duration, service string) bool {
	return a.serves(service) && now-a.lastFrameAt <= maxStateAge
}

// applyState replaces the state and removes the pending orders that it includes.
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

// deleteAgent removes a from a list.
func deleteAgent(list []*agent, a *agent) []*agent {
	return slices.DeleteFunc(list, func(b *agent) bool { return a == b })
}

// insertByName inserts a into a list sorted by name.
func insertByName(list []*agent, a *agent) []*agent {
	k, _ := slices.BinarySearchFunc(list, a.name, func(b *agent, name string) int {
		if b.name < name {
			return -1
		}
		return 1
	})
	return slices.Insert(list, k, a)
}
