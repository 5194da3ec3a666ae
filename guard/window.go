package guard

import "github.com/beaconpoint/beaconpoint/roster"

// capacity is how many accepted tasks the agent holds at once.
func (g *Guard) capacity() int {
	return g.target.Slots + g.cfg.Queue
}

// window deals the agent's capacity out among the seats, one slot each at the
// least and the rest by their demand, so that an agent seldom has to refuse.
func (g *Guard) window(to roster.ID) int {
	if g.leaving || g.target.Drained || !g.view.HasSeat(to) {
		return 0
	}
	seats := len(g.view.Seats)
	spare := g.capacity() - seats
	if spare <= 0 {
		return 1
	}
	own, total := g.demand(to)
	if total == 0 {
		return 1 + spare/seats
	}
	return 1 + spare*own/total
}

func (g *Guard) demand(to roster.ID) (own, total int) {
	for _, s := range g.view.Seats {
		d := 1
		if l := g.links[s.ID]; l != nil {
			d += l.demand
		}
		total += d
		if s.ID == to {
			own = d
		}
	}
	return own, total
}
