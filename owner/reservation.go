package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// minRankGain is the minimum difference between the ranks of the first job and of the job in a
// pending request at which the request is updated. It limits the frames sent during a backlog.
const minRankGain = 10 * time.Millisecond

const (
	// requestsPerTask is the number of agents asked at first for each startable task.
	requestsPerTask = 2
	// requestInterval is the interval at which one more agent is asked, a few round trips.
	requestInterval = 3 * time.Millisecond
	// requestIntervalFactor is the minimum of that interval as a multiple of the transmission
	// time of a request, which leaves bandwidth for orders on narrow links.
	requestIntervalFactor = 10
)

// requestRoom asks agents to reserve room for the first job of a queue. The number of agents with
// a pending request grows with the startable tasks of the whole queue and with the time for which
// the queue has not been empty (requestLimit). Pending requests are updated if the first job is
// more urgent than the one they were sent for.
func (o *Owner) requestRoom(now time.Duration, q *serviceQueue) {
	j := q.peek(now)
	if j == nil {
		return
	}
	step, index, ok := j.nextTask()
	if !ok || !o.mayStart(j) && o.chooseAgent(now, j, step, index) != nil {
		return // room is available without a reservation
	}
	pending := 0
	for _, a := range o.watched {
		if !a.roomRequested || !a.serves(q.service) {
			continue
		}
		pending++
		if j.rank.moreUrgent(a.requestRank, minRankGain) {
			o.addRoomRequest(now, q, a, j, step)
		}
	}
	for _, a := range o.requestCandidates(now, j, step, index, o.requestLimit(now, q)-pending) {
		o.beginWatch(now, a)
		o.addRoomRequest(now, q, a, j, step)
	}
}

// requestLimit returns the maximum number of agents with a pending request.
func (o *Owner) requestLimit(now time.Duration, q *serviceQueue) int {
	perTask := requestsPerTask
	if o.linkBusy(now) {
		perTask = 1
	}
	interval := max(requestInterval, requestIntervalFactor*o.link.transmitTime(frameBytes))
	return perTask*q.startableTasks(len(o.byName)) + int((now-q.nonEmptySince)/interval)
}

// requestCandidates returns up to count agents to ask for room for a task, those near its data
// first, plus all eligible agents below peer.LevelWatch that are watched. Ejected targets are
// excluded, as they get single probes only.
func (o *Owner) requestCandidates(now time.Duration, j *job, step, index, count int) []*agent {
	var legacy []*agent
	eligible := func(a *agent) bool {
		return !a.roomRequested && a.state.Health != peer.Ejected &&
			o.allowed(now, j, step, &j.steps[step].tasks[index], a)
	}
	for _, a := range o.watched {
		if a.level < peer.LevelWatch && a.usable(now, j.desc.Service) && eligible(a) {
			legacy = append(legacy, a)
		}
	}
	s := j.desc.Steps[step]
	near := func(a *agent) bool { return eligible(a) && !a.far(s) }
	list := o.withRoom(now, j.desc.Service, s, near, count)
	list = append(list, o.unwatchedAgents(j.desc.Service, near, count-len(list))...)
	if s.Rack != "" {
		far := func(a *agent) bool { return eligible(a) && a.far(s) }
		list = append(list, o.withRoom(now, j.desc.Service, s, far, count-len(list))...)
		list = append(list, o.unwatchedAgents(j.desc.Service, far, count-len(list))...)
	}
	list = append(list, o.withoutRoom(now, j.desc.Service, s, eligible, count-len(list))...)
	return append(list, legacy...)
}

// withRoom returns up to count watched agents with enough known free room, by ascending cost of
// the task.
func (o *Owner) withRoom(now time.Duration, service string, s task.Step, meets func(*agent) bool, count int) []*agent {
	list := o.watchedWhere(now, service, func(a *agent) bool { return s.Needs.Fits(a.freeRoom()) && meets(a) })
	slices.SortStableFunc(list, func(a, b *agent) int {
		return cmp.Compare(a.candidate(s).cost(s, o.FarFactor), b.candidate(s).cost(s, o.FarFactor))
	})
	return list[:max(0, min(len(list), count))]
}

// withoutRoom returns up to count watched agents without enough known free room, which may have
// room soon.
func (o *Owner) withoutRoom(now time.Duration, service string, s task.Step, meets func(*agent) bool,
	count int) []*agent {
	list := o.watchedWhere(now, service, func(a *agent) bool { return !s.Needs.Fits(a.freeRoom()) && meets(a) })
	return list[:max(0, min(len(list), count))]
}

