package owner

import (
	"log/slog"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/evacuation"
	"github.com/beaconpoint/beaconpoint/event"
)

// Targets in evacuated data halls get no orders and no room requests, and their room does not
// count toward the work rate. Running tasks continue.

// Evacuate applies a set of evacuated halls unless it is older than the current one. from names
// its source in the log. Agents whose hall was added or removed are informed at once, the
// others with the next frame to each.
func (o *Owner) Evacuate(now time.Duration, set evacuation.Set, from string) {
	if !set.NewerThan(o.evacuations) {
		return
	}
	defer o.flush(now)
	changed := !sameHalls(set, o.evacuations)
	o.evacuations = set
	if !changed {
		return
	}
	for _, a := range o.byName {
		before := a.evacuated
		o.setEvacuated(a)
		if a.connected && a.evacuated != before {
			o.markDirty(a)
		}
	}
	o.logEvacuations(from)
	o.adjustWatches(now)
	for _, q := range o.sortedQueues() {
		q.setWorkRate(o.workRate(now, q))
		o.schedule(now, q)
	}
}

// sameHalls reports whether both sets contain the same halls.
func sameHalls(a, b evacuation.Set) bool {
	return slices.Equal(a.Halls, b.Halls)
}

// setEvacuated sets whether a's target is in an evacuated hall.
func (o *Owner) setEvacuated(a *agent) {
	a.evacuated = a.profile.Hall != "" && o.evacuations.Has(a.profile.Hall)
}

// addEvacuations adds the evacuated halls to the next frame to a unless a has this revision.
func (o *Owner) addEvacuations(a *agent) {
	if a.knownEvacuations < o.evacuations.Revision {
		a.knownEvacuations = o.evacuations.Revision
		set := o.evacuations
		a.out.Evacuations = &set
	}
}

// discoveryTime is how long after the first connection no job is refused for an evacuation,
// since agents in other halls may not have connected yet. It is also how long a lost agent
// counts as present, since it may reconnect.
const discoveryTime = time.Second

// needsEvacuatedHall reports whether j, which must not have started, has a step that only targets
// in evacuated halls may run.
func (o *Owner) needsEvacuatedHall(now time.Duration, j *job) bool {
	if len(o.evacuations.Halls) == 0 || o.PartiallyConnected || o.firstConnectedAt == 0 ||
		now-o.firstConnectedAt < discoveryTime {
		return false
	}
	for _, s := range j.desc.Steps {
		evacuated := false
		for _, a := range o.byName {
			if !a.present(now) || a.profile.Service != j.desc.Service || s.Label != "" && !a.labels[s.Label] {
				continue
			}
			evacuated = a.evacuated
			if !evacuated {
				break
			}
		}
		if evacuated {
			return true
		}
	}
	return false
}

// present reports whether a is connected or may reconnect shortly.
func (a *agent) present(now time.Duration) bool {
	return a.connected || now-a.lastFrameAt < discoveryTime
}

// refuseEvacuated refuses the jobs that only targets in evacuated halls may run. The end of an
// evacuation is unknown, so the jobs don't wait for it.
func (o *Owner) refuseEvacuated(now time.Duration) {
	if len(o.evacuations.Halls) == 0 {
		return
	}
	for _, j := range o.sortedJobs() {
		if !j.started() && o.needsEvacuatedHall(now, j) {
			o.endEarly(now, j, code.JobEvacuated)
		}
	}
}

// EvacuatedTargets returns the number of known targets in evacuated halls.
func (o *Owner) EvacuatedTargets() int {
	count := 0
	for _, a := range o.byName {
		if a.evacuated {
			count++
		}
	}
	return count
}

// Evacuations returns the latest known set of evacuated halls.
func (o *Owner) Evacuations() evacuation.Set {
	return o.evacuations
}

// logEvacuations logs the evacuated halls and the source of the set.
func (o *Owner) logEvacuations(from string) {
	o.log(event.HallsEvacuated,
		slog.Any("halls", o.evacuations.Halls),
		slog.Uint64("revision", o.evacuations.Revision),
		slog.String("from", from),
		slog.Int("targets", o.EvacuatedTargets()))
}
