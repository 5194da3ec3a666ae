package home

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// takeover is what a home gathers after a change of the seats, before it speaks
// for jobs that it was not home to all along: the hand-overs of the other
// seats, the records of every agent, and the certainty that whoever is not
// heard of has lapsed.
type takeover struct {
	// ever says that the home has been settled once.
	ever bool
	// views are the roster the home was last settled at and those it has
	// adopted since; one view means that it is settled.
	views     []*roster.View
	pending   bool
	handed    map[roster.ID]bool
	collected map[roster.ID]bool
	lapse     map[roster.ID]time.Duration // when each unheard process has lapsed
	basis     bool                        // a seat that was settled has handed over
	lastHeard time.Duration               // when the last hand-over or record came
	inherited map[string]*inherited
	moved     map[string]moved
	orphans   map[string]int64 // jobs whose holder is gone, with their expiry
	doubts    []doubt
	doubted   map[string]int64 // orphans that stay in doubt, with their expiry
}

// inherited is a job of which other seats have started tasks.
type inherited struct {
	digest uint64
	expiry int64
	tasks  map[int]roster.ID
	// whole says that nothing was missing when the home was last settled, so
	// that this home alone may finish the job.
	whole bool
}

// moved is a job whose record another seat holds.
type moved struct {
	seat   roster.ID
	expiry int64
}

func newTakeover() takeover {
	return takeover{
		handed:    make(map[roster.ID]bool),
		collected: make(map[roster.ID]bool),
		lapse:     make(map[roster.ID]time.Duration),
		inherited: make(map[string]*inherited),
		moved:     make(map[string]moved),
		orphans:   make(map[string]int64),
		doubted:   make(map[string]int64),
	}
}

func (t *takeover) settled() bool {
	return t.ever && !t.pending
}

// knows reports whether self can speak for the job: it is settled, or it was
// home to the job at every roster since it was.
func (t *takeover) knows(job string, self roster.ID) bool {
	if t.settled() {
		return true
	}
	if _, orphan := t.orphans[job]; orphan || !t.ever {
		return false
	}
	for _, v := range t.views {
		if v.Home(job) != self {
			return false
		}
	}
	return true
}

// lacks reports whether the seat's hand-over is still missing.
func (t *takeover) lacks(seat roster.ID) bool {
	return t.pending && !t.handed[seat]
}

// begin starts gathering for a new roster.
func (t *takeover) begin(now time.Duration, lapse time.Duration, v *roster.View, links map[roster.ID]*link) {
	if t.ever {
		for id, l := range links {
			t.lapse[id] = max(t.lapse[id], l.stampAt+lapse)
		}
	}
	t.pending = true
	t.views = append(t.views, v)
	t.handed = make(map[roster.ID]bool)
	t.collected = make(map[roster.ID]bool)
	t.basis = false
	t.lastHeard = now
	for job, m := range t.moved {
		if !v.HasSeat(m.seat) {
			delete(t.moved, job)
			t.orphans[job] = m.expiry
		}
	}
}

// collect takes an agent's records.
func (t *takeover) collect(now time.Duration, agent roster.ID, m wire.Records) {
	if !t.pending || m.Revision != t.current().Revision || t.collected[agent] {
		return
	}
	t.collected[agent] = true
	t.lastHeard = now
	for _, r := range m.Records {
		in := t.inherited[r.Key.Job]
		if in == nil {
			in = &inherited{digest: r.Digest, expiry: r.Expiry, tasks: make(map[int]roster.ID)}
			t.inherited[r.Key.Job] = in
		}
		in.tasks[r.Key.Index] = agent
	}
}

