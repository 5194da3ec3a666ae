package owner

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/event"
)

// Lost data halls: where several agents of a hall fall silent together and none there is heard
// from, the hall is suspected to be lost. Nothing is ordered there, and what runs there is
// taken for lost sooner than agent by agent. docs/design/lost-halls.md says why.

const (
	// quietTime is how long an agent that is in use may be silent before it counts as quiet:
	// two heartbeats.
	unresponsiveTime = 220 * time.Millisecond
	// freshTime is how long ago another hall was heard from at the most: in a cut of this
	// entry's own, the agents of one hall count as quiet up to a heartbeat before those of
	// the others.
	maxContactAge = 60 * time.Millisecond
	// minQuiet is how many agents of a hall must be quiet: one or two fail by themselves.
	// Not measured.
	minUnresponsive = 3
	// quietLostTime is for how long an agent whose connection was lost counts as quiet.
	// Not measured.
	lostAgentTime = 3 * time.Second
)

// hallHeard is what an entry has heard of the agents of one hall.
type hallContact struct {
	unresponsive, responsive int
}

// lost reports whether the hall should be suspected, given when any hall was heard from last.
func (h hallContact) shouldSuspect(now, lastContactAt time.Duration) bool {
	return h.responsive == 0 && h.unresponsive >= minUnresponsive && now-lastContactAt <= maxContactAge
}

// quiet reports whether a should have been heard from and was not.
func (a *agent) unresponsive(now time.Duration) bool {
	switch {
	case !a.connected:
		return now-a.lastFrameAt < lostAgentTime
	case a.silentSince > 0:
		return true
	}
	return a.used() && now-max(a.lastFrameAt, a.watchedSince) > unresponsiveTime
}

// checkHalls begins and ends the suspicion of halls. An entry that is late itself or isolated,
// or heard from nobody a moment ago, suspects none: the first frames after a cut of its own come
// from one hall.
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
	mayJudge := !o.isolated && now-o.lastLateTickAt >= o.ClaimTimeout && now-o.lastNoContactAt >= unresponsiveTime
	for _, hall := range slices.Sorted(maps.Keys(contacts)) {
		h := contacts[hall]
		suspected := o.suspected[hall]
		switch {
		case hall == "":
		case suspected && h.responsive > 0:
			delete(o.suspected, hall)
			o.logHallFound(hall)
		case !suspected && mayJudge && h.shouldSuspect(now, lastContactAt):
			o.suspected[hall] = true
			o.stats.HallsSuspected++
			o.logHallSuspected(hall, h)
			o.handleSuspectedHall(now, hall)
		}
	}
}

// loseHall acts on a new suspicion: room that was requested there is requested elsewhere, and
// jobs that can't wait for the end of their runs there are given up.
func (o *Owner) handleSuspectedHall(now time.Duration, hall string) {
	for _, a := range o.byName {
		if a.profile.Hall != hall {
			continue
		}
		a.roomRequested = false
		a.reserved = nil
		for _, id := range a.taskIDs() {
			if j := a.tasks[id]; j != nil && o.jobs[id.Job] == j && j.tooLateAfter(now+o.ClearTime) {
				o.giveUp(now, j, code.JobHallLost)
			}
		}
	}
	for _, q := range o.sortedQueues() {
		q.setWorkRate(o.workRate(now, q))
	}
}

// tooLateAfter reports whether j can't be done in time where one of its tasks starts no sooner
// than at a time, even by an optimistic estimate.
func (j *job) tooLateAfter(start time.Duration) bool {
	done := start + time.Duration(minRemainingFactor*float64(j.remaining()))
	return done > j.lateObjectiveAt || j.callerDeadline > 0 && done > j.callerDeadline
}

// hallSuspected reports whether a stands in a hall that is suspected to be lost.
func (o *Owner) hallSuspected(a *agent) bool {
	return len(o.suspected) > 0 && o.suspected[a.profile.Hall]
}

// HallsSuspected returns how many halls are suspected to be lost.
func (o *Owner) HallsSuspected() int {
	return len(o.suspected)
}

// logHallSuspected says that a hall is suspected to be lost, and by how many agents.
func (o *Owner) logHallSuspected(hall string, h hallContact) {
	o.log(event.HallSuspected, slog.String("hall", hall), slog.Int("quiet", h.unresponsive))
}

// logHallFound says that an agent of a suspected hall was heard from.
func (o *Owner) logHallFound(hall string) {
	o.log(event.HallFound, slog.String("hall", hall))
}
