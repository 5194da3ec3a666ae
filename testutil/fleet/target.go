package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/supervisor"
	"github.com/beaconpoint/beaconpoint/task"
)

// stopTime is how long a stop takes at most.
const stopTime = 50 * time.Millisecond

// coldTime is how long a target is cold, and coldSlowdown how many times as long tasks take
// at first; they take less and less.
const (
	coldTime     = 3 * time.Second
	coldSlowdown = 3.0
)

// drainTime is how long after it has reported that it drains a target may be given
// work.
const drainTime = 2 * time.Second

// How long an agent waits for the answer to an order, and to a hold beyond the
// time that it may take.
const (
	orderTimeout = 300 * time.Millisecond
	holdTimeout  = 40 * time.Millisecond
)

// Behaviour is how a target behaves.
type Behaviour struct {
	// Lost is the share of calls that are done and not answered; Late the
	// share that is not answered and done 2 to 12 s later.
	Lost, Late float64
	// Slow is how many times as long tasks take; Failing the share of runs
	// that fail; Hanging stops all tasks.
	Slow    float64
	Failing float64
	Hanging bool
}

// emulatedTarget plays a target: it keeps a lease on its own clock, lists the runs that
// are at work and those that have ended, and refuses lower fencing tokens. It does not
// guard its capacity: starting too much there is a fault that the world sees.
type emulatedTarget struct {
	w            *World
	id           string
	born         int64 // when the incarnation began, in milliseconds of the world
	keepsID      bool  // the next incarnation has the same id
	hall         string
	incarnations int
	up           bool
	rate         float64       // of its clock, against the world's
	began        time.Duration // when the incarnation began
	capacity     task.Needs
	starts       int           // carried out
	shrunkAt     time.Duration // when the room shrank last
	speed        float64       // 1 being usual
	deadline     time.Duration // of its lease, on its own clock
	token        uint64        // the highest fencing token seen
	runs         map[string]*emulatedRun
	ended        []supervisor.EndedRow // that no renewal has named as seen
	count        uint64                // ends of the incarnation
	highest      map[string]int        // by task, the last run that was stopped or ended
	draining     time.Duration         // when the agent was told; zero: not yet
	behaviour    Behaviour
	coldUntil    time.Duration // until when it is cold
	// startsLateBy is how much later than told starts are carried out, unanswered; stops get
	// lost meanwhile.
	startsLateBy time.Duration
	polls        []func() bool // renewals that wait for an end
}

// emulatedRun is a run at work on an emulated target.
type emulatedRun struct {
	order task.Order
	name  string
	left  bool // was stopped
	over  bool // has ended
}

// newEmulatedTarget returns a target in its first incarnation.
func newEmulatedTarget(w *World, capacity task.Needs) *emulatedTarget {
	e := &emulatedTarget{w: w, capacity: capacity, speed: 1, rate: 0.98 + 0.02*w.rng.Float64()}
	e.begin()
	return e
}

// begin begins a new incarnation.
func (e *emulatedTarget) begin() {
	e.incarnations++
	e.w.incarnations++
	if e.keepsID {
		e.keepsID = false
	} else {
		e.id = fmt.Sprintf("i-%d", e.w.incarnations)
	}
	if !e.w.cfg.UntoldBirths {
		e.born = int64(e.w.now() / time.Millisecond)
	}
	e.up = true
	e.began = e.w.now()
	e.deadline = 0
	e.token = 0
	e.runs = make(map[string]*emulatedRun)
	e.ended = nil
	e.count = 0
	e.highest = make(map[string]int)
	e.draining = 0
	e.polls = nil
}

// crash ends the incarnation with all that runs.
func (e *emulatedTarget) crash() {
	e.up = false
	for _, r := range e.runs {
		r.over = true
	}
	e.runs = make(map[string]*emulatedRun)
	e.incarnations++
}

// clock returns the target's own clock.
func (e *emulatedTarget) clock() time.Duration {
	return time.Duration(float64(e.w.now()-e.began)*e.rate) + time.Second
}

