package fleet

import (
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/reach"
	"github.com/beaconpoint/beaconpoint/supervisor"
)

// watchInterval is how often a silent connection is looked at.
const watchInterval = 200 * time.Millisecond

// link is the path between an entry and an agent, with at most one connection.
type link struct {
	w       *World
	e       *entryProcess
	a       *agentProcess
	id      supervisor.ConnID // of the present connection
	openE   bool              // as the entry sees it
	openA   bool              // as the agent sees it
	dialing bool
	cut     time.Duration // until when nothing passes
	toE     time.Duration // when the last frame to the entry arrives
	toA     time.Duration
	echoE   peer.Echo // the agent's latest stamp, at the entry
	echoA   time.Duration
	sentAt  time.Duration
	seq     uint64
	// silentToA and silentToE say that nothing passes any more in that direction of the
	// present connection.
	silentToA, silentToE bool
}

// pair names an entry and an agent.
type pair struct{ entry, agent string }

// level returns what both sides understand.
func (l *link) level() peer.Level {
	if l.e.old() || l.a.old() {
		return peer.LevelBase
	}
	return peer.LevelNewest
}

// arrival returns when something sent now arrives, after what was sent before.
func (l *link) arrival(last *time.Duration) time.Duration {
	at := max(l.w.now(), l.cut) + latency + l.w.upTo(latency)
	*last = max(at, *last)
	return *last - l.w.now()
}

// arrivalOf returns when a frame to the agent arrives: it waits for the entry's link.
func (l *link) arrivalOf(f *peer.Frame) time.Duration {
	l.toA = max(l.toA, l.e.transmit(f))
	return l.arrival(&l.toA)
}

// transmit returns when a frame that is sent now has left the entry's link.
func (e *entryProcess) transmit(f *peer.Frame) time.Duration {
	const (
		packet      = 60 // bytes of headers
		byteSeconds = 8 / 1e6
	)
	if e.w.cfg.LinkMbps == 0 {
		return e.w.now()
	}
	buf, err := peer.AppendFrame(nil, f)
	if err != nil {
		panic(err) // a frame of the emulator is never too large
	}
	takes := float64(len(buf)+packet) * byteSeconds / e.w.cfg.LinkMbps
	e.linkFree = max(e.w.now(), e.linkFree) + time.Duration(takes*float64(time.Second))
	return e.linkFree
}

// fetchSpec asks an agent for a job's spec, which may be on its way there.
func (w *World) fetchSpec(job, agent string, answer func(spec string, known bool)) {
	const waits = 120 * time.Millisecond
	k := slices.IndexFunc(w.agents, func(a *agentProcess) bool { return a.name == agent })
	from := w.agents[k]
	until := w.now() + waits
	var look func()
	look = func() {
		spec, known := "", false
		if !from.dead && w.now() >= from.frozen {
			spec, known = from.supervisor.Spec(job)
		}
		if known || w.now() >= until {
			w.after(latency, func() { answer(spec, known) })
			return
		}
		w.after(latency, look)
	}
	w.after(2*latency, look) // a connection is made first
}

// dial has the entry connect, and keeps trying.
func (l *link) dial() {
	if l.openE || l.dialing {
		return
	}
	l.dialing = true
	l.w.after(redial, func() {
		l.dialing = false
		if !l.wanted() {
			return
		}
		if l.e.dead || l.a.dead || l.w.now() < l.cut || l.w.now() < l.a.frozen {
			l.e.reach.SetLost(l.a.name, true)
			l.dial()
			return
		}
		l.connect()
	})
}

// connect opens a connection: the entry sees it at once, the agent when the first frame
// arrives.
func (l *link) connect() {
	w := l.w
	w.conns++
	id := supervisor.ConnID(w.conns)
	incarnationE, incarnationA := l.e.incarnation, l.a.incarnation
	l.openE = true
	l.echoE, l.echoA, l.seq = peer.Echo{}, 0, 0
	l.silentToA, l.silentToE = false, false
	l.e.do(incarnationE, func() {
		if !l.openE {
			return
		}
		l.sentAt = l.e.clock()
		l.w.Connections++
		l.e.reach.SetLost(l.a.name, false)
		l.e.owner.Connected(l.sentAt, l.a.name)
	})
	w.after(l.arrival(&l.toA), func() {
		l.a.do(incarnationA, func() {
			l.id = id
			l.openA = true
			l.a.supervisor.Connected(l.a.clock(), id, peer.Hello{Name: l.e.name, Level: l.level(), Boot: uint64(incarnationE)})
			l.watchA(id, incarnationA)
		})
	})
	l.watchE(id, incarnationE)
}

