package supervisor

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// TestMain gives the model test a fixed seed and number of histories, unless the command line sets
// them (-rapid.checks, -rapid.seed).
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.checks": "2000", "rapid.seed": "20261204", "rapid.nofailfile": "true"}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// startModel is a supervisor with a target that carries out its calls at any time and in any order,
// answers them in any order, late or not at all, and rejects some of them while it handles
// others. The target runs one task, over and over.
type startModel struct {
	*harness
	rate     float64 // of the target's clock
	ordered  int     // number of the last run ordered
	reported int     // number of the last run reported as ended

	starts  []StartCall // that may still be carried out
	stops   []StopCall
	renews  []RenewCall
	answers []func() // that may still arrive

	active    int // number of the active run; zero if there is none
	finished  int // highest number of a run that was stopped or has ended
	token     uint64
	deadline  time.Duration // of the target's lease
	ends      []ListedEnd   // not acknowledged
	endCount  uint64
	startedAt time.Duration
}

// newStartModel returns a model with a target of the given clock rate.
func newStartModel(t *testing.T, rate float64) *startModel {
	m := &startModel{harness: newHarness(t), rate: rate}
	m.startedAt = m.now - m.harness.targetClock()
	m.harness.Start = func(c StartCall) { m.starts = append(m.starts, c) }
	m.harness.Stop = func(c StopCall) { m.stops = append(m.stops, c) }
	m.token = m.target.token
	return m
}

// name is the name of the task.
func (m *startModel) name() string {
	return order(0, 0).Task.String()
}

// clock returns the reading of the target's clock.
func (m *startModel) clock() time.Duration {
	return m.harness.targetClock() - time.Duration(float64(m.now-10*time.Second)*(1-m.rate))
}

// answer queues an answer of the target, with the present reading of its clock.
func (m *startModel) answer(o Outcome, deliver func(Reply)) {
	reply := Reply{Outcome: o, Clock: m.clock().Truncate(ms), HasClock: true}
	m.answers = append(m.answers, func() { deliver(reply) })
}

// startAnswer queues an answer to a start.
func (m *startModel) startAnswer(c StartCall, o Outcome) {
	m.answer(o, func(r Reply) { m.StartAnswered(m.now, c, r) })
}

// stopAnswer queues an answer to a stop.
func (m *startModel) stopAnswer(c StopCall, o Outcome) {
	m.answer(o, func(r Reply) { m.StopAnswered(m.now, c, r) })
}

// mayStart reports whether the target starts a run if it carries out c now.
func (m *startModel) mayStart(c StartCall) bool {
	return c.Token >= m.token && c.Deadline >= m.clock() && c.Order.Run > max(m.finished, m.active)
}

// start carries out a start and returns the outcome.
func (m *startModel) start(c StartCall) Outcome {
	switch {
	case c.Token < m.token:
		return RejectedToken
	case c.Order.Run == m.active:
		m.extendLease(c.Deadline)
		return Accepted
	case c.Deadline < m.clock():
		return RejectedDeadline
	}
	m.token = c.Token
	m.extendLease(c.Deadline)
	if c.Order.Run <= max(m.finished, m.active) {
		return RejectedStaleRun
	}
	m.active = c.Order.Run
	return Accepted
}

// stop carries out a stop and returns the outcome.
func (m *startModel) stop(c StopCall) Outcome {
	if c.Token < m.token {
		return RejectedToken
	}
	m.token = c.Token
	m.finished = max(m.finished, c.Ref.Run)
	if m.active == c.Ref.Run {
		m.end(task.EndStopped)
	}
	return Accepted
}

// extendLease extends the lease by a call that grants it until the deadline.
func (m *startModel) extendLease(deadline time.Duration) {
	m.deadline = max(m.deadline, deadline)
}

// end ends the active run.
func (m *startModel) end(how task.End) {
	if m.active == 0 {
		return
	}
	m.endCount++
	m.ends = append(m.ends, ListedEnd{N: m.endCount, Name: m.name(), Run: m.active, End: how})
	m.finished = max(m.finished, m.active)
	m.active = 0
}

// renew carries out a renewal and queues its answer.
func (m *startModel) renew(c RenewCall) {
	if c.Token < m.token {
		m.answer(RejectedToken, func(r Reply) { m.RenewalAnswered(m.now, c, r, nil) })
		return
	}
	m.token = c.Token
	m.extendLease(c.Deadline)
	m.ends = slices.DeleteFunc(m.ends, func(e ListedEnd) bool { return e.N <= c.LastSeen })
	lists := &RunLists{Ended: slices.Clone(m.ends)}
	if m.active > 0 {
		lists.Running = []ListedRun{{Name: m.name(), Run: m.active}}
	}
	m.answer(Accepted, func(r Reply) { m.RenewalAnswered(m.now, c, r, lists) })
}

// wait lets time pass, with frames of the entry and heartbeats of the target.
func (m *startModel) wait(d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.now += 5 * ms
		if m.clock() > m.deadline {
			m.end(task.EndLapsed)
		}
		m.Receive(m.now, 1, &peer.Frame{Echo: m.now})
		r := m.report("i-1", uint64(m.now/ms))
		r.HasClock = false
		m.Heartbeat(m.now, r)
		m.Tick(m.now)
	}
}

