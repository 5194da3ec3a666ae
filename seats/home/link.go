package home

import (
	"time"

	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// link is what a home knows of another process, connected or not.
type link struct {
	id         roster.ID
	role       wire.Role
	up         bool
	changedAt  time.Duration // when it was connected or cut
	seq        uint64        // of the last frame sent
	stamp      int64         // its latest stamp
	stampAt    time.Duration // when that came
	heardAt    time.Duration
	sentAt     time.Duration
	beatAt     time.Duration
	informedAt time.Duration // when it was last handed a roster or configuration
	settling   bool          // of a seat: it lacks what this home hands over
	revision   uint64        // the highest roster revision it showed
	config     uint64        // the highest configuration revision it showed

	// Of an agent:
	service     string
	window      int
	slots       int
	standing    bool
	leaving     bool
	hostLeaving bool // by the host list's word
	registered  bool
	restUntil   time.Duration // no starts before
	starts      map[wire.TaskKey]*start
	pace        pace
}

// start is a task that an agent has not answered yet.
type start struct {
	seq          uint64
	sentAt       time.Duration
	asked        time.Duration // when it was last sent or asked after
	organisation string
	await        bool
}

// LinkUp notes that the process id is connected.
func (h *Home) LinkUp(now clock.Moment, id roster.ID, role wire.Role) Effects {
	h.now = now
	l := h.links[id]
	if l == nil {
		l = &link{id: id, role: role, starts: make(map[wire.TaskKey]*start)}
		h.links[id] = l
		h.ordered = append(h.ordered, l)
	}
	l.up = true
	l.changedAt = now.Mono
	l.heardAt = now.Mono
	l.registered = h.view.HasAgent(id)
	if role == wire.RoleAgent {
		h.replaceAgent(id)
	}
	h.inform(l)
	h.beat(l)
	h.resend(l)
	return h.drain()
}

// LinkDown notes that the connection to id is gone.
func (h *Home) LinkDown(now clock.Moment, id roster.ID) Effects {
	h.now = now
	if l := h.links[id]; l != nil {
		l.up = false
		l.changedAt = now.Mono
		l.standing = false
	}
	return h.drain()
}

// Receive handles one frame from the process from.
func (h *Home) Receive(now clock.Moment, from roster.ID, f wire.Frame) Effects {
	h.now = now
	l := h.links[from]
	if l == nil {
		return h.drain()
	}
	l.heardAt = now.Mono
	if f.Stamp > l.stamp {
		l.stamp, l.stampAt = f.Stamp, now.Mono
	}
	l.revision = max(l.revision, f.Revision)
	l.config = max(l.config, f.Config)
	h.confirm(l, f.Header)
	h.handle(l, f)
	h.settle()
	return h.drain()
}

// confirm takes the echo of a frame. One from a higher revision confirms
// nothing until that roster is held.
func (h *Home) confirm(l *link, hd wire.Header) {
	if hd.Revision > h.view.Revision {
		h.heard = max(h.heard, hd.Revision)
		if !h.rules.SkipRevision {
			return
		}
	}
	if l.role == wire.RoleEntry {
		h.standing.Confirm(l.id, time.Duration(hd.Echo))
		return
	}
	if hd.Echo > 0 && l.registered {
		h.agentsUntil = max(h.agentsUntil, time.Duration(hd.Echo)+h.cfg.Lease)
	}
}

func (h *Home) handle(l *link, f wire.Frame) {
	switch m := f.Body.(type) {
	case wire.Heartbeat:
		l.settling = m.Settling
		if m.Settling && f.Revision == h.view.Revision {
			h.handOver(l)
		}
	case wire.Roster:
		h.adopt(m.Roster)
	case wire.Config:
		h.adoptConfig(m.Document)
	case wire.AgentHeartbeat:
		h.agentBeat(l, m)
	case wire.Result:
		h.result(l, m)
	case wire.Records:
		h.take.collect(h.now.Mono, l.id, m)
	case wire.HandOver:
		h.take.receive(h.now, l.id, m)
	case wire.Forward:
		h.forwarded(l, m)
	case wire.Reply:
		h.replied(m)
	}
	h.informIfBehind(l, f.Header)
}

// informIfBehind brings a peer up to date that showed lower revisions. An
// answer to a heartbeat shows the truth, since the roster went before it.
func (h *Home) informIfBehind(l *link, hd wire.Header) {
	behind := hd.Revision < h.view.Revision || hd.Config < h.config.Revision
	if behind && h.now.Mono-l.informedAt >= h.cfg.Heartbeat/2 {
		h.inform(l)
	}
}

// inform hands l the roster and configuration where it showed lower ones.
func (h *Home) inform(l *link) {
	if !l.up {
		return
	}
	l.informedAt = h.now.Mono
	if l.revision < h.view.Revision {
		h.send(l, wire.Roster{Roster: h.view.Roster})
	}
	if l.config < h.config.Revision {
		h.send(l, h.configFor(l))
	}
}

func (h *Home) agentBeat(l *link, m wire.AgentHeartbeat) {
	l.window = m.Window
	l.slots = m.Slots
	l.standing = m.Standing
	l.leaving = m.Leaving
	h.assign(l, m.Service)
	h.pump(m.Service)
}

// assign puts an agent into its service.
func (h *Home) assign(l *link, name string) {
	if l.service == name {
		return
	}
	if old := h.services[l.service]; old != nil {
		old.remove(l)
	}
	l.service = name
	if name != "" {
		s := h.service(name)
		s.agents = append(s.agents, l)
	}
}

// beat sends a heartbeat.
func (h *Home) beat(l *link) {
	b := wire.Heartbeat{}
	if l.role == wire.RoleAgent {
		if s := h.services[l.service]; s != nil {
			b.Waiting = s.queue.Tasks()
		}
		b.Running = len(l.starts)
	} else {
		b.Settling = h.take.lacks(l.id)
	}
	h.send(l, b)
}

// send queues a frame for l and returns its sequence number.
func (h *Home) send(l *link, body wire.Message) uint64 {
	if !l.up {
		return 0
	}
	l.seq++
	l.sentAt = h.now.Mono
	h.out.Sends = append(h.out.Sends, Send{To: l.id, Frame: wire.Frame{
		Header: wire.Header{
			Seq:      l.seq,
			Revision: h.view.Revision,
			Config:   h.config.Revision,
			Stamp:    int64(h.now.Mono),
			Echo:     l.stamp,
		},
		Body: body,
	}})
	return l.seq
}

// peer returns the connected link of a seat, or nil.
func (h *Home) peer(id roster.ID) *link {
	if l := h.links[id]; l != nil && l.up {
		return l
	}
	return nil
}