// report returns what a heartbeat says.
func (e *emulatedTarget) report(seq uint64) supervisor.Report {
	return supervisor.Report{ID: e.id, Born: e.born, Service: service, Hall: e.hall, Capacity: e.capacity, Draining: e.draining > 0,
		Cold:  max(0, e.coldUntil-e.w.now()),
		Clock: e.clock(), HasClock: true, Seq: seq}
}

// call runs do as a call with the target's behaviour: the answer may be lost, and
// what is asked may be done later.
func (e *emulatedTarget) call(incarnation supervisor.Incarnation, timeout time.Duration, do func() supervisor.Reply, answer func(supervisor.Reply)) {
	luck := e.w.rng.Float64()
	none := supervisor.Reply{Outcome: supervisor.NoAnswer}
	run := func() supervisor.Reply {
		if e.id != incarnation.ID {
			return supervisor.Reply{Outcome: supervisor.WrongIncarnation}
		}
		reply := do()
		reply.Clock = e.clock().Truncate(time.Millisecond)
		reply.HasClock = true
		return reply
	}
	switch {
	case !e.up:
		e.w.after(timeout, func() { answer(none) })
	case luck < e.behaviour.Late:
		e.w.after(e.lateness(), func() {
			if e.up {
				run()
			}
		})
		e.w.after(timeout, func() { answer(none) })
	case luck < e.behaviour.Late+e.behaviour.Lost:
		run()
		e.w.after(timeout, func() { answer(none) })
	default:
		e.w.after(e.w.upTo(time.Millisecond), func() {
			if !e.up {
				e.w.after(timeout, func() { answer(none) })
				return
			}
			reply := run()
			e.w.after(e.w.upTo(time.Millisecond), func() { answer(reply) })
		})
	}
}

// lateness returns how late an unanswered call is done: half of them within a
// second, when leases may still run, the others after that.
func (e *emulatedTarget) lateness() time.Duration {
	if e.w.rng.IntN(2) == 0 {
		return e.w.upTo(time.Second)
	}
	return time.Second + e.w.upTo(11*time.Second)
}

// start carries out an order to start a run.
func (e *emulatedTarget) start(c supervisor.StartCall) supervisor.Reply {
	name := c.Order.Task.String()
	if c.Token < e.token {
		return supervisor.Reply{Outcome: supervisor.RefusedToken}
	}
	e.token = c.Token
	if r := e.runs[name]; r != nil && r.order.Run == c.Order.Run {
		return supervisor.Reply{}
	}
	if c.Deadline < e.clock() {
		return supervisor.Reply{Outcome: supervisor.RefusedLate}
	}
	e.extend(c.Deadline)
	if c.Order.Run <= e.highest[name] {
		return supervisor.Reply{Outcome: supervisor.RefusedOld}
	}
	r := &emulatedRun{order: c.Order, name: name}
	e.w.checkStart(e, r)
	e.runs[name] = r
	e.starts++
	e.work(r)
	if c := e.w.jobs[r.order.Task.Job]; c != nil && c.crashing {
		e.w.crashUnder(e, r)
	}
	return supervisor.Reply{}
}

// work lets a run end in its time.
func (e *emulatedTarget) work(r *emulatedRun) {
	took := e.length(r)
	if cold := e.coldUntil - e.w.now(); cold > 0 {
		took += time.Duration(float64(took) * (coldSlowdown - 1) * float64(cold) / float64(coldTime))
	}
	if e.behaviour.Slow > 1 {
		took = time.Duration(float64(took) * e.behaviour.Slow)
	}
	if e.behaviour.Hanging {
		return
	}
	end := task.EndDone
	if e.w.rng.Float64() < e.behaviour.Failing || e.w.alwaysFails[r.order.Task.Job] {
		end = task.EndFailed
	}
	e.w.after(took, func() { e.finish(r, end) })
}

// length returns how long a run takes on a target in its usual behaviour.
func (e *emulatedTarget) length(r *emulatedRun) time.Duration {
	if c := e.w.jobs[r.order.Task.Job]; c != nil && c.work > 0 {
		return time.Duration(float64(c.lengths[r.order.Task.Index]) / e.speed)
	}
	return time.Duration(float64(r.order.Guess) * (0.5 + e.w.rng.Float64()))
}

