package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
)

// requestStep is by how much a waiting job must be more urgent than the one that an
// agent knows of for the agent to get a new request. It bounds the frames while
// jobs wait. Half and double: no difference.
const requestStep = 10 * time.Millisecond

// requestRoom asks the agents of a queue's service to reserve room for its first
// job. Ejected targets are not asked: they get single probes only.
func (o *Owner) requestRoom(now time.Duration, q *queue) {
	j := q.peek(now)
	if j == nil {
		return
	}
	step, _, ok := j.nextTask()
	if !ok {
		return
	}
	for _, a := range o.byName {
		if !a.usable(now, q.service) || a.state.Health == peer.Ejected {
			continue
		}
		if a.roomRequested && j.rank >= a.requestRank-requestStep {
			continue
		}
		a.addRoomRequest(now, q, j, step)
		a.dirty = true
	}
}

// addRoomRequest adds a request for room for the step's tasks, and in all for the
// queue's, to the next frame.
func (a *agent) addRoomRequest(now time.Duration, q *queue, j *job, step int) {
	a.roomRequested = true
	a.requestRank = j.rank
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
	a.dirty = true
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
			a.addRoomRequest(now, q, j, step)
			return
		}
		o.start(now, j, step, index, a)
		room = room.Minus(needs)
	}
}
