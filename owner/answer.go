package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
)

// Kind is how a job was answered. Its numbers appear in logs.
type Kind uint8

// Kinds of answers.
const (
	// Completed means that every task ended well.
	Completed Kind = iota + 1
	// Failed means that a task has failed as often as its queue allows.
	Failed
	// GivenUp means that the job can't be done in time, though tasks of it may
	// have been started.
	GivenUp
	// Refused means that no task of the job was started or will be.
	Refused
	// Cancelled means that the caller has cancelled the job.
	Cancelled
)

// Answer is the final answer to a job.
type Answer struct {
	Kind Kind
	// Why is the cause.
	Why code.Code
	// Retry is how long the caller should wait before it submits the job again;
	// set for jobs that were refused or given up.
	Retry time.Duration
}
