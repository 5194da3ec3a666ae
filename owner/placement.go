package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/stage"
	"github.com/beaconpoint/beaconpoint/task"
)

// Placement: a task goes to the target on which it is likely to end first, of
// those that may run it and are believed to have room.
const (
	// loadWeight is how much a full target counts as slower than an empty one. Without
	// it, seven scenes earn 0.0037 less (s.e. 0.0014).
	loadWeight = 0.5
	// lastRoomWeight is how much a target counts as slower whose last room the task would
	// take: by then another entry may have taken it. Without it, seven scenes earn 0.0031
	// less (s.e. 0.0016).
	lastRoomWeight = 1.0
	// ejectedPenalty, in seconds, puts ejected targets last: it is longer than any
	// task. Half and double: no difference.
	ejectedPenalty = 10.0
)

// candidate is a target that may run a task and has room for it.
type candidate struct {
	speed          float64    // 1 being usual
	capacity, free task.Needs // as believed, pending orders taken off
	far            bool       // the task's data lies elsewhere
	ejected        bool
}

// cost returns how long a task of the step is likely to take on the target, in
// seconds, weighted by what speaks against it. The least is chosen. farFactor is
// how many times as long it takes away from its data.
func (c candidate) cost(s task.Step, farFactor float64) float64 {
	likely := s.Estimate.Seconds() / c.speed
	if c.far {
		likely *= farFactor
	}
	load := 0.0
	if c.capacity.CPU > 0 {
		load = 1 - float64(c.free.CPU)/float64(c.capacity.CPU)
	}
	cost := likely * (1 + loadWeight*load + lastRoomWeight*lastRoomShare(s.Needs, c.free))
	if c.ejected {
		cost += ejectedPenalty
	}
	return cost
}

// lastRoomShare returns one where the task would take the last room, and less the
// more tasks like it there is room for.
func lastRoomShare(needs, room task.Needs) float64 {
	if needs.CPU <= 0 {
		return 0
	}
	return min(1, float64(needs.CPU)/float64(max(1, room.CPU)))
}

// choose returns the agent at which the task should be ordered, or nil where room should
// be requested first: none of those that are watched is believed to have room, or it may
// be gone before the order arrives.
func (o *Owner) chooseAgent(now time.Duration, j *job, step, index int) *agent {
	s := j.spec.Steps[step]
	t := &j.steps[step].tasks[index]
	var best *agent
	var least float64
	uncertain := false
	for _, a := range o.watched {
		if !a.usable(now, j.spec.Service) || !t.needs(now, s, a).Fits(a.freeRoom()) || !o.allowed(now, j, step, t, a) {
			continue
		}
		if !a.roomCertain() || a.level >= peer.LevelWatch && a.far(s) {
			uncertain = true // or another one is nearer to the data
			continue
		}
		if cost := a.candidate(s).cost(s, o.FarFactor); best == nil || cost < least {
			best, least = a, cost
		}
	}
	if best != nil && best.state.Health == peer.Ejected && uncertain {
		return nil
	}
	return best
}

// roomCertain reports whether the room that a is believed to have will surely be there
// when an order arrives, as far as that can be known: the target is empty. Another entry
// may take any other room in the meantime; a request for it costs one round trip. Agents
// of the version before are given orders wherever there seems to be room.
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

// far reports whether the step's data lies away from a's target.
func (a *agent) far(s task.Step) bool {
	return s.Rack != "" && !a.labels[s.Rack]
}

// allowed reports whether the task may run at a: it is not kept away by a backoff,
// the target has the label that the step requires, and not too many tasks of the
// step are there.
func (o *Owner) allowed(now time.Duration, j *job, step int, t *taskState, a *agent) bool {
	s := j.spec.Steps[step]
	if t.avoid == a.name && now < t.avoidUntil {
		return false
	}
	if s.Label != "" && !a.labels[s.Label] {
		return false
	}
	return s.MaxPerTarget == 0 || j.tasksAt(step, a) < s.MaxPerTarget
}

// tasksAt returns how many tasks of the step have a run at a.
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

// schedule starts the waiting tasks of a queue for which there is room, and
// requests room for the rest.
func (o *Owner) schedule(now time.Duration, q *queue) {
	q.trackBacklog(now)
	for {
		j := q.peek(now)
		if j == nil {
			return
		}
		if !o.startTasks(now, j) && !o.deferSuspect(now, j) {
			break
		}
		q.remove(j)
	}
	q.trackBacklog(now)
	o.requestRoom(now, q)
}

// placeAll starts tasks of j while there is room, once it is claimed. It reports whether
// none is left to start.
func (o *Owner) startTasks(now time.Duration, j *job) bool {
	if !o.claimed(j) {
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
	id := task.ID{Job: j.spec.ID, Step: step, Index: index}
	a.tasks[id] = j
	a.usedAt = now
	a.out.Starts = append(a.out.Starts, o.order(now, j, id, t.run, a))
	o.markDirty(a)
	a.pending = append(a.pending, pendingOrder{needs: t.needs(now, j.spec.Steps[step], a)}) // flush adds the frame's number
	o.stats.Starts++
	o.logPlaced(now, j, id, t, a)
}

// order returns the order for a run of a task at a.
func (o *Owner) order(now time.Duration, j *job, id task.ID, run int, a *agent) task.Order {
	s := j.spec.Steps[id.Step]
	order := task.Order{
		Task:            id,
		Run:             run,
		Spec:            j.spec.Spec,
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
