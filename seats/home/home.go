// Package home is the state machine of an entry: it owns the jobs whose home it
// is, decides where their tasks run, and takes part in the roster that keeps a
// start single. It has no goroutine and no clock; the caller serializes the
// calls and carries out the effects.
package home

import (
	"time"

	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/dispatch"
	"github.com/beaconpoint/beaconpoint/seats/job"
	"github.com/beaconpoint/beaconpoint/seats/lease"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// Config is what a home needs to know of its place, and its time bounds.
type Config struct {
	// Self is this life of the entry.
	Self roster.ID
	// Addr is where other entries reach it.
	Addr string
	// Lease is how long a confirmation holds.
	Lease time.Duration
	// Heartbeat is the longest silence towards another seat, and
	// AgentHeartbeat towards an agent.
	Heartbeat      time.Duration
	AgentHeartbeat time.Duration
	// Suspect is after how long a silent seat is removed.
	Suspect time.Duration
	// AgentLost is after how long without a connection an agent's unanswered
	// starts count as lost.
	AgentLost time.Duration
	// AgentGone is after how long without a connection an agent is taken out
	// of the roster.
	AgentGone time.Duration
	// Skew is how far the calendars of two hosts may differ.
	Skew time.Duration
	// AnswerBytes bounds the held answers; the oldest are dropped first.
	AnswerBytes int
	// RetryBudget is the share of starts that may be sent again, for
	// repeatable requests.
	RetryBudget float64
}

// DefaultConfig returns the time bounds in service.
func DefaultConfig(self roster.ID, addr string) Config {
	return Config{
		Self:      self,
		Addr:      addr,
		Lease:     3 * time.Second,
		Heartbeat: 400 * time.Millisecond,

		AgentHeartbeat: time.Second,

		Suspect:     1500 * time.Millisecond,
		AgentLost:   5 * time.Second,
		AgentGone:   time.Minute,
		Skew:        2 * time.Second,
		AnswerBytes: 16 << 20,
		RetryBudget: 0.1,
	}
}

// Effects is what the caller must do after an event.
type Effects struct {
	Sends   []Send
	Answers []Answered
	// Swap asks for a change of the roster in the store.
	Swap *Swap
	// Read asks for the roster to be read from the store.
	Read bool
	// Removed says that this life has lost its seat; a new one must begin.
	Removed bool
	// Configured says that a new configuration is in force here.
	Configured bool
}

// Send is a frame for another process.
type Send struct {
	To    roster.ID
	Frame wire.Frame
}

// Answered is the final answer to a submission made here.
type Answered struct {
	Ticket uint64
	Answer seats.Answer
}

// Swap is a compare-and-swap of the roster: Next replaces revision Base.
type Swap struct {
	Base uint64
	Next roster.Roster
	// Change is the id by which Next is known again.
	Change string
}

// Rules are the home's safety rules. A test takes one out to show that the
// failure it prevents is then found; in service all hold.
type Rules struct {
	SkipStanding bool
	SkipHandOver bool
	SkipCollect  bool
	SkipLapse    bool
	SkipDoubt    bool
	SkipLostFail bool
	SkipSeq      bool
	SkipRevision bool
	SkipLastWord bool
}

// Home owns jobs.
type Home struct {
	cfg           Config
	rules         Rules
	policy        dispatch.Policy
	now           clock.Moment
	view          *roster.View
	heard         uint64
	standing      *lease.Standing
	links         map[roster.ID]*link
	ordered       []*link // the links in the order of their first connection
	config        *config.View
	services      map[string]*service
	records       map[string]*record
	held          []*record // with answers, oldest first
	heldSize      int
	take          takeover
	proposal      *proposal
	changes       uint64
	needRead      bool
	forwards      map[uint64]*forward
	tickets       uint64
	pending       []pending
	organisations map[string]*organisation
	homes         int // entries that are home to any share
	// longer is the longest expiry that was in force until lately, and counts
	// until the jobs that have it have expired.
	longer      time.Duration
	longerUntil time.Duration
	haveRead    bool
	// configured says that the store's configuration was read once.
	configured bool
	leaving    bool
	lost       bool
	// agentsUntil is until when some registered agent has confirmed this
	// home; it counts where no other seat can.
	agentsUntil time.Duration
	adoptedAt   map[roster.ID]time.Duration // since when a seat is expected
	expiries    map[int64][]*record
	wantSince   time.Duration
	readAt      time.Duration // when the roster was first read
	readAfter   time.Duration
	gatherAt    time.Duration
	tidyAt      time.Duration
	stats       Stats
	out         Effects
}

// service is the home's part of one service.
type service struct {
	queue  *dispatch.Queue
	agents []*link
	drain  drainRate
	// running counts each organisation's tasks that agents hold.
	running map[string]int
}

// forward is a submission that another seat answers.
type forward struct {
	sub    job.Submission
	lookup bool
	to     roster.ID
	local  uint64 // the ticket that waits here
	origin waiter // or who waits elsewhere
	until  time.Duration
	// pointed says that the receiver holds the record without being home.
	pointed bool
}

// waiter returns who waits for the answer.
func (f *forward) waiter(self roster.ID) waiter {
	if f.origin.seat.IsZero() {
		return waiter{self, f.local}
	}
	return f.origin
}

// pending is a submission that waits until this home can speak for it.
type pending struct {
	from   waiter
	sub    job.Submission
	lookup bool
	until  time.Duration
}

// waiter is who is told a job's answer: a ticket here or at another seat.
type waiter struct {
	seat   roster.ID
	ticket uint64
}

// Option changes a Home as it is made.
type Option func(*Home)

// WithPolicy makes the home decide by p.
func WithPolicy(p dispatch.Policy) Option {
	return func(h *Home) { h.policy = p }
}

// WithRules makes a home without some of its rules, for tests.
func WithRules(r Rules) Option {
	return func(h *Home) { h.rules = r }
}

// NewHome returns a home without a seat. Its first Tick asks for the roster.
func NewHome(cfg Config, opts ...Option) *Home {
	h := &Home{
		cfg:           cfg,
		policy:        dispatch.DefaultPolicy(),
		view:          roster.NewView(roster.Roster{}),
		standing:      lease.NewStanding(cfg.Lease),
		links:         make(map[roster.ID]*link),
		config:        config.NewView(config.Document{}),
		services:      make(map[string]*service),
		records:       make(map[string]*record),
		forwards:      make(map[uint64]*forward),
		organisations: make(map[string]*organisation),
		needRead:      true,
		take:          newTakeover(),

		adoptedAt: make(map[roster.ID]time.Duration),
		expiries:  make(map[int64][]*record),
	}
	for _, o := range opts {
		o(h)
	}
	return h
}

// Seated reports whether this life holds a seat.
func (h *Home) Seated() bool {
	return h.view.HasSeat(h.cfg.Self)
}

// Standing reports whether the home may speak for its jobs now.
func (h *Home) Standing(now clock.Moment) bool {
	if h.rules.SkipStanding {
		return h.Seated()
	}
	if !h.Seated() || h.lost || (h.heard > h.view.Revision && !h.rules.SkipRevision) {
		return false
	}
	if len(h.view.Seats) == 1 && len(h.view.Agents) > 0 {
		return now.Mono < h.agentsUntil
	}
	return h.standing.Holds(now.Mono, h.view.Seats, h.cfg.Self)
}

// Settled reports whether the home knows all of its share.
func (h *Home) Settled() bool {
	return h.take.settled()
}

// Roster returns the roster in force here.
func (h *Home) Roster() roster.Roster {
	return h.view.Roster
}

// Configuration returns the operators' configuration in force here.
func (h *Home) Configuration() *config.View {
	return h.config
}

// Waiting returns how many tasks wait here, and how many are with agents.
func (h *Home) Waiting() (waiting, running int) {
	for _, s := range h.services {
		waiting += s.queue.Tasks()
		for _, l := range s.agents {
			running += len(l.starts)
		}
	}
	return waiting, running
}

// OpenAgents returns how many agents may get starts now.
func (h *Home) OpenAgents(now clock.Moment) int {
	h.now = now
	n := 0
	for _, l := range h.ordered {
		if l.service != "" && h.open(l) {
			n++
		}
	}
	return n
}

// AgentConfig returns the lowest configuration revision that a connected agent
// has shown.
func (h *Home) AgentConfig() uint64 {
	lowest := h.config.Revision
	for _, l := range h.ordered {
		if l.up && l.role == wire.RoleAgent {
			lowest = min(lowest, l.config)
		}
	}
	return lowest
}

// Drained reports whether a leaving home has nothing left to answer.
func (h *Home) Drained() bool {
	if len(h.pending) > 0 || len(h.forwards) > 0 {
		return false
	}
	for _, r := range h.records {
		if r.state == seats.Running {
			return false
		}
	}
	return true
}

// Leave makes the home accept no new jobs; it finishes those it has.
func (h *Home) Leave(now clock.Moment) Effects {
	h.now = now
	h.leaving = true
	return h.drain()
}

func (h *Home) drain() Effects {
	out := h.out
	h.out = Effects{}
	return out
}
