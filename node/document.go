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
	// documentRate is how many bytes of documents an entry sends a second; a peer
	// that asks beyond that asks another entry, or again. Not measured.
	documentRate = 1 << 20
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

// take reports whether that many bytes may be sent now, and counts them.
func (p *documentPacer) take(now time.Duration, bytes int) bool {
	if now < p.freeAt {
		return false
	}
	p.freeAt = now + time.Duration(bytes)*time.Second/documentRate
	return true
}

// passDocument asks the agent for its document where it knows a newer one, and sends
// it this entry's where it asks. It is called with the lock held.
func (e *Entry) passDocument(now time.Duration, agent string, f *peer.Frame) {
	headStart := watchHeadStart
	if e.document == nil {
		headStart = 0
	}
	if f.Config > e.version() && e.documentRequest.due(now, headStart) {
		e.log.Info(event.DocumentAsked, "agent", agent, "version", f.Config, "own", e.version())
		e.send(agent, &peer.Frame{AskDocument: true})
	}
	if !f.AskDocument || e.document == nil {
		return
	}
	if !e.documentPacer.take(now, len(e.document)) {
		e.log.Info(event.DocumentDeferred, "agent", agent, "bytes", len(e.document))
		return
	}
	e.send(agent, &peer.Frame{Document: e.document})
}

// passDocument asks the entry for its document where it knows a newer one, and sends
// it this agent's where it asks. It is called with the lock held.
func (a *Agent) passDocument(now time.Duration, id supervisor.ConnID, f *peer.Frame) {
	if f.Config > a.configVersion && a.documentRequest.due(now, 0) {
		a.log.Info(event.DocumentAsked, "entry", a.conns[id].name, "version", f.Config, "own", a.configVersion)
		a.send(id, &peer.Frame{AskDocument: true})
	}
	if f.AskDocument && a.document != nil {
		a.send(id, &peer.Frame{Document: a.document})
	}
}
