// Package code defines the numbered result codes that callers receive and that logs and
// metrics contain.
package code

import (
	"net/http"
	"strconv"
)

// Code is a result code. The number of a code is never reused for another meaning.
type Code uint16

// Codes for invalid requests (1xx).
const (
	OK                  Code = 0
	BadJSON             Code = 101
	UnknownField        Code = 102
	NoTasks             Code = 103
	TooManyTasks        Code = 104
	DuplicateTask       Code = 105
	TooLarge            Code = 106
	UnknownService      Code = 107
	UnknownOrganisation Code = 108
	Conflict            Code = 109
	ExpiryPast          Code = 110
	ExpiryTooFar        Code = 111
	BadID               Code = 112
	UnknownJob          Code = 113
	BadValue            Code = 114
	UnsupportedType     Code = 115
)

// Codes for overload and limits (2xx).
const (
	QueueFull        Code = 201
	QuotaInFlight    Code = 202
	RateLimited      Code = 203
	CannotMeetExpiry Code = 204
	NoTarget         Code = 205
	EntryStopping    Code = 206
)

// Codes for unavailable owners and stores (3xx).
const (
	NotConfirmed    Code = 301
	HomeUnreachable Code = 302
	OwnerLost       Code = 303
	StoreDown       Code = 304
)

// Codes for accepted jobs (4xx).
const (
	TaskFailed    Code = 401
	AgentLost     Code = 402
	Expired       Code = 403
	AnswerDropped Code = 404
	Running       Code = 405
	TargetLost    Code = 406
	AnswerLarge   Code = 407
)

// Codes of the operator API (5xx).
const (
	Unauthorized  Code = 501
	Forbidden     Code = 502
	PlanStale     Code = 503
	PlanTampered  Code = 504
	BadIntent     Code = 505
	ChangeUnknown Code = 506
)

// Codes for starts rejected by an agent (6xx). The task did not run.
const (
	AgentNotConfirmed Code = 601
	NotASeat          Code = 602
	StaleRevision     Code = 603
	SlotsFull         Code = 604
	AgentStopping     Code = 605
	TargetUnreachable Code = 606
	StartExpired      Code = 607
	NoRecord          Code = 608
	WrongService      Code = 609
	AgentDraining     Code = 610
)

// Reasons why a run was not started or has ended (7xx).
const (
	RunListed              Code = 700
	RunNoRoom              Code = 701
	RunStaleOwner          Code = 702
	RunTargetNotAccepting  Code = 703
	RunPresent             Code = 704
	RunStaleNumber         Code = 705
	RunStartDeadlinePassed Code = 706
	RunFenced              Code = 707
	RunTargetUnhealthy     Code = 708
	RunBadCall             Code = 709
	RunAbsent              Code = 710
	RunTargetGone          Code = 711
	RunTargetSilent        Code = 712
	RunOwnerStops          Code = 713
	RunOwnerGone           Code = 714
	RunOwnerSilent         Code = 715
	RunCallerTimeout       Code = 716
	RunTargetNoRoom        Code = 717
	RunSpecUnknown         Code = 718
	RunHallEvacuated       Code = 719
	RunTargetShutDown      Code = 720
)

// Reasons for decisions (8xx): of an entry on a job (801-810, 813-815) or on moving a run
// (811, 812), and of an agent on the health of its target (821-824).
const (
	JobAllDone        Code = 801
	JobAttempts       Code = 802
	JobOutOfTime      Code = 803
	JobTooLate        Code = 804
	JobCallerTimeout  Code = 805
	JobCancelled      Code = 806
	JobUnsupported    Code = 807
	JobNoConfig       Code = 808
	JobBacklogTooLong Code = 809
	JobLinkFull       Code = 810
	RunMovedEjected   Code = 811
	RunMovedOverdue   Code = 812
	JobEvacuated      Code = 813
	JobHallLost       Code = 814
	JobCrashes        Code = 815
	TargetFails       Code = 821
	TargetSlow        Code = 822
	TargetOverdue     Code = 823
	TargetRecovered   Code = 824
)

// Row describes one code. docs/result-codes.md is generated from the rows.
type Row struct {
	Code Code
	// Name identifies the code in logs and metrics.
	Name string
	// Status is the HTTP status of responses that carry the code. The packages under seats
	// send it; package platform sends no codes and sets its own statuses.
	Status int
	// Meaning is a sentence for docs/result-codes.md. It is not sent to callers.
	Meaning string
}

// Lookup returns the row of c and whether c is in Table.
func Lookup(c Code) (Row, bool) {
	e, ok := byCode[c]
	return e, ok
}

// Name returns the name of the code, or "code-" and its number if it is not in Table.
func (c Code) Name() string {
	if e, ok := byCode[c]; ok {
		return e.Name
	}
	return "code-" + strconv.Itoa(int(c))
}

// Status returns the HTTP status of the code, or 500 if it is not in Table.
func (c Code) Status() int {
	if e, ok := byCode[c]; ok {
		return e.Status
	}
	return http.StatusInternalServerError
}

// String returns the number and the name of the code.
func (c Code) String() string {
	return strconv.Itoa(int(c)) + " " + c.Name()
}
