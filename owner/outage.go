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
	quietTime = 220 * time.Millisecond
	// freshTime is how long ago another hall was heard from at the most: in a cut of this
	// entry's own, the agents of one hall count as quiet up to a heartbeat before those of
	// the others.
	freshTime = 60 * time.Millisecond
	// minQuiet is how many agents of a hall must be quiet: one or two fail by themselves.
	// Not measured.
	minQuiet = 3
	// quietLostTime is for how long an agent whose connection was lost counts as quiet.
	// Not measured.
	quietLostTime = 3 * time.Second
)

// hallHeard is what an entry has heard of the agents of one hall.
type hallHeard struct {
	quiet, heard int
}

// lost reports whether the hall should be suspected, given when any hall was heard from last.
func (h hallHeard) lost(now, anyAt time.Duration) bool {
	return h.heard == 0 && h.quiet >= minQuiet && now-anyAt <= freshTime
}

// quiet reports whether a should have been heard from and was not.
func (a *agent) quiet(now time.Duration) bool {
	switch {
	case !a.connected:
		return now-a.heardAt < quietLostTime
	case a.silentSince > 0:
		return true
	}
	return a.used() && now-max(a.heardAt, a.watchedSince) > quietTime
}

// checkHalls begins and ends the suspicion of halls. An entry that is late itself or isolated,
// or heard from nobody a moment ago, suspects none: the first frames after a cut of its own come
// from one hall.
func (o *Owner) checkHalls(now time.Duration) {
	heard := make(map[string]hallHeard)
	anyAt := time.Duration(0)
	for _, a := range o.byName {
		h := heard[a.profile.Hall]
		switch {
		case a.connected && now-a.heardAt <= quietTime:
			h.heard++
		case a.quiet(now):
			h.quiet++
		}
		anyAt = max(anyAt, a.heardAt)
		heard[a.profile.Hall] = h
	}
	if now-anyAt > freshTime {
		o.deafAt = now
	}
	sound := !o.isolated && now-o.lateTickAt >= o.ClaimTimeout && now-o.deafAt >= quietTime
	for _, hall := range slices.Sorted(maps.Keys(heard)) {
		h := heard[hall]
		suspected := o.suspected[hall]
		switch {
		case hall == "":
		case suspected && h.heard > 0:
			delete(o.suspected, hall)
			o.logHallFound(hall)
		case !suspected && sound && h.lost(now, anyAt):
			o.suspected[hall] = true
			o.stats.HallsSuspected++
			o.logHallSuspected(hall, h)
			o.loseHall(now, hall)
		}
	}
}

// loseHall acts on a new suspicion: room that was requested there is requested elsewhere, and
// jobs that can't wait for the end of their runs there are given up.
func (o *Owner) loseHall(now time.Duration, hall string) {
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
func (o *Owner) logHallSuspected(hall string, h hallHeard) {
	o.log(event.HallSuspected, slog.String("hall", hall), slog.Int("quiet", h.quiet))
}

// logHallFound says that an agent of a suspected hall was heard from.
func (o *Owner) logHallFound(hall string) {
	o.log(event.HallFound, slog.String("hall", hall))
}
