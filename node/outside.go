// Package node runs the two roles of the system as processes: Entry around the state
// machine of package owner, Agent around that of package supervisor.
//
// It owns goroutines, clocks, connections and the configuration in force. It relies
// on the state machines for every decision, and on what lies outside the system by
// the function fields of Directory, ConfigSource and TargetCalls, which package
// platform fills.
//
//	entry.go, agent.go   the processes: what they run, how they stop
//	reach.go             which agents an entry is connected to
//	link.go, session.go  the connections between them, at the entry and at the agent
//	introduce.go         how an agent makes itself known to entries
//	renewal.go           an agent's calls to its target
//	configure.go         the configuration from the store
//	document.go          the configuration from one process to another
//	retry.go             calls to the store, repeated
//	metrics.go           what is counted
//
// Each state machine has one lock. Its function fields are called with the lock
// held; they start goroutines or queue frames and never block.
package node

import (
	"context"
	"time"

	"github.com/beaconpoint/beaconpoint/evacuation"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/routing"
	"github.com/beaconpoint/beaconpoint/supervisor"
)

// Registration is a process with the address at which its peers reach it.
type Registration struct {
	Name string
	Addr string // "IP:port"
}

// Directory is where processes find each other. What is registered stays so when the
// process is gone. After an error a call may have taken effect.
type Directory struct {
	// Register makes a process known.
	Register func(ctx context.Context, role peer.Role, r Registration) error
	// Forget removes a process, unless it has registered another address
	// meanwhile.
	Forget func(ctx context.Context, role peer.Role, r Registration) error
	// List returns the processes of a role, with an error those that it knows. It
	// may be some seconds old.
	List func(ctx context.Context, role peer.Role) ([]Registration, error)
}

// ConfigSource is where the operators' configuration comes from, and their requests to
// evacuate data halls.
type ConfigSource struct {
	// Read hands what is there to the observer and returns the revision to watch from,
	// zero where nothing was ever written.
	Read func(ctx context.Context, o ConfigObserver) (uint64, error)
	// Watch waits for changes after a revision, for the given time at most, hands
	// them to the observer, and returns the revision to go on from; zero means that the
	// history is gone and Read is due.
	Watch func(ctx context.Context, at uint64, wait time.Duration, o ConfigObserver) (uint64, error)
	// Parse decodes a document.
	Parse func(document []byte) (*routing.Table, error)
}

// ConfigObserver is told what the operators have written, and of the directory. Each field is set.
type ConfigObserver struct {
	// Document is given the configuration.
	Document func(text []byte)
	// Evacuations is given all evacuated halls, as they are at a revision.
	Evacuations func(evacuation.Set)
	// Evacuation is given one change: the request for a hall was made at the revision, or
	// taken back there. It comes after all changes of earlier revisions.
	Evacuation func(revision uint64, hall string, evacuated bool)
	// Process is given one change of the directory: a process has registered, or gone says
	// that its name was removed.
	Process func(role peer.Role, r Registration, gone bool)
}

// TargetCalls carries orders to the target beside an agent. Each call returns within
// about a second; a reply without an answer carries the error.
type TargetCalls struct {
	Start func(supervisor.StartCall) supervisor.Reply
	Stop  func(supervisor.StopCall) supervisor.Reply
	// Renew returns the target's lists if the renewal was accepted.
	Renew func(supervisor.RenewCall) (supervisor.Reply, *supervisor.RunLists)
}
