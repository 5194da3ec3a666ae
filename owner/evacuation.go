package owner

import (
	"log/slog"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/evacuation"
	"github.com/beaconpoint/beaconpoint/event"
)

// Evacuated data halls: nothing is ordered on their targets, no room is requested there, and
// their room does not count for what the queue can take. What runs there goes on.

// Evacuate applies what is heard of evacuated halls, unless it is older than what is known;
// from says where it was heard. The agents in halls that are evacuated or taken back are told
// at once, the others with the next frame to each, so that they hand it on.
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

// sameHalls reports whether the same halls are evacuated in both.
func sameHalls(a, b evacuation.Set) bool {
	return slices.Equal(a.Halls, b.Halls)
}

// setEvacuated sets whether a's target stands in an evacuated hall.
func (o *Owner) setEvacuated(a *agent) {
	a.evacuated = a.profile.Hall != "" && o.evacuations.Has(a.profile.Hall)
}

// tellEvacuations adds what is known of evacuated halls to the next frame to a, if a is not
// known to have heard as much.
func (o *Owner) addEvacuations(a *agent) {
	if a.knownEvacuations < o.evacuations.Revision {
		a.knownEvacuations = o.evacuations.Revision
		set := o.evacuations
		a.out.Evacuations = &set
	}
}

// hallsKnownTime is how long after the first agent has connected an entry takes the agents
// that it knows for all there are: all connect within 0.5 s where no packet is lost. Before,
// a job waits for targets in other halls; it also waits for an agent that was lost so short
// a time ago.
const discoveryTime = time.Second

// onlyEvacuated reports whether j, which is not started, has a step that may only run on
// targets in evacuated halls: it can't be done before one of them is taken back.
func (o *Owner) needsEvacuatedHall(now time.Duration, j *job) bool {
	if len(o.evacuations.Halls) == 0 || o.Partial || o.firstConnectedAt == 0 || now-o.firstConnectedAt < discoveryTime {
		return false
	}
	for _, s := range j.spec.Steps {
		evacuated := false
		for _, a := range o.byName {
			if !a.present(now) || a.profile.Service != j.spec.Service || s.Label != "" && !a.labels[s.Label] {
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

// present reports whether a is connected or may be back in a moment.
func (a *agent) present(now time.Duration) bool {
	return a.connected || now-a.lastFrameAt < discoveryTime
}

// refuseEvacuated refuses the jobs that wait for targets in evacuated halls alone. How long
// an evacuation lasts is not known: a job of less than a second does not wait for its end.
func (o *Owner) refuseEvacuated(now time.Duration) {
	if len(o.evacuations.Halls) == 0 {
		return
	}
	for _, j := range o.sortedJobs() {
		if !j.started() && o.needsEvacuatedHall(now, j) {
			o.giveUp(now, j, code.JobEvacuated)
		}
	}
}

// EvacuatedTargets returns how many known targets stand in evacuated halls.
func (o *Owner) EvacuatedTargets() int {
	count := 0
	for _, a := range o.byName {
		if a.evacuated {
			count++
		}
	}
	return count
}

// Evacuations returns which halls are evacuated, as far as is known.
func (o *Owner) Evacuations() evacuation.Set {
	return o.evacuations
}

// logEvacuations says which halls are evacuated now.
func (o *Owner) logEvacuations(from string) {
	o.log(event.HallsEvacuated,
		slog.Any("halls", o.evacuations.Halls),
		slog.Uint64("revision", o.evacuations.Revision),
		slog.String("from", from),
		slog.Int("targets", o.EvacuatedTargets()))
}
