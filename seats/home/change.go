package home

import (
	"fmt"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// Waits around changes of the roster.
const (
	// changeStagger sets the seats' proposals apart, so that they seldom
	// race for the same swap.
	changeStagger = 150 * time.Millisecond
	// readAgain is after how long a failed read is tried again.
	readAgain = 300 * time.Millisecond
	// joinWithoutSeats and joinWithoutAgents are how many times the suspicion
	// time a home waits for connections before it takes a seat without them.
	joinWithoutSeats  = 2
	joinWithoutAgents = 10
)

// proposal is a swap of the roster whose outcome is not known yet.
type proposal struct {
	swap Swap
}

// Outcome is how a swap ended.
type Outcome uint8

// Outcomes of a swap.
const (
	Swapped Outcome = iota + 1
	// Conflicted: another change came first, nothing was written.
	Conflicted
	// Unknown: the answer was lost; the change may have taken effect.
	Unknown
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"none", "swapped", "conflicted", "unknown"}[o]
}

// SwapEnded notes how the swap with the given change id ended.
func (h *Home) SwapEnded(now clock.Moment, change string, o Outcome) Effects {
	h.now = now
	p := h.proposal
	if p == nil || p.swap.Change != change {
		return h.drain()
	}
	h.proposal = nil
	if o == Swapped {
		h.adopt(p.swap.Next)
	} else {
		h.needRead = true
	}
	h.settle()
	return h.drain()
}

// RosterRead takes the roster that the store holds; a missing one is the zero
// Roster.
func (h *Home) RosterRead(now clock.Moment, r roster.Roster, err error) Effects {
	h.now = now
	if err != nil {
		h.needRead = true
		h.readAfter = now.Mono + readAgain
		return h.drain()
	}
	if !h.haveRead {
		h.haveRead = true
		h.readAt = now.Mono
	}
	h.adopt(r)
	h.settle()
	return h.drain()
}

// adopt takes a roster with a higher revision; a lower one changes nothing.
func (h *Home) adopt(r roster.Roster) {
	if r.Revision <= h.view.Revision {
		return
	}
	before := h.view
	h.view = roster.NewView(r)
	h.heard = max(h.heard, r.Revision)
	h.standing.Keep(r.Seats)
	if before.HasSeat(h.cfg.Self) && !h.Seated() {
		h.lost = true
		h.out.Removed = true
	}
	h.countHomes()
	for _, l := range h.ordered {
		l.registered = h.view.HasAgent(l.id)
	}
	if h.Seated() && (!slices.Equal(before.Seats, r.Seats) || before.Shards != r.Shards || !h.take.settled()) {
		h.beginTakeover()
	}
	for _, l := range h.ordered {
		h.inform(l)
	}
	if h.take.pending {
		h.gather()
	}
	h.reroute()
}

func (h *Home) beginTakeover() {
	h.take.begin(h.now.Mono, h.lapseTime(), h.view, h.links)
}

// gather asks for what the takeover lacks, and hands over what others lack.
func (h *Home) gather() {
	for _, l := range h.ordered {
		if !l.up {
			continue
		}
		if h.view.HasAgent(l.id) && !h.take.collected[l.id] {
			h.send(l, wire.Collect{Revision: h.view.Revision})
		}
		if h.view.HasSeat(l.id) && l.id != h.cfg.Self {
			h.handOver(l)
		}
	}
}

// propose asks for the next change of the roster that is due, if any.
func (h *Home) propose() {
	if h.proposal != nil || !h.haveRead || h.lost {
		return
	}
	next := h.wanted()
	if sameProcesses(next, h.view.Roster) {
		h.wantSince = 0
		return
	}
	if h.wantSince == 0 {
		h.wantSince = h.now.Mono
	}
	if h.now.Mono < h.wantSince+h.rank()*changeStagger {
		return
	}
	h.wantSince = 0
	h.changes++
	change := fmt.Sprintf("%s-%d", h.cfg.Self, h.changes)
	next = next.WithLossesSince(h.now.Wall.Add(-h.longestExpiry() - 2*h.cfg.Skew)).WithChange(change)
	s := Swap{Base: h.view.Revision, Next: next, Change: change}
	h.proposal = &proposal{swap: s}
	h.out.Swap = &s
}

// rank is this home's place among the seats that propose.
func (h *Home) rank() time.Duration {
	rank := time.Duration(0)
	for _, s := range h.view.Seats {
		if s.ID.Compare(h.cfg.Self) < 0 && !h.silent(s.ID) {
			rank++
		}
	}
	return rank
}

// wanted returns the roster with every change that is due, or a zero one.
func (h *Home) wanted() roster.Roster {
	r := h.view.Roster
	switch {
	case !h.Seated() && !h.leaving && h.mayJoin():
		r = r.WithSeat(roster.Seat{ID: h.cfg.Self, Addr: h.cfg.Addr}, h.now.Wall)
	case !h.Seated():
	default:
		r = h.wantedLeave(r)
		r = h.wantedSeats(r)
		r = h.wantedAgents(r)
		r = r.WithShards(h.config.Shards)
	}
	return r
}

func sameProcesses(a, b roster.Roster) bool {
	return slices.Equal(a.Seats, b.Seats) && slices.Equal(a.Agents, b.Agents) && a.Shards == b.Shards
}

// wantedLeave marks a leaving home's seat, and gives it up once the home has
// finished and the others know all of its share.
func (h *Home) wantedLeave(r roster.Roster) roster.Roster {
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

// wantedSeats takes away the seats of silent entries. A home that is itself
// cut off, or has never been settled beside others that can't be lapsed, still
// may: it then can't settle before every agent has answered.
func (h *Home) wantedSeats(r roster.Roster) roster.Roster {
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

// silent reports whether nothing was heard of the seat for too long.
func (h *Home) silent(id roster.ID) bool {
	if id == h.cfg.Self {
		return false
	}
	heard := h.adoptedAt[id]
	if l := h.links[id]; l != nil {
		heard = max(heard, l.heardAt)
	}
	return h.now.Mono-heard > h.cfg.Suspect
}

// mayJoin reports whether a seat for this home would do good: one that the
// other seats can't confirm holds them all up until they have removed it. It
// waits for connections to them and to the agents, but not for ever, since they
// may all be gone.
func (h *Home) mayJoin() bool {
	waited := h.now.Mono - h.readAt
	if !h.reachesAgents() && waited < joinWithoutAgents*h.cfg.Suspect {
		return false
	}
	apart := slices.ContainsFunc(h.view.Seats, func(s roster.Seat) bool {
		return s.ID.Name != h.cfg.Self.Name && h.peer(s.ID) == nil
	})
	return !apart || waited >= joinWithoutSeats*h.cfg.Suspect
}

// reachesAgents reports whether this home is connected to at least half of the
// registered agents, in any of their lives: one that is cut off should not
// remove the others.
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

// wantedAgents registers the connected agents of configured targets, and takes
// out those that are no longer configured or long gone.
func (h *Home) wantedAgents(r roster.Roster) roster.Roster {
	for _, a := range h.view.Agents {
		l := h.links[a]
		_, configured := h.config.FindTarget(a.Name)
		gone := l != nil && !l.up && h.now.Mono-l.changedAt > h.cfg.AgentGone && h.take.settled()
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

// sortedAgents returns the connected agents in a fixed order.
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
