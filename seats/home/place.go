package home

import (
	"maps"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/dispatch"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// Waits before a place is tried again.
const (
	// restFull is after an agent refused for want of room.
	restFull = 20 * time.Millisecond
	// restFailing is after an agent could not reach its target.
	restFailing = 500 * time.Millisecond
	// askAgain is after how long without an answer a start is asked after.
	askAgain = 5 * time.Second
	// freeRetries is how many repeatable requests may be sent again beyond
	// the budget's share.
	freeRetries = 10
)

func (h *Home) service(name string) *service {
	s := h.services[name]
	if s == nil {
		s = &service{queue: dispatch.NewQueue(h.policy.Order), running: make(map[string]int)}
		h.services[name] = s
	}
	return s
}

// countSlots counts the slots of the agents that can be reached.
func (s *service) countSlots() {
	s.drain.slots = 0
	for _, l := range s.agents {
		if l.up {
			s.drain.slots += l.slots
		}
	}
}

// overShare returns whether an organisation has as many tasks running as its even
// share of the slots. It counts only where several organisations want them.
func (s *service) overShare() func(organisation string) bool {
	wanting := s.queue.Organisations()
	for organisation := range s.running {
		if !s.queue.Waits(organisation) {
			wanting++
		}
	}
	share := s.drain.slots / max(wanting, 1)
	return func(organisation string) bool { return s.running[organisation] >= share }
}

// ended counts an organisation's task as not running any more.
func (s *service) ended(organisation string) {
	s.running[organisation]--
	if s.running[organisation] <= 0 {
		delete(s.running, organisation)
	}
}

func (s *service) remove(l *link) {
	s.agents = slices.DeleteFunc(s.agents, func(o *link) bool { return o == l })
}

// anyOpen reports whether some agent takes work, or may do so shortly.
func (s *service) anyOpen(h *Home) bool {
	return slices.ContainsFunc(s.agents, func(l *link) bool {
		return l.up && !l.leaving && !l.hostLeaving && l.registered && l.window > 0
	})
}

// open reports whether l may get a start now.
func (h *Home) open(l *link) bool {
	return l.up && l.standing && !l.leaving && !l.hostLeaving && l.registered &&
		l.revision <= h.view.Revision && h.now.Mono >= l.restUntil
}

// enqueue puts a job's waiting tasks into its service's queue.
func (h *Home) enqueue(r *record) {
	h.service(r.sub.Service).queue.Put(r.key, r.sub.Job.Organisation, len(r.order), r.since)
}

// pump starts waiting tasks while an agent can take one.
func (h *Home) pump(name string) {
	s := h.services[name]
	if s == nil || s.queue.Jobs() == 0 || !h.maystart() {
		return
	}
	places, links := h.candidates(s)
	s.countSlots()
	over := s.overShare()
	for {
		item, ok := s.queue.First(over)
		if !ok {
			return
		}
		k := h.policy.Choose(places)
		if k < 0 {
			return
		}
		r := h.records[item.Job]
		if h.tooLate(s, r) {
			h.refuseLate(s, r)
			continue
		}
		places[k].Outstanding++
		s.running[item.Organisation]++
		h.startNext(links[k], r)
	}
}

// tooLate reports whether a job of which nothing was started could not end
// before its expiry, even if it were served alone from now on.
func (h *Home) tooLate(s *service, r *record) bool {
	untouched := !r.began && len(r.order) == len(r.tasks)
	return untouched && s.drain.drainTime(len(r.tasks)) > h.left(r.expiry)
}

// refuseLate gives up on a job before its first task, as not run.
func (h *Home) refuseLate(s *service, r *record) {
	h.finish(r, refused(r.id, code.CannotMeetExpiry, seats.RanNo,
		"the job waited so long that it can't end before its expiry", s.drain.turnFor(h.now.Mono, len(r.tasks))))
}

// maystart reports whether this home is seated; whether a start is taken is
// for the agent to decide.
func (h *Home) maystart() bool {
	return h.Seated() && !h.lost
}

func (h *Home) candidates(s *service) ([]dispatch.Candidate, []*link) {
	common := commonPace(s.agents)
	var places []dispatch.Candidate
	var links []*link
	for _, l := range s.agents {
		if !h.open(l) {
			continue
		}
		places = append(places, dispatch.Candidate{
			Outstanding: len(l.starts), Window: l.window,
			Slowness: l.pace.against(common),
		})
		links = append(links, l)
	}
	return places, links
}

// startNext sends the next waiting task of r to l.
func (h *Home) startNext(l *link, r *record) {
	k := r.next()
	r.tasks[k] = task{phase: sent, agent: l.id}
	h.enqueue(r)
	h.stats.Starts++
	h.sendStart(l, r, k)
}

func (h *Home) sendStart(l *link, r *record, k int) {
	t := r.sub.Job.Tasks[k]
	key := wire.TaskKey{Job: r.key, Index: k}
	seq := h.send(l, wire.Start{
		Key: key, TaskID: t.ID, Digest: r.digest, Service: r.sub.Service,
		Payload: t.Payload, Expiry: r.expiry, Raw: r.sub.Single,
	})
	l.starts[key] = &start{seq: seq, sentAt: h.now.Mono, asked: h.now.Mono, organisation: r.sub.Job.Organisation}
}

func (h *Home) await(l *link, r *record, k int) {
	key := wire.TaskKey{Job: r.key, Index: k}
	h.stats.Awaits++
	seq := h.send(l, wire.Await{Key: key})
	l.starts[key] = &start{seq: seq, sentAt: h.now.Mono, asked: h.now.Mono, organisation: r.sub.Job.Organisation, await: true}
	h.service(r.sub.Service).running[r.sub.Job.Organisation]++
}

// resend asks again for everything that l has not answered, over a new
// connection: the agent starts nothing that it has a record of.
func (h *Home) resend(l *link) {
	for _, key := range sortedTasks(l.starts) {
		h.askAfter(l, key, l.starts[key])
	}
	for _, t := range slices.Sorted(maps.Keys(h.forwards)) {
		if f := h.forwards[t]; f.to == l.id {
			h.sendForward(t, f)
		}
	}
}

// askAfter sends an unanswered start again, or an await where there is nothing
// left to start.
func (h *Home) askAfter(l *link, key wire.TaskKey, s *start) {
	h.stats.Resends++
	s.asked = h.now.Mono
	r := h.records[key.Job]
	if s.await || r == nil || r.state != seats.Running {
		s.seq = h.send(l, wire.Await{Key: key})
		return
	}
	sentAt := s.sentAt
	h.sendStart(l, r, key.Index)
	l.starts[key].sentAt = sentAt
}

// result handles the answer to a start or an await.
func (h *Home) result(l *link, m wire.Result) {
	l.window = m.Window
	s := l.starts[m.Key]
	refusal := m.Status == wire.NotRun
	if s == nil || (refusal && m.Seq != s.seq && !h.rules.SkipSeq) {
		h.stats.LateResults++
		return
	}
	h.drop(l, m.Key)
	if refusal {
		h.stats.Refusals++
		h.rest(l, m.Code)
	} else {
		h.stats.Results++
		l.pace.note(h.now.Mono - s.sentAt)
		h.service(m.Key.Service()).drain.tasks.note(h.now.Mono - s.sentAt)
	}
	r := h.records[m.Key.Job]
	if r != nil && r.state == seats.Running && r.tasks[m.Key.Index].phase == sent && r.tasks[m.Key.Index].agent == l.id {
		h.ended(r, m)
	}
	h.pump(l.service)
}

// drop forgets a start that is answered or given up.
func (h *Home) drop(l *link, key wire.TaskKey) {
	s := l.starts[key]
	delete(l.starts, key)
	h.service(key.Service()).ended(s.organisation)
}

// ended applies a task's result to its job.
func (h *Home) ended(r *record, m wire.Result) {
	switch m.Status {
	case wire.Done:
		r.began = true
		r.tasks[m.Key.Index] = task{phase: done, output: m.Output}
		r.outputs += len(m.Output)
		r.unfinished--
		switch {
		case r.outputs > seats.MaxAnswer:
			h.fail(r, code.AnswerLarge, "the tasks' outputs together are too large")
		case r.unfinished == 0:
			h.finish(r, r.complete())
		}
	case wire.NotRun:
		r.again(m.Key.Index)
		h.enqueue(r)
	default:
		r.began = r.began || m.Code == code.TaskFailed
		h.fail(r, m.Code, "task "+r.sub.Job.Tasks[m.Key.Index].ID+": "+m.Code.Name())
	}
}

// rest keeps starts from an agent that refused one, until it tells otherwise.
func (h *Home) rest(l *link, c code.Code) {
	switch c {
	case code.SlotsFull:
		l.restUntil = h.now.Mono + restFull
	case code.TargetUnreachable:
		l.restUntil = h.now.Mono + restFailing
	case code.AgentStopping, code.AgentDraining:
		l.leaving = true
	case code.StartExpired, code.NoRecord:
	default:
		l.standing = false
	}
}

// lose gives up on what an agent has not answered: it may have run.
func (h *Home) lose(l *link) {
	if h.rules.SkipLostFail {
		h.startAgain(l)
		return
	}
	for _, key := range sortedTasks(l.starts) {
		h.drop(l, key)
		r := h.records[key.Job]
		if r != nil && r.state == seats.Running && r.tasks[key.Index].agent == l.id {
			h.loseTask(r, key.Index)
		}
	}
}

// startAgain is what lose must not do; tests show it.
func (h *Home) startAgain(l *link) {
	for _, key := range sortedTasks(l.starts) {
		h.drop(l, key)
		if r := h.records[key.Job]; r != nil && r.state == seats.Running {
			r.again(key.Index)
			h.enqueue(r)
		}
	}
}

// loseTask ends a job one of whose tasks is lost, or sends a repeatable
// request again within the budget.
func (h *Home) loseTask(r *record, k int) {
	budget := float64(h.stats.Starts)*h.cfg.RetryBudget + freeRetries
	if r.sub.Repeatable() && float64(h.stats.Retries) < budget {
		h.stats.Retries++
		r.again(k)
		h.enqueue(r)
		h.pump(r.sub.Service)
		return
	}
	h.fail(r, code.AgentLost, "the agent that held task "+r.sub.Job.Tasks[k].ID+" was lost")
}

// replaceAgent gives up on an earlier life of an agent that came back.
func (h *Home) replaceAgent(id roster.ID) {
	for _, l := range h.ordered {
		if l.role == wire.RoleAgent && l.id.Name == id.Name && l.id != id {
			l.up = false
			h.lose(l)
			h.assign(l, "")
		}
	}
}
