package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// requestStep is by how much a waiting job must be more urgent than the one that an
// agent knows of for the agent to get a new request. It bounds the frames while
// jobs wait. Half and double: no difference.
const minRankGain = 10 * time.Millisecond

const (
	// requestsPerTask is how many agents are asked at once for each task that waits:
	// most that are believed to have room do. Four scenes, worst class and frames a run:
	// 1 0.914 8.7, 2 0.918 9.6, 3 0.898 10.3.
	requestsPerTask = 2
	// requestPause is after how long one more is asked: a few round trips. Four scenes, 8
	// seeds, worst class and frames a run: 1 ms 0.913 8.1, 3 ms 0.919 7.8, 5 ms 0.908 7.8.
	requestInterval = 3 * time.Millisecond
	// requestLinkShare is how many times as long as a request takes on this host's link
	// the pause is at the least: on narrow links requests leave room for orders.
	// Without it, six scenes earn 0.0185 less (s.e. 0.0089).
	requestIntervalFactor = 10
)

// requestRoom asks agents of a queue's service to reserve room for its first job: a few
// for each task that waits, and more the longer it does. Those that hold a request are
// told when a more urgent job waits.
func (o *Owner) requestRoom(now time.Duration, q *queue) {
	j := q.peek(now)
	if j == nil {
		return
	}
	step, index, ok := j.nextTask()
	if !ok || !o.claimed(j) && o.chooseAgent(now, j, step, index) != nil {
		return // it needs no room to be reserved
	}
	asked := 0
	for _, a := range o.watched {
		if !a.roomRequested || !a.serves(q.service) {
			continue
		}
		asked++
		if j.rank < a.requestRank-minRankGain {
			o.addRoomRequest(now, q, a, j, step)
		}
	}
	for _, a := range o.requestCandidates(now, j, step, index, o.requestLimit(now, q)-asked) {
		o.beginWatch(now, a)
		o.addRoomRequest(now, q, a, j, step)
	}
}

// requestLimit returns how many agents may hold a request at once.
func (o *Owner) requestLimit(now time.Duration, q *queue) int {
	perTask := requestsPerTask
	if o.linkBusy(now) {
		perTask = 1
	}
	interval := max(requestInterval, requestIntervalFactor*o.link.transmitTime(frameBytes))
	return perTask*q.waitingTasks(len(o.byName)) + int((now-q.backlogSince)/interval)
}

// toAsk returns up to count agents to ask for room for a task: first those near its data.
// Agents of the version before are asked in any case. Ejected targets are not: they get
// single probes only.
func (o *Owner) requestCandidates(now time.Duration, j *job, step, index, count int) []*agent {
	var legacy []*agent
	may := func(a *agent) bool {
		return !a.roomRequested && a.state.Health != peer.Ejected && o.allowed(now, j, step, &j.steps[step].tasks[index], a)
	}
	for _, a := range o.watched {
		if a.level < peer.LevelWatch && a.usable(now, j.spec.Service) && may(a) {
			legacy = append(legacy, a)
		}
	}
	s := j.spec.Steps[step]
	near := func(a *agent) bool { return may(a) && !a.far(s) }
	list := o.withRoom(now, j.spec.Service, s, near, count)
	list = append(list, o.unwatchedAgents(j.spec.Service, near, count-len(list))...)
	if s.Rack != "" {
		far := func(a *agent) bool { return may(a) && a.far(s) }
		list = append(list, o.withRoom(now, j.spec.Service, s, far, count-len(list))...)
		list = append(list, o.unwatchedAgents(j.spec.Service, far, count-len(list))...)
	}
	list = append(list, o.withoutRoom(now, j.spec.Service, s, may, count-len(list))...)
	return append(list, legacy...)
}

// withRoom returns up to count agents that are watched and believed to have room, those
// first on which the task is likely to end first.
func (o *Owner) withRoom(now time.Duration, service string, s task.Step, meets func(*agent) bool, count int) []*agent {
	list := o.watchedWhere(now, service, func(a *agent) bool { return s.Needs.Fits(a.freeRoom()) && meets(a) })
	slices.SortStableFunc(list, func(a, b *agent) int {
		return cmp.Compare(a.candidate(s).cost(s, o.FarFactor), b.candidate(s).cost(s, o.FarFactor))
	})
	return list[:max(0, min(len(list), count))]
}

// withoutRoom returns up to count agents that are watched and believed to be full: room
// there may be free soon.
func (o *Owner) withoutRoom(now time.Duration, service string, s task.Step, meets func(*agent) bool, count int) []*agent {
	list := o.watchedWhere(now, service, func(a *agent) bool { return !s.Needs.Fits(a.freeRoom()) && meets(a) })
	return list[:max(0, min(len(list), count))]
}