// watchE closes the connection at the entry when the agent is silent.
func (l *link) watchE(id supervisor.ConnID, incarnation int) {
	l.w.after(watchInterval, func() {
		l.e.do(incarnation, func() {
			if !l.openE {
				return
			}
			if !l.w.cfg.Lasting && l.e.owner.SilentTooLong(l.e.clock(), l.a.name) {
				l.closeE()
				l.tellA(id)
				return
			}
			l.watchE(id, incarnation)
		})
	})
}

// watchA closes the connection at the agent when the entry is silent.
func (l *link) watchA(id supervisor.ConnID, incarnation int) {
	l.w.after(watchInterval, func() {
		l.a.do(incarnation, func() {
			if l.id != id || !l.openA {
				return
			}
			if !l.w.cfg.Lasting && l.a.supervisor.SilentTooLong(l.a.clock(), id) {
				l.closeA(id)
				return
			}
			l.watchA(id, incarnation)
		})
	})
}

// wanted reports whether the entry should be connected to the agent.
func (l *link) wanted() bool {
	return l.w.cfg.Agents <= reach.FullMesh || l.e.reach.Wanted(l.a.name)
}

// release ends a connection that serves nothing.
func (l *link) release() {
	l.openE = false
	l.e.owner.Release(l.a.name)
	l.tellA(l.id)
}

// tellA has the agent hear that the entry has closed a connection.
func (l *link) tellA(id supervisor.ConnID) {
	if l.silentToA {
		return
	}
	l.w.after(l.arrival(&l.toA), func() { l.a.do(l.a.incarnation, func() { l.closeA(id) }) })
}

// closeE closes the connection at the entry, which dials again.
func (l *link) closeE() {
	if !l.openE {
		return
	}
	l.openE = false
	l.e.reach.SetLost(l.a.name, true)
	l.e.owner.Disconnected(l.e.clock(), l.sentAt, l.a.name)
	l.dial()
}

// closeA closes the connection at the agent, if it is that one.
func (l *link) closeA(id supervisor.ConnID) {
	if l.id != id || !l.openA {
		return
	}
	l.openA = false
	l.a.supervisor.Disconnected(l.a.clock(), id)
}

// broken ends the connection because the process of an incarnation has ended; the other
// one is zero. The other side hears of it unless it happened in the dark.
func (l *link) broken(incarnationE, incarnationA int, dark bool) {
	id := l.id
	if incarnationE > 0 {
		l.openE = false
		l.dial()
		if !dark {
			l.tellA(id)
		}
		return
	}
	l.openA = false
	if !dark && !l.silentToE {
		l.w.after(l.arrival(&l.toE), func() { l.e.do(l.e.incarnation, l.closeE) })
	}
}

// fromEntry sends a frame to the agent.
func (l *link) fromEntry(f *peer.Frame) uint64 {
	if !l.openE {
		return 0
	}
	l.seq++
	l.sentAt = l.e.clock()
	sent := *f
	sent.Seq, sent.Stamp, sent.Echo = l.seq, l.sentAt, l.echoE.At(l.e.tickedAt)
	if l.level() < peer.LevelWatch {
		sent.Evacuations = nil // the version before skips it
	}
	l.w.sent(l.e.name, &sent)
	incarnation := l.a.incarnation
	conn := l.w.conns
	if l.silentToA {
		return l.seq
	}
	l.w.after(l.arrivalOf(&sent), func() {
		l.a.do(incarnation, func() {
			if !l.openA || uint64(l.id) > conn {
				return
			}
			l.echoA = max(l.echoA, sent.Stamp)
			l.a.supervisor.Receive(l.a.clock(), l.id, &sent)
			l.a.scheduleFlush()
		})
	})
	return l.seq
}

// fromAgent sends a frame to the entry.
func (l *link) fromAgent(f *peer.Frame) {
	if !l.openA {
		return
	}
	sent := *f
	sent.Stamp, sent.Echo = l.a.clock(), l.echoA
	if l.level() < peer.LevelWatch {
		sent.Hello = nil // the version before neither says its level nor looks at it
		sent.Evacuations = nil
	}
	l.w.sent(l.a.name, &sent)
	incarnation, id := l.e.incarnation, l.id
	if l.silentToE {
		return
	}
	l.w.after(l.arrival(&l.toE), func() {
		l.e.do(incarnation, func() {
			if !l.openE || l.id != id {
				return
			}
			l.echoE.Observe(l.e.clock(), sent.Stamp)
			l.e.owner.Receive(l.e.clock(), l.a.name, &sent)
		})
	})
}