// watchedWhere returns the watched agents of at least peer.LevelWatch that may be given work
// and meet the condition.
func (o *Owner) watchedWhere(now time.Duration, service string, meets func(*agent) bool) []*agent {
	var list []*agent
	for _, a := range o.watched {
		if a.level >= peer.LevelWatch && a.usable(now, service) && meets(a) {
			list = append(list, a)
		}
	}
	return list
}

// unwatchedAgents returns up to count unwatched agents that meet the condition, within the
// limit of watched agents.
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

// addRoomRequest adds a request for room to the next frame, with the needs of the step's tasks
// and the total demand of the queue.
func (o *Owner) addRoomRequest(now time.Duration, q *serviceQueue, a *agent, j *job, step int) {
	a.roomRequested = true
	a.requestRank = j.rank
	a.usedAt = now
	o.markDirty(a)
	a.out.RoomRequest = &peer.RoomRequest{
		Slack: j.rank.slack(now),
		Needs: j.desc.Steps[step].Needs,
		Total: q.demand(a.profile.Capacity),
	}
}

// useReservation starts tasks in the room that a has reserved for this entry. If the next task
// does not fit, the rest is returned and room is requested again. If no job may start at a, but
// the queue has an unclaimed job, the reservation is kept until a job is claimed or
// reservationKeepTime has passed.
func (o *Owner) useReservation(now time.Duration, a *agent, r *peer.Reservation) {
	a.reserved = nil
	if o.nextJobFor(now, o.queue(a.profile.Service), a) == nil && o.hasPendingClaims(o.queue(a.profile.Service)) {
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
		needs := j.desc.Steps[step].Needs
		if !needs.Fits(room) {
			o.addRoomRequest(now, q, a, j, step)
			return
		}
		o.start(now, j, step, index, a)
		room = room.Minus(needs)
	}
}

// hasPendingClaims reports whether at least one job of the queue is not claimed yet.
func (o *Owner) hasPendingClaims(q *serviceQueue) bool {
	return slices.ContainsFunc(q.waiting, func(j *job) bool { return !o.mayStart(j) })
}

// useKeptReservations uses the kept reservations after a job of the queue was claimed.
func (o *Owner) useKeptReservations(now time.Duration, q *serviceQueue) {
	for _, a := range o.watched {
		if a.reserved != nil && a.profile.Service == q.service {
			o.useReservation(now, a, a.reserved)
		}
	}
}

// releaseKeptReservations returns the reservations kept for at least reservationKeepTime.
func (o *Owner) releaseKeptReservations(now time.Duration) {
	for _, a := range o.watched {
		if a.reserved != nil && now-a.reservedAt >= reservationKeepTime {
			a.out.UsedReservation = a.reserved.ID
			a.reserved = nil
			a.roomRequested = false
			o.markDirty(a)
		}
	}
}

// nextJobFor returns the job of the queue to start at a, or nil. The first job is returned if it
// is claimed and its next task may run at a near its data. Otherwise the claimed job with the
// best fit is returned, the most urgent one of those with an equal fit.
func (o *Owner) nextJobFor(now time.Duration, q *serviceQueue, a *agent) *job {
	first := q.peek(now)
	if first == nil || o.mayStart(first) && o.fit(now, first, a) == fitsLocal {
		return first
	}
	var best *job
	for _, j := range q.waiting {
		if o.fit(now, j, a) == noFit || !o.mayStart(j) {
			continue
		}
		if best == nil || o.fitsBetter(now, j, best, a) {
			best = j
		}
	}
	return best
}

// fitsBetter reports whether j has a better fit at a than other or, with an equal fit, is more
// urgent.
func (o *Owner) fitsBetter(now time.Duration, j, other *job, a *agent) bool {
	rating, otherRating := o.fit(now, j, a), o.fit(now, other, a)
	if rating != otherRating {
		return rating > otherRating
	}
	return j.rank.compare(other.rank) < 0
}

// fitRating rates whether the next task of a job may run at an agent, and whether its data is
// there.
type fitRating uint8

const (
	noFit fitRating = iota
	fitsRemote
	fitsLocal
)

// fit rates how well the next task of j fits a. A job without a next task fits, so that the
// caller removes it from the queue.
func (o *Owner) fit(now time.Duration, j *job, a *agent) fitRating {
	step, index, ok := j.nextTask()
	switch {
	case !ok:
		return fitsLocal
	case j.steps[step].tasks[index].needsEmptyTarget(now):
		return noFit // a reservation does not cover an entire target
	case !o.allowed(now, j, step, &j.steps[step].tasks[index], a):
		return noFit
	case a.far(j.desc.Steps[step]):
		return fitsRemote
	}
	return fitsLocal
}
