package owner

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/event"
)

// A data hall is suspected to be lost when several of its agents become unresponsive together
// and none of the others responds. Room requested there is requested elsewhere, and
// unresponsive agents get no heartbeats, so that this entry's leases expire and tasks restart
// elsewhere earlier than after the timeouts of single agents.

const (
	// unresponsiveTime is how long an agent in use may send no frame before it counts as
	// unresponsive: two heartbeats.
	unresponsiveTime = 220 * time.Millisecond
	// maxContactAge is the maximum age of the latest frame from any agent for a suspicion. If
	// this entry is cut off itself, no frame arrives, but the agents of one hall may become
	// unresponsive before those of the others.
	maxContactAge = 60 * time.Millisecond
	// minUnresponsive is the minimum number of unresponsive agents for a suspicion, since one
	// or two agents may fail independently at the same time. For the check of isolation, it is
	// also the minimum number of known agents of a hall that counts as mostly reachable.
	minUnresponsive = 3
	// lostAgentTime is how long a disconnected agent counts as unresponsive.
	lostAgentTime = 3 * time.Second
)

// hallContact counts the unresponsive and the responsive agents of one hall.
type hallContact struct {
	unresponsive, responsive int
}

// shouldSuspect reports whether the hall should be suspected. lastContactAt is when the last
// frame arrived from any agent.
func (h hallContact) shouldSuspect(now, lastContactAt time.Duration) bool {
	return h.responsive == 0 && h.unresponsive >= minUnresponsive && now-lastContactAt <= maxContactAge
}

// unresponsive reports whether a frame from a is overdue. An idle connection counts only if a
// has left a claim unanswered or was lost within lostAgentTime.
func (a *agent) unresponsive(now time.Duration) bool {
	switch {
	case !a.connected:
		return now-a.lastFrameAt < lostAgentTime
	case a.silentSince > 0:
		return true
	}
	return a.inUse() && now-max(a.lastFrameAt, a.watchedSince) > unresponsiveTime
}

// checkHalls updates the suspected halls. No hall becomes suspected while this entry is isolated,
// after a late tick, or shortly after a time without any frames, because the first frames after
// an outage of this entry may all come from one hall.
func (o *Owner) checkHalls(now time.Duration) {
	contacts := make(map[string]hallContact)
	lastContactAt := time.Duration(0)
	for _, a := range o.byName {
		h := contacts[a.profile.Hall]
		switch {
		case a.connected && now-a.lastFrameAt <= unresponsiveTime:
			h.responsive++
		case a.unresponsive(now):
			h.unresponsive++
		}
		lastContactAt = max(lastContactAt, a.lastFrameAt)
		contacts[a.profile.Hall] = h
	}
	if now-lastContactAt > maxContactAge {
		o.lastNoContactAt = now
	}
	maySuspect := !o.isolated && now-o.lastLateTickAt >= o.ClaimTimeout && now-o.lastNoContactAt >= unresponsiveTime
	for _, hall := range slices.Sorted(maps.Keys(contacts)) {
		h := contacts[hall]
		suspected := o.suspectedHalls[hall]
		switch {
		case hall == "": // no hall reported
		case suspected && h.responsive > 0:
			delete(o.suspectedHalls, hall)
			o.logHallFound(hall)
		case !suspected && maySuspect && h.shouldSuspect(now, lastContactAt):
			o.suspectedHalls[hall] = true
			o.stats.HallsSuspected++
			o.logHallSuspected(hall, h)
			o.handleSuspectedHall(now, hall)
		}
	}
}

// handleSuspectedHall handles a new suspicion. Room requested in the hall is requested
// elsewhere, and jobs that can't wait until their runs there have certainly ended are given up.
func (o *Owner) handleSuspectedHall(now time.Duration, hall string) {
	for _, a := range o.byName {
		if a.profile.Hall != hall {
			continue
		}
		a.roomRequested = false
		a.reserved = nil
		for _, id := range a.taskIDs() {
			if j := a.tasks[id]; j != nil && o.jobs[id.Job] == j && j.tooLateAfter(now+o.ClearTime) {
				o.endEarly(now, j, code.JobHallLost)
			}
		}
	}
	for _, q := range o.sortedQueues() {
		q.setWorkRate(o.workRate(now, q))
	}
}

// tooLateAfter reports whether j can't be done in time, by an optimistic estimate, if one of
// its tasks starts no earlier than start.
func (j *job) tooLateAfter(start time.Duration) bool {
	done := start + time.Duration(minRemainingFactor*float64(j.remaining()))
	return done > j.lateObjectiveAt || j.callerDeadline > 0 && done > j.callerDeadline
}

// hallSuspected reports whether a is in a suspected hall.
func (o *Owner) hallSuspected(a *agent) bool {
	return len(o.suspectedHalls) > 0 && o.suspectedHalls[a.profile.Hall]
}

// SuspectedHalls returns the number of halls that are suspected to be lost.
func (o *Owner) SuspectedHalls() int {
	return len(o.suspectedHalls)
}

// logHallSuspected logs that a hall is suspected to be lost, with the number of unresponsive
// agents.
func (o *Owner) logHallSuspected(hall string, h hallContact) {
	o.log(event.HallSuspected, slog.String("hall", hall), slog.Int("quiet", h.unresponsive))
}

// logHallFound logs that an agent of a suspected hall responded.
func (o *Owner) logHallFound(hall string) {
	o.log(event.HallFound, slog.String("hall", hall))
}
