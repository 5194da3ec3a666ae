package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/beaconpoint/beaconpoint/evacuation"
)

// Delays of evacuations, as the platform's documentation defines them.
const (
	// maxEvacuationDelay is how long after the store's answer targets in an evacuated hall may
	// still be given work.
	maxEvacuationDelay = 5 * time.Second
	// faultFreeTime is how long an agent must have been free of faults for starts to be
	// checked.
	faultFreeTime = 4 * time.Second
	// maxStoreDelay is the longest delay until the store notifies an entry of a change.
	maxStoreDelay = 20 * time.Millisecond
)

// operator starts and ends evacuations of data halls. The store notifies the entries, except
// those that can't reach it and those of the previous version.
type operator struct {
	w   *World
	rng *rand.Rand // separate, so that histories without evacuations do not change
	set evacuation.Set
	// storeReader is the index of the entry that can always reach the store.
	storeReader int
	// requestedAt is when the store answered the evacuation request, by hall.
	requestedAt map[string]time.Duration
	// startDelays are the delays from evacuation requests to later starts in the hall.
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

func hallName(k int) string {
	return fmt.Sprintf("hall-%d", k)
}

// evacuateRandomHall evacuates a random hall for up to 6 s. Some of the entries can't reach the
// store meanwhile.
func (o *operator) evacuateRandomHall() {
	for k, e := range o.w.entries {
		if k != o.storeReader && !o.w.entries[o.storeReader].previousVersion() && o.rng.IntN(2) == 0 {
			e.storeUnreachableUntil = max(e.storeUnreachableUntil, o.w.now()+time.Duration(o.rng.Int64N(int64(8*time.Second))))
		}
	}
	hall := hallName(o.rng.IntN(o.w.cfg.Halls))
	duration := 500*time.Millisecond + time.Duration(o.rng.Int64N(int64(5500*time.Millisecond)))
	o.evacuateCold(hall, duration, o.rng.IntN(2) == 0)
}

// evacuate evacuates a hall for the given duration.
func (o *operator) evacuate(hall string, duration time.Duration) {
	o.evacuateCold(hall, duration, false)
}

// evacuateCold is like evacuate; if cold is set, the targets of the hall are cold afterwards.
func (o *operator) evacuateCold(hall string, duration time.Duration, cold bool) {
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

// notify delivers the current evacuations to an entry, as soon as it can reach the store.
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

// checkRunStart checks that a run does not start in a hall that has been evacuated for too
// long.
func (o *operator) checkRunStart(a *agentProcess, name string) {
	requestedAt, evacuated := o.requestedAt[a.target.hall]
	if !evacuated || a.previousVersion() {
		return
	}
	delay := o.w.now() - requestedAt
	o.startDelays = append(o.startDelays, delay)
	if delay > maxEvacuationDelay && o.w.now()-a.faultUntil > faultFreeTime {
		o.w.recordViolation(Evacuated, "%s started in %s, %s after the evacuation", name, a.target.hall, delay)
	}
}
