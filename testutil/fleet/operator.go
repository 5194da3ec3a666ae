package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/beaconpoint/beaconpoint/evacuation"
)

// Delays of evacuations, as the platform's documentation defines them.
const (
	// maxEvacuationDelay is how long after the request of an evacuation runs may still start in
	// the hall.
	maxEvacuationDelay = 5 * time.Second
	// faultFreeTime is how long an agent must have been free of faults for the starts on its
	// target to be checked.
	faultFreeTime = 4 * time.Second
	// maxStoreDelay is the longest delay until the store notifies an entry of a change.
	maxStoreDelay = 20 * time.Millisecond
)

// operator starts and ends evacuations of data halls. The store notifies the entries, except
// those that can't reach it and those of the previous version.
type operator struct {
	w *World
	// rng is separate, so that evacuations don't change the draws of other faults. It is seeded
	// like World.crashRand.
	rng *rand.Rand
	set evacuation.Set
	// storeReader is the index of the entry that can reach the store during random evacuations.
	storeReader int
	// requestedAt is when the current evacuation was requested, by hall.
	requestedAt map[string]time.Duration
	// startDelays are the delays from evacuation requests to starts in the evacuated hall.
	startDelays []time.Duration
}

// newOperator returns an operator that makes Config.Evacuations random requests.
func newOperator(w *World) *operator {
	o := &operator{w: w, rng: rand.New(rand.NewPCG(w.cfg.Seed, 17)), requestedAt: make(map[string]time.Duration)}
	if w.cfg.Halls == 0 {
		return o
	}
	o.set.Revision = 1
	o.storeReader = o.rng.IntN(w.cfg.Entries)
	for range w.cfg.Evacuations {
		w.after(time.Duration(o.rng.Int64N(int64(w.cfg.Length-w.cfg.FaultFreeTail))), o.evacuateRandomHall)
	}
	return o
}

// hallName returns the name of hall k.
func hallName(k int) string {
	return fmt.Sprintf("hall-%d", k)
}

// evacuateRandomHall evacuates a random hall for up to 6 s. If storeReader runs the current
// version, about half of the other entries can't reach the store for up to 8 s.
func (o *operator) evacuateRandomHall() {
	for k, e := range o.w.entries {
		if k != o.storeReader && !o.w.entries[o.storeReader].previousVersion() && o.rng.IntN(2) == 0 {
			e.storeUnreachableUntil = max(e.storeUnreachableUntil,
				o.w.now()+time.Duration(o.rng.Int64N(int64(8*time.Second))))
		}
	}
	hall := hallName(o.rng.IntN(o.w.cfg.Halls))
	duration := 500*time.Millisecond + time.Duration(o.rng.Int64N(int64(5500*time.Millisecond)))
	o.evacuateHall(hall, duration, o.rng.IntN(2) == 0)
}

// evacuate evacuates a hall for the given duration. The targets of the hall are not cold
// afterwards.
func (o *operator) evacuate(hall string, duration time.Duration) {
	o.evacuateHall(hall, duration, false)
}

// evacuateHall evacuates a hall for the given duration, unless it is evacuated already. If cold
// is set, the targets of the hall are cold afterwards.
func (o *operator) evacuateHall(hall string, duration time.Duration, cold bool) {
	if o.set.Has(hall) {
		return
	}
	o.requestedAt[hall] = o.w.now()
	o.update(hall, true)
	o.w.after(duration, func() {
		if cold {
			o.markCold(hall)
		}
		o.endEvacuation(hall)
	})
}

// endEvacuation ends the evacuation of a hall.
func (o *operator) endEvacuation(hall string) {
	delete(o.requestedAt, hall)
	o.update(hall, false)
}

// markCold makes the targets of a hall cold and sends heartbeats that report it.
func (o *operator) markCold(hall string) {
	for _, a := range o.w.agents {
		if a.target.hall == hall && a.target.up {
			a.target.coldUntil = o.w.now() + coldTime
			a.heartbeatSeq++
			r := a.target.heartbeat(a.heartbeatSeq)
			a.execute(a.incarnation, func() { a.supervisor.Heartbeat(a.clock(), r) })
		}
	}
}

// update writes a change to the store and notifies the entries.
func (o *operator) update(hall string, evacuated bool) {
	o.set = o.set.With(o.set.Revision+1, hall, evacuated)
	for _, e := range o.w.entries {
		o.notify(e)
	}
}

// notify delivers the current evacuations to an entry once the entry can reach the store.
func (o *operator) notify(e *entryProcess) {
	if o.set.Revision == 0 || e.previousVersion() {
		return
	}
	incarnation, set := e.incarnation, o.set
	delay := time.Duration(o.rng.Int64N(int64(maxStoreDelay)))
	if e.storeUnreachableUntil > o.w.now() {
		o.w.after(e.storeUnreachableUntil-o.w.now()+delay, func() { o.notify(e) })
		return
	}
	o.w.after(delay, func() {
		e.execute(incarnation, func() { e.owner.Evacuate(e.clock(), set, "store") })
	})
}

// checkRunStart checks that a run does not start in a hall more than maxEvacuationDelay after
// the request of its evacuation. It ignores agents of the previous version.
func (o *operator) checkRunStart(a *agentProcess, name string) {
	requestedAt, evacuated := o.requestedAt[a.target.hall]
	if !evacuated || a.previousVersion() {
		return
	}
	delay := o.w.now() - requestedAt
	o.startDelays = append(o.startDelays, delay)
	if delay > maxEvacuationDelay && o.w.now()-a.faultUntil > faultFreeTime {
		o.w.recordViolation(Evacuated, "%s started in %s, %s after the request of its evacuation", name,
			a.target.hall, delay)
	}
}
