package fleet

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/subset"
	"github.com/beaconpoint/beaconpoint/supervisor"
)

// silenceCheckInterval is how often open connections are checked for silence.
const silenceCheckInterval = 200 * time.Millisecond

// link is the network path between an entry and an agent. It has at most one connection.
type link struct {
	w                  *World
	e                  *entryProcess
	a                  *agentProcess
	id                 supervisor.ConnID // of the current connection at the agent
	idAtEntry          supervisor.ConnID // of the current connection at the entry
	openAtEntry        bool              // connection state at the entry
	openAtAgent        bool              // connection state at the agent
	dialing            bool
	cutUntil           time.Duration  // no traffic passes before this time
	lastArrivalAtEntry time.Duration  // of the last frame
	lastArrivalAtAgent time.Duration  // of the last frame
	echoAtEntry        peer.PeerClock // the agent's latest stamp, as received by the entry
	echoAtAgent        time.Duration  // the entry's latest stamp, as received by the agent
	sentAt             time.Duration  // last send by the entry, on its clock
	lastSeq            uint64         // of the frames to the agent
	// silentToAgent and silentToEntry are set if the current connection drops all frames in
	// that direction.
	silentToAgent, silentToEntry bool
}

// linkKey identifies a link by the names of its entry and agent.
type linkKey struct{ entry, agent string }

// commonLevel returns the highest protocol level that both sides support.
func (l *link) commonLevel() peer.ProtocolLevel {
	if l.e.previousVersion() || l.a.previousVersion() {
		return peer.LevelBase
	}
	return peer.LevelNewest
}

// arrivalDelay returns the delay until a frame sent now arrives. Frames arrive in the order in
// which they were sent.
func (l *link) arrivalDelay(lastArrival *time.Duration) time.Duration {
	at := max(l.w.now(), l.cutUntil) + minLatency + l.w.randomUpTo(minLatency)
	*lastArrival = max(at, *lastArrival)
	return *lastArrival - l.w.now()
}

// frameArrivalDelay returns the arrival delay of a frame to the agent, including the
// transmission on the entry's link.
func (l *link) frameArrivalDelay(f *peer.Frame) time.Duration {
	l.lastArrivalAtAgent = max(l.lastArrivalAtAgent, l.e.transmit(f))
	return l.arrivalDelay(&l.lastArrivalAtAgent)
}

// transmit returns when the entry's link has finished sending a frame that is queued now.
func (e *entryProcess) transmit(f *peer.Frame) time.Duration {
	const (
		headerBytes     = 60
		megabitsPerByte = 8 / 1e6
	)
	if e.w.cfg.LinkMbps == 0 {
		return e.w.now()
	}
	buf, err := peer.AppendFrame(nil, f)
	if err != nil {
		panic(err) // frames of the simulation are never too large
	}
	seconds := float64(len(buf)+headerBytes) * megabitsPerByte / e.w.cfg.LinkMbps
	e.linkFreeAt = max(e.w.now(), e.linkFreeAt) + time.Duration(seconds*float64(time.Second))
	return e.linkFreeAt
}

// fetchSpec fetches a job's spec from an agent. It polls the agent until a timeout, since the
// spec may still be in transit to that agent.
func (w *World) fetchSpec(job, agent string, answer func(spec string, known bool)) {
	const timeout = 120 * time.Millisecond
	k := slices.IndexFunc(w.agents, func(a *agentProcess) bool { return a.name == agent })
	from := w.agents[k]
	deadline := w.now() + timeout
	var poll func()
	poll = func() {
		spec, known := "", false
		if !from.dead && w.now() >= from.frozenUntil {
			spec, known = from.supervisor.Spec(job)
		}
		if known || w.now() >= deadline {
			w.after(minLatency, func() { answer(spec, known) })
			return
		}
		w.after(minLatency, poll)
	}
	w.after(2*minLatency, poll) // time to open a connection
}

// dial connects the entry to the agent and retries until it succeeds.
func (l *link) dial() {
	if l.openAtEntry || l.dialing {
		return
	}
	l.dialing = true
	l.w.after(redialDelay, func() {
		l.dialing = false
		if !l.wanted() {
			return
		}
		if l.e.dead || l.a.dead || l.w.now() < l.cutUntil || l.w.now() < l.a.frozenUntil {
			l.e.subset.SetLost(l.a.name, true)
			l.dial()
			return
		}
		l.connect()
	})
}

// connect opens a connection. The connection is open at the entry at once, at the agent after
// arrivalDelay.
func (l *link) connect() {
	w := l.w
	w.lastConn++
	id := supervisor.ConnID(w.lastConn)
	entryIncarnation, agentIncarnation := l.e.incarnation, l.a.incarnation
	l.openAtEntry, l.idAtEntry = true, id
	l.echoAtEntry, l.echoAtAgent, l.lastSeq = peer.PeerClock{}, 0, 0
	l.silentToAgent, l.silentToEntry = false, false
	l.e.execute(entryIncarnation, func() {
		if !l.openAtEntry {
			return
		}
		l.sentAt = l.e.clock()
		l.w.Connections++
		l.e.subset.SetLost(l.a.name, false)
		l.e.owner.Connected(l.sentAt, l.a.name)
	})
	w.after(l.arrivalDelay(&l.lastArrivalAtAgent), func() {
		l.a.execute(agentIncarnation, func() {
			l.id = id
			l.openAtAgent = true
			l.a.supervisor.Connected(l.a.clock(), id,
				peer.Hello{Name: l.e.name, Level: l.commonLevel(), Boot: uint64(entryIncarnation)})
			l.watchAtAgent(id, agentIncarnation)
		})
	})
	l.watchAtEntry(id, entryIncarnation)
}