// extend lengthens the lease, by as much as the platform allows, and has it lapse.
func (e *emulatedTarget) extend(deadline time.Duration) {
	deadline = min(deadline, e.clock()+e.w.cfg.HoldMax)
	if deadline <= e.deadline {
		return
	}
	e.deadline = deadline
	incarnations := e.incarnations
	e.w.after(time.Duration(float64(deadline-e.clock())/e.rate)+time.Millisecond, func() {
		if e.incarnations != incarnations || e.clock() < e.deadline {
			return
		}
		for _, r := range e.sorted() {
			e.finish(r, task.EndLapsed)
		}
	})
}

// sorted returns what runs, by name.
func (e *emulatedTarget) sorted() []*emulatedRun {
	return slices.SortedFunc(maps.Values(e.runs), func(a, b *emulatedRun) int { return cmp.Compare(a.name, b.name) })
}

// finish lists the end of a run.
func (e *emulatedTarget) finish(r *emulatedRun, end task.End) {
	if e.runs[r.name] != r {
		return
	}
	delete(e.runs, r.name)
	r.over = true
	e.highest[r.name] = max(e.highest[r.name], r.order.Run)
	e.count++
	e.ended = append(e.ended, supervisor.EndedRow{N: e.count, Name: r.name, Run: r.order.Run, End: end})
	e.w.recordEnd(r, end)
	polls := e.polls
	e.polls = nil
	for _, poll := range polls {
		poll()
	}
}

// stop carries out an order to stop a run.
func (e *emulatedTarget) stop(c supervisor.StopCall) supervisor.Reply {
	if c.Token < e.token {
		return supervisor.Reply{Outcome: supervisor.RefusedToken}
	}
	e.token = c.Token
	e.highest[c.Name] = max(e.highest[c.Name], c.Ref.Run)
	r := e.runs[c.Name]
	if r != nil && r.order.Run == c.Ref.Run && !r.left {
		r.left = true
		e.w.after(e.w.upTo(stopTime), func() { e.finish(r, task.EndStopped) })
	}
	return supervisor.Reply{}
}

// renew renews the lease and lists.
func (e *emulatedTarget) renew(c supervisor.RenewCall, answer func(supervisor.Reply, *supervisor.RunLists)) {
	var lists *supervisor.RunLists
	e.call(c.Incarnation, c.Wait+holdTimeout, func() supervisor.Reply {
		if c.Token < e.token {
			return supervisor.Reply{Outcome: supervisor.RefusedToken}
		}
		e.token = c.Token
		if c.Deadline > 0 {
			e.extend(c.Deadline)
		}
		e.ended = slices.DeleteFunc(e.ended, func(r supervisor.EndedRow) bool { return r.N <= c.LastSeen })
		lists = e.lists()
		return supervisor.Reply{}
	}, func(reply supervisor.Reply) {
		if reply.Outcome != supervisor.Accepted || len(lists.Ended) > 0 || c.Wait == 0 {
			answer(reply, lists)
			return
		}
		e.poll(c.Wait, func() { answer(supervisor.Reply{Clock: e.clock(), HasClock: true}, e.lists()) })
	})
}

// poll calls back at the next end, or after wait.
func (e *emulatedTarget) poll(wait time.Duration, back func()) {
	done := false
	incarnations := e.incarnations
	once := func() bool {
		if !done && e.incarnations == incarnations {
			done = true
			e.w.after(0, back)
		}
		return true
	}
	e.polls = append(e.polls, once)
	e.w.after(wait, func() {
		if e.incarnations != incarnations && !done {
			done = true
			e.w.after(0, func() { back() })
			return
		}
		once()
	})
}

// lists returns the answer to a renewal.
func (e *emulatedTarget) lists() *supervisor.RunLists {
	a := &supervisor.RunLists{Born: e.born, Ended: slices.Clone(e.ended)}
	for _, r := range e.sorted() {
		a.Running = append(a.Running, supervisor.RunningRow{Name: r.name, Run: r.order.Run})
	}
	return a
}
