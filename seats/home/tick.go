package home

import (
	"maps"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// expirySlotMS is the granularity at which jobs expire.
const expirySlotMS = 50

// Tick handles timeouts and periodic work. The caller calls it every few tens of
// milliseconds.
func (h *Home) Tick(now clock.Moment) Effects {
	h.now = now
	h.trackSeats()
	h.expireJobs()
	h.expireForwards()
	h.tickLinks()
	if h.takeover.pending && now.Mono >= h.nextExchangeAt {
		h.nextExchangeAt = now.Mono + h.cfg.Heartbeat
		h.exchangeState()
	}
	h.settle()
	h.retryPending()
	for _, name := range slices.Sorted(maps.Keys(h.services)) {
		h.startWaiting(name)
	}
	h.propose()
	if h.needRead && now.Mono >= h.readAfter {
		h.needRead = false
		h.effects.Read = true
	}
	h.prune()
	return h.takeEffects()
}

// trackSeats records when each seat was first seen in the roster.
func (h *Home) trackSeats() {
	for _, s := range h.view.Seats {
		if _, ok := h.expectedSince[s.ID]; !ok {
			h.expectedSince[s.ID] = h.now.Mono
		}
	}
}

// tickLinks sends due heartbeats, resends overdue starts and fails the starts of
// lost agents.
func (h *Home) tickLinks() {
	for _, l := range h.ordered {
		if l.up && h.heartbeatDue(l) {
			h.sendHeartbeat(l)
		}
		if l.role != wire.RoleAgent {
			continue
		}
		if !l.up && len(l.starts) > 0 && h.now.Mono-l.changedAt > h.cfg.AgentLost {
			h.failStarts(l)
		}
		if l.up {
			h.resendOverdue(l)
		}
	}
}

// resendOverdue repeats the starts not answered within resendInterval.
func (h *Home) resendOverdue(l *link) {
	overdue := make(map[wire.TaskKey]*start)
	for key, s := range l.starts {
		if h.now.Mono-s.lastSentAt >= resendInterval {
			overdue[key] = s
		}
	}
	for _, key := range sortedTasks(overdue) {
		h.resendStart(l, key, overdue[key])
	}
}

// sortedTasks returns the keys in ascending order, so that effects are
// deterministic.
func sortedTasks[V any](m map[wire.TaskKey]V) []wire.TaskKey {
	return slices.SortedFunc(maps.Keys(m), wire.TaskKey.Compare)
}

func (h *Home) heartbeatDue(l *link) bool {
	interval := h.cfg.Heartbeat
	if l.role == wire.RoleAgent {
		interval = h.cfg.AgentHeartbeat
	}
	quiet := h.now.Mono - min(l.sentAt, l.stampAt)
	if quiet < interval || h.now.Mono-l.heartbeatAt < interval {
		return false
	}
	l.heartbeatAt = h.now.Mono
	return true
}

// expireAt schedules a call of expire for r at ms, in Unix milliseconds.
func (h *Home) expireAt(r *record, ms int64) {
	slot := ms/expirySlotMS + 1
	h.expiries[slot] = append(h.expiries[slot], r)
}

// expireJobs calls expire for the records that are due.
func (h *Home) expireJobs() {
	present := h.now.Wall.UnixMilli() / expirySlotMS
	var due []int64
	for slot := range h.expiries {
		if slot <= present {
			due = append(due, slot)
		}
	}
	slices.Sort(due)
	for _, slot := range due {
		records := h.expiries[slot]
		delete(h.expiries, slot)
		for _, r := range records {
			h.expire(r)
		}
	}
}

// expire fails a running job and removes its record once Config.Skew has passed
// after the expiry.
func (h *Home) expire(r *record) {
	if h.records[r.key] != r {
		return
	}
	if r.state == seats.Running {
		h.fail(r, code.Expired, "the job did not finish before its expiry")
	}
	keep := r.expiry + h.cfg.Skew.Milliseconds()
	if h.now.Wall.UnixMilli() <= keep {
		h.expireAt(r, keep)
		return
	}
	h.dropAnswer(r)
	delete(h.records, r.key)
}

// prune removes expired state once a second.
func (h *Home) prune() {
	if h.now.Mono < h.nextPruneAt {
		return
	}
	h.nextPruneAt = h.now.Mono + time.Second
	h.takeover.prune(h.now.Wall.Add(-h.cfg.Skew).UnixMilli())
	h.ordered = slices.DeleteFunc(h.ordered, func(l *link) bool {
		stale := !l.up && len(l.starts) == 0 && h.now.Mono-l.changedAt > h.cfg.AgentGone
		if !stale || h.view.HasAgent(l.id) || h.view.HasSeat(l.id) {
			return false
		}
		h.assign(l, "")
		delete(h.links, l.id)
		return true
	})
	for id := range h.expectedSince {
		if !h.view.HasSeat(id) {
			delete(h.expectedSince, id)
		}
	}
	for len(h.answered) > 0 && h.answered[0].answerBytes == 0 {
		h.answered = h.answered[1:]
	}
}
