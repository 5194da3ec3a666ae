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

const (
	// slotsFullBackoff is the pause of starts after an agent refused one because its
	// slots were full.
	slotsFullBackoff = 20 * time.Millisecond
	// unreachableBackoff is the pause of starts after an agent could not reach its
	// target.
	unreachableBackoff = 500 * time.Millisecond
	// resendInterval is the time without an answer after which a start is resent.
	resendInterval = 5 * time.Second
	// retryBurst is the number of retries of repeatable requests allowed in
	// addition to Config.RetryBudget.
	retryBurst = 10
)

func (h *Home) service(name string) *service {
	s := h.services[name]
	if s == nil {
		s = &service{queue: dispatch.NewQueue(h.policy.Order), running: make(map[string]int)}
		h.services[name] = s
	}
	return s
}

// countSlots updates the number of slots of connected agents.
func (s *service) countSlots() {
	s.drain.slots = 0
	for _, l := range s.agents {
		if l.up {
			s.drain.slots += l.slots
		}
	}
}

// overShare returns a function that reports whether an organisation's running
// tasks reach its share of the slots. Organisations with waiting or running
// tasks have equal shares.
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

// taskEnded removes one running task of the organisation from the counts.
func (s *service) taskEnded(organisation string) {
	s.running[organisation]--
	if s.running[organisation] <= 0 {
		delete(s.running, organisation)
	}
}

func (s *service) remove(l *link) {
	s.agents = slices.DeleteFunc(s.agents, func(o *link) bool { return o == l })
}

// anyAvailable reports whether some agent accepts starts now or may after a
// short pause.
func (s *service) anyAvailable(h *Home) bool {
	return slices.ContainsFunc(s.agents, func(l *link) bool {
		return l.up && !l.leaving && !l.hostLeaving && l.registered && l.window > 0
	})
}

// acceptsStarts reports whether a start may be sent to l now.
func (h *Home) acceptsStarts(l *link) bool {
	return l.up && l.confirmed && !l.leaving && !l.hostLeaving && l.registered &&
		l.revision <= h.view.Revision && h.now.Mono >= l.backoffUntil
}

// enqueue updates the queue of the job's service with its waiting tasks.
func (h *Home) enqueue(r *record) {
	h.service(r.sub.Service).queue.Put(r.key, r.sub.Job.Organisation, len(r.waitingTasks), r.acceptedAt)
}

// startWaiting starts waiting tasks of a service while an agent can take one.
func (h *Home) startWaiting(name string) {
	s := h.services[name]
	if s == nil || s.queue.Jobs() == 0 || !h.mayStart() {
		return
	}
	choices, links := h.candidates(s)
	s.countSlots()
	over := s.overShare()
	for {
		item, ok := s.queue.First(over)
		if !ok {
			return
		}
		k := h.policy.Choose(choices)
		if k < 0 {
			return
		}
		r := h.records[item.Job]
		if h.tooLate(s, r) {
			h.refuseLate(s, r)
			continue
		}
		choices[k].Outstanding++
		s.running[item.Organisation]++
		h.startNext(links[k], r)
	}
}

// tooLate reports whether a job without started tasks cannot finish before its
// expiry, even with all slots of the service.
func (h *Home) tooLate(s *service, r *record) bool {
	notStarted := !r.knownStarted && len(r.waitingTasks) == len(r.tasks)
	return notStarted && s.drain.drainTime(len(r.tasks)) > h.left(r.expiry)
}

// refuseLate refuses a job that has not started and cannot finish in time.
func (h *Home) refuseLate(s *service, r *record) {
	h.finish(r, refused(r.id, code.CannotMeetExpiry, seats.RanNo,
		"the job waited so long that it can't end before its expiry", s.drain.staggeredRetryAfter(h.now.Mono, len(r.tasks))))
}

// mayStart reports whether this entry holds a seat. Agents check its
// confirmation before they accept a start.
func (h *Home) mayStart() bool {
	return h.Seated() && !h.removed
}

func (h *Home) candidates(s *service) ([]dispatch.Candidate, []*link) {
	mean := meanTaskTime(s.agents)
	var choices []dispatch.Candidate
	var links []*link
	for _, l := range s.agents {
		if !h.acceptsStarts(l) {
			continue
		}
		choices = append(choices, dispatch.Candidate{
			Outstanding: len(l.starts), Window: l.window,
			Slowness: l.taskTime.relativeTo(mean),
		})
		links = append(links, l)
	}
	return choices, links
}

// startNext sends the next waiting task of r to l.
func (h *Home) startNext(l *link, r *record) {
	k := r.nextTask()
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
	l.starts[key] = &start{seq: seq, sentAt: h.now.Mono, lastSentAt: h.now.Mono, organisation: r.sub.Job.Organisation}
}

func (h *Home) await(l *link, r *record, k int) {
	key := wire.TaskKey{Job: r.key, Index: k}
	h.stats.Awaits++
	seq := h.send(l, wire.Await{Key: key})
	l.starts[key] = &start{seq: seq, sentAt: h.now.Mono, lastSentAt: h.now.Mono, organisation: r.sub.Job.Organisation, await: true}
	h.service(r.sub.Service).running[r.sub.Job.Organisation]++
}

