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

// expiryGrain is the precision with which a job's expiry is noticed.
const expiryGrain = 50 // milliseconds

// Tick does what is due by time alone. It is called every few tens of
// milliseconds.
func (h *Home) Tick(now clock.Moment) Effects {
	h.now = now
	h.noteSeats()
	h.expireJobs()
	h.expireForwards()
	h.tickLinks()
	if h.take.pending && now.Mono >= h.gatherAt {
		h.gatherAt = now.Mono + h.cfg.Heartbeat
		h.gather()
	}
	h.settle()
	h.retryPending()
	for _, name := range slices.Sorted(maps.Keys(h.services)) {
		h.pump(name)
	}
	h.propose()
	if h.needRead && now.Mono >= h.readAfter {
		h.needRead = false
		h.out.Read = true
	}
	h.tidy()
	return h.drain()
}

// noteSeats remembers since when each seat is expected to be heard.
func (h *Home) noteSeats() {
	for _, s := range h.view.Seats {
		if _, ok := h.adoptedAt[s.ID]; !ok {
			h.adoptedAt[s.ID] = h.now.Mono
		}
	}
}

// tickLinks sends heartbeats where nothing else told the peer or this home
// anything, asks after old starts and gives up on lost agents.
func (h *Home) tickLinks() {
	for _, l := range h.ordered {
		if l.up && h.beatDue(l) {
			h.beat(l)
		}
		if l.role != wire.RoleAgent {
			continue
		}
		if !l.up && len(l.starts) > 0 && h.now.Mono-l.changedAt > h.cfg.AgentLost {
			h.lose(l)
		}
		if l.up {
			h.askOverdue(l)
		}
	}
}

// askOverdue asks after the starts that were not answered for long.
func (h *Home) askOverdue(l *link) {
	overdue := make(map[wire.TaskKey]*start)
	for key, s := range l.starts {
		if h.now.Mono-s.asked >= askAgain {
			overdue[key] = s
		}
	}
	for _, key := range sortedTasks(overdue) {
		h.askAfter(l, key, overdue[key])
	}
}

// sortedTasks returns the keys in a fixed order, so that the same events always
// have the same effects.
func sortedTasks[V any](m map[wire.TaskKey]V) []wire.TaskKey {
	return slices.SortedFunc(maps.Keys(m), wire.TaskKey.Compare)
}

func (h *Home) beatDue(l *link) bool {
	interval := h.cfg.Heartbeat
	if l.role == wire.RoleAgent {
		interval = h.cfg.AgentHeartbeat
	}
	quiet := h.now.Mono - min(l.sentAt, l.stampAt)
	if quiet < interval || h.now.Mono-l.beatAt < interval {
		return false
	}
	l.beatAt = h.now.Mono
	return true
}

// expireAt makes sure that r is looked at when the calendar reads ms.
func (h *Home) expireAt(r *record, ms int64) {
	slot := ms/expiryGrain + 1
	h.expiries[slot] = append(h.expiries[slot], r)
}

// expireJobs fails the jobs whose expiry has passed and forgets those whose
// records can't matter any more.
func (h *Home) expireJobs() {
	present := h.now.Wall.UnixMilli() / expiryGrain
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

// tidy forgets what can't matter any more, now and then.
func (h *Home) tidy() {
	if h.now.Mono < h.tidyAt {
		return
	}
	h.tidyAt = h.now.Mono + time.Second
	h.take.forget(h.now.Wall.Add(-h.cfg.Skew).UnixMilli())
	h.ordered = slices.DeleteFunc(h.ordered, func(l *link) bool {
		stale := !l.up && len(l.starts) == 0 && h.now.Mono-l.changedAt > h.cfg.AgentGone
		if !stale || h.view.HasAgent(l.id) || h.view.HasSeat(l.id) {
			return false
		}
		h.assign(l, "")
		delete(h.links, l.id)
		return true
	})
	for id := range h.adoptedAt {
		if !h.view.HasSeat(id) {
			delete(h.adoptedAt, id)
		}
	}
	for len(h.held) > 0 && h.held[0].size == 0 {
		h.held = h.held[1:]
	}
}
