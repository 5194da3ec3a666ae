package home

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// takeover is the state collected after a change of the seats. An entry answers
// for jobs that it did not own before only once it has the hand-overs of the
// other seats and the records of every agent, or the leases of the missing
// processes have expired.
type takeover struct {
	// everSettled is true once a takeover has completed.
	everSettled bool
	// views are the roster at which the last takeover completed and those
	// adopted since.
	views          []*roster.View
	pending        bool
	handedOver     map[roster.ID]bool
	collected      map[roster.ID]bool
	lapseAt        map[roster.ID]time.Duration // when the lease of each process expires
	settledPeer    bool                        // a seat that was settled has handed over
	lastReceivedAt time.Duration               // when the last hand-over or records arrived
	inherited      map[string]*inherited
	moved          map[string]moved
	orphans        map[string]int64 // jobs whose holder is gone, with their expiry
	doubts         []doubt
	doubted        map[string]int64 // orphans of completed takeovers with lost records, with their expiry
}

// inherited is a job with tasks started by other seats.
type inherited struct {
	digest uint64
	expiry int64
	tasks  map[int]roster.ID
	// complete is set if a takeover has completed with all known records of
	// the job, so that this entry alone may finish it.
	complete bool
}

// moved is a job whose record another seat holds.
type moved struct {
	seat   roster.ID
	expiry int64
}

func newTakeover() takeover {
	return takeover{
		handedOver: make(map[roster.ID]bool),
		collected:  make(map[roster.ID]bool),
		lapseAt:    make(map[roster.ID]time.Duration),
		inherited:  make(map[string]*inherited),
		moved:      make(map[string]moved),
		orphans:    make(map[string]int64),
		doubted:    make(map[string]int64),
	}
}

func (t *takeover) settled() bool {
	return t.everSettled && !t.pending
}

// knowsJob reports whether self knows the job's state: it is settled, or it has
// owned the job at every roster since it was.
func (t *takeover) knowsJob(job string, self roster.ID) bool {
	if t.settled() {
		return true
	}
	if _, orphan := t.orphans[job]; orphan || !t.everSettled {
		return false
	}
	for _, v := range t.views {
		if v.Home(job) != self {
			return false
		}
	}
	return true
}

// awaitsHandOver reports whether the seat's hand-over is still missing.
func (t *takeover) awaitsHandOver(seat roster.ID) bool {
	return t.pending && !t.handedOver[seat]
}

// begin starts a takeover for a new roster.
func (t *takeover) begin(now time.Duration, lapse time.Duration, v *roster.View, links map[roster.ID]*link) {
	if t.everSettled {
		for id, l := range links {
			t.lapseAt[id] = max(t.lapseAt[id], l.stampAt+lapse)
		}
	}
	t.pending = true
	t.views = append(t.views, v)
	t.handedOver = make(map[roster.ID]bool)
	t.collected = make(map[roster.ID]bool)
	t.settledPeer = false
	t.lastReceivedAt = now
	for job, m := range t.moved {
		if !v.HasSeat(m.seat) {
			delete(t.moved, job)
			t.orphans[job] = m.expiry
		}
	}
}

// receiveRecords adds the records of an agent.
func (t *takeover) receiveRecords(now time.Duration, agent roster.ID, m wire.Records) {
	if !t.pending || m.Revision != t.current().Revision || t.collected[agent] {
		return
	}
	t.collected[agent] = true
	t.lastReceivedAt = now
	for _, r := range m.Records {
		in := t.inherited[r.Key.Job]
		if in == nil {
			in = &inherited{digest: r.Digest, expiry: r.Expiry, tasks: make(map[int]roster.ID)}
			t.inherited[r.Key.Job] = in
		}
		in.tasks[r.Key.Index] = agent
	}
}

// receiveHandOver adds the hand-over of a seat.
func (t *takeover) receiveHandOver(now clock.Moment, seat roster.ID, m wire.HandOver) {
	if !t.pending || m.Revision != t.current().Revision || t.handedOver[seat] {
		return
	}
	t.handedOver[seat] = true
	t.settledPeer = t.settledPeer || m.Settled
	t.lastReceivedAt = now.Mono
	for _, j := range m.Moved {
		t.moved[j.Job] = moved{seat: seat, expiry: j.Expiry}
	}
	for _, j := range m.Orphans {
		t.orphans[j.Job] = j.Expiry
	}
	for _, j := range m.Doubted {
		t.doubted[j.Job] = j.Expiry
	}
	for _, d := range m.Doubts {
		t.addDoubt(d)
	}
}

// markComplete marks the inherited jobs that self owns as complete. It removes
// jobs held by another seat, and jobs owned by others unless a previous takeover
// completed them.
func (t *takeover) markComplete(v *roster.View, self roster.ID) {
	for key, in := range t.inherited {
		_, held := t.moved[key]
		switch {
		case held:
			delete(t.inherited, key)
		case v.Home(key) == self:
			in.complete = true
		case !in.complete:
			delete(t.inherited, key)
		}
	}
}

