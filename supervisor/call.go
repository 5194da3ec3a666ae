package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// Incarnation identifies one process of a target, from its start to its end.
type Incarnation struct {
	ID string
	// StartedUnixMS is the start time in Unix milliseconds by the target's wall clock; zero if
	// unknown. It only distinguishes processes with the same id and defines no order.
	StartedUnixMS int64
}

// is reports whether both are the same incarnation, as far as their start times are known.
func (i Incarnation) is(o Incarnation) bool {
	return i.ID == o.ID && (i.StartedUnixMS == o.StartedUnixMS || i.StartedUnixMS == 0 || o.StartedUnixMS == 0)
}

// StartCall orders the target to start a run.
type StartCall struct {
	Incarnation Incarnation // addressee
	Order       task.Order
	Try         int           // number of this call among the starts of the run, from 1
	Deadline    time.Duration // end of the lease, on the target's clock
	Token       uint64        // fencing token
	run         *run          // distinguishes runs with the same task and number
}

// StopCall orders the target to stop a run.
type StopCall struct {
	Incarnation Incarnation
	Ref         task.Ref // its task is zero for a run that this agent did not order
	Name        string   // task name used by the target
	Token       uint64
}

// RenewCall renews the target's lease and requests its active and ended runs. The target
// may delay its answer until a run ends (long polling).
type RenewCall struct {
	Incarnation Incarnation
	Token       uint64
	Deadline    time.Duration // on the target's clock; zero does not renew the lease
	LastSeen    uint64        // ListedEnd.N of the last end applied; acknowledges the ends up to it
	Wait        time.Duration // longest time that the target may delay its answer
	sent        time.Duration // send time, on the agent's clock
}

// RunLists is the target's answer to a renewal.
type RunLists struct {
	// StartedUnixMS is the start time of the answering incarnation; zero if unknown.
	StartedUnixMS int64
	Running       []ListedRun
	Ended         []ListedEnd
}

// ListedRun is a run that is active on the target.
type ListedRun struct {
	Name string // task name
	Run  int
}

// ListedEnd is a run that has ended on the target.
type ListedEnd struct {
	N    uint64 // sequence number, from 1 in each incarnation
	Name string // task name
	Run  int
	End  task.End // EndNone if the target reported an unknown kind of end
}

// Outcome is the result of a call to the target.
type Outcome uint8

const (
	// Accepted means that the call was carried out, now or earlier.
	Accepted Outcome = iota
	// NoAnswer means that the call may have been carried out, or still may be.
	NoAnswer
	// RejectedToken means that the call was rejected: the target has seen a higher fencing
	// token.
	RejectedToken
	// RejectedStaleRun means that the start was rejected: the target has stopped or ended a run
	// with this number or a higher one. It rejects all later starts of the run, too.
	RejectedStaleRun
	// RejectedDeadline means that the call was rejected because it arrived after its deadline.
	RejectedDeadline
	// RejectedCapacity means that the start was rejected: the target lacks the resources.
	RejectedCapacity
	// RejectedUnhealthy means that the start was rejected: the target is temporarily unable
	// to start runs.
	RejectedUnhealthy
	// RejectedMalformed means that the target could not parse the call.
	RejectedMalformed
	// WrongIncarnation means that another incarnation of the target answered.
	WrongIncarnation
	// Undefined means that the target's answer has no defined meaning: as with NoAnswer, the
	// call may have been carried out, or still may be.
	Undefined
)

// outcomeCodes maps each outcome to its code. For a start that was not accepted, the code is
// the reason why the run did not start; for other calls it is only logged.
var outcomeCodes = [...]code.Code{
	Accepted:          code.OK,
	NoAnswer:          code.RunAbsent,
	RejectedToken:     code.RunFenced,
	RejectedStaleRun:  code.RunStaleNumber,
	RejectedDeadline:  code.RunStartDeadlinePassed,
	RejectedCapacity:  code.RunTargetNoRoom,
	RejectedUnhealthy: code.RunTargetUnhealthy,
	RejectedMalformed: code.RunBadCall,
	WrongIncarnation:  code.RunTargetGone,
	Undefined:         code.RunAbsent,
}

// Code returns the code of the outcome, or RunBadCall if it has none.
func (o Outcome) Code() code.Code {
	if int(o) < len(outcomeCodes) {
		return outcomeCodes[o]
	}
	return code.RunBadCall
}

// Reply is the answer to a call.
type Reply struct {
	Outcome  Outcome
	Clock    time.Duration // reading of the target's clock, valid if HasClock
	HasClock bool
	// Err is the error behind NoAnswer or Undefined, for logs; nil for all other outcomes.
	Err error
}

// Report is the content of a target's heartbeat.
type Report struct {
	ID            string // incarnation id
	StartedUnixMS int64  // start time of the incarnation; zero if unknown
	Service       string
	Hall          string
	Labels        []string
	Capacity      task.Resources
	Draining      bool
	WarmupLeft    time.Duration // remaining warm-up time
	Clock         time.Duration // reading of the target's clock, valid if HasClock
	HasClock      bool
	Seq           uint64 // sequence number, increases with each report of an incarnation
}

// incarnation returns the incarnation that sent the report.
func (r Report) incarnation() Incarnation {
	return Incarnation{ID: r.ID, StartedUnixMS: r.StartedUnixMS}
}

// profile returns the part of the report that is sent to entries.
func (r Report) profile() peer.Profile {
	return peer.Profile{Target: r.ID, Service: r.Service, Hall: r.Hall, Labels: r.Labels, Capacity: r.Capacity}
}
