package node

import (
	"time"

	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/supervisor"
)

// How the configuration's document goes from one process to another. It may be large
// and the links narrow, so that only a peer that asks gets it: each frame names the
// version that its sender knows. Pushed to everybody, a document of some 100 KB broke
// all connections of a large site (docs/incidents/fresh-58f3.md).
const (
	// documentTimeout is how long after a request that brought nothing the next
	// peer is asked. Not measured.
	documentTimeout = 500 * time.Millisecond
	// watchHeadStart is how long an entry that has a configuration waits for its
	// own watch of the store before it asks an agent for a newer one. Not
	// measured.
	watchHeadStart = 300 * time.Millisecond
	// documentRate is how many bytes of documents an entry sends a second, and
	// documentLinkShare the share of its link that they take at the most; a peer that
	// asks beyond that asks another entry, or again. Not measured.
	documentRate      = 1 << 20
	documentLinkShare = 0.25
)

// documentRequest decides when a newer document is asked for.
type documentRequest struct {
	// aheadSince is since when a newer version is known of, zero while none is.
	aheadSince time.Duration
	// askedAt is when the last request was sent, zero while none is under way.
	askedAt time.Duration
}

// due reports whether the peer that knows a newer version should be asked now, and
// records it. headStart is how long the newer version must be known of.
func (r *documentRequest) due(now, headStart time.Duration) bool {
	if r.aheadSince == 0 {
		r.aheadSince = now
	}
	if now-r.aheadSince < headStart || r.askedAt > 0 && now-r.askedAt < documentTimeout {
		return false
	}
	r.askedAt = now
	return true
}

// documentPacer bounds how many bytes are sent a second. Unlike a token bucket it
// lets a document of any size pass, and then none until its time is paid for.
type documentPacer struct {
	freeAt time.Duration
}

// take reports whether that many bytes may be sent now over a link of a rate in megabits a
// second, zero where it is not known, and counts them.
func (p *documentPacer) take(now time.Duration, bytes int, link float64) bool {
	if now < p.freeAt {
		return false
	}
	const bytesPerMegabit = 1e6 / 8
	rate := float64(documentRate)
	if link > 0 {
		rate = min(rate, documentLinkShare*link*bytesPerMegabit)
	}
	p.freeAt = now + time.Duration(float64(bytes)/rate*float64(time.Second))
	return true
}

// passDocument asks the agent for its document where it knows a newer one, and sends
// it this entry's where it asks. It is called with the lock held.
func (e *Entry) passDocument(now time.Duration, agent string, f *peer.Frame) {
	headStart := watchHeadStart
	if e.document.empty() {
		headStart = 0
	}
	if f.Config > e.version() && e.documentRequest.due(now, headStart) {
		e.log.Info(event.DocumentAsked, "agent", agent, "version", f.Config, "own", e.version())
		e.send(agent, &peer.Frame{AskDocument: true})
	}
	if !f.AskDocument || e.document.empty() {
		return
	}
	out, err := e.document.frame(e.owner.Level(agent))
	if err != nil {
		e.log.Error(event.DocumentUnreadable, "agent", agent, "error", err.Error())
		return
	}
	bytes := len(out.Document) + len(out.DocumentZip)
	if !e.documentPacer.take(now, bytes, e.settings.LinkMbps) {
		e.log.Info(event.DocumentDeferred, "agent", agent, "bytes", bytes)
		return
	}
	e.send(agent, out)
}

// passDocument asks the entry for its document where it knows a newer one, and sends
// it this agent's where it asks. It is called with the lock held.
func (a *Agent) passDocument(now time.Duration, id supervisor.ConnID, f *peer.Frame) {
	if f.Config > a.configVersion && a.documentRequest.due(now, 0) {
		a.log.Info(event.DocumentAsked, "entry", a.conns[id].name, "version", f.Config, "own", a.configVersion)
		a.send(id, &peer.Frame{AskDocument: true})
	}
	if !f.AskDocument || a.document.empty() {
		return
	}
	out, err := a.document.frame(a.conns[id].level)
	if err != nil {
		a.log.Error(event.DocumentUnreadable, "entry", a.conns[id].name, "error", err.Error())
		return
	}
	a.send(id, out)
}
