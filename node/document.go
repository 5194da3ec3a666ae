package node

import (
	"time"

	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/supervisor"
)

// Limits for the exchange of configuration documents between processes. A document may be large
// and links slow, so it is sent on request only: each frame carries the version that its sender
// has, and a peer with an older one requests the document.
const (
	// documentRequestTimeout is how long a request may stay unanswered before another peer is
	// asked.
	documentRequestTimeout = 500 * time.Millisecond
	// documentRequestDelay is how long an entry that has a configuration waits for its own
	// watch of the store before it requests a newer one from an agent.
	documentRequestDelay = 300 * time.Millisecond
	// documentBytesPerSecond is the maximum rate at which an entry sends documents. Requests above
	// the limit get no answer; the agent asks another entry or retries.
	documentBytesPerSecond = 1 << 20
	// documentLinkShare is the maximum share of the entry's link that documents use.
	documentLinkShare = 0.25
)

// documentRequest tracks when to request a newer document.
type documentRequest struct {
	// aheadSince is when a newer version was first seen, zero if there is none.
	aheadSince time.Duration
	// askedAt is when the last request was sent, zero if none was sent for the newer version.
	askedAt time.Duration
}

// due reports whether to request the document from a peer that has a newer version, and if so
// records the request. The newer version must have been known for at least delay.
func (r *documentRequest) due(now, delay time.Duration) bool {
	if r.aheadSince == 0 {
		r.aheadSince = now
	}
	if now-r.aheadSince < delay || r.askedAt > 0 && now-r.askedAt < documentRequestTimeout {
		return false
	}
	r.askedAt = now
	return true
}

// documentPacer limits the rate at which documents are sent. Unlike a token bucket it admits a
// document of any size and then rejects others until the time for its size has elapsed.
type documentPacer struct {
	freeAt time.Duration // when the next document may be sent
}

// take reports whether a document of the given size may be sent now, and if so counts it.
// linkMbps is the bandwidth of the link in megabits per second, zero if unknown.
func (p *documentPacer) take(now time.Duration, bytes int, linkMbps float64) bool {
	if now < p.freeAt {
		return false
	}
	const bytesPerMegabit = 1e6 / 8
	rate := float64(documentBytesPerSecond)
	if linkMbps > 0 {
		rate = min(rate, documentLinkShare*linkMbps*bytesPerMegabit)
	}
	p.freeAt = now + time.Duration(float64(bytes)/rate*float64(time.Second))
	return true
}

// exchangeDocument requests the agent's document if the agent has a newer version, and answers
// the agent's request for this entry's document. The caller must hold e.mu.
func (e *Entry) exchangeDocument(now time.Duration, agent string, f *peer.Frame) {
	delay := documentRequestDelay
	if e.document.empty() {
		delay = 0
	}
	if f.Config > e.version() && e.documentRequest.due(now, delay) {
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

// exchangeDocument requests the entry's document if the entry has a newer version, and answers
// the entry's request for this agent's document. The caller must hold a.mu.
func (a *Agent) exchangeDocument(now time.Duration, id supervisor.ConnID, f *peer.Frame) {
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
