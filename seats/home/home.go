// Package home is the state machine of an entry. The roster assigns each job to
// one entry, its home, which keeps the job's record and decides where its tasks
// run. Together with package guard it ensures that no task is started twice.
// The state machine starts no goroutine and reads no clock: the caller
// serializes the calls and carries out the returned effects.
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

// Config holds the identity of an entry and its timeouts and limits.
type Config struct {
	// Self identifies this incarnation of the entry.
	Self roster.ID
	// Addr is the address at which other entries reach this one.
	Addr string
	// Lease is how long a confirmation is valid.
	Lease time.Duration
	// Heartbeat is the interval of heartbeats to other seats, and
	// AgentHeartbeat that to agents.
	Heartbeat      time.Duration
	AgentHeartbeat time.Duration
	// Suspect is the time without a frame after which a seat is removed.
	Suspect time.Duration
	// AgentLost is the time without a connection after which an agent's
	// unanswered starts count as lost.
	AgentLost time.Duration
	// AgentGone is the time without a connection after which an agent is
	// removed from the roster.
	AgentGone time.Duration
	// Skew is the largest difference between the wall clocks of two hosts.
	Skew time.Duration
	// AnswerBytes limits the stored answers; the oldest are dropped first.
	AnswerBytes int
	// RetryBudget is the fraction of starts that may be repeated for
	// repeatable requests.
	RetryBudget float64
}

// DefaultConfig returns the default timeouts and limits.
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

// Effects lists what the caller must do after an event.
type Effects struct {
	Sends   []Send
	Answers []Answered
	// Swap is a change of the roster to write to the store, or nil.
	Swap *Swap
	// Read requests that the roster is read from the store.
	Read bool
	// Removed reports that this incarnation has lost its seat. The caller must
	// replace the Home by one with a new incarnation.
	Removed bool
	// Configured reports that a new configuration is in force.
	Configured bool
}

// Send is a frame to send to another process.
type Send struct {
	To    roster.ID
	Frame wire.Frame
}

// Answered is the final answer to a submission of a caller of this entry.
type Answered struct {
	Ticket uint64
	Answer seats.Answer
}

// Swap is a compare-and-swap of the roster: Next replaces revision Base.
type Swap struct {
	Base uint64
	Next roster.Roster
	// Change is the id of the change, listed in Next.Changes.
	Change string
}

// Rules disables single safety rules. Tests use it to show that each rule
// prevents a failure; in production all rules apply.
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

// Home is the state machine of one incarnation of an entry.
type Home struct {
	cfg           Config
	rules         Rules
	policy        dispatch.Policy
	now           clock.Moment
	view          *roster.View
	seenRevision  uint64
	confirmations *lease.Standing
	links         map[roster.ID]*link
	ordered       []*link // the links in the order of their first connection
	config        *config.View
	services      map[string]*service
	records       map[string]*record
	answered      []*record // with answers, oldest first
	answeredBytes int
	takeover      takeover
	proposal      *proposal
	changes       uint64
	needRead      bool
	forwards      map[uint64]*forward
	tickets       uint64
	pending       []pending
	organisations map[string]*organisation
	owners        int // entries that own at least one shard
	// previousLongest is the longest expiry of the previous configurations. It
	// applies until the jobs accepted under that configuration have expired.
	previousLongest      time.Duration
	previousLongestUntil time.Duration
	haveRead             bool
	// configured is true once the configuration was read from the store.
	configured bool
	leaving    bool
	removed    bool
	// agentLeaseUntil is the end of the latest confirmation by a registered
	// agent. It applies to an entry that holds the only seat.
	agentLeaseUntil time.Duration
	expectedSince   map[roster.ID]time.Duration // when a seat was first seen in the roster
	expiries        map[int64][]*record
	changeDueSince  time.Duration
	firstReadAt     time.Duration // when the roster was first read
	readAfter       time.Duration
	nextExchangeAt  time.Duration
	nextPruneAt     time.Duration
	stats           Stats
	effects         Effects
}

// service is the state of one service at this entry.
type service struct {
	queue  *dispatch.Queue
	agents []*link
	drain  drainRate
	// running counts the tasks at agents, by organisation.
	running map[string]int
}

