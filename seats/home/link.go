package home

import (
	"time"

	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// link is the state kept for another process, connected or not.
type link struct {
	id            roster.ID
	role          wire.Role
	up            bool
	changedAt     time.Duration // when it connected or disconnected
	seq           uint64        // of the last frame sent
	stamp         int64         // the latest timestamp received from it
	stampAt       time.Duration // when stamp was received
	receivedAt    time.Duration
	sentAt        time.Duration
	heartbeatAt   time.Duration
	updatesSentAt time.Duration // when newer revisions were last sent to it
	settling      bool          // of a seat: it still needs this entry's hand-over
	revision      uint64        // the highest roster revision received from it
	config        uint64        // the highest configuration revision received from it

	// Of an agent:
	service      string
	window       int
	slots        int
	confirmed    bool
	leaving      bool
	hostLeaving  bool // according to the host list
	registered   bool
	backoffUntil time.Duration // no starts before this time
	starts       map[wire.TaskKey]*start
	taskTime     taskTime
}

// start is a Start or Await that an agent has not answered yet.
type start struct {
	seq          uint64
	sentAt       time.Duration
	lastSentAt   time.Duration // when it was last sent or resent
	organisation string
	await        bool
}

// LinkUp handles a new connection to the process id.
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
	l.receivedAt = now.Mono
	l.registered = h.view.HasAgent(id)
	if role == wire.RoleAgent {
		h.replaceAgent(id)
	}
	h.sendUpdates(l)
	h.sendHeartbeat(l)
	h.resendUnanswered(l)
	return h.takeEffects()
}

// LinkDown handles the loss of the connection to id.
func (h *Home) LinkDown(now clock.Moment, id roster.ID) Effects {
	h.now = now
	if l := h.links[id]; l != nil {
		l.up = false
		l.changedAt = now.Mono
		l.confirmed = false
	}
	return h.takeEffects()
}

// Receive handles one frame sent by the process from.
func (h *Home) Receive(now clock.Moment, from roster.ID, f wire.Frame) Effects {
	h.now = now
	l := h.links[from]
	if l == nil {
		return h.takeEffects()
	}
	l.receivedAt = now.Mono
	if f.Stamp > l.stamp {
		l.stamp, l.stampAt = f.Stamp, now.Mono
	}
	l.revision = max(l.revision, f.Revision)
	l.config = max(l.config, f.Config)
	h.confirm(l, f.Header)
	h.handle(l, f)
	h.settle()
	return h.takeEffects()
}

// confirm renews the confirmation by l from the echoed timestamp. A frame with
// a higher roster revision confirms nothing until that roster is adopted.
func (h *Home) confirm(l *link, header wire.Header) {
	if header.Revision > h.view.Revision {
		h.seenRevision = max(h.seenRevision, header.Revision)
		if !h.rules.SkipRevision {
			return
		}
	}
	if l.role == wire.RoleEntry {
		h.confirmations.Confirm(l.id, time.Duration(header.Echo))
		return
	}
	if header.Echo > 0 && l.registered {
		h.agentLeaseUntil = max(h.agentLeaseUntil, time.Duration(header.Echo)+h.cfg.Lease)
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
		h.handleAgentHeartbeat(l, m)
	case wire.Result:
		h.handleResult(l, m)
	case wire.Records:
		h.takeover.receiveRecords(h.now.Mono, l.id, m)
	case wire.HandOver:
		h.takeover.receiveHandOver(h.now, l.id, m)
	case wire.Forward:
		h.handleForward(l, m)
	case wire.Reply:
		h.handleReply(m)
	}
	h.sendUpdatesIfBehind(l, f.Header)
}

// sendUpdatesIfBehind sends newer revisions to a peer whose frame has lower
// ones, at most once per half heartbeat interval.
func (h *Home) sendUpdatesIfBehind(l *link, header wire.Header) {
	behind := header.Revision < h.view.Revision || header.Config < h.config.Revision
	if behind && h.now.Mono-l.updatesSentAt >= h.cfg.Heartbeat/2 {
		h.sendUpdates(l)
	}
}

// sendUpdates sends l the roster and the configuration if its revisions are
// lower.
func (h *Home) sendUpdates(l *link) {
	if !l.up {
		return
	}
	l.updatesSentAt = h.now.Mono
	if l.revision < h.view.Revision {
		h.send(l, wire.Roster{Roster: h.view.Roster})
	}
	if l.config < h.config.Revision {
		h.send(l, h.configFor(l))
	}
}

func (h *Home) handleAgentHeartbeat(l *link, m wire.AgentHeartbeat) {
	l.window = m.Window
	l.slots = m.Slots
	l.confirmed = m.Standing
	l.leaving = m.Leaving
	h.assign(l, m.Service)
	h.startWaiting(m.Service)
}

// assign moves an agent to the service called name; empty means to none.
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

func (h *Home) sendHeartbeat(l *link) {
	b := wire.Heartbeat{}
	if l.role == wire.RoleAgent {
		if s := h.services[l.service]; s != nil {
			b.Waiting = s.queue.Tasks()
		}
		b.Running = len(l.starts)
	} else {
		b.Settling = h.takeover.awaitsHandOver(l.id)
	}
	h.send(l, b)
}

// send adds a frame for l to the effects and returns its sequence number, or
// zero if l is not connected.
func (h *Home) send(l *link, body wire.Message) uint64 {
	if !l.up {
		return 0
	}
	l.seq++
	l.sentAt = h.now.Mono
	h.effects.Sends = append(h.effects.Sends, Send{To: l.id, Frame: wire.Frame{
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

// peer returns the link of a connected process, or nil.
func (h *Home) peer(id roster.ID) *link {
	if l := h.links[id]; l != nil && l.up {
		return l
	}
	return nil
}
