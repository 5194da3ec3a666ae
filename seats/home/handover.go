package home

import (
	"maps"
	"slices"

	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// movedTo returns those of jobs, a map of job keys to expiries, that the seat
// owns.
func (h *Home) movedTo(seat roster.ID, jobs map[string]int64) []wire.Moved {
	var moved []wire.Moved
	for _, key := range slices.Sorted(maps.Keys(jobs)) {
		if h.view.Home(key) == seat {
			moved = append(moved, wire.Moved{Job: key, Expiry: jobs[key]})
		}
	}
	return moved
}

// handOver sends a seat the jobs that it owns and whose records are held here.
func (h *Home) handOver(l *link) {
	m := wire.HandOver{Revision: h.view.Revision, Settled: h.takeover.everSettled}
	held := make(map[string]int64, len(h.records)+len(h.takeover.inherited))
	for key, in := range h.takeover.inherited {
		if _, elsewhere := h.takeover.moved[key]; in.complete && !elsewhere {
			held[key] = in.expiry
		}
	}
	for key, r := range h.records {
		held[key] = r.expiry
	}
	m.Moved = h.movedTo(l.id, held)
	m.Orphans = h.movedTo(l.id, h.takeover.orphans)
	m.Doubted = h.movedTo(l.id, h.takeover.doubted)
	for _, d := range h.takeover.doubts {
		m.Doubts = append(m.Doubts, d.Doubt)
	}
	h.send(l, m)
}
