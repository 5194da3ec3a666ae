package world

import (
	"errors"
	"time"

	"github.com/beaconpoint/beaconpoint/seats/home"
	"github.com/beaconpoint/beaconpoint/seats/roster"
)

var errOutage = errors.New("world: outage")

// store simulates the roster in the platform's key-value store.
type store struct {
	roster      roster.Roster
	outage      bool
	loseAnswers bool // writes are applied but get no response
	slow        time.Duration
}

// swap performs a compare-and-swap. With a store fault the outcome is unknown,
// and the swap may be applied at once, later or not at all.
func (w *World) swap(p *process, s home.Swap) {
	id := p.id
	w.after(w.storeDelay(), func() {
		outcome := home.Conflicted
		switch {
		case w.store.outage, p.noStore:
			outcome = home.Unknown
			w.maybeApplyLate(s)
		case w.store.roster.Revision == s.Base:
			w.store.roster = s.Next
			w.notify()
			outcome = home.Swapped
		}
		if w.store.loseAnswers || p.noStore {
			outcome = home.Unknown
		}
		w.after(w.storeDelay(), func() {
			w.handle(p, id, func() { w.apply(p, p.home.SwapEnded(w.moment(p), s.Change, outcome)) })
		})
	})
}

// maybeApplyLate applies one in four of the swaps that met an outage, after a
// delay of up to 5 s and without a response.
func (w *World) maybeApplyLate(s home.Swap) {
	if w.rng.IntN(4) > 0 {
		return
	}
	w.after(time.Duration(w.rng.IntN(5000))*time.Millisecond, func() {
		if w.store.roster.Revision == s.Base {
			w.store.roster = s.Next
			w.notify()
		}
	})
}

func (w *World) read(p *process) {
	id := p.id
	w.after(w.storeDelay(), func() {
		r, err := w.store.roster, error(nil)
		if w.store.outage || p.noStore {
			r, err = roster.Roster{}, errOutage
		}
		w.after(w.storeDelay(), func() {
			w.handle(p, id, func() { w.apply(p, p.home.RosterRead(w.moment(p), r, err)) })
		})
	})
}

// notify delivers the roster to the watches of the entries. A watch misses it
// with a probability of one third.
func (w *World) notify() {
	r := w.store.roster
	for _, p := range w.procs {
		if p.home == nil || p.noStore || w.rng.IntN(3) == 0 {
			continue
		}
		id := p.id
		w.after(w.storeDelay(), func() {
			w.handle(p, id, func() { w.apply(p, p.home.RosterRead(w.moment(p), r, nil)) })
		})
	}
}

func (w *World) storeDelay() time.Duration {
	t := time.Millisecond + time.Duration(w.rng.IntN(3))*time.Millisecond
	if w.store.slow > 0 {
		t += time.Duration(w.rng.Int64N(int64(w.store.slow)))
	}
	return t
}
