// Package guard is the state machine of an agent: it decides which starts are
// performed, remembers them, and hands its records to the seats that ask. It
// has no goroutine and no clock; the caller serializes the calls.
package guard

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/lease"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// Config is what a guard needs to know of its place.
type Config struct {
	// Self is this life of the agent.
	Self roster.ID
	// Lease is how long a seat's confirmation holds.
	Lease time.Duration
	// Skew is how far the calendars of two hosts may differ; records are
	// kept for so long after a job's expiry.
	Skew time.Duration
	// Queue is how many accepted tasks may wait for a slot.
	Queue int
	// OutputBytes bounds the held outputs; the oldest are dropped first.
	OutputBytes int
}

// Effects is what the caller must do after an event, in order.
type Effects struct {
	Sends []Send
	Runs  []Run
}

// Send is a frame for a seat.
type Send struct {
	To    roster.ID
	Frame wire.Frame
}

// Run is a task to be performed at the target.
type Run struct {
	Start wire.Start
}

// Rules are the guard's safety rules. A test takes one out to show that the
// failure it prevents is then found; in service all hold.
type Rules struct {
	SkipStanding bool
	SkipSeat     bool
	SkipOrder    bool
	SkipRecords  bool
	SkipRevision bool
}

// Guard decides about starts at one target.
type Guard struct {
	cfg      Config
	rules    Rules
	view     *roster.View
	heard    uint64 // highest roster revision seen on any frame
	standing *lease.Standing
	links    map[roster.ID]*link
	records  map[wire.TaskKey]*record
	held     []wire.TaskKey // records with outputs, oldest first
	heldSize int
	queue    []wire.TaskKey
	running  int
	target   wire.Target
	config   uint64
	leaving  bool
	out      Effects
}

// link is what the guard knows of one seat.
type link struct {
	seq    uint64 // of the last frame sent to it
	seen   uint64 // of the last frame taken from it
	stamp  int64  // the latest stamp it gave
	demand int
}

// record is one accepted start.
type record struct {
	wire.Record
	start   wire.Start
	ended   bool
	result  wire.Result
	waiters map[roster.ID]uint64 // seat to the seq it waits on
}

// Option changes a Guard as it is made.
type Option func(*Guard)

// WithRules makes a guard without some of its rules, for tests.
func WithRules(r Rules) Option {
	return func(g *Guard) { g.rules = r }
}

// NewGuard returns a guard that has started nothing and confirms nobody.
func NewGuard(cfg Config, opts ...Option) *Guard {
	g := &Guard{
		cfg:      cfg,
		view:     roster.NewView(roster.Roster{}),
		standing: lease.NewStanding(cfg.Lease),
		links:    make(map[roster.ID]*link),
		records:  make(map[wire.TaskKey]*record),
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Receive handles one frame from the entry from.
func (g *Guard) Receive(now clock.Moment, from roster.ID, f wire.Frame) Effects {
	l := g.link(from)
	if f.Seq <= l.seen && !g.rules.SkipOrder {
		return g.drain()
	}
	l.seen = max(l.seen, f.Seq)
	l.stamp = max(l.stamp, f.Stamp)
	g.confirm(from, f.Header)
	g.handle(now, from, f)
	return g.drain()
}

// Ended notes how a Run ended: Done, Failed, or NotRun where the target was
// certainly not reached.
func (g *Guard) Ended(now clock.Moment, key wire.TaskKey, status wire.Status, c code.Code, output []byte) Effects {
	r := g.records[key]
	if r == nil || r.ended {
		return g.drain()
	}
	g.running--
	r.ended = true
	r.result = wire.Result{Key: key, Status: status, Code: c, Output: output}
	g.answerAll(now, r, r.result)
	if status == wire.NotRun {
		delete(g.records, key)
	} else {
		g.hold(key, len(output))
	}
	g.fill(now)
	return g.drain()
}

// Tick forgets what has expired.
func (g *Guard) Tick(now clock.Moment) Effects {
	horizon := now.Wall.Add(-g.cfg.Skew).UnixMilli()
	for key, r := range g.records {
		if r.ended && r.Expiry < horizon {
			g.release(r)
			delete(g.records, key)
		}
	}
	return g.drain()
}

// Leave makes the guard refuse new starts and tell every seat.
func (g *Guard) Leave(now clock.Moment) Effects {
	g.leaving = true
	for _, seat := range sortedIDs(g.links) {
		g.beat(now, seat)
	}
	return g.drain()
}

// Idle reports whether no accepted task is waiting or running.
func (g *Guard) Idle() bool {
	return g.running == 0 && len(g.queue) == 0
}

// Standing reports whether the guard would accept a start now.
func (g *Guard) Standing(now clock.Moment) bool {
	return g.heard <= g.view.Revision && g.standing.Holds(now.Mono, g.view.Seats, g.cfg.Self)
}

// Revisions returns the revisions of the roster and the configuration in
// force.
func (g *Guard) Revisions() (rosterRevision, config uint64) {
	return g.view.Revision, g.config
}

func (g *Guard) link(id roster.ID) *link {
	l := g.links[id]
	if l == nil {
		l = &link{}
		g.links[id] = l
	}
	return l
}

// confirm takes the echo of a frame. One from a higher revision confirms
// nothing until that roster is held.
func (g *Guard) confirm(from roster.ID, h wire.Header) {
	if h.Revision > g.view.Revision {
		g.heard = max(g.heard, h.Revision)
		if !g.rules.SkipRevision {
			return
		}
	}
	g.standing.Confirm(from, time.Duration(h.Echo))
}

func (g *Guard) drain() Effects {
	out := g.out
	g.out = Effects{}
	return out
}

func (g *Guard) send(now clock.Moment, to roster.ID, body wire.Message) {
	l := g.link(to)
	l.seq++
	g.out.Sends = append(g.out.Sends, Send{To: to, Frame: wire.Frame{
		Header: wire.Header{
			Seq:      l.seq,
			Revision: g.view.Revision,
			Config:   g.config,
			Stamp:    int64(now.Mono),
			Echo:     l.stamp,
		},
		Body: body,
	}})
}
