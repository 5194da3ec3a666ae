package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// Weights of a placement.
const (
	// loadWeight is how much a full worker counts as slower than an empty one.
	loadWeight = 0.5
	// lastRoomWeight is how much a worker counts as slower whose last room the
	// task would take: by then another entry may have taken it.
	lastRoomWeight = 1.0
	// jitterWeight spreads the choices of several entries that know the same.
	jitterWeight = 0.1
	// ejectedPenalty puts sick workers last.
	ejectedPenalty = 10 * time.Second
	// requestStep is by how much a want must be more urgent than the one that
	// an agent has to be told anew.
	requestStep = 10 * time.Millisecond
)

// schedule starts what can be started, and says what is wanted.
func (o *Owner) schedule(now time.Duration, q *queue) {
	q.trackBacklog(now)
	for {
		j := q.peek(now)
		if j == nil {
			return
		}
		if !o.placeAll(now, j) {
			break
		}
		q.remove(j)
	}
	q.trackBacklog(now)
	o.requestRoom(now, q)
}

// placeAll starts tasks of j as long as there is room, and reports whether none
// is left to start.
func (o *Owner) placeAll(now time.Duration, j *job) bool {
	for {
		step, index, ok := j.nextTask()
		if !ok {
			return true
		}
		a := o.choose(now, j, step, index)
		if a == nil {
			return false
		}
		o.start(now, j, step, index, a)
	}
}

// choose returns the agent whose worker likely finishes the task first, or nil
// where none has room.
func (o *Owner) choose(now time.Duration, j *job, step, index int) *agent {
	s := j.spec.Steps[step]
	t := &j.steps[step].tasks[index]
	var best *agent
	var least float64
	for _, a := range o.byName {
		if !a.usable(now, j.spec.Service) || !s.Needs.Fits(a.freeRoom()) || !o.allowed(now, j, step, t, a) {
			continue
		}
		if cost := o.cost(s, a); best == nil || cost < least {
			best, least = a, cost
		}
	}
	return best
}

// allowed reports whether the task may go to a.
func (o *Owner) allowed(now time.Duration, j *job, step int, t *taskState, a *agent) bool {
	s := j.spec.Steps[step]
	if t.avoid == a.name && now < t.avoidUntil {
		return false
	}
	if s.Label != "" && !a.labels[s.Label] {
		return false
	}
	return s.MaxPerTarget == 0 || o.tasksAt(j, step, a) < s.MaxPerTarget
}

// tasksAt returns how many tasks of the step are at a.
func (o *Owner) tasksAt(j *job, step int, a *agent) int {
	count := 0
	for n := range j.steps[step].tasks {
		t := &j.steps[step].tasks[n]
		if t.agent == a.name && (t.phase == placed || t.phase == uncertain) {
			count++
		}
	}
	return count
}

// cost returns how long the step's task likely takes at a, in seconds, with
// what speaks against a.
func (o *Owner) cost(s task.Step, a *agent) float64 {
	likely := s.Estimate.Seconds() / max(a.state.Speed, minSpeed)
	if s.Rack != "" && !a.labels[s.Rack] {
		likely *= o.FarFactor
	}
	load := 0.0
	if a.profile.Capacity.CPU > 0 {
		load = 1 - float64(a.freeRoom().CPU)/float64(a.profile.Capacity.CPU)
	}
	cost := likely * (1 + loadWeight*load + lastRoomWeight*lastRoomShare(s.Needs, a.freeRoom()) + jitterWeight*o.Random())
	if a.state.Health == peer.Ejected {
		cost += ejectedPenalty.Seconds()
	}
	return cost
}

// lastRoomShare returns one where the task would take the last room, and less the more
// tasks like it there is room for.
func lastRoomShare(needs, room task.Needs) float64 {
	if needs.CPU <= 0 {
		return 0
	}
	return min(1, float64(needs.CPU)/float64(max(1, room.CPU)))
}

// start orders a run of the task at a.
func (o *Owner) start(now time.Duration, j *job, step, index int, a *agent) {
	s := j.spec.Steps[step]
	t := &j.steps[step].tasks[index]
	j.setPhase(step, index, placed)
	j.orders++
	if j.firstOrder == 0 {
		j.firstOrder = now
		o.observe(StageWaiting, now-j.arrived)
	}
	j.lastOrder = now
	t.run++
	t.tries++
	t.agent = a.name
	t.sentAt = now
	t.stopSent = false
	id := task.ID{Job: j.spec.ID, Step: step, Index: index}
	a.tasks[id] = j
	order := task.Order{Task: id, Run: t.run, Spec: j.spec.Spec, Needs: s.Needs, Estimate: s.Estimate, Guess: s.Guess, FailedElsewhere: j.failedElsewhere(a.name)}
	if s.Rack != "" && !a.labels[s.Rack] {
		order.Estimate = time.Duration(o.FarFactor * float64(order.Estimate))
		order.Guess = time.Duration(o.FarFactor * float64(order.Guess))
	}
	if j.callerDeadline > 0 {
		order.TimeLeft = j.callerDeadline - now
	}
	a.out.Starts = append(a.out.Starts, order)
	a.dirty = true
	o.stats.Starts++
	o.queue(j.spec.Service).startRate.add(now, work(s, 1))
	a.pending = append(a.pending, pendingOrder{needs: s.Needs}) // flush adds the frame's number
	o.Log.Info(event.TaskPlaced, "task", id.String(), "run", t.run, "agent", a.name, "worker", a.profile.Target,
		"state_age_ms", (now - a.heardAt).Milliseconds(), "free_cpu", a.freeRoom().CPU, "waited_ms", (now - j.arrived).Milliseconds())
}

// requestRoom tells the agents that tasks wait here.
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
		a.out.RoomRequest = o.roomRequest(now, q, j, step, a)
		a.dirty = true
	}
}

// roomRequest returns what a is told of the queue.
func (o *Owner) roomRequest(now time.Duration, q *queue, j *job, step int, a *agent) *peer.RoomRequest {
	a.roomRequested = true
	a.requestRank = j.rank
	return &peer.RoomRequest{Slack: j.rank - now, Needs: j.spec.Steps[step].Needs, Total: q.demand(a.profile.Capacity)}
}

// useReservation fills room that a holds for this entry.
func (o *Owner) useReservation(now time.Duration, a *agent, offer *peer.Reservation) {
	a.roomRequested = false
	a.out.UsedReservation = offer.ID
	a.dirty = true
	q := o.queue(a.profile.Service)
	room := offer.Room
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
			a.out.RoomRequest = o.roomRequest(now, q, j, step, a)
			return
		}
		o.start(now, j, step, index, a)
		room = room.Minus(needs)
	}
}