func (t *takeover) current() *roster.View {
	return t.views[len(t.views)-1]
}

// prune removes jobs and doubts that expired before horizon.
func (t *takeover) prune(horizon int64) {
	for job, in := range t.inherited {
		if in.expiry < horizon {
			delete(t.inherited, job)
		}
	}
	for job, m := range t.moved {
		if m.expiry < horizon {
			delete(t.moved, job)
		}
	}
	for _, jobs := range []map[string]int64{t.orphans, t.doubted} {
		for job, expiry := range jobs {
			if expiry < horizon {
				delete(jobs, job)
			}
		}
	}
	t.doubts = slices.DeleteFunc(t.doubts, func(d doubt) bool { return d.Expiry < horizon })
}

// lapseTime returns the time after a process's last timestamp at which its lease
// has certainly expired: the lease plus a tenth for clock drift.
func (h *Home) lapseTime() time.Duration {
	return h.cfg.Lease + h.cfg.Lease/10
}

// settle completes the takeover once nothing is missing.
func (h *Home) settle() {
	t := &h.takeover
	if !t.pending || !h.Seated() || h.behindConfig() {
		return
	}
	for _, s := range h.view.Seats {
		if s.ID != h.cfg.Self && !t.handedOver[s.ID] && !h.rules.SkipHandOver {
			return
		}
	}
	complete := h.allCollected() || h.rules.SkipCollect
	if !complete && !h.agentsLapsed() {
		return
	}
	if !h.seatsLapsed(complete) {
		return
	}
	if !complete || len(h.view.LostAgents) > 0 {
		h.addDoubts()
	}
	t.everSettled = true
	t.pending = false
	t.views = []*roster.View{h.view}
	clear(t.orphans)
	clear(t.lapseAt)
	t.markComplete(h.view, h.cfg.Self)
	h.retryPending()
}

// behindConfig reports whether no configuration was read yet or another seat has
// a newer one.
func (h *Home) behindConfig() bool {
	return !h.configured || slices.ContainsFunc(h.view.Seats, func(s roster.Seat) bool {
		l := h.links[s.ID]
		return l != nil && l.config > h.config.Revision
	})
}

func (h *Home) allCollected() bool {
	return !slices.ContainsFunc(h.view.Agents, func(a roster.ID) bool { return !h.takeover.collected[a] })
}

// agentsLapsed reports whether the leases at earlier rosters have expired for
// every agent whose records are missing.
func (h *Home) agentsLapsed() bool {
	return !slices.ContainsFunc(h.view.Agents, func(a roster.ID) bool {
		return !h.takeover.collected[a] && !h.lapsed(a)
	})
}

// seatsLapsed reports whether the leases of all removed seats have expired.
func (h *Home) seatsLapsed(complete bool) bool {
	if h.rules.SkipLapse {
		return true
	}
	return !slices.ContainsFunc(h.goneSeats(), func(id roster.ID) bool {
		if !h.takeover.everSettled && !h.takeover.settledPeer {
			return !complete || h.now.Mono < h.takeover.lastReceivedAt+h.lapseTime()
		}
		return !h.lapsed(id)
	})
}

// lapsed reports whether the process's leases at all earlier rosters have
// expired. An entry that was settled before counts from the last timestamp that
// it may have echoed, any other from the last state received, if a settled seat
// has handed over.
func (h *Home) lapsed(id roster.ID) bool {
	if h.takeover.everSettled {
		return h.now.Mono >= h.takeover.lapseAt[id]
	}
	return h.takeover.settledPeer && h.now.Mono >= h.takeover.lastReceivedAt+h.lapseTime()
}

// goneSeats returns the seats removed from the roster since the last completed
// takeover that were not marked as leaving. Before the first takeover it includes
// the lost seats of the roster.
func (h *Home) goneSeats() []roster.ID {
	var gone []roster.ID
	for _, v := range h.takeover.views {
		for _, s := range v.Seats {
			if !h.view.HasSeat(s.ID) && !s.Leaving {
				gone = append(gone, s.ID)
			}
		}
	}
	if !h.takeover.everSettled {
		for _, l := range h.view.LostSeats {
			gone = append(gone, l.ID)
		}
	}
	return gone
}

// longestExpiry returns the longest expiry that an accepted job may have under
// the present or the previous configuration. It is at least the default, since
// an entry that has just joined does not know the previous one.
func (h *Home) longestExpiry() time.Duration {
	longest := longestOf(h.config)
	if h.now.Mono < h.previousLongestUntil {
		longest = max(longest, h.previousLongest)
	}
	return longest
}

func longestOf(c *config.View) time.Duration {
	longest := config.DefaultLongestExpiry
	for _, s := range c.Services {
		longest = max(longest, s.Bounds.LongestExpiry())
	}
	return longest
}
