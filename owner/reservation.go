package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
)

// requestStep is by how much a waiting job must be more urgent than the one that an
// agent knows of for the agent to get a new request. It bounds the frames while
// jobs wait. Half and double: no difference.
const requestStep = 10 * time.Millisecond

const (
	// requestsPerTask is how many agents are asked at once for each task that waits:
	// most that are believed to have room do. Four scenes, worst class and frames a run:
	// 1 0.914 8.7, 2 0.918 9.6, 3 0.898 10.3.
	requestsPerTask = 2
	// requestPause is after how long one more is asked: a few round trips. Four scenes, 8
	// seeds, worst class and frames a run: 1 ms 0.913 8.1, 3 ms 0.919 7.8, 5 ms 0.908 7.8.
	requestPause = 3 * time.Millisecond
	// requestLinkShare is how many times as long as a request takes on this host's link
	// the pause is at the least: on narrow links requests leave room for orders.
	// Without it, six scenes earn 0.0185 less (s.e. 0.0089).
	requestLinkShare = 10
)

// requestRoom asks agents of a queue's service to reserve room for its first job: a few
// for each task that waits, and more the longer it does. Those that hold a request are
// told when a more urgent job waits.
func (o *Owner) requestRoom(now time.Duration, q *queue) {
	j := q.peek(now)
	if j == nil {
		return
	}
	step, _, ok := j.nextTask()
	if !ok {
		return
	}
	asked := 0
	for _, a := range o.watched {
		if !a.roomRequested || !a.serves(q.service) {
			continue
		}
		asked++
		if j.rank < a.requestRank-requestStep {
			o.addRoomRequest(now, q, a, j, step)
		}
	}
	for _, a := range o.toAsk(now, q.service, j, step, o.requestLimit(now, q)-asked) {
		o.beginWatch(now, a)
		o.addRoomRequest(now, q, a, j, step)
	}
}

// requestLimit returns how many agents may hold a request at once.
func (o *Owner) requestLimit(now time.Duration, q *queue) int {
	perTask := requestsPerTask
	if o.link.delay(now, 0) >= relayTime {
		perTask = 1
	}
	pause := max(requestPause, requestLinkShare*o.link.takes(frameBytes))
	return perTask*q.waitingTasks(len(o.byName)) + int((now-q.backlogSince)/pause)
}

// toAsk returns up to count agents to ask for room: watched ones that are believed to have
// some, those first on which the task is likely to end first; then others that are not
// watched, as long as more may be; then the rest. Agents of the version before are asked
// in any case. Ejected targets are not: they get single probes only.
func (o *Owner) toAsk(now time.Duration, service string, j *job, step, count int) []*agent {
	s := j.spec.Steps[step]
	var before, room, full []*agent
	for _, a := range o.watched {
		switch {
		case a.roomRequested || !a.usable(now, service) || a.state.Health == peer.Ejected:
		case a.level < peer.LevelWatch:
			before = append(before, a)
		case s.Needs.Fits(a.freeRoom()):
			room = append(room, a)
		default:
			full = append(full, a)
		}
	}
	slices.SortStableFunc(room, func(a, b *agent) int {
		return cmp.Compare(a.candidate(s).cost(s, o.FarFactor), b.candidate(s).cost(s, o.FarFactor))
	})
	list := room[:max(0, min(len(room), count))]
	list = append(list, o.unknownAgents(service, count-len(list))...)
	list = append(list, full[:max(0, min(len(full), count-len(list)))]...)
	return append(list, before...)
}

// unknownAgents returns up to count agents of a service that are not watched, as long as
// more may be.
func (o *Owner) unknownAgents(service string, count int) []*agent {
	var list []*agent
	for len(list) < min(count, o.mayWatch()-len(o.watched)) {
		a := o.unwatched(func(a *agent) bool {
			return a.serves(service) && a.state.Health != peer.Ejected && !slices.Contains(list, a)
		})
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

// useReservation fills the room that a has reserved for this entry with the tasks
// that are first now. Where the first one does not fit or may not run there, the
// rest is given back and room is requested anew.
func (o *Owner) useReservation(now time.Duration, a *agent, r *peer.Reservation) {
	a.roomRequested = false
	a.out.UsedReservation = r.ID
	o.markDirty(a)
	q := o.queue(a.profile.Service)
	room := r.Room
	if !a.usable(now, q.service) {
		return
	}
	for {
		j := q.peek(now)
		if j == nil {
			return
		}
		step, index, ok := j.nextTask()
		if !ok {
			q.remove(j)
			continue
		}
		needs := j.spec.Steps[step].Needs
		if !needs.Fits(room) || !o.allowed(now, j, step, &j.steps[step].tasks[index], a) {
			o.addRoomRequest(now, q, a, j, step)
			return
		}
		o.start(now, j, step, index, a)
		room = room.Minus(needs)
	}
}