// watchAtEntry closes the connection at the entry if the agent is silent for too long.
func (l *link) watchAtEntry(id supervisor.ConnID, incarnation int) {
	l.w.after(silenceCheckInterval, func() {
		l.e.execute(incarnation, func() {
			if !l.openAtEntry {
				return
			}
			if !l.w.cfg.KeepSilentConnections && l.e.owner.ShouldClose(l.e.clock(), l.a.name) {
				l.closeAtEntry()
				l.notifyAgentClosed(id)
				return
			}
			l.watchAtEntry(id, incarnation)
		})
	})
}

// watchAtAgent closes the connection at the agent if the entry is silent for too long.
func (l *link) watchAtAgent(id supervisor.ConnID, incarnation int) {
	l.w.after(silenceCheckInterval, func() {
		l.a.execute(incarnation, func() {
			if l.id != id || !l.openAtAgent {
				return
			}
			if !l.w.cfg.KeepSilentConnections && l.a.supervisor.SilentTooLong(l.a.clock(), id) {
				l.closeAtAgent(id)
				return
			}
			l.watchAtAgent(id, incarnation)
		})
	})
}

// wanted reports whether the entry should be connected to the agent.
func (l *link) wanted() bool {
	return l.w.cfg.Agents <= subset.FullMesh || l.e.subset.Wanted(l.a.name)
}

// release closes a connection that the entry no longer needs.
func (l *link) release() {
	l.openAtEntry = false
	l.e.owner.Release(l.a.name)
	l.notifyAgentClosed(l.id)
}

// notifyAgentClosed delivers the close of a connection by the entry to the agent.
func (l *link) notifyAgentClosed(id supervisor.ConnID) {
	if l.silentToAgent {
		return
	}
	l.w.after(l.arrivalDelay(&l.lastArrivalAtAgent),
		func() { l.a.execute(l.a.incarnation, func() { l.closeAtAgent(id) }) })
}

// closeAtEntry closes the connection at the entry and dials again.
func (l *link) closeAtEntry() {
	if !l.openAtEntry {
		return
	}
	l.openAtEntry = false
	l.e.subset.SetLost(l.a.name, true)
	l.e.owner.Disconnected(l.e.clock(), l.sentAt, l.a.name)
	l.dial()
}

// closeAtAgent closes the connection at the agent if its ID is id.
func (l *link) closeAtAgent(id supervisor.ConnID) {
	if l.id != id || !l.openAtAgent {
		return
	}
	l.openAtAgent = false
	l.a.supervisor.Disconnected(l.a.clock(), id)
}

// processEnded closes the connection after one of its processes has ended. The incarnation of
// the other process is passed as zero. The close is delivered to the other side unless the host
// lost power.
func (l *link) processEnded(entryIncarnation, agentIncarnation int, powerLoss bool) {
	id := l.id
	if entryIncarnation > 0 {
		l.openAtEntry = false
		l.dial()
		if !powerLoss {
			l.notifyAgentClosed(id)
		}
		return
	}
	l.openAtAgent = false
	if !powerLoss && !l.silentToEntry {
		l.w.after(l.arrivalDelay(&l.lastArrivalAtEntry), func() { l.e.execute(l.e.incarnation, l.closeAtEntry) })
	}
}

// sendToAgent sends a frame to the agent and returns its sequence number, or zero if there is
// no connection.
func (l *link) sendToAgent(f *peer.Frame) uint64 {
	if !l.openAtEntry {
		return 0
	}
	l.lastSeq++
	l.sentAt = l.e.clock()
	sent := *f
	sent.Seq, sent.Stamp, sent.Echo = l.lastSeq, l.sentAt, l.echoAtEntry.At(l.e.lastTick)
	if l.commonLevel() < peer.LevelWatch {
		sent.Evacuations = nil // unknown to the previous version
	}
	l.w.recordFrame(l.e.name, &sent)
	incarnation := l.a.incarnation
	lastConnAtSend := l.w.lastConn
	if l.silentToAgent {
		return l.lastSeq
	}
	l.w.after(l.frameArrivalDelay(&sent), func() {
		l.a.execute(incarnation, func() {
			if !l.openAtAgent || uint64(l.id) > lastConnAtSend {
				return // no connection, or one that was opened after the send
			}
			l.echoAtAgent = max(l.echoAtAgent, sent.Stamp)
			l.a.supervisor.Receive(l.a.clock(), l.id, &sent)
			l.a.scheduleFlush()
		})
	})
	return l.lastSeq
}

// sendToEntry sends a frame to the entry if the connection is open at the agent.
func (l *link) sendToEntry(f *peer.Frame) {
	if !l.openAtAgent {
		return
	}
	sent := *f
	sent.Stamp, sent.Echo = l.a.clock(), l.echoAtAgent
	if l.commonLevel() < peer.LevelWatch {
		sent.Hello = nil // unknown to the previous version
		sent.Evacuations = nil
	}
	l.w.recordFrame(l.a.name, &sent)
	incarnation, id := l.e.incarnation, l.id
	if l.silentToEntry {
		return
	}
	l.w.after(l.arrivalDelay(&l.lastArrivalAtEntry), func() {
		l.e.execute(incarnation, func() {
			if !l.openAtEntry || l.idAtEntry != id {
				return // no connection, or one that was opened after the send
			}
			l.echoAtEntry.Observe(l.e.clock(), sent.Stamp)
			l.e.owner.Receive(l.e.clock(), l.a.name, &sent)
		})
	})
}
