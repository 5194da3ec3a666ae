package guard

import "github.com/beaconpoint/beaconpoint/seats/roster"

// capacity is how many accepted tasks the agent holds at once.
func (g *Guard) capacity() int {
	return g.target.Slots + g.cfg.Queue
}

// window deals the agent's capacity out. Its owner has all of it, but for what
// other seats need for jobs that they still own; those share by demand.
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

// demand returns the tasks that the seat and all seats have for this agent; its
// owner counts with one at the least.
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
