package world

import (
	"errors"
	"time"

	"github.com/beaconpoint/beaconpoint/seats/home"
	"github.com/beaconpoint/beaconpoint/seats/roster"
)

var errOutage = errors.New("world: outage")

// store is the platform's store, as far as the roster goes.
type store struct {
	roster roster.Roster
	outage bool
	lose   bool // answers of writes are lost
	slow   time.Duration
}

// swap performs a compare-and-swap: it may be refused, take effect with its
// answer lost, or take effect late.
func (w *World) swap(p *process, s home.Swap) {
	id := p.id
	w.after(w.storeTime(), func() {
		outcome := home.Conflicted
		switch {
		case w.store.outage, p.noStore:
			outcome = home.Unknown
			w.maybeLater(s)
		case w.store.roster.Revision == s.Base:
			w.store.roster = s.Next
			w.notify()
			outcome = home.Swapped
		}
		if w.store.lose || p.noStore {
			outcome = home.Unknown
		}
		w.after(w.storeTime(), func() {
			w.handle(p, id, func() { w.apply(p, p.home.SwapEnded(w.moment(p), s.Change, outcome)) })
		})
	})
}

// maybeLater lets a swap that met an outage take effect some time later, with
// nobody told.
func (w *World) maybeLater(s home.Swap) {
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
	w.after(w.storeTime(), func() {
		r, err := w.store.roster, error(nil)
		if w.store.outage || p.noStore {
			r, err = roster.Roster{}, errOutage
		}
		w.after(w.storeTime(), func() {
			w.handle(p, id, func() { w.apply(p, p.home.RosterRead(w.moment(p), r, err)) })
		})
	})
}

// notify wakes the watches of the entries, most of the time.
func (w *World) notify() {
	r := w.store.roster
	for _, p := range w.procs {
		if p.home == nil || p.noStore || w.rng.IntN(3) == 0 {
			continue
		}
		id := p.id
		w.after(w.storeTime(), func() {
			w.handle(p, id, func() { w.apply(p, p.home.RosterRead(w.moment(p), r, nil)) })
		})
	}
}

func (w *World) storeTime() time.Duration {
	t := time.Millisecond + time.Duration(w.rng.IntN(3))*time.Millisecond
	if w.store.slow > 0 {
		t += time.Duration(w.rng.Int64N(int64(w.store.slow)))
	}
	return t
}
