// Package claim makes a submission one submission, whichever entry it reaches. An entry
// claims a job at the job's homes, two agents that all entries choose alike, before it starts
// a task of it; a home grants the claim to one entry at a time, and remembers the answer.
//
//	claim.go     what entries and homes tell each other
//	home.go      which agents are the homes of a job
//	registry.go  the state machine at a home
//
// It owns who has which job and how it was answered, in memory only. It relies on the entries
// (package owner) to start nothing without a claim and to say when all runs of a job have
// ended, and on connections whose end is noticed. docs/design/submissions.md says why.
package claim

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
)

// The names on the wire are short: on a narrow link a job's claims take a tenth of its bytes.

// Claim is an entry's claim of a job, or a caller's order to cancel it.
type Claim struct {
	Job string `msgpack:"j"`
	// Lasts is for how long the entry has the job at the most: then its runs are over,
	// whatever becomes of the entry. Zero: not known.
	Lasts time.Duration `msgpack:"l"`
	// Begun says that tasks of the job have been started: an entry that has it and has
	// started none gives it back.
	Begun bool `msgpack:"b"`
	// Cancel says that this is no claim: a caller cancels the job.
	Cancel bool `msgpack:"c"`
}

// State is a home's answer to a claim.
type State uint8

// States.
const (
	// Granted means that the entry has the job now.
	Granted State = iota + 1
	// Held means that another entry has it. A later reply follows: the answer, or Granted.
	Held
	// Answered means that the job was answered.
	Answered
	// Unknown means that nothing is known of a job that should be cancelled.
	Unknown
	// Cancelling means that the cancellation was passed on.
	Cancelling
)

// Outcome is how a job was answered. Its numbers are on the wire.
type Outcome uint8

// Outcomes.
const (
	// None means that the job was not answered: it may be done anew.
	None Outcome = iota
	Completed
	Failed
	// GivenUp is passed on to those who wait, and not remembered: the caller may come back.
	GivenUp
	Cancelled
	// Refused is remembered until the caller was asked to come back: copies of its request
	// that come sooner must not run, since it was told so.
	Refused
)

// remembered reports whether a later submission gets the same answer.
func (o Outcome) remembered() bool {
	return o == Completed || o == Failed || o == Cancelled || o == Refused
}

// Reply is a home's answer to a claim.
type Reply struct {
	Job   string
	State State
	// Outcome, Why and Retry are the answer, where the state is Answered.
	Outcome Outcome
	Why     code.Code
	Retry   time.Duration
	// Ran says that an earlier submission of a job that is granted may have run.
	Ran bool
	// Losses is how many runs of a task of it have ended with the loss of their target.
	Losses int
}

// Settlement tells a home what became of a job that its sender has claimed or waits for.
type Settlement struct {
	Job     string    `msgpack:"j"`
	Outcome Outcome   `msgpack:"o"`
	Why     code.Code `msgpack:"w"`
	// Retry is when the caller should come back.
	Retry time.Duration `msgpack:"r"`
	// Clear says that no run of the sender's is left, Ran that there may have been one.
	Clear bool `msgpack:"c"`
	Ran   bool `msgpack:"n"`
	// Losses is how many runs of a task have ended with the loss of their target.
	Losses int `msgpack:"x"`
}

// Interest tells the entry that has a job who else cares for it.
type Interest struct {
	Job string
	// Waits says that another entry waits for its answer; without it none does any more.
	// Begun says that one of them has started tasks of it.
	Waits, Begun bool
	// Cancel says that its caller cancels it.
	Cancel bool
}