// order orders the next run, if the last one was reported as ended.
func (m *startModel) order() {
	if m.reported < m.ordered {
		return
	}
	m.ordered++
	o := order(0, 4000)
	o.Run = m.ordered
	m.sendOrders(o)
}

// take removes and returns a drawn element of a list.
func take[T any](t *rapid.T, list *[]T) (T, bool) {
	var v T
	if len(*list) == 0 {
		return v, false
	}
	k := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	v = (*list)[k]
	*list = slices.Delete(*list, k, k+1)
	return v, true
}

// step makes one drawn step. No two steps are at the same time, since a call takes time.
func (m *startModel) step(t *rapid.T) {
	m.now += time.Microsecond
	switch rapid.SampledFrom([]string{
		"order", "order", "wait", "wait", "start", "start rejected", "start rejected", "start undefined",
		"start unanswered", "stop", "stop rejected", "stop unanswered", "stop ordered", "end", "renew", "renew", "renewed",
		"renewed", "answer", "answer", "answer", "answer", "answer lost",
	}).Draw(t, "step") {
	case "order":
		m.order()
	case "wait":
		m.wait(time.Duration(rapid.SampledFrom([]int{1, 1, 2, 4, 8, 40, 170}).Draw(t, "wait")) * 5 * ms)
	case "start":
		if c, ok := take(t, &m.starts); ok {
			m.startAnswer(c, m.start(c))
		}
	case "start rejected":
		if c, ok := take(t, &m.starts); ok {
			m.startAnswer(c, rapid.SampledFrom([]Outcome{RejectedUnhealthy, RejectedCapacity, RejectedMalformed}).Draw(t, "why"))
		}
	case "start undefined":
		if c, ok := take(t, &m.starts); ok {
			if rapid.Bool().Draw(t, "carried out") {
				m.start(c)
			}
			m.startAnswer(c, Undefined)
		}
	case "start unanswered": // it stays to be carried out
		if len(m.starts) > 0 {
			c := m.starts[rapid.IntRange(0, len(m.starts)-1).Draw(t, "which")]
			m.StartAnswered(m.now, c, Reply{Outcome: NoAnswer})
		}
	case "stop":
		if c, ok := take(t, &m.stops); ok {
			m.stopAnswer(c, m.stop(c))
		}
	case "stop rejected":
		if c, ok := take(t, &m.stops); ok {
			m.stopAnswer(c, RejectedUnhealthy)
		}
	case "stop unanswered":
		if len(m.stops) > 0 {
			m.StopAnswered(m.now, m.stops[0], Reply{Outcome: NoAnswer})
		}
	case "stop ordered":
		m.Receive(m.now, 1, &peer.Frame{Echo: m.now, Stops: []task.Ref{{Task: order(0, 0).Task, Run: m.ordered}}})
	case "end":
		m.end(rapid.SampledFrom([]task.End{task.EndDone, task.EndFailed}).Draw(t, "end"))
	case "renew":
		if c, ok := m.NextRenewal(m.now); ok && len(m.renews) < 2 {
			m.renews = append(m.renews, c)
		}
	case "renewed":
		if c, ok := take(t, &m.renews); ok {
			m.renew(c)
		}
	case "answer":
		if deliver, ok := take(t, &m.answers); ok {
			deliver()
		}
	case "answer lost":
		take(t, &m.answers)
	}
}

// check checks that no run which is active, or which a call may still start, was reported as ended, and
// that its room is not free.
func (m *startModel) check(t *rapid.T) {
	for _, e := range m.sentEnds() {
		m.reported = max(m.reported, e.Ref.Run)
	}
	possible := m.active
	for _, c := range m.starts {
		if m.mayStart(c) {
			possible = max(possible, c.Order.Run)
		}
	}
	if possible == 0 {
		return
	}
	if m.reported >= possible {
		t.Fatalf("run %d was reported as ended (active %d, calls on their way %d)", possible, m.active, len(m.starts))
	}
	if free := m.freeRoom(m.now, nil).CPU; free > 0 {
		t.Fatalf("%d of the room of run %d are free", free, possible)
	}
}

// TestRunIsKeptWhileItMayStart guards against a task that is started elsewhere, or room that is given
// away, while a start call of its run may still be carried out or the run is active. It plays
// random histories of one target.
func TestRunIsKeptWhileItMayStart(t *testing.T) {
	rejectedWhileOpen, started := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		m := newStartModel(t, rapid.SampledFrom([]float64{0.98, 1}).Draw(rt, "clock rate"))
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			m.step(rt)
			m.check(rt)
			if r := m.runs[m.name()]; r != nil {
				if open, _ := r.tries.open(); open > 0 && open < len(r.tries) {
					rejectedWhileOpen++
				}
			}
		}
		started += m.finished
	})
	assert.Assert(t, rejectedWhileOpen > 1000 && started > 1000, "%d, %d", rejectedWhileOpen, started)
}
