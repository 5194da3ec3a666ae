package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// Incarnation is one life of a target.
type Incarnation struct {
	ID string
	// Born is when it started, in Unix milliseconds by its own time of day; zero where that
	// is not told. It only tells the lives under one id apart, and orders nothing.
	Born int64
}

// is reports whether both are the same life, as far as is told.
func (i Incarnation) is(o Incarnation) bool {
	return i.ID == o.ID && (i.Born == o.Born || i.Born == 0 || o.Born == 0)
}

// StartCall orders the target to start a run.
type StartCall struct {
	Incarnation Incarnation // that is meant
	Order       task.Order
	Deadline    time.Duration // of the lease, on the target's clock
	Token       uint64        // fencing token
}

// StopCall orders the target to stop a run.
type StopCall struct {
	Incarnation Incarnation
	Ref         task.Ref // its task is zero for a run that this agent did not order
	Name        string   // of the task, as the target knows it
	Token       uint64
}

// RenewCall renews the target's lease and asks what runs and what has ended. The
// target may hold back its answer until a run ends (a long poll).
type RenewCall struct {
	Incarnation Incarnation
	Token       uint64
	Deadline    time.Duration // on the target's clock; zero renews nothing
	LastSeen    uint64        // number of the last end that was applied
	Wait        time.Duration // how long the answer may be held back at most
	sent        time.Duration // on the agent's clock
}

// RunLists are what the target answers to a renewal.
type RunLists struct {
	// Born is that of the incarnation which answers; zero where it is not told.
	Born    int64
	Running []RunningRow
	Ended   []EndedRow
}

// RunningRow is a run that is at work on the target.
type RunningRow struct {
	Name string // of the task
	Run  int
}

// EndedRow is a run that has ended on the target.
type EndedRow struct {
	N    uint64 // rises from 1 in each incarnation
	Name string // of the task
	Run  int
	End  task.End // EndNone where the target's word for it is not known
}

// Outcome is how the target answered a call.
type Outcome uint8

// Outcomes of a call.
const (
	// Accepted means that it was done, now or before.
	Accepted Outcome = iota
	// NoAnswer means that the call may have been done or may be done yet.
	NoAnswer
	// RefusedToken means that the target has seen a higher fencing token.
	RefusedToken
	// RefusedOld means that the target has stopped or ended a run with this number
	// or a higher one.
	RefusedOld
	// RefusedLate means that the call came after its deadline.
	RefusedLate
	// RefusedRoom means that the run does not fit.
	RefusedRoom
	// RefusedUnhealthy means that the target does nothing at the moment.
	RefusedUnhealthy
	// RefusedMalformed means that the target does not understand the call.
	RefusedMalformed
	// WrongIncarnation means that another incarnation of the target answered.
	WrongIncarnation
)

// outcomeCodes are the outcomes' reasons for a run not to begin.
var outcomeCodes = [...]code.Code{
	Accepted:         code.OK,
	NoAnswer:         code.RunAbsent,
	RefusedToken:     code.RunFenced,
	RefusedOld:       code.RunOld,
	RefusedLate:      code.RunLate,
	RefusedRoom:      code.RunTargetRoom,
	RefusedUnhealthy: code.RunTargetUnhealthy,
	RefusedMalformed: code.RunBadCall,
	WrongIncarnation: code.RunTargetGone,
}

// Code returns the outcome's reason for a run not to begin.
func (o Outcome) Code() code.Code {
	if int(o) < len(outcomeCodes) {
		return outcomeCodes[o]
	}
	return code.RunBadCall
}

// Reply is the answer to a call.
type Reply struct {
	Outcome  Outcome
	Clock    time.Duration // the target's own, where HasClock says so
	HasClock bool
	// Err is why there is no answer, for logs; nil for all other outcomes.
	Err error
}

// Report is what a target's heartbeat says.
type Report struct {
	ID       string // of the incarnation
	Born     int64  // of the incarnation; zero where it is not told
	Service  string
	Hall     string
	Labels   []string
	Capacity task.Needs
	Draining bool
	Cold     time.Duration // for how much longer the target is slow from its start
	Clock    time.Duration // the target's own, where HasClock says so
	HasClock bool
	Seq      uint64 // rises with each report of an incarnation
}

// incarnation returns which life of the target reports.
func (r Report) incarnation() Incarnation {
	return Incarnation{ID: r.ID, Born: r.Born}
}

// profile returns what entries are told of the target.
func (r Report) profile() peer.Profile {
	return peer.Profile{Target: r.ID, Service: r.Service, Hall: r.Hall, Labels: r.Labels, Capacity: r.Capacity}
}