// forward is a submission that was sent to another seat.
type forward struct {
	sub         job.Submission
	lookup      bool
	to          roster.ID
	localTicket uint64 // the ticket of a caller of this entry
	origin      waiter // the waiter at another seat, if any
	until       time.Duration
	// toHolder is set if the receiver holds the record without owning the job.
	toHolder bool
}

// waiter returns the receiver of the answer.
func (f *forward) waiter(self roster.ID) waiter {
	if f.origin.seat.IsZero() {
		return waiter{self, f.localTicket}
	}
	return f.origin
}

// pending is a submission that waits until this entry can answer it.
type pending struct {
	from   waiter
	sub    job.Submission
	lookup bool
	until  time.Duration
}

// waiter is the receiver of a job's answer: a ticket of this entry or of
// another seat.
type waiter struct {
	seat   roster.ID
	ticket uint64
}

// Option configures a new Home.
type Option func(*Home)

// WithPolicy sets the dispatch policy.
func WithPolicy(p dispatch.Policy) Option {
	return func(h *Home) { h.policy = p }
}

// WithRules disables safety rules, for tests.
func WithRules(r Rules) Option {
	return func(h *Home) { h.rules = r }
}

// NewHome returns a Home without a seat. Its first Tick requests the roster.
func NewHome(cfg Config, opts ...Option) *Home {
	h := &Home{
		cfg:           cfg,
		policy:        dispatch.DefaultPolicy(),
		view:          roster.NewView(roster.Roster{}),
		confirmations: lease.NewStanding(cfg.Lease),
		links:         make(map[roster.ID]*link),
		config:        config.NewView(config.Document{}),
		services:      make(map[string]*service),
		records:       make(map[string]*record),
		forwards:      make(map[uint64]*forward),
		organisations: make(map[string]*organisation),
		needRead:      true,
		takeover:      newTakeover(),

		expectedSince: make(map[roster.ID]time.Duration),
		expiries:      make(map[int64][]*record),
	}
	for _, o := range opts {
		o(h)
	}
	return h
}

// Seated reports whether this incarnation holds a seat.
func (h *Home) Seated() bool {
	return h.view.HasSeat(h.cfg.Self)
}

// Standing reports whether this entry is confirmed and so may answer for the
// jobs that it owns.
func (h *Home) Standing(now clock.Moment) bool {
	if h.rules.SkipStanding {
		return h.Seated()
	}
	if !h.Seated() || h.removed || (h.seenRevision > h.view.Revision && !h.rules.SkipRevision) {
		return false
	}
	if len(h.view.Seats) == 1 && len(h.view.Agents) > 0 {
		return now.Mono < h.agentLeaseUntil
	}
	return h.confirmations.Holds(now.Mono, h.view.Seats, h.cfg.Self)
}

// Settled reports whether the takeover after the last roster change is complete,
// so that this entry knows every job that it owns.
func (h *Home) Settled() bool {
	return h.takeover.settled()
}

// Roster returns the roster in force.
func (h *Home) Roster() roster.Roster {
	return h.view.Roster
}

// Configuration returns the operators' configuration in force.
func (h *Home) Configuration() *config.View {
	return h.config
}

// Waiting returns the number of queued tasks and of tasks at agents.
func (h *Home) Waiting() (waiting, running int) {
	for _, s := range h.services {
		waiting += s.queue.Tasks()
		for _, l := range s.agents {
			running += len(l.starts)
		}
	}
	return waiting, running
}

// OpenAgents returns the number of agents that accept starts from this entry.
func (h *Home) OpenAgents(now clock.Moment) int {
	h.now = now
	n := 0
	for _, l := range h.ordered {
		if l.service != "" && h.acceptsStarts(l) {
			n++
		}
	}
	return n
}

// AgentConfig returns the lowest configuration revision reported by a connected
// agent.
func (h *Home) AgentConfig() uint64 {
	lowest := h.config.Revision
	for _, l := range h.ordered {
		if l.up && l.role == wire.RoleAgent {
			lowest = min(lowest, l.config)
		}
	}
	return lowest
}

// Drained reports whether every submission and job has been answered.
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

// Leave makes the entry finish its jobs and then give up its seat.
func (h *Home) Leave(now clock.Moment) Effects {
	h.now = now
	h.leaving = true
	return h.takeEffects()
}

// takeEffects returns and clears the collected effects.
func (h *Home) takeEffects() Effects {
	out := h.effects
	h.effects = Effects{}
	return out
}
