package home

import (
	"fmt"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// Delays of roster changes.
const (
	// proposalStagger delays each entry's proposal by its rank, so that
	// entries rarely compete for the same swap.
	proposalStagger = 150 * time.Millisecond
	readRetryDelay  = 300 * time.Millisecond
	// maxSeatWaitSuspects and maxAgentWaitSuspects limit, in multiples of
	// Config.Suspect, how long an entry waits for connections to the other
	// seats and to agents before it takes a seat.
	maxSeatWaitSuspects  = 2
	maxAgentWaitSuspects = 10
)

// proposal is a roster swap that is in progress.
type proposal struct {
	swap Swap
}

// Outcome is the result of a roster swap.
type Outcome uint8

// Outcomes of a swap.
const (
	Swapped Outcome = iota + 1
	// Conflicted means that the stored revision had changed and nothing was
	// written.
	Conflicted
	// Unknown means that the change may have taken effect.
	Unknown
)

func (o Outcome) String() string {
	return [...]string{"none", "swapped", "conflicted", "unknown"}[o]
}

// SwapEnded handles the outcome of the swap with the given change id.
func (h *Home) SwapEnded(now clock.Moment, change string, o Outcome) Effects {
	h.now = now
	p := h.proposal
	if p == nil || p.swap.Change != change {
		return h.takeEffects()
	}
	h.proposal = nil
	if o == Swapped {
		h.adopt(p.swap.Next)
	} else {
		h.needRead = true
	}
	h.settle()
	return h.takeEffects()
}

// RosterRead handles the result of reading the roster from the store. A roster
// that does not exist yet is the zero Roster.
func (h *Home) RosterRead(now clock.Moment, r roster.Roster, err error) Effects {
	h.now = now
	if err != nil {
		h.needRead = true
		h.readAfter = now.Mono + readRetryDelay
		return h.takeEffects()
	}
	if !h.haveRead {
		h.haveRead = true
		h.firstReadAt = now.Mono
	}
	h.adopt(r)
	h.settle()
	return h.takeEffects()
}

// adopt replaces the roster in force if r has a higher revision.
func (h *Home) adopt(r roster.Roster) {
	if r.Revision <= h.view.Revision {
		return
	}
	before := h.view
	h.view = roster.NewView(r)
	h.seenRevision = max(h.seenRevision, r.Revision)
	h.confirmations.Keep(r.Seats)
	if before.HasSeat(h.cfg.Self) && !h.Seated() {
		h.removed = true
		h.effects.Removed = true
	}
	h.countOwners()
	for _, l := range h.ordered {
		l.registered = h.view.HasAgent(l.id)
	}
	if h.Seated() && (!slices.Equal(before.Seats, r.Seats) || before.Shards != r.Shards || !h.takeover.settled()) {
		h.beginTakeover()
	}
	for _, l := range h.ordered {
		h.sendUpdates(l)
	}
	if h.takeover.pending {
		h.exchangeState()
	}
	h.reroute()
}

func (h *Home) beginTakeover() {
	h.takeover.begin(h.now.Mono, h.lapseTime(), h.view, h.links)
}

// exchangeState requests the agents' records that the takeover still needs and
// sends hand-overs to the other seats.
func (h *Home) exchangeState() {
	for _, l := range h.ordered {
		if !l.up {
			continue
		}
		if h.view.HasAgent(l.id) && !h.takeover.collected[l.id] {
			h.send(l, wire.Collect{Revision: h.view.Revision})
		}
		if h.view.HasSeat(l.id) && l.id != h.cfg.Self {
			h.handOver(l)
		}
	}
}

// propose requests a swap if the roster needs a change.
func (h *Home) propose() {
	if h.proposal != nil || !h.haveRead || h.removed {
		return
	}
	next := h.nextRoster()
	if sameMembers(next, h.view.Roster) {
		h.changeDueSince = 0
		return
	}
	if h.changeDueSince == 0 {
		h.changeDueSince = h.now.Mono
	}
	if h.now.Mono < h.changeDueSince+h.proposalRank()*proposalStagger {
		return
	}
	h.changeDueSince = 0
	h.changes++
	change := fmt.Sprintf("%s-%d", h.cfg.Self, h.changes)
	next = next.WithLossesSince(h.now.Wall.Add(-h.longestExpiry() - 2*h.cfg.Skew)).WithChange(change)
	s := Swap{Base: h.view.Revision, Next: next, Change: change}
	h.proposal = &proposal{swap: s}
	h.effects.Swap = &s
}

// proposalRank returns the number of live seats that propose before this one.
func (h *Home) proposalRank() time.Duration {
	rank := time.Duration(0)
	for _, s := range h.view.Seats {
		if s.ID.Compare(h.cfg.Self) < 0 && !h.silent(s.ID) {
			rank++
		}
	}
	return rank
}

// nextRoster returns the roster with every change that is due.
func (h *Home) nextRoster() roster.Roster {
	r := h.view.Roster
	switch {
	case !h.Seated() && !h.leaving && h.mayJoin():
		r = r.WithSeat(roster.Seat{ID: h.cfg.Self, Addr: h.cfg.Addr}, h.now.Wall)
	case !h.Seated():
	default:
		r = h.withOwnLeave(r)
		r = h.withoutSilentSeats(r)
		r = h.withCurrentAgents(r)
		r = r.WithShards(h.config.Shards)
	}
	return r
}

func sameMembers(a, b roster.Roster) bool {
	return slices.Equal(a.Seats, b.Seats) && slices.Equal(a.Agents, b.Agents) && a.Shards == b.Shards
}

// withOwnLeave marks the seat of a leaving entry, and removes it once the entry
// has finished its jobs and the other seats have received its hand-over.
func (h *Home) withOwnLeave(r roster.Roster) roster.Roster {
	if !h.leaving {
		return r
	}
	own, _ := r.SeatNamed(h.cfg.Self.Name)
	if !own.Leaving && len(r.Seats) > 1 {
		return r.WithLeaving(h.cfg.Self)
	}
	if h.Drained() && h.othersSettled() {
		return r.WithoutLeaver(h.cfg.Self, h.now.Wall)
	}
	return r
}

func (h *Home) othersSettled() bool {
	for _, s := range h.view.Seats {
		l := h.peer(s.ID)
		if s.ID == h.cfg.Self || l == nil {
			continue
		}
		if l.revision < h.view.Revision || l.settling {
			return false
		}
	}
	return true
}

// withoutSilentSeats removes the seats of entries suspected to have failed. An
// entry that reaches fewer than half of the agents removes none.
func (h *Home) withoutSilentSeats(r roster.Roster) roster.Roster {
	if !h.reachesAgents() {
		return r
	}
	for _, s := range h.view.Seats {
		if s.ID != h.cfg.Self && h.silent(s.ID) {
			r = r.WithoutSeat(s.ID, h.now.Wall)
		}
	}
	return r
}

// silent reports whether no frame arrived from the seat within Config.Suspect.
func (h *Home) silent(id roster.ID) bool {
	if id == h.cfg.Self {
		return false
	}
	lastReceived := h.expectedSince[id]
	if l := h.links[id]; l != nil {
		lastReceived = max(lastReceived, l.receivedAt)
	}
	return h.now.Mono-lastReceived > h.cfg.Suspect
}

// mayJoin reports whether this entry may take a seat. A seat that the others
// cannot confirm blocks them until they remove it, so an entry first waits, for
// a limited time, for connections to the other seats and to the agents.
func (h *Home) mayJoin() bool {
	waited := h.now.Mono - h.firstReadAt
	if !h.reachesAgents() && waited < maxAgentWaitSuspects*h.cfg.Suspect {
		return false
	}
	unconnected := slices.ContainsFunc(h.view.Seats, func(s roster.Seat) bool {
		return s.ID.Name != h.cfg.Self.Name && h.peer(s.ID) == nil
	})
	return !unconnected || waited >= maxSeatWaitSuspects*h.cfg.Suspect
}

// reachesAgents reports whether this entry is connected to at least half of the
// registered agents, whatever their incarnation.
func (h *Home) reachesAgents() bool {
	up := make(map[string]bool)
	for _, l := range h.ordered {
		up[l.id.Name] = up[l.id.Name] || (l.up && l.role == wire.RoleAgent)
	}
	reached := 0
	for _, a := range h.view.Agents {
		if up[a.Name] {
			reached++
		}
	}
	return 2*reached >= len(h.view.Agents)
}

// withCurrentAgents registers the connected agents of configured targets and
// removes agents that are no longer configured or were disconnected for longer
// than Config.AgentGone.
func (h *Home) withCurrentAgents(r roster.Roster) roster.Roster {
	for _, a := range h.view.Agents {
		l := h.links[a]
		_, configured := h.config.FindTarget(a.Name)
		gone := l != nil && !l.up && h.now.Mono-l.changedAt > h.cfg.AgentGone && h.takeover.settled()
		if !configured || gone {
			r = r.WithoutAgent(a, h.now.Wall)
		}
	}
	for _, id := range h.sortedAgents() {
		if _, ok := h.config.FindTarget(id.Name); ok && !r.HasAgent(id) {
			r = r.WithAgent(id, h.now.Wall)
		}
	}
	return r
}

// sortedAgents returns the ids of the connected agents in ascending order.
func (h *Home) sortedAgents() []roster.ID {
	var ids []roster.ID
	for id, l := range h.links {
		if l.role == wire.RoleAgent && l.up {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, roster.ID.Compare)
	return ids
}
