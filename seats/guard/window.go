package guard

import "github.com/beaconpoint/beaconpoint/seats/roster"

// capacity returns the number of accepted tasks that the agent may hold at once.
func (g *Guard) capacity() int {
	return g.target.Slots + g.cfg.Queue
}

// window returns the seat's share of the agent's capacity. Seats share it in
// proportion to their demand, in which the agent's owner counts with at least
// one task.
func (g *Guard) window(to roster.ID) int {
	if g.leaving || g.target.Drained || !g.view.HasSeat(to) {
		return 0
	}
	own, total := g.demand(to)
	if own == 0 {
		return 0
	}
	return max(g.capacity()*own/total, 1)
}

// demand returns the number of tasks that the seat to and all seats together
// have for this agent. The agent's owner counts with at least one.
func (g *Guard) demand(to roster.ID) (own, total int) {
	owner := g.view.Owner(g.target.Service, g.cfg.Self.Name)
	for _, s := range g.view.Seats {
		d := 0
		if l := g.links[s.ID]; l != nil {
			d = l.demand
		}
		if s.ID == owner {
			d = max(d, 1)
		}
		total += d
		if s.ID == to {
			own = d
		}
	}
	return own, total
}
