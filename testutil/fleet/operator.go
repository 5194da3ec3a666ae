package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/beaconpoint/beaconpoint/evacuation"
)

// Times of evacuations, as the platform's pages have them.
const (
	// evacuateTime is how long after the store's answer a target in an evacuated hall may
	// be given work.
	evacuateTime = 5 * time.Second
	// contactTime is how long a process must have been undisturbed to count as in touch.
	contactTime = 4 * time.Second
	// storeTime is the most that the store takes to tell an entry of a change.
	storeTime = 20 * time.Millisecond
)

// operator has data halls evacuated and takes it back. Entries hear of it from the store,
// unless they are deaf; those of the version before never do.
type operator struct {
	w    *World
	luck *rand.Rand // of its own, so that histories without evacuations stay as they are
	set  evacuation.Set
	// hears is the entry that can always reach the store.
	hears int
	// since is when each evacuated hall's request was answered.
	since map[string]time.Duration
	// startedAfter are the times from the requests to the starts that came after them.
	startedAfter []time.Duration
}

// newOperator returns the operator of a world, who makes so many random requests.
func newOperator(w *World) *operator {
	o := &operator{w: w, luck: rand.New(rand.NewPCG(w.cfg.Seed, 17)), since: make(map[string]time.Duration)}
	if w.cfg.Halls == 0 {
		return o
	}
	o.set.Revision = 1
	o.hears = o.luck.IntN(w.cfg.Entries)
	for range w.cfg.Evacuations {
		w.after(time.Duration(o.luck.Int64N(int64(w.cfg.Length-w.cfg.Calm))), o.evacuateSome)
	}
	return o
}

// hallName returns the name of a hall.
func hallName(k int) string {
	return fmt.Sprintf("hall-%d", k)
}

// evacuateSome has a random hall evacuated for up to 6 s, while some of the entries can't
// hear of it from the store.
func (o *operator) evacuateSome() {
	for k, e := range o.w.entries {
		if k != o.hears && !o.w.entries[o.hears].old() && o.luck.IntN(2) == 0 {
			e.deafUntil = max(e.deafUntil, o.w.now()+time.Duration(o.luck.Int64N(int64(8*time.Second))))
		}
	}
	hall := hallName(o.luck.IntN(o.w.cfg.Halls))
	lasts := 500*time.Millisecond + time.Duration(o.luck.Int64N(int64(5500*time.Millisecond)))
	o.evacuateCold(hall, lasts, o.luck.IntN(2) == 0)
}

// evacuate has a hall evacuated for a while.
func (o *operator) evacuate(hall string, lasts time.Duration) {
	o.evacuateCold(hall, lasts, false)
}

// evacuateCold is evacuate for a hall whose targets are cold afterwards, if cold says so.
func (o *operator) evacuateCold(hall string, lasts time.Duration, cold bool) {
	if o.set.Has(hall) {
		return
	}
	o.since[hall] = o.w.now()
	o.change(hall, true)
	o.w.after(lasts, func() {
		if cold {
			o.chill(hall)
		}
		o.takeBack(hall)
	})
}

// takeBack ends the evacuation of a hall.
func (o *operator) takeBack(hall string) {
	delete(o.since, hall)
	o.change(hall, false)
}

// chill has a hall's targets be cold from now on, and say so.
func (o *operator) chill(hall string) {
	for _, a := range o.w.agents {
		if a.target.hall == hall && a.target.up {
			a.target.coldUntil = o.w.now() + coldTime
			a.seq++
			r := a.target.report(a.seq)
			a.do(a.incarnation, func() { a.supervisor.Heartbeat(a.clock(), r) })
		}
	}
}

// change writes a change into the store, which tells the entries.
func (o *operator) change(hall string, evacuated bool) {
	o.set = o.set.With(o.set.Revision+1, hall, evacuated)
	for _, e := range o.w.entries {
		o.tell(e)
	}
}

// tell has an entry hear what is in the store now, or when it is not deaf any more.
func (o *operator) tell(e *entryProcess) {
	if o.set.Revision == 0 || e.old() {
		return
	}
	incarnation, set := e.incarnation, o.set
	wait := time.Duration(o.luck.Int64N(int64(storeTime)))
	if e.deafUntil > o.w.now() {
		o.w.after(e.deafUntil-o.w.now()+wait, func() { o.tell(e) })
		return
	}
	o.w.after(wait, func() {
		e.do(incarnation, func() { e.owner.Evacuate(e.clock(), set, "store") })
	})
}

// checkStart checks a start on a target in a hall that may be evacuated.
func (o *operator) checkStart(a *agentProcess, name string) {
	since, evacuated := o.since[a.target.hall]
	if !evacuated || a.old() {
		return
	}
	late := o.w.now() - since
	o.startedAfter = append(o.startedAfter, late)
	if late > evacuateTime && o.w.now()-a.disturbedUntil > contactTime {
		o.w.breaks(Evacuated, "%s starts in %s, evacuated since %s", name, a.target.hall, late)
	}
}
