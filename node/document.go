package node

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/supervisor"
)

// How the configuration's document goes from one process to another. It may be
// large and the links narrow, so that it is only sent to who asks for it: each
// frame names the version that its sender knows.
const (
	// documentTimeout is how long after an ask that brought nothing the next peer is
	// asked.
	documentTimeout = 500 * time.Millisecond
	// watchHeadStart is how long an entry that has a configuration waits for its own
	// watch of the store before it asks an agent for a newer one.
	watchHeadStart = 300 * time.Millisecond
	// documentRate is how many bytes of documents an entry sends a second; who
	// asks beyond that asks another entry, or again.
	documentRate = 1 << 20
)

// documentRequest decides when a newer document is asked for.
type documentRequest struct {
	aheadSince time.Duration // since when a newer version is known of; zero: none is
	askedAt    time.Duration // when the last ask was sent; zero: none is under way
}

// due reports whether the peer that knows a newer version is to be asked now,
// and takes note of it. No version is known to be newer for less than the lead.
func (a *documentRequest) due(now, lead time.Duration) bool {
	if a.aheadSince == 0 {
		a.aheadSince = now
	}
	if now-a.aheadSince < lead || a.askedAt > 0 && now-a.askedAt < documentTimeout {
		return false
	}
	a.askedAt = now
	return true
}

// documentPacer bounds how much is sent a second.
type documentPacer struct {
	freeAt time.Duration
}

// take reports whether so many bytes may be sent now, and takes note of them.
func (p *documentPacer) take(now time.Duration, bytes int) bool {
	if now < p.freeAt {
		return false
	}
	p.freeAt = now + time.Duration(bytes)*time.Second/documentRate
	return true
}

// passDocument asks the agent for its document where it knows a newer one, and
// sends it this entry's where it asks. It is called with the lock held.
func (e *Entry) passDocument(now time.Duration, agent string, f *peer.Frame) {
	lead := watchHeadStart
	if e.document == nil {
		lead = 0
	}
	if f.Config > e.version() && e.documentRequest.due(now, lead) {
		e.send(agent, &peer.Frame{AskDocument: true})
	}
	if f.AskDocument && e.document != nil && e.documentPacer.take(now, len(e.document)) {
		e.send(agent, &peer.Frame{Document: e.document})
	}
}

// passDocument is the same of an agent.
func (a *Agent) passDocument(now time.Duration, id supervisor.ConnID, f *peer.Frame) {
	if f.Config > a.configVersion && a.documentRequest.due(now, 0) {
		a.send(id, &peer.Frame{AskDocument: true})
	}
	if f.AskDocument && a.document != nil {
		a.send(id, &peer.Frame{Document: a.document})
	}
}