// receive takes a seat's hand-over.
func (t *takeover) receive(now clock.Moment, seat roster.ID, m wire.HandOver) {
	if !t.pending || m.Revision != t.current().Revision || t.handed[seat] {
		return
	}
	t.handed[seat] = true
	t.basis = t.basis || m.Settled
	t.lastHeard = now.Mono
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

// keepWhole marks what self inherited of its share as whole. Of other jobs the
// agents have not told all, and a job that another seat holds goes on there:
// what is known of those is dropped.
func (t *takeover) keepWhole(v *roster.View, self roster.ID) {
	for key, in := range t.inherited {
		_, held := t.moved[key]
		switch {
		case held:
			delete(t.inherited, key)
		case v.Home(key) == self:
			in.whole = true
		case !in.whole:
			delete(t.inherited, key)
		}
	}
}

func (t *takeover) current() *roster.View {
	return t.views[len(t.views)-1]
}

// forget drops what has expired.
func (t *takeover) forget(horizon int64) {
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

// lapseTime is how long after its last stamp a process has surely lapsed: the
// lease, and a tenth for clocks that run at different rates.
func (h *Home) lapseTime() time.Duration {
	return h.cfg.Lease + h.cfg.Lease/10
}

// settle ends the gathering once nothing is missing.
func (h *Home) settle() {
	t := &h.take
	if !t.pending || !h.Seated() || h.behindConfig() {
		return
	}
	for _, s := range h.view.Seats {
		if s.ID != h.cfg.Self && !t.handed[s.ID] && !h.rules.SkipHandOver {
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
		h.raiseDoubts()
	}
	t.ever = true
	t.pending = false
	t.views = []*roster.View{h.view}
	clear(t.orphans)
	clear(t.lapse)
	t.keepWhole(h.view, h.cfg.Self)
	h.retryPending()
}

// behindConfig reports whether a higher configuration is known to be in force.
func (h *Home) behindConfig() bool {
	return !h.configured || slices.ContainsFunc(h.view.Seats, func(s roster.Seat) bool {
		l := h.links[s.ID]
		return l != nil && l.config > h.config.Revision
	})
}

func (h *Home) allCollected() bool {
	return !slices.ContainsFunc(h.view.Agents, func(a roster.ID) bool { return !h.take.collected[a] })
}

// agentsLapsed reports whether every agent that has handed over nothing can't
// be acting at an earlier roster any more.
func (h *Home) agentsLapsed() bool {
	return !slices.ContainsFunc(h.view.Agents, func(a roster.ID) bool {
		return !h.take.collected[a] && !h.lapsed(a)
	})
}

// seatsLapsed reports whether every seat that is gone can't be acting any more.
func (h *Home) seatsLapsed(complete bool) bool {
	if h.rules.SkipLapse {
		return true
	}
	return !slices.ContainsFunc(h.goneSeats(), func(id roster.ID) bool {
		if !h.take.ever && !h.take.basis {
			return !complete || h.now.Mono < h.take.lastHeard+h.lapseTime()
		}
		return !h.lapsed(id)
	})
}

// lapsed reports whether the process has lapsed at every earlier roster. A
// home that was settled counts from the last stamp it may have echoed; another
// one from the last hand-over of a seat that was.
func (h *Home) lapsed(id roster.ID) bool {
	if h.take.ever {
		return h.now.Mono >= h.take.lapse[id]
	}
	return h.take.basis && h.now.Mono >= h.take.lastHeard+h.lapseTime()
}

// goneSeats returns the seats that have left the roster lately, but for those
// that had handed over all before.
func (h *Home) goneSeats() []roster.ID {
	var gone []roster.ID
	for _, v := range h.take.views {
		for _, s := range v.Seats {
			if !h.view.HasSeat(s.ID) && !s.Leaving {
				gone = append(gone, s.ID)
			}
		}
	}
	if !h.take.ever {
		for _, l := range h.view.LostSeats {
			gone = append(gone, l.ID)
		}
	}
	return gone
}

// longestExpiry returns the longest expiry that a job may have which was
// accepted lately: of any service now, or before it was cut short. It is the
// default at the least, since a home that has just joined knows of no before.
func (h *Home) longestExpiry() time.Duration {
	longest := longestOf(h.config)
	if h.now.Mono < h.longerUntil {
		longest = max(longest, h.longer)
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
