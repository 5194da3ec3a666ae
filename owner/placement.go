package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/stage"
	"github.com/beaconpoint/beaconpoint/task"
)

// A task is placed on the target with the lowest cost, its expected duration weighted by load,
// among the targets that may run it and have room as far as is known.
const (
	// loadWeight is the relative cost of a full target over an empty one.
	loadWeight = 0.5
	// lastRoomWeight is the relative cost of taking a target's last room, for which orders of
	// other entries may compete.
	lastRoomWeight = 1.0
	// ejectedPenalty, in seconds, is the cost added to an ejected target.
	ejectedPenalty = 10.0
)

// candidate is a target that may run a task and has room for it.
type candidate struct {
	speed          float64        // relative to the reference speed 1
	capacity, free task.Resources // as last reported; pending orders are subtracted from free
	far            bool           // the task's data is elsewhere
	ejected        bool
}

// cost returns the weighted duration of a task of the step on the target, in seconds. farFactor
// is the factor by which the task takes longer away from its data.
func (c candidate) cost(s task.Step, farFactor float64) float64 {
	expected := s.Estimate.Seconds() / c.speed
	if c.far {
		expected *= farFactor
	}
	load := 0.0
	if c.capacity.CPU > 0 {
		load = 1 - float64(c.free.CPU)/float64(c.capacity.CPU)
	}
	cost := expected * (1 + loadWeight*load + lastRoomWeight*lastRoomShare(s.Needs, c.free))
	if c.ejected {
		cost += ejectedPenalty
	}
	return cost
}

// lastRoomShare returns 1 if the task would take the last room, and a smaller share the more
// such tasks fit.
func lastRoomShare(needs, room task.Resources) float64 {
	if needs.CPU <= 0 {
		return 0
	}
	return min(1, float64(needs.CPU)/float64(max(1, room.CPU)))
}

// chooseAgent returns the agent at which the task should be ordered. It returns nil if room
// should be reserved first, because no watched agent has room or its room may be taken before
// the order arrives.
func (o *Owner) chooseAgent(now time.Duration, j *job, step, index int) *agent {
	s := j.desc.Steps[step]
	t := &j.steps[step].tasks[index]
	var best *agent
	var least float64
	reservationMayHelp := false
	for _, a := range o.watched {
		if !a.usable(now, j.desc.Service) || !t.needs(now, s, a).Fits(a.freeRoom()) || !o.allowed(now, j, step, t, a) {
			continue
		}
		if !a.roomCertain() || a.level >= peer.LevelWatch && a.far(s) {
			reservationMayHelp = true // a reservation may find room, or a target nearer to the data
			continue
		}
		if cost := a.candidate(s).cost(s, o.FarFactor); best == nil || cost < least {
			best, least = a, cost
		}
	}
	if best != nil && best.state.Health == peer.Ejected && reservationMayHelp {
		return nil
	}
	return best
}

// roomCertain reports whether the known room will still be there when an order arrives: only an
// empty target qualifies, as other entries compete for any other room. Agents below
// peer.LevelWatch get orders whenever they report room.
func (a *agent) roomCertain() bool {
	return a.level < peer.LevelWatch || a.freeRoom() == a.profile.Capacity
}

// candidate returns a as a candidate for a task of the step.
func (a *agent) candidate(s task.Step) candidate {
	return candidate{
		speed:    a.speed(),
		capacity: a.profile.Capacity,
		free:     a.freeRoom(),
		far:      a.far(s),
		ejected:  a.state.Health == peer.Ejected,
	}
}

// far reports whether the step's data is not in the rack of a's target.
func (a *agent) far(s task.Step) bool {
	return s.Rack != "" && !a.labels[s.Rack]
}

// allowed reports whether the task may run at a: no backoff applies, the target has the
// required label, and the step's limit of tasks per target is not reached.
func (o *Owner) allowed(now time.Duration, j *job, step int, t *taskState, a *agent) bool {
	s := j.desc.Steps[step]
	if t.avoid == a.name && now < t.avoidUntil {
		return false
	}
	if s.Label != "" && !a.labels[s.Label] {
		return false
	}
	return s.MaxPerTarget == 0 || j.tasksAt(step, a) < s.MaxPerTarget
}

// tasksAt returns the number of tasks of the step that have a run at a.
func (j *job) tasksAt(step int, a *agent) int {
	count := 0
	for n := range j.steps[step].tasks {
		t := &j.steps[step].tasks[n]
		if t.agent == a.name && (t.phase == placed || t.phase == uncertain) {
			count++
		}
	}
	return count
}

// schedule starts the waiting tasks of a queue for which there is room, and requests room for
// the rest.
func (o *Owner) schedule(now time.Duration, q *serviceQueue) {
	q.updateNonEmptySince(now)
	for {
		j := q.peek(now)
		if j == nil {
			return
		}
		if !o.startTasks(now, j) && !o.deferCrashSuspect(now, j) {
			break
		}
		q.remove(j)
	}
	q.updateNonEmptySince(now)
	o.requestRoom(now, q)
}

// startTasks starts tasks of j while there is room, provided that j may start. It reports
// whether no task is left to start.
func (o *Owner) startTasks(now time.Duration, j *job) bool {
	if !o.mayStart(j) {
		return false
	}
	for {
		step, index, ok := j.nextTask()
		if !ok {
			return true
		}
		a := o.chooseAgent(now, j, step, index)
		if a == nil {
			return false
		}
		o.start(now, j, step, index, a)
	}
}

// start orders a run of the task at a.
func (o *Owner) start(now time.Duration, j *job, step, index int, a *agent) {
	t := &j.steps[step].tasks[index]
	j.setPhase(step, index, placed)
	j.orders++
	if j.firstOrder == 0 {
		j.firstOrder = now
		o.ObserveStage.Observe(stage.Waiting, now-j.arrived)
	}
	j.lastOrder = now
	t.run++
	t.tries++
	t.agent = a.name
	t.sentAt = now
	t.stopSent = false
	if t.needsEmptyTarget(now) {
		t.exclusiveRuns = append(t.exclusiveRuns, t.run)
	}
	id := task.ID{Job: j.desc.ID, Step: step, Index: index}
	a.tasks[id] = j
	a.usedAt = now
	a.out.Starts = append(a.out.Starts, o.order(now, j, id, t.run, a))
	o.markDirty(a)
	// flush sets the sequence number of the pending order.
	a.pending = append(a.pending, pendingOrder{needs: t.needs(now, j.desc.Steps[step], a)})
	o.stats.Starts++
	o.logPlaced(now, j, id, t, a)
}

// order returns the order for a run of a task at a.
func (o *Owner) order(now time.Duration, j *job, id task.ID, run int, a *agent) task.Order {
	s := j.desc.Steps[id.Step]
	order := task.Order{
		Task:            id,
		Run:             run,
		Spec:            j.desc.Spec,
		Needs:           j.find(id).needs(now, s, a),
		Estimate:        s.Estimate,
		Guess:           s.Guess,
		FailedElsewhere: j.failedElsewhere(a.name),
	}
	if a.far(s) {
		order.Estimate = time.Duration(o.FarFactor * float64(order.Estimate))
		order.Guess = time.Duration(o.FarFactor * float64(order.Guess))
	}
	if j.callerDeadline > 0 {
		order.TimeLeft = j.callerDeadline - now
	}
	o.omitSpec(now, j, &order, a)
	return order
}
