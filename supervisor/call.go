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
	// Born is the start time in Unix milliseconds by the target's wall clock; zero if
	// unknown. It only distinguishes processes with the same id and defines no order.
	Born int64
}

// is reports whether both are the same incarnation, as far as their start times are known.
func (i Incarnation) is(o Incarnation) bool {
	return i.ID == o.ID && (i.Born == o.Born || i.Born == 0 || o.Born == 0)
}

// StartCall orders the target to start a run.
type StartCall struct {
	Incarnation Incarnation // addressee
	Order       task.Order
	Deadline    time.Duration // end of the lease, on the target's clock
	Token       uint64        // fencing token
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
	LastSeen    uint64        // EndedRow.N of the last end applied; acknowledges the ends up to it
	Wait        time.Duration // longest time that the target may delay its answer
	sent        time.Duration // send time, on the agent's clock
}

// RunLists is the target's answer to a renewal.
type RunLists struct {
	// Born is the start time of the answering incarnation; zero if unknown.
	Born    int64
	Running []RunningRow
	Ended   []EndedRow
}

// RunningRow is a run that is active on the target.
type RunningRow struct {
	Name string // task name
	Run  int
}

// EndedRow is a run that has ended on the target.
type EndedRow struct {
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
	// RefusedToken means that the call was rejected: the target has seen a higher fencing
	// token.
	RefusedToken
	// RefusedOld means that the start was rejected: the target has stopped or ended a run
	// with this number or a higher one.
	RefusedOld
	// RefusedLate means that the call was rejected because it arrived after its deadline.
	RefusedLate
	// RefusedRoom means that the start was rejected: the target lacks the resources.
	RefusedRoom
	// RefusedUnhealthy means that the start was rejected: the target is temporarily unable
	// to start runs.
	RefusedUnhealthy
	// RefusedMalformed means that the target could not parse the call.
	RefusedMalformed
	// WrongIncarnation means that another incarnation of the target answered.
	WrongIncarnation
)

// outcomeCodes maps each outcome to its code. For a start that was not accepted, the code is
// the reason why the run did not start; for other calls it is only logged.
var outcomeCodes = [...]code.Code{
	Accepted:         code.OK,
	NoAnswer:         code.RunAbsent,
	RefusedToken:     code.RunFenced,
	RefusedOld:       code.RunStaleNumber,
	RefusedLate:      code.RunStartDeadlinePassed,
	RefusedRoom:      code.RunTargetNoRoom,
	RefusedUnhealthy: code.RunTargetUnhealthy,
	RefusedMalformed: code.RunBadCall,
	WrongIncarnation: code.RunTargetGone,
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
	// Err is the error behind NoAnswer, for logs; nil for all other outcomes.
	Err error
}

// Report is the content of a target's heartbeat.
type Report struct {
	ID       string // incarnation id
	Born     int64  // start time of the incarnation; zero if unknown
	Service  string
	Hall     string
	Labels   []string
	Capacity task.Resources
	Draining bool
	Cold     time.Duration // remaining warm-up time
	Clock    time.Duration // reading of the target's clock, valid if HasClock
	HasClock bool
	Seq      uint64 // sequence number, increases with each report of an incarnation
}

// incarnation returns the incarnation that sent the report.
func (r Report) incarnation() Incarnation {
	return Incarnation{ID: r.ID, Born: r.Born}
}

// profile returns the part of the report that is sent to entries.
func (r Report) profile() peer.Profile {
	return peer.Profile{Target: r.ID, Service: r.Service, Hall: r.Hall, Labels: r.Labels, Capacity: r.Capacity}
}