// watchedWhere returns the agents of this version that are watched, may be given work and
// meet the condition.
func (o *Owner) watchedWhere(now time.Duration, service string, meets func(*agent) bool) []*agent {
	var list []*agent
	for _, a := range o.watched {
		if a.level >= peer.LevelWatch && a.usable(now, service) && meets(a) {
			list = append(list, a)
		}
	}
	return list
}

// unknownAgents returns up to count agents that are not watched and meet the condition, as
// long as more may be watched.
func (o *Owner) unwatchedAgents(service string, meets func(*agent) bool, count int) []*agent {
	var list []*agent
	for len(list) < min(count, o.maxWatched()-len(o.watched)) {
		a := o.pickUnwatched(func(a *agent) bool { return a.serves(service) && meets(a) && !slices.Contains(list, a) })
		if a == nil {
			break
		}
		list = append(list, a)
	}
	return list
}

// addRoomRequest adds a request for room for the step's tasks, and in all for the
// queue's, to the next frame.
func (o *Owner) addRoomRequest(now time.Duration, q *queue, a *agent, j *job, step int) {
	a.roomRequested = true
	a.requestRank = j.rank
	a.usedAt = now
	o.markDirty(a)
	a.out.RoomRequest = &peer.RoomRequest{
		Slack: j.rank - now,
		Needs: j.spec.Steps[step].Needs,
		Total: q.demand(a.profile.Capacity),
	}
}

// useReservation fills the room that a has reserved for this entry with the tasks that are
// first now. Where the next one does not fit, the rest is given back and room is requested
// anew. Where jobs wait for their claims alone it is held a while.
func (o *Owner) useReservation(now time.Duration, a *agent, r *peer.Reservation) {
	a.reserved = nil
	if o.nextJobFor(now, o.queue(a.profile.Service), a) == nil && o.claimsUnderWay(o.queue(a.profile.Service)) {
		a.reserved, a.reservedAt = r, now
		return
	}
	a.roomRequested = false
	a.out.UsedReservation = r.ID
	o.markDirty(a)
	q := o.queue(a.profile.Service)
	room := r.Room
	if !a.usable(now, q.service) {
		return
	}
	for {
		j := o.nextJobFor(now, q, a)
		if j == nil {
			return
		}
		step, index, ok := j.nextTask()
		if !ok {
			q.remove(j)
			continue
		}
		needs := j.spec.Steps[step].Needs
		if !needs.Fits(room) {
			o.addRoomRequest(now, q, a, j, step)
			return
		}
		o.start(now, j, step, index, a)
		room = room.Minus(needs)
	}
}

// claimsUnderWay reports whether a job of the queue waits for its claims.
func (o *Owner) claimsUnderWay(q *queue) bool {
	return slices.ContainsFunc(q.waiting, func(j *job) bool { return !o.claimed(j) })
}

// useHeld uses the reservations that are held, since a job of the queue was claimed.
func (o *Owner) useHeldReservations(now time.Duration, q *queue) {
	for _, a := range o.watched {
		if a.reserved != nil && a.profile.Service == q.service {
			o.useReservation(now, a, a.reserved)
		}
	}
}

// giveBackHeld gives the reservations back that were held for too long.
func (o *Owner) releaseHeldReservations(now time.Duration) {
	for _, a := range o.watched {
		if a.reserved != nil && now-a.reservedAt >= reservationHoldTime {
			a.out.UsedReservation = a.reserved.ID
			a.reserved = nil
			a.roomRequested = false
			o.markDirty(a)
		}
	}
}

// firstFor returns the claimed job of the queue that goes first at a: the most urgent one, unless
// its next task may not run there or has its data elsewhere, and that of another job may
// and has not. Nil where no job may run there.
func (o *Owner) nextJobFor(now time.Duration, q *queue, a *agent) *job {
	first := q.peek(now)
	if first == nil || o.claimed(first) && o.fit(now, first, a) == fitsLocal {
		return first
	}
	var best *job
	for _, j := range q.waiting {
		fit := o.fit(now, j, a)
		if fit == noFit || !o.claimed(j) {
			continue
		}
		if best == nil || fit > o.fit(now, best, a) || fit == o.fit(now, best, a) && j.rank < best.rank {
			best = j
		}
	}
	return best
}

// fit says whether the next task of a job may run at an agent, and near its data.
type fit uint8

const (
	noFit fit = iota
	fitsRemote
	fitsLocal
)

// fit returns how well the next task of j fits a. A job without one fits, so that it is
// seen and taken out of the queue.
func (o *Owner) fit(now time.Duration, j *job, a *agent) fit {
	step, index, ok := j.nextTask()
	switch {
	case !ok:
		return fitsLocal
	case j.steps[step].tasks[index].needsEmptyTarget(now):
		return noFit // reserved room is not all of a target's
	case !o.allowed(now, j, step, &j.steps[step].tasks[index], a):
		return noFit
	case a.far(j.spec.Steps[step]):
		return fitsRemote
	}
	return fitsLocal
}
