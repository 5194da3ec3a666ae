// Package claim deduplicates submissions of a job across entries. Before an entry starts
// any task of a job, it claims the job at the job's homes: two agents that every entry
// selects in the same way. A home grants a claim to one entry at a time and retains the
// job's answer.
//
//	claim.go     messages between entries and homes
//	home.go      ranks of agents, by which the homes are selected
//	registry.go  state machine of a home
//
// The package records, in memory only, which entry has claimed a job and how the job was
// answered. It relies on entries (package owner) to start nothing without a claim and to
// report when all runs of a job have ended, and on the detection of closed connections.
// docs/design/submissions.md has the rationale.
package claim

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
)

// Claim is an entry's claim of a job, or a caller's request to cancel it. The fields of Claim
// and Settlement have short names on the wire, since several of these messages are sent for
// each job.
type Claim struct {
	Job string `msgpack:"j"`
	// MaxDuration is the longest time for which the entry holds the job. At its end the entry's
	// runs are stopped, even if the entry has been lost meanwhile; the claim expires
	// expiryMargin later. Zero means unknown.
	MaxDuration time.Duration `msgpack:"l"`
	// Begun is set if tasks of the job have been started. An entry that has started none
	// yields the job to one that has.
	Begun bool `msgpack:"b"`
	// Cancel is set if this is not a claim but a caller's cancellation of the job.
	Cancel bool `msgpack:"c"`
}

// State is the kind of a home's reply.
type State uint8

const (
	// Granted means that the entry now holds the job.
	Granted State = iota + 1
	// Held means that another entry holds the job. A later reply follows: the answer, or
	// Granted.
	Held
	// Answered means that the job has been answered.
	Answered
	// Unknown means that the job to be cancelled is not known.
	Unknown
	// Cancelling means that the job is now cancelled, and that its holder is informed if it
	// is connected.
	Cancelling
)

// Outcome is how a job was answered. The values are used on the wire.
type Outcome uint8

const (
	// None means that the job was not answered and may be submitted again.
	None Outcome = iota
	Completed
	Failed
	// GivenUp means that the entry has given up the job. It is forwarded to waiting entries
	// but not retained: the caller may submit the job again.
	GivenUp
	Cancelled
	// Refused means that the entry has refused the job. It is retained until the caller may
	// retry, so that delayed copies of the request do not run, or for AnswerRetention if that
	// is shorter.
	Refused
)

// retained reports whether later submissions of the job receive the same answer.
func (o Outcome) retained() bool {
	return o == Completed || o == Failed || o == Cancelled || o == Refused
}

// Reply is a home's reply to a claim or a cancellation, or a later message about the job.
type Reply struct {
	Job   string
	State State
	// Outcome, Why and Retry are the answer if State is Answered.
	Outcome Outcome
	Why     code.Code
	Retry   time.Duration
	// Ran is set if an earlier submission of a granted job may have run.
	Ran bool
	// Losses is the highest number of runs that any single task of the job has lost with
	// their targets, over all submissions so far.
	Losses int
}

// Settlement reports to a home the result of a job that the sender has claimed or is
// waiting for.
type Settlement struct {
	Job     string    `msgpack:"j"`
	Outcome Outcome   `msgpack:"o"`
	Why     code.Code `msgpack:"w"`
	// Retry is the delay after which the caller should retry, from the settlement on.
	Retry time.Duration `msgpack:"r"`
	// Clear is set if the sender has no more runs of the job; Ran is set if it may have had
	// one.
	Clear bool `msgpack:"c"`
	Ran   bool `msgpack:"n"`
	// Losses is the highest number of runs that any single task of the job has lost with
	// their targets, over all submissions so far.
	Losses int `msgpack:"x"`
}

// Interest informs the holder of a job about other entries with the same job.
type Interest struct {
	Job string
	// Waits is set while other entries wait for the answer. Begun is set if one of them has
	// started tasks of the job.
	Waits, Begun bool
	// Cancel is set if a caller cancels the job.
	Cancel bool
}
