package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// StartCall orders the worker to start a run.
type StartCall struct {
	Incarnation string // the worker's life that is meant
	Order       task.Order
	Deadline    time.Duration // of the lease, on the worker's clock
	Token       uint64        // fencing token
}

// StopCall orders the worker to stop a run.
type StopCall struct {
	Incarnation string
	Ref         task.Ref
	Name        string // as the worker knows the task
	Token       uint64
}

// RenewCall renews the worker's lease and asks what runs and what has ended.
type RenewCall struct {
	Incarnation string
	Token       uint64
	Deadline    time.Duration // on the worker's clock; zero renews nothing
	LastSeen    uint64        // the last end that was taken note of
	Wait        time.Duration // how long the answer may wait for an end
	sent        time.Duration // on the agent's clock
}

// RunLists is the worker's answer to a HoldCall.
type RunLists struct {
	Running []RunningRow
	Ended   []EndedRow
}

// RunningRow is a run that is at work on the worker.
type RunningRow struct {
	Name string
	Run  int
}

// EndedRow is a run that ended on the worker; N rises from 1 in each life.
type EndedRow struct {
	N    uint64
	Name string
	Run  int
	End  task.End
}

// Outcome is how the worker answered a call.
type Outcome uint8

// Outcomes of a call.
const (
	// Accepted means that it was done, or had been done before.
	Accepted Outcome = iota
	// NoAnswer means that the call may have been done or may be done yet.
	NoAnswer
	// RefusedToken means that the worker has seen a higher fencing token.
	RefusedToken
	// RefusedOld means that the worker has stopped or ended such a run.
	RefusedOld
	// RefusedLate means that the call came after its deadline.
	RefusedLate
	// RefusedRoom means that the run does not fit.
	RefusedRoom
	// RefusedUnhealthy means that the worker does nothing at the moment.
	RefusedUnhealthy
	// RefusedMalformed means that the worker does not understand the call.
	RefusedMalformed
	// WrongIncarnation means that another life of the worker answered.
	WrongIncarnation
)

var outcomeCodes = [...]code.Code{code.OK, code.RunAbsent, code.RunFenced, code.RunOld, code.RunLate, code.RunTargetRoom,
	code.RunTargetUnhealthy, code.RunBadCall, code.RunTargetGone}

// Code returns the numbered reason that the outcome is for a run not to begin.
func (o Outcome) Code() code.Code {
	if int(o) < len(outcomeCodes) {
		return outcomeCodes[o]
	}
	return code.RunBadCall
}

// Reply is the answer to a call: its outcome and the worker's clock, where it
// was told.
type Reply struct {
	Outcome  Outcome
	Clock    time.Duration
	HasClock bool
}

// Report is what a worker's heartbeat says of itself.
type Report struct {
	ID       string // of this life
	Service  string
	Hall     string
	Labels   []string
	Capacity task.Needs
	Draining bool
	Clock    time.Duration
	HasClock bool
	Seq      uint64
}

// profile returns what entries are told of the worker.
func (r Report) profile() peer.Profile {
	return peer.Profile{Target: r.ID, Service: r.Service, Hall: r.Hall, Labels: r.Labels, Capacity: r.Capacity}
}
