// Package guard is the state machine of an agent. It decides which starts to
// perform, keeps a record of each, and sends its records to seats on request. It
// starts no goroutine and reads no clock: the caller serializes the calls and
// carries out the returned effects.
package guard

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/lease"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// Config holds the identity of an agent and its limits.
type Config struct {
	// Self identifies this incarnation of the agent.
	Self roster.ID
	// Lease is how long a seat's confirmation is valid.
	Lease time.Duration
	// Skew is the largest difference between the wall clocks of two hosts.
	// Records are kept for Skew after a job's expiry.
	Skew time.Duration
	// Queue is the number of accepted tasks that may wait for a slot.
	Queue int
	// OutputBytes limits the stored outputs; the oldest are dropped first.
	OutputBytes int
}

// Effects lists what the caller must do after an event, in order.
type Effects struct {
	Sends []Send
	Runs  []Run
}

// Send is a frame to send to a seat.
type Send struct {
	To    roster.ID
	Frame wire.Frame
}

// Run is a task to run at the target.
type Run struct {
	Start wire.Start
}

// Rules disables single safety rules. Tests use it to show that each rule
// prevents a failure; in production all rules apply.
type Rules struct {
	SkipStanding bool
	SkipSeat     bool
	SkipOrder    bool
	SkipRecords  bool
	SkipRevision bool
}

// Guard accepts and records the starts of tasks at one target.
type Guard struct {
	cfg           Config
	rules         Rules
	view          *roster.View
	seenRevision  uint64 // the highest roster revision received in any frame
	confirmations *lease.Standing
	links         map[roster.ID]*link
	records       map[wire.TaskKey]*record
	withOutput    []wire.TaskKey // ended records, oldest first
	outputBytes   int
	queue         []wire.TaskKey
	running       int
	target        wire.Target
	config        uint64
	leaving       bool
	effects       Effects
}

// link is the state kept for one seat.
type link struct {
	seq     uint64 // of the last frame sent to it
	lastSeq uint64 // sequence number of the last frame accepted from it
	stamp   int64  // the latest timestamp received from it
	demand  int    // its tasks, waiting and running, for the service
}

// record is one accepted start.
type record struct {
	wire.Record
	start   wire.Start
	ended   bool
	result  wire.Result
	waiters map[roster.ID]uint64 // sequence number of the request to answer, by seat
}

// Option configures a new Guard.
type Option func(*Guard)

// WithRules disables safety rules, for tests.
func WithRules(r Rules) Option {
	return func(g *Guard) { g.rules = r }
}

// NewGuard returns a Guard without records and confirmations.
func NewGuard(cfg Config, opts ...Option) *Guard {
	g := &Guard{
		cfg:           cfg,
		view:          roster.NewView(roster.Roster{}),
		confirmations: lease.NewStanding(cfg.Lease),
		links:         make(map[roster.ID]*link),
		records:       make(map[wire.TaskKey]*record),
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Receive handles one frame sent by the entry from.
func (g *Guard) Receive(now clock.Moment, from roster.ID, f wire.Frame) Effects {
	l := g.link(from)
	if f.Seq <= l.lastSeq && !g.rules.SkipOrder {
		return g.takeEffects()
	}
	l.lastSeq = max(l.lastSeq, f.Seq)
	l.stamp = max(l.stamp, f.Stamp)
	g.confirm(from, f.Header)
	g.handle(now, from, f)
	return g.takeEffects()
}

// Ended handles the end of a Run. Its status is Done, Failed, or NotRun if the
// task certainly did not reach the target.
func (g *Guard) Ended(now clock.Moment, key wire.TaskKey, status wire.Status, c code.Code, output []byte) Effects {
	r := g.records[key]
	if r == nil || r.ended {
		return g.takeEffects()
	}
	g.running--
	r.ended = true
	r.result = wire.Result{Key: key, Status: status, Code: c, Output: output}
	g.answerAll(now, r, r.result)
	if status == wire.NotRun {
		delete(g.records, key)
	} else {
		g.storeOutput(key, len(output))
	}
	g.startQueued(now)
	return g.takeEffects()
}

// Tick removes the expired records.
func (g *Guard) Tick(now clock.Moment) Effects {
	horizon := now.Wall.Add(-g.cfg.Skew).UnixMilli()
	for key, r := range g.records {
		if r.ended && r.Expiry < horizon {
			g.dropOutput(r)
			delete(g.records, key)
		}
	}
	return g.takeEffects()
}

// Leave refuses all further starts and notifies every seat.
func (g *Guard) Leave(now clock.Moment) Effects {
	g.leaving = true
	for _, seat := range sortedIDs(g.links) {
		g.sendHeartbeat(now, seat)
	}
	return g.takeEffects()
}

// Idle reports whether no accepted task is waiting or running.
func (g *Guard) Idle() bool {
	return g.running == 0 && len(g.queue) == 0
}

// Standing reports whether every seat confirms this agent and no newer roster
// is known.
func (g *Guard) Standing(now clock.Moment) bool {
	return g.seenRevision <= g.view.Revision && g.confirmations.Holds(now.Mono, g.view.Seats, g.cfg.Self)
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

// confirm renews the confirmation by a seat from the echoed timestamp. A frame
// with a higher roster revision confirms nothing until that roster is adopted.
func (g *Guard) confirm(from roster.ID, h wire.Header) {
	if h.Revision > g.view.Revision {
		g.seenRevision = max(g.seenRevision, h.Revision)
		if !g.rules.SkipRevision {
			return
		}
	}
	g.confirmations.Confirm(from, time.Duration(h.Echo))
}

// takeEffects returns and clears the collected effects.
func (g *Guard) takeEffects() Effects {
	out := g.effects
	g.effects = Effects{}
	return out
}

func (g *Guard) send(now clock.Moment, to roster.ID, body wire.Message) {
	l := g.link(to)
	l.seq++
	g.effects.Sends = append(g.effects.Sends, Send{To: to, Frame: wire.Frame{
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
