package home

import (
	"maps"
	"slices"

	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// movedTo returns those of the jobs, given with their expiries, that the seat is
// home to.
func (h *Home) movedTo(seat roster.ID, jobs map[string]int64) []wire.Moved {
	var moved []wire.Moved
	for _, key := range slices.Sorted(maps.Keys(jobs)) {
		if h.view.Home(key) == seat {
			moved = append(moved, wire.Moved{Job: key, Expiry: jobs[key]})
		}
	}
	return moved
}

// handOver tells a seat of the jobs that it is home to and that are kept here.
func (h *Home) handOver(l *link) {
	m := wire.HandOver{Revision: h.view.Revision, Settled: h.take.ever}
	held := make(map[string]int64, len(h.records)+len(h.take.inherited))
	for key, in := range h.take.inherited {
		if _, elsewhere := h.take.moved[key]; in.whole && !elsewhere {
			held[key] = in.expiry
		}
	}
	for key, r := range h.records {
		held[key] = r.expiry
	}
	m.Moved = h.movedTo(l.id, held)
	m.Orphans = h.movedTo(l.id, h.take.orphans)
	m.Doubted = h.movedTo(l.id, h.take.doubted)
	for _, d := range h.take.doubts {
		m.Doubts = append(m.Doubts, d.Doubt)
	}
	h.send(l, m)
}