// resendUnanswered repeats every unanswered start and forward to l after it has
// reconnected. An agent starts no task that it has a record of.
func (h *Home) resendUnanswered(l *link) {
	for _, key := range sortedTasks(l.starts) {
		h.resendStart(l, key, l.starts[key])
	}
	for _, t := range slices.Sorted(maps.Keys(h.forwards)) {
		if f := h.forwards[t]; f.to == l.id {
			h.sendForward(t, f)
		}
	}
}

// resendStart repeats an unanswered start, or sends an await if the job is not
// running here any more.
func (h *Home) resendStart(l *link, key wire.TaskKey, s *start) {
	h.stats.Resends++
	s.lastSentAt = h.now.Mono
	r := h.records[key.Job]
	if s.await || r == nil || r.state != seats.Running {
		s.seq = h.send(l, wire.Await{Key: key})
		return
	}
	sentAt := s.sentAt
	h.sendStart(l, r, key.Index)
	l.starts[key].sentAt = sentAt
}

// handleResult handles the answer to a start or an await.
func (h *Home) handleResult(l *link, m wire.Result) {
	l.window = m.Window
	s := l.starts[m.Key]
	refusal := m.Status == wire.NotRun
	if s == nil || (refusal && m.Seq != s.seq && !h.rules.SkipSeq) {
		h.stats.LateResults++
		return
	}
	h.removeStart(l, m.Key)
	if refusal {
		h.stats.Refusals++
		h.backOff(l, m.Code)
	} else {
		h.stats.Results++
		l.taskTime.observe(h.now.Mono - s.sentAt)
		h.service(m.Key.Service()).drain.taskTime.observe(h.now.Mono - s.sentAt)
	}
	r := h.records[m.Key.Job]
	if r != nil && r.state == seats.Running && r.tasks[m.Key.Index].phase == sent && r.tasks[m.Key.Index].agent == l.id {
		h.applyResult(r, m)
	}
	h.startWaiting(l.service)
}

// removeStart removes a start that was answered or is lost.
func (h *Home) removeStart(l *link, key wire.TaskKey) {
	s := l.starts[key]
	delete(l.starts, key)
	h.service(key.Service()).taskEnded(s.organisation)
}

// applyResult applies a task's result to its job.
func (h *Home) applyResult(r *record, m wire.Result) {
	switch m.Status {
	case wire.Done:
		r.knownStarted = true
		r.tasks[m.Key.Index] = task{phase: done, output: m.Output}
		r.outputBytes += len(m.Output)
		r.unfinished--
		switch {
		case r.outputBytes > seats.MaxAnswer:
			h.fail(r, code.AnswerLarge, "the tasks' outputs together are too large")
		case r.unfinished == 0:
			h.finish(r, r.complete())
		}
	case wire.NotRun:
		r.requeue(m.Key.Index)
		h.enqueue(r)
	default:
		r.knownStarted = r.knownStarted || m.Code == code.TaskFailed
		h.fail(r, m.Code, "task "+r.sub.Job.Tasks[m.Key.Index].ID+": "+m.Code.Name())
	}
}

// backOff stops starts to an agent that refused one, for a pause or until its
// next heartbeat.
func (h *Home) backOff(l *link, c code.Code) {
	switch c {
	case code.SlotsFull:
		l.backoffUntil = h.now.Mono + slotsFullBackoff
	case code.TargetUnreachable:
		l.backoffUntil = h.now.Mono + unreachableBackoff
	case code.AgentStopping, code.AgentDraining:
		l.leaving = true
	case code.StartExpired, code.NoRecord:
	default:
		l.confirmed = false
	}
}

// failStarts handles the loss of an agent: its unanswered starts may have run.
func (h *Home) failStarts(l *link) {
	if h.rules.SkipLostFail {
		h.restartLostTasks(l)
		return
	}
	for _, key := range sortedTasks(l.starts) {
		h.removeStart(l, key)
		r := h.records[key.Job]
		if r != nil && r.state == seats.Running && r.tasks[key.Index].agent == l.id {
			h.handleLostTask(r, key.Index)
		}
	}
}

// restartLostTasks starts tasks of a lost agent again, although they may have
// run. Tests use it to show that this breaks the guarantee.
func (h *Home) restartLostTasks(l *link) {
	for _, key := range sortedTasks(l.starts) {
		h.removeStart(l, key)
		if r := h.records[key.Job]; r != nil && r.state == seats.Running {
			r.requeue(key.Index)
			h.enqueue(r)
		}
	}
}

// handleLostTask fails the job of a lost task, or restarts a repeatable request
// within the retry budget.
func (h *Home) handleLostTask(r *record, k int) {
	budget := float64(h.stats.Starts)*h.cfg.RetryBudget + retryBurst
	if r.sub.Repeatable() && float64(h.stats.Retries) < budget {
		h.stats.Retries++
		r.requeue(k)
		h.enqueue(r)
		h.startWaiting(r.sub.Service)
		return
	}
	h.fail(r, code.AgentLost, "the agent that held task "+r.sub.Job.Tasks[k].ID+" was lost")
}

// replaceAgent fails the starts at earlier incarnations of a reconnected agent.
func (h *Home) replaceAgent(id roster.ID) {
	for _, l := range h.ordered {
		if l.role == wire.RoleAgent && l.id.Name == id.Name && l.id != id {
			l.up = false
			h.failStarts(l)
			h.assign(l, "")
		}
	}
}
